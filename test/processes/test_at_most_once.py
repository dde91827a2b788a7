"""Invariant I5: a request that is not idempotent runs at most once."""

import collections
import itertools
import signal
import threading
import time

from standins.deployment import Shape
from test.processes import deployments
from test.processes.deployments import (
    book,
    chat,
    error,
    eventually,
    run_concurrently,
)

IN_USE = (409, "idempotency_key_in_use", "unknown")
STORE_UNAVAILABLE = (503, "idempotency_store_unavailable", "not_run")


class AtMostOnceTest(deployments.DeploymentTest):
    shape = Shape(hosts=1, engines=1)
    models = 2

    def book_until_answered(self, key, host):
        """Repeats a booking until it succeeds."""
        return eventually(
            lambda: (answer := book(host, key)).status == 200 and answer,
            f"an answer for {key}",
        )

    def test_same_key_at_once_in_two_domains(self):
        """Guards against races between hosts of two domains on one key."""
        keys = [f"race-{n}" for n in range(8)]
        calls = list(itertools.product(keys, self.hosts * 2))
        answers = run_concurrently(
            lambda k=k, h=h: book(h, k) for k, h in calls
        )
        booked = collections.Counter()
        for (key, _), answer in zip(calls, answers, strict=True):
            if answer.status != 200:
                self.assertEqual(error(answer), IN_USE)
            booked[key] += answer.status == 200
        for key in keys:
            self.assertGreaterEqual(booked[key], 1)
            self.assertEqual(self.run_count(key), 1)
            repeated = book(self.hosts[0], key)
            self.assertEqual(
                repeated.headers.get("idempotency-replayed"), "true"
            )

    def test_entry_process_killed_while_the_upstream_works(self):
        """Guards against a second run of a booking whose outcome is unknown."""
        first, other = self.hosts
        for name in self.upstreams("bookings"):
            self.set_faults(name, delay_s=1.5)
        asked = threading.Thread(target=book, args=(first, "lost"))
        asked.start()
        eventually(self._is_at_an_upstream, "the booking at an upstream")
        self.kill(f"entry {first.name}")
        asked.join()
        self.assertEqual(error(book(other, "lost")), IN_USE)
        eventually(lambda: self.run_count("lost"), "the end of the booking")
        self.assertEqual(error(book(other, "lost")), IN_USE)
        self.deployment.start_entry(first)
        self.deployment.wait_for(first.listen, "/readyz", first.name)
        self.assertEqual(error(book(first, "lost")), IN_USE)
        self.assertEqual(self.run_count("lost"), 1)

    def _is_at_an_upstream(self):
        names = self.upstreams("bookings")
        return any(self.report(name)["running"] for name in names)

    def test_entry_process_frozen_after_its_claim(self):
        """Guards against a resumed process that runs what another one ran."""
        first, other = self.hosts
        for attempt, table_delay_s in enumerate((0.0, 0.3, 0.6)):
            key = f"frozen-{attempt}"
            self.set_platform_faults("table", delay_s=table_delay_s)
            answers = []
            asked = threading.Thread(
                target=lambda key=key, answers=answers: answers.append(
                    book(first, key)
                )
            )
            asked.start()
            time.sleep(0.2)
            with self.frozen(f"entry {first.name}"):
                time.sleep(1.0)
                self.set_platform_faults("table")
                meanwhile = book(other, key)
            asked.join()
            if meanwhile.status != 200:
                self.assertEqual(error(meanwhile), IN_USE)
            self.assertIn(200, (answers[0].status, meanwhile.status))
            self.assertEqual(self.run_count(key), 1)
            self.assertEqual(self.book_until_answered(key, other).status, 200)
            self.assertEqual(self.run_count(key), 1)

    def test_same_key_with_another_body(self):
        """Guards against answering a request with the response of another."""
        self.book_until_answered("reused", self.hosts[0])
        for host in self.hosts:
            answer = book(host, "reused", b'{"room": 5}')
            self.assertEqual(
                error(answer), (422, "idempotency_key_reused", "not_run")
            )
        self.assertEqual(self.run_count("reused"), 1)

    def test_table_out(self):
        """Guards against bookings without the table; other requests succeed."""
        outages = {
            "refuses": lambda: self.set_platform_faults("table", refuse=True),
            "frozen": lambda: self.signal_process("table", signal.SIGSTOP),
        }
        for name, begin in outages.items():
            begin()
            answers = run_concurrently(
                [
                    lambda h=h, n=n, name=name: book(h, f"out-{name}-{n}")
                    for h in self.hosts
                    for n in range(4)
                ]
                + [lambda h=h: chat(h) for h in self.hosts]
            )
            for answer in answers[:-2]:
                self.assertEqual(error(answer), STORE_UNAVAILABLE)
            self.assertEqual([a.status for a in answers[-2:]], [200, 200])
            keys = [f"out-{name}-{n}" for n in range(4)]
            self.assertEqual(sum(map(self.run_count, keys)), 0)
            self.signal_process("table", signal.SIGCONT)
            self.set_platform_faults("table")
            # Requests with the outcome not_run may be retried, and run then.
            for key in keys:
                self.book_until_answered(key, self.hosts[0])
                self.assertEqual(self.run_count(key), 1)

    def test_answer_of_the_claim_lost(self):
        """Guards against a lost claim response that runs a booking twice.

        The booking runs once, or not at all with the outcome not_run.
        """
        for n, fault in enumerate(["drop_answers", "drop_requests"] * 4):
            key = f"claim-lost-{n}"
            self.set_platform_faults(
                "table", **{fault: 1 + n // 4}, only_keys="claim/"
            )
            answer = book(self.hosts[n % 2], key)
            if answer.status != 200:
                self.assertEqual(error(answer), STORE_UNAVAILABLE)
                self.assertEqual(self.run_count(key), 0)
            self.set_platform_faults("table")
            self.book_until_answered(key, self.hosts[(n + 1) % 2])
            self.assertEqual(self.run_count(key), 1)

    def test_answer_of_the_upstream_lost(self):
        """Guards against a retry of a booking that may have run."""
        for name in self.upstreams("bookings"):
            self.set_faults(name, drop_answers=1)
        lost = book(self.hosts[0], "answer-lost")
        # The stand-in closes the connection before it echoes the request id.
        self.assertEqual(error(lost), (502, "answer_mismatch", "unknown"))
        for host in self.hosts:
            self.assertEqual(error(book(host, "answer-lost")), IN_USE)
        self.assertEqual(self.run_count("answer-lost"), 1)
