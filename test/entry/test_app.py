"""Tests of the application: paths, limits and failed responses."""

import unittest
from unittest import mock

import anyio
import msgspec

from acaciaspoke.entry import caller as caller_module
from acaciaspoke.entry.caller import Caller, CallerDisconnectedError
from acaciaspoke.entry.errors import CallerError, ErrorType, Outcome
from acaciaspoke.entry.parse import SERVICES_PREFIX
from acaciaspoke.entry.process import EntryProcess
from acaciaspoke.net.messages import ConfigPush
from acaciaspoke.net.records import PatchRow
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.server import HttpServer
from test import virtualtime
from test.builders import next_address
from test.entry.builders import RANKS
from test.entry.serving import (
    CHAT,
    CHAT_BODY,
    DEPOSIT,
    Entry,
    FakeCaller,
    config_for,
)


async def unused(*_):
    raise AssertionError("not called in this test")


def app_with(serve=unused) -> Entry:
    entry = Entry(config_for([]), None, None, unused)
    entry.app._serve = serve
    return entry


class AppTest(unittest.IsolatedAsyncioTestCase):

    async def test_paths(self):
        """Guards against wrong statuses for load balancers and callers."""
        expected = f"""GET /healthz 200|GET /readyz 200|GET /v1/models 200
            |POST /v1/models 405|GET {CHAT} 405|GET {CHAT}/ 404|GET / 404
            |GET /V1/models 404|POST {SERVICES_PREFIX} 404"""
        cases = [line.split() for line in expected.split("|")]
        for method, path, status in cases:
            with self.subTest(method=method, path=path):
                caller = await app_with().ask(method, path)
                self.assertEqual(caller.status, int(status))
                self.assertNotIn(b"connection", caller.headers)

    async def test_without_a_configuration(self):
        """Guards against requests to a host that has no configuration yet."""
        entry = app_with()
        entry.dispatcher.config = None
        entry.app._is_ready = lambda: False
        self.assertEqual((await entry.ask("GET", "/readyz")).status, 503)
        self.assertEqual((await entry.ask("GET", "/healthz")).status, 200)
        caller = await entry.ask(body=CHAT_BODY)
        self.assertEqual(caller.error["type"], "not_ready")
        self.assertEqual(caller.headers[b"retry-after"], b"2")

    async def test_draining(self):
        """Guards against new requests on connections of a draining process."""
        entry = app_with()
        entry.draining = True
        for path in ("/readyz", "/v1/models", "/none"):
            caller = await entry.ask("GET", path)
            self.assertEqual(caller.headers[b"connection"], b"close")

    async def test_too_many_open_requests(self):
        """Guards against memory exhaustion under overload."""
        release = anyio.Event()

        async def serve(parsed, caller):
            await release.wait()
            await caller.answer(200, [], b"ok")

        entry = app_with(serve)
        callers = [FakeCaller(body=CHAT_BODY) for _ in range(6)]
        async with anyio.create_task_group() as tasks:
            for caller in callers:
                tasks.start_soon(entry.run, caller)
            await anyio.sleep(0.01)
            release.set()
        self.assertEqual([c.status for c in callers], [200] * 4 + [429] * 2)
        self.assertEqual(entry.app.open_requests, 0)
        with mock.patch("acaciaspoke.entry.app.MAX_BUFFERED_BODIES", 0):
            caller = await entry.ask(body=CHAT_BODY)
        self.assertEqual(caller.error["type"], "overloaded")
        self.assertEqual(entry.app._reserved_bytes, 0)

    async def test_refuses_large_bodies(self):
        """Guards against buffering bodies that exceed the limit."""
        long = {"Content-Length": "1001"}
        for headers, parts in ((long, []), ({}, [b"x" * 600] * 2)):
            caller = FakeCaller(headers=headers)
            caller.parts = parts
            caller.disconnected.set()
            await app_with().run(caller)
            self.assertEqual(caller.status, 413)

    async def test_refusal_before_the_body_closes_the_connection(self):
        """Guards against reading the next request as the body.

        A caller that waits for "100 Continue" may never send the body.
        """
        caller = await app_with().ask(headers={"Expect": "100-continue"})
        self.assertEqual(caller.status, 400)
        self.assertNotIn(b"connection", caller.headers)
        caller = await app_with().ask("GET", headers={"Expect": "100-continue"})
        self.assertEqual(caller.status, 405)
        self.assertEqual(caller.headers[b"connection"], b"close")

    async def test_configuration_change_while_reading_the_body(self):
        """Guards against an internal error for a removed rank."""
        entry = app_with()
        caller = FakeCaller(body=CHAT_BODY, headers={"X-Rank": "urgent"})
        receive = caller.receive

        async def change_and_receive():
            entry.dispatcher.config = msgspec.structs.replace(
                entry.dispatcher.config, ranks={"batch": RANKS["batch"]}
            )
            return await receive()

        caller.receive = change_and_receive
        await entry.run(caller)
        self.assertEqual(caller.status, 400)

    async def test_internal_errors(self):
        """Guards against a fault that breaks connections or reports not_run."""

        async def before(parsed, caller):
            raise KeyError("fault")

        async def after(parsed, caller):
            await caller.answer(200, [], b"ok")
            raise KeyError("fault")

        keyed = {"Idempotency-Key": "k"}
        for path, body in ((CHAT, CHAT_BODY), (DEPOSIT, b"")):
            for serve, status in ((before, 500), (after, 200)):
                with self.subTest(path=path, serve=serve.__name__):
                    caller = await app_with(serve).ask(
                        path=path, body=body, headers=keyed
                    )
                    self.assertEqual(caller.status, status)
                    self.assertTrue(caller.complete)
                    if status == 500:
                        self.assertEqual(caller.error["outcome"], "unknown")


class SlowCallerTest(unittest.TestCase):

    def test_slow_body(self):
        """Guards against slow bodies that occupy the open requests."""

        async def run():
            caller = FakeCaller()
            caller.parts = []
            entry = app_with()
            await entry.app(caller.scope, caller.receive, caller.send)
            return caller

        caller = virtualtime.run(run)
        self.assertEqual(caller.status, 408)
        self.assertEqual(caller.error["outcome"], "not_run")
        self.assertEqual(caller.headers[b"connection"], b"close")

    def test_caller_that_does_not_read(self):
        """Guards against buffering for callers that do not read."""
        sent = []

        async def send(message):
            sent.append(len(message.get("body", b"")))
            if len(sent) > 2:
                await anyio.sleep_forever()

        async def run():
            fake = FakeCaller()
            caller = Caller(fake.scope, fake.receive, send, "r1")
            with self.assertRaises(CallerDisconnectedError):
                await caller.answer(200, [], b"x" * 10_000_000)
            return anyio.current_time()

        self.assertEqual(virtualtime.run(run), caller_module.SEND_TIMEOUT_S)
        self.assertLessEqual(sum(sent), 2 * caller_module.SEND_CHUNK_BYTES)


class ServerTest(unittest.IsolatedAsyncioTestCase):

    async def test_connections_that_must_close(self):
        """Guards against truncations and closes that a caller cannot detect."""

        async def truncated(parsed, caller):
            await caller.start(200, [])
            await caller.send(b"data: 1", more=True)
            raise CallerError(ErrorType.STREAM_CUT, "cut", Outcome.UNKNOWN)

        async def no_body(parsed, caller):
            await caller.answer(200, [], b"")

        entry = app_with(truncated)
        chat = b"POST %s HTTP/1.1\r\nContent-Length: %d\r\n" % (
            CHAT.encode(),
            len(CHAT_BODY),
        )
        wait = b"GET %s HTTP/1.1\r\nEXPECT: 100-Continue\r\n" % CHAT.encode()
        head = b"HEAD /v1/services/bank/x HTTP/1.1\r\n\r\n"
        models = b"GET /v1/models HTTP/1.1\r\n\r\n"
        # Draining, bytes sent, status and end of the response.
        cases = [
            (False, chat + b"\r\n" + CHAT_BODY, b"200", b"}\n\n\r\n"),
            (False, wait + b"Content-Length: 9\r\n\r\n", b"405", b"}}"),
            (True, models + models, b"200", b"]}"),
        ]
        address = next_address()
        server = HttpServer(entry.app, address)
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve)
            for draining, sent, status, end in cases:
                entry.draining = draining
                with self.subTest(sent=sent):
                    got = await self.exchange(address, sent)
                    self.assertTrue(got.startswith(b"HTTP/1.1 " + status))
                    self.assertEqual(got.count(b"HTTP/1.1"), 1)
                    self.assertTrue(got.endswith(end), got)
                    closes = b"connection: close\r\n" in got
                    self.assertEqual(closes, sent[:4] != b"POST")
            entry.app._serve, entry.draining = no_body, False
            got = await self.exchange(
                address, head + models.replace(b"\r\n\r\n", CLOSE), 5
            )
            self.assertEqual(got.count(b"HTTP/1.1 200"), 2)
            server.stop()

    async def exchange(self, address, data, wait_s=5):
        """Sends bytes; returns all data until the server closes."""
        ip, port = address.split(":")
        with anyio.fail_after(wait_s):
            async with await anyio.connect_tcp(ip, int(port)) as stream:
                await stream.send(data)
                return b"".join([part async for part in stream])


CLOSE = b"\r\nConnection: close\r\n\r\n"


class PushedConfigTest(unittest.TestCase):

    def test_configuration_of_a_newer_release(self):
        """Guards against a push that crashes the process."""
        process = EntryProcess(
            mock.Mock(domain_id="d1"), mock.Mock(), mock.Mock(), None, Metrics()
        )
        row = PatchRow(
            version=1, patch_id="p", author="a", merge_patch='{"newer": {}}'
        )
        for push in (
            ConfigPush(snapshot='{"version": 5, "newer": {}}'),
            ConfigPush(snapshot="{"),
            ConfigPush(patches=(row,)),
        ):
            process.handle(push)
        self.assertFalse(process.is_ready)
        process.handle(ConfigPush(snapshot='{"version": 1}'))
        self.assertTrue(process.is_ready)

    def test_push_without_a_version(self):
        """Guards against a restarted process that serves without models.

        A control process that has just sent its snapshot to another entry
        process replies with the version only.
        """
        process = EntryProcess(
            mock.Mock(domain_id="d1"), mock.Mock(), mock.Mock(), None, Metrics()
        )
        process.handle(ConfigPush(version=5))
        self.assertFalse(process.is_ready)
        process.handle(ConfigPush(snapshot='{"version": 5}'))
        self.assertTrue(process.is_ready)
