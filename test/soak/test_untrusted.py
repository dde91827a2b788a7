"""Tests of clients that keep to no limit in the soak test, and a short run."""

import asyncio
import contextlib
import itertools
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from soak.__main__ import run_seed
from soak.deployment import Deployment
from soak.plan import make_plan
from soak.untrusted import SENDINGS, Behavior, Sending, use_connection


class PlanTest(unittest.TestCase):

    def test_untrusted_clients_leave_the_faults_as_they_are(self):
        plan = make_plan(7, 12.0, 8)
        self.assertEqual(plan.faults, make_plan(7, 12.0, 8, untrusted=4).faults)


class BehaviorTest(unittest.IsolatedAsyncioTestCase):

    def _parts(self, behavior: Behavior, count: int) -> bytes:
        return b"".join(itertools.islice(SENDINGS[behavior]().parts, count))

    def test_each_behavior_sends_what_it_says(self):
        trailers = self._parts(Behavior.TRAILERS, 4)
        self.assertIn(b"0\r\na: bb", trailers)
        self.assertNotIn(b"\r\n\r\n", trailers.partition(b"0\r\na: ")[2])
        requests = self._parts(Behavior.REQUESTS_AHEAD, 2)
        self.assertEqual(200, requests.count(b"GET /safe/ HTTP/1.1\r\n"))
        posts = self._parts(Behavior.POSTS_AHEAD, 4)
        self.assertEqual(2, posts.count(b"Content-Length: 60000\r\n\r\nxx"))
        self.assertEqual(b"POST", self._parts(Behavior.SLOW, 4))
        self.assertEqual(b"", self._parts(Behavior.IDLE, 9))

    async def test_connection_whose_peer_reads_or_refuses(self):
        received = bytearray()

        async def read(reader, writer):
            with contextlib.suppress(ConnectionResetError):
                while data := await reader.read(100):
                    received.extend(data)
            writer.close()

        server = await asyncio.start_server(read, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        sending = Sending(iter([b"one", b"two"]), 0.0)
        self.assertEqual(6, await use_connection(address, sending))
        server.close()
        sending = Sending(iter([b"one"]), 0.0)
        self.assertEqual(0, await use_connection(address, sending))


class UnexpectedEndTest(unittest.TestCase):
    """Guards against ends of gateways that restarts would hide."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        plan = make_plan(7, 12.0, 8)
        self.deployment = Deployment(plan, Path(folder))
        self.process = subprocess.Popen(
            [sys.executable, "-c", "print(1, flush=True); input()"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.process.stdout.readline()
        self.addCleanup(self._end)
        self.deployment.processes["gateway0"] = self.process

    def _end(self):
        self.process.kill()
        self.process.communicate()

    def _recorded(self):
        self.deployment.record_unexpected_end(0)
        return self.deployment.unexpected_ends

    def test_process_that_lives(self):
        self.assertEqual([], self._recorded())
        self.assertGreater(self.deployment.peak_mb(0), 1)

    def test_process_that_was_told_to_end(self):
        self.deployment.send_signal("gateway0", signal.SIGKILL)
        self.process.wait()
        self.assertEqual([], self._recorded())

    def test_process_that_ended_by_itself_before_it_was_told_to(self):
        os.kill(self.process.pid, signal.SIGABRT)
        self.process.wait()
        self.deployment.send_signal("gateway0", signal.SIGKILL)
        self.assertEqual([("gateway0", -signal.SIGABRT)], self._recorded())

    def test_reload_and_pause_do_not_excuse_an_end(self):
        for number in (signal.SIGSTOP, signal.SIGCONT):
            self.deployment.send_signal("gateway0", number)
        os.kill(self.process.pid, signal.SIGABRT)
        self.process.wait()
        self.assertEqual(1, len(self._recorded()))


class ShortRunTest(unittest.TestCase):

    def test_no_guarantee_is_violated_with_untrusted_clients(self):
        self.assertEqual([], run_seed(2, 6.0, 7, untrusted=12))
