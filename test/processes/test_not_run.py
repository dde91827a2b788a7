"""Invariant I4: a request with the outcome not_run was not run."""

import collections
import itertools
import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from standins.deployment import Shape
from standins.documents import RANKS
from test.processes import deployments
from test.processes.deployments import (
    book,
    chat,
    error,
    new_caller_id,
    run_concurrently,
)

SEED = 20261204
REQUESTS = 300
CALLERS = 32
_FAULTS = ("refuse", "delay", "cut", "kill")


class NotRunTest(deployments.DeploymentTest):
    shape = Shape(
        domains=("d1",),
        hosts=2,
        engine_options=("slots=2", "token_gap_s=0.005"),
        slots=2,
    )
    changes = {
        "ranks": {
            name: {"level": level, "floor_share": 0.05, "queue_limit": 6}
            for level, name in enumerate(RANKS)
        }
    }

    def test_mixed_requests_while_faults_come_and_go(self):
        """Guards against the outcome not_run for a request that was run."""
        ended = threading.Event()
        with ThreadPoolExecutor(CALLERS) as pool:
            callers = [
                pool.submit(
                    self._send_requests_until, ended, random.Random(SEED + n)
                )
                for n in range(CALLERS)
            ]
            try:
                self._inject_faults(random.Random(SEED))
            finally:
                ended.set()
            pairs = [pair for caller in callers for pair in caller.result()]
        # The outcome of this booking is unknown, however the faults were timed.
        for name in self.upstreams("bookings"):
            self.set_faults(name, drop_answers=1)
        pairs.append((lost := new_caller_id(), book(self.hosts[0], lost)))
        ids, answers = zip(*pairs, strict=True)
        ran = collections.Counter(run.caller_id for run in self.runs())
        self.assertGreater(len(ids), REQUESTS)
        seen = collections.Counter()
        for caller_id, answer in zip(ids, answers, strict=True):
            status, kind, outcome = error(answer)
            seen[kind or status] += 1
            if outcome == "not_run":
                self.assertEqual(ran[caller_id], 0, (caller_id, answer))
            elif status == 200:
                self.assertGreaterEqual(ran[caller_id], 1, (caller_id, answer))
        self.assertGreater(seen[200], REQUESTS // 4, seen)
        # Otherwise the faults would not have affected queued requests.
        not_run = {error(a)[1] for a in answers if error(a)[2] == "not_run"}
        self.assertLessEqual({"overloaded", "deadline_exceeded"}, not_run, seen)
        self.assertIn("unknown", {error(a)[2] for a in answers}, seen)

    def test_all_upstreams_down_or_refusing(self):
        """Guards against the outcome unknown for requests that were not run."""
        names = self.upstreams("bookings")
        for name in names:
            self.set_faults(name, refuse=True)
        refused = [book(host, new_caller_id()) for host in self.hosts]
        for answer in refused:
            self.assertEqual(error(answer), (429, "overloaded", "not_run"))
        for name in names:
            self.kill(name)
        ids = [new_caller_id() for _ in range(8)]
        answers = run_concurrently(
            lambda n=n, i=i: book(self.hosts[n % 2], i, deadline_s=1)
            for n, i in enumerate(ids)
        )
        for name in names:
            self.restart_upstream(name)
        self.assertIn((502, "upstream_failed", "not_run"), map(error, answers))
        for caller_id, answer in zip(ids, answers, strict=True):
            self.assertNotEqual(answer.status, 200)
            self.assertEqual(self.run_count(caller_id), 0)

    def _send_requests_until(self, ended, rng):
        """Sends requests until ``ended``; returns their ids and responses."""
        found = []
        while not ended.is_set():
            caller_id = new_caller_id()
            host = rng.choice(self.hosts)
            deadline_s = rng.choice((0.05, 0.3, 2.0, 8.0))
            if rng.random() < 0.3:
                answer = book(host, caller_id, deadline_s=deadline_s)
            else:
                answer = chat(
                    host,
                    model=f"model-{rng.randrange(self.models):02}",
                    stream=rng.random() < 0.5,
                    tokens=30,
                    rank=rng.choice(RANKS),
                    deadline_s=deadline_s,
                    caller_id=caller_id,
                )
            found.append((caller_id, answer))
            time.sleep(0.1)
        return found

    def _inject_faults(self, rng):
        faults = list(itertools.product(self.upstreams(), _FAULTS))
        rng.shuffle(faults)
        for name, fault in faults:
            if fault == "kill":
                self.kill(name)
                time.sleep(0.3)
                self.restart_upstream(name)
            else:
                self._set(name, fault)
                time.sleep(0.4)
                self.set_faults(name)
        host = self.hosts[1]
        entry = self.deployment.processes[f"entry {host.name}"]
        entry.send_signal(signal.SIGTERM)
        deployments.wait_for_exit(entry)
        self.deployment.start_entry(host)
        self.deployment.wait_for(host.listen, "/readyz", host.name)

    def _set(self, name, fault):
        is_engine = name.startswith("engine")
        self.set_faults(
            name,
            **{
                "refuse": {"refuse": True},
                "delay": {"delay_s": 0.5},
                "cut": {"cut_after": 2} if is_engine else {"drop_answers": 20},
            }[fault],
        )
