"""Tests of the worker that the soak test runs as a process."""

import asyncio
import contextlib
import functools
import io
import unittest

import msgspec

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.documents import decode_upstream
from standins import client
from standins.worker import Worker
from standins.worker_process import RESUMABLE_EVENTS, Registration, run
from test.gateway.serving import next_ip


class RegistrationTest(unittest.TestCase):

    def setUp(self):
        self.worker = Worker("app1", "app", "127.0.0.1:1")
        self.registration = Registration(
            self.worker, "127.0.0.1:2", "127.0.0.1:3"
        )
        self.fleet = Fleet()

    def _is_draining(self) -> bool:
        name = UpstreamId("app1")
        value = msgspec.json.encode(self.registration.row())
        self.fleet.put(decode_upstream(name, value))
        return self.fleet.upstreams[name].is_draining

    def test_worker_that_left_and_came_back_is_used(self):
        # Gateways never use a process again that has said that it leaves.
        self.assertFalse(self._is_draining())
        for _ in range(2):
            self.registration.toggle()
            self.assertTrue(self._is_draining())
            self.registration.toggle()
            self.assertFalse(self._is_draining())


class ResumableStreamTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.worker = Worker("llm1", "llm", f"{next_ip()}:7400", version="v2")
        self.worker.script = functools.partial(run, self.worker)
        self.enterContext(contextlib.redirect_stdout(io.StringIO()))
        await self.enterAsyncContext(self.worker.serving())

    async def _read(self, **headers: str) -> client.Answer:
        fields = {name.replace("_", "-"): headers[name] for name in headers}
        return await asyncio.to_thread(
            client.request,
            *(self.worker.address, "POST", "/resume/", b"s1", fields),
        )

    async def test_stream_goes_on_after_the_last_event(self):
        answer = await self._read(Last_Event_Id=str(RESUMABLE_EVENTS - 2))
        self.assertEqual(
            b"id: 15\ndata: s1 15 v2\n\nid: 16\ndata: s1 16 v2\n\n",
            answer.body,
        )

    async def test_request_for_another_instance_does_not_run(self):
        answer = await self._read(Acaciaspoke_Expect_Instance="llm0")
        self.assertEqual(421, answer.status)
        self.assertIn("acaciaspoke-not-executed", answer.headers)
