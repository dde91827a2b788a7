"""Invariant I3: each caller gets only its own response, and all of it."""

import hashlib
import http.client
import json
import socket
import threading
import time

from standins.deployment import Shape
from test.processes import deployments
from test.processes.deployments import (
    belongs_to,
    book,
    chat,
    error,
    is_complete,
    new_caller_id,
    run_concurrently,
)

KEY = {"authorization": "Bearer shared-key"}


class OwnAnswerTest(deployments.DeploymentTest):
    shape = Shape(domains=("d1",), hosts=2)

    def test_identical_bodies_at_the_same_moment(self):
        """Guards against responses shared between callers of one account."""
        for stream in (False, True):
            ids = [new_caller_id() for _ in range(24)]
            answers = run_concurrently(
                lambda n=n, i=i, stream=stream: chat(
                    self.hosts[n % 2], "same", stream=stream, caller_id=i
                )
                for n, i in enumerate(ids)
            )
            for caller_id, answer in zip(ids, answers, strict=True):
                self.assertTrue(is_complete(answer, "same"), answer)
                self.assertTrue(belongs_to(answer, caller_id), answer)
                self.assertEqual(self.run_count(caller_id), 1)

    def test_answer_of_another_request(self):
        """Guards against delivery of another request's response."""
        for name in self.upstreams():
            self.set_faults(name, wrong_request_id=True)
        calls = [
            lambda n=n: chat(
                self.hosts[n % 2], f"secret {n}", stream=n % 4 > 1, deadline_s=2
            )
            for n in range(16)
        ]
        calls += [
            lambda n=n: book(self.hosts[n % 2], f"mixed-{n}", b'"secret"')
            for n in range(8)
        ]
        answers = run_concurrently(calls)
        self.assertIn(
            (502, "answer_mismatch", "unknown"), map(error, answers[:16])
        )
        for answer in answers:
            # 504: queued for another upstream, which had no free slot in time.
            self.assertIn(
                error(answer),
                [
                    (502, "answer_mismatch", "unknown"),
                    (504, "deadline_exceeded", "unknown"),
                    (504, "deadline_exceeded", "not_run"),
                ],
            )
            self.assertNotIn(b"secret", answer.body)

    def test_stream_that_the_upstream_cuts(self):
        """Guards against a cut stream that looks complete to a client."""
        for name in self.upstreams("drafting"):
            self.set_faults(name, cut_after=3)
        ids = [new_caller_id() for _ in range(16)]
        answers = run_concurrently(
            lambda i=i: chat(
                self.hosts[0], "cut", tokens=9, stream=True, caller_id=i
            )
            for i in ids
        )
        for caller_id, answer in zip(ids, answers, strict=True):
            self.assertFalse(answer.complete)
            self.assertNotIn(b"[DONE]", answer.body)
            self.assertIn(b'"stream_cut"', answer.body)
            self.assertTrue(belongs_to(answer, caller_id), answer)

    def test_upstream_killed_amid_streams(self):
        """Guards against truncated responses that look complete."""
        victim = max(
            self.upstreams("drafting"),
            key=lambda name: len(self.report(name)["resident"]),
        )
        ids = [new_caller_id() for _ in range(40)]
        killer = threading.Timer(0.4, self.kill, [victim])
        killer.start()
        answers = run_concurrently(
            lambda n=n, i=i: chat(
                self.hosts[n % 2],
                f"caller {n}",
                model=f"model-{n % self.models:02}",
                tokens=100,
                stream=n % 5 > 0,
                caller_id=i,
            )
            for n, i in enumerate(ids)
        )
        killer.join()
        self.restart_upstream(victim)
        broken = 0
        for n, (caller_id, answer) in enumerate(zip(ids, answers, strict=True)):
            if answer.status == 200:
                self.assertTrue(belongs_to(answer, caller_id), answer)
            if not is_complete(answer, f"caller {n}"):
                broken += 1
                self.assertNotIn(b"[DONE]", answer.body)
                self.assertTrue(not answer.complete or error(answer)[1])
        self.assertGreater(broken, 0, "no stream was cut off")
        self.wait_for_models()


class OneSlotTest(deployments.DeploymentTest):
    shape = Shape(
        domains=("d1",),
        hosts=1,
        engines=1,
        plain=0,
        engine_options=("slots=1", "token_gap_s=0.01"),
        slots=1,
    )
    models = 1
    changes = {
        "accounts": {
            "shared": {"key_sha256": hashlib.sha256(b"shared-key").hexdigest()}
        }
    }

    @classmethod
    def wait_for_models(cls, hosts=()):
        deployments.eventually(
            lambda: chat(cls.hosts[0], headers=KEY).status == 200, "model"
        )

    def test_slot_of_a_disconnected_caller(self):
        """Guards against the rest of a response reaching the next caller."""
        for attempt in range(30):
            stream = attempt % 2 == 0
            disconnecting = self._start_request("of the one before", stream)
            caller_id = new_caller_id()
            threading.Timer(0.02 * (attempt % 5), disconnecting.close).start()
            answer = chat(
                self.hosts[0],
                "same",
                stream=attempt % 4 < 2,
                caller_id=caller_id,
                headers=KEY,
            )
            self.assertTrue(is_complete(answer, "same"), answer)
            self.assertTrue(belongs_to(answer, caller_id), answer)
            self.assertNotIn(b"before", answer.body)

    def _start_request(self, text: str, stream: bool) -> socket.socket:
        """Sends a request; waits for the first data of a stream."""
        ip, _, port = self.hosts[0].listen.rpartition(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=20)
        body = {
            "model": "model-00",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 12,
            "stream": stream,
        }
        path = "/v1/chat/completions"
        # Without a rank, so that it is less urgent than the other requests.
        connection.request("POST", path, json.dumps(body), KEY)
        if stream:
            connection.sock.recv(1)
        else:
            time.sleep(0.03)
        return connection.sock
