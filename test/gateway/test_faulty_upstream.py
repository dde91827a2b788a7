"""Upstreams that repeat responses, or send bytes that are no response."""

import asyncio
import time
from unittest import mock

import anyio
import httpcore

from acaciaspoke.entry.pool import MAX_HEAD_BYTES
from acaciaspoke.gateway import bodies
from acaciaspoke.gateway.events import MAX_EVENT_BYTES
from acaciaspoke.gateway.orders import MAX_RESPONSE_BYTES
from acaciaspoke.gateway.upstream import REFUSAL_PAUSE_S
from standins.worker import ID_HEADER, SEAL_HEADER
from test.gateway.serving import GatewayTest

NOT_EXECUTED = {"acaciaspoke-not-executed": "1"}

# What the kernel's buffers and the gateway's transport take beyond a limit.
BUFFERS_BYTES = 8 * 1024 * 1024

# A flood ends by itself after this much, so that a failing test ends.
MAX_FLOOD_BYTES = 128 * 1024 * 1024


def chunked_head(arrival, status=200):
    """Sends the head of a response with a chunked body."""
    arrival.head(
        status,
        {
            ID_HEADER: arrival.id,
            SEAL_HEADER: f"seal-{arrival.id}",
            "transfer-encoding": "chunked",
        },
    )


async def refuse(arrival, status=503, **headers):
    """Declares that a request was not run."""
    await arrival.answer(status, b"", NOT_EXECUTED | headers, sealed=False)


class RepeatedRefusalTest(GatewayTest):
    """Faulty workers write an earlier refusal once more and run a request."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.runs = []

    def _set_script(self, script):
        for worker in self.apps:
            worker.script = script

    async def test_refusal_of_an_earlier_attempt_at_the_same_worker(self):
        refused_on = set()

        async def script(arrival):
            if len(refused_on) < 2:
                refused_on.add(arrival.writer)
                await refuse(arrival)
                return
            if arrival.writer in refused_on:
                await refuse(arrival)
            self.runs.append(arrival.id)
            await arrival.answer()

        self._set_script(script)
        answer = await self.ask("/unsafe/x")
        self.assertEqual(200, answer.status)
        self.assertEqual(1, len(self.runs))

    async def _ask_after_others(self, status, headers):
        """Asks once all connections carried a request; repeats a refusal."""
        self._set_script(lambda arrival: arrival.answer())
        for _ in range(4):
            await self.ask("/unsafe/x")
        used = {arrival.writer for app in self.apps for arrival in app.arrivals}

        async def script(arrival):
            if arrival.writer in used:
                await refuse(arrival, status, **headers)
            self.runs.append(arrival.id)
            await arrival.answer()

        self._set_script(script)
        return await self.ask("/unsafe/x")

    async def test_refusal_without_an_id_on_a_used_connection(self):
        for status in (503, 421, 429):
            with self.subTest(status):
                self.runs.clear()
                answer = await self._ask_after_others(status, {ID_HEADER: ""})
                self.assertEqual(502, answer.status)
                self.assertEqual(1, len(self.runs))

    async def test_refusal_of_another_request(self):
        answer = await self._ask_after_others(503, {ID_HEADER: "other"})
        self.assertEqual(502, answer.status)
        self.assertEqual(1, len(self.runs))

    async def test_refusal_without_an_id_on_a_new_connection(self):
        """Nothing was sent before that it could answer."""

        async def script(arrival):
            # The upstream ends each connection, so that all are new.
            await refuse(arrival, **{ID_HEADER: "", "connection": "close"})

        self.apps[0].script = script
        for _ in range(4):
            self.assertEqual(200, (await self.ask("/unsafe/x")).status)
            # Longer than the upstream is left alone after a refusal.
            await asyncio.sleep(1.5 * REFUSAL_PAUSE_S)

    async def test_second_copy_of_a_response_after_the_next_head(self):
        """The copy arrives where the next response is expected."""
        answered = {}

        async def script(arrival):
            previous = answered.get(arrival.writer)
            answered[arrival.writer] = arrival
            if previous is not None:
                await previous.answer(body=previous.body)
            await arrival.answer(body=arrival.body)

        self._set_script(script)
        statuses = set()
        for number in range(8):
            body = str(number).encode()
            answer = await self.ask("/unsafe/x", body=body)
            statuses.add(answer.status)
            if answer.status == 200:
                self.assertEqual(body, answer.content)
        self.assertIn(502, statuses)


class EndlessBytesTest(GatewayTest):
    """Bytes that are no response come until the gateway closes."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sent_bytes = 0
        self.closed = anyio.Event()

    def _flood(self, begin, unit):
        """Sets a script that sends ``unit`` without end after ``begin``."""

        async def script(arrival):
            begin(arrival)
            try:
                while self.sent_bytes < MAX_FLOOD_BYTES:
                    arrival.writer.write(unit)
                    self.sent_bytes += len(unit)
                    await arrival.writer.drain()
                await arrival.wait_for_close()
            except ConnectionError:
                pass
            self.closed.set()

        for worker in (*self.apps, *self.engines):
            worker.script = script

    async def _check(self, statuses, limit_bytes, path="/unsafe/x", **headers):
        started_s = time.monotonic()
        answer = await self.ask(path, **headers)
        self.assertIn(answer.status, statuses)
        self.assertLess(time.monotonic() - started_s, 4.0)
        with anyio.fail_after(4.0):
            await self.closed.wait()
        self.assertLess(self.sent_bytes, limit_bytes + BUFFERS_BYTES)

    async def test_informational_heads(self):
        self._flood(lambda _: None, b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
        await self._check({502}, MAX_HEAD_BYTES)

    async def test_header_lines(self):
        self._flood(
            lambda arrival: arrival.writer.write(b"HTTP/1.1 200 OK\r\n"),
            b"x-line: 1\r\n" * 100,
        )
        await self._check({502}, MAX_HEAD_BYTES)

    async def test_one_header_line(self):
        self._flood(
            lambda arrival: arrival.writer.write(b"HTTP/1.1 200 OK\r\nx: "),
            b"x" * 1000,
        )
        await self._check({502}, MAX_HEAD_BYTES)

    async def test_bytes_that_are_no_head(self):
        self._flood(lambda _: None, b"\0" * 1000)
        await self._check({502}, MAX_HEAD_BYTES)

    async def test_body_of_an_error(self):
        chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
        self._flood(lambda arrival: chunked_head(arrival, 500), chunk)
        await self._check({502}, bodies.MAX_ERROR_BODY_BYTES)

    async def test_body_of_a_success(self):
        memory = self.gateway._request_handler.body_memory
        memory.limit_bytes = 4 * 1024 * 1024
        self._flood(chunked_head, b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        await self._check({502}, memory.limit_bytes)
        self.assertEqual(0, memory.reserved_bytes)

    async def test_chunk_extension(self):
        self._flood(
            lambda arrival: (
                chunked_head(arrival),
                arrival.writer.write(b"5;x="),
            ),
            b"x" * 1000,
        )
        await self._check({502}, MAX_HEAD_BYTES)

    async def test_trailers(self):
        self._flood(
            lambda arrival: (
                chunked_head(arrival),
                arrival.writer.write(b"2\r\nok\r\n0\r\n"),
            ),
            b"x-line: 1\r\n" * 100,
        )
        await self._check({502}, MAX_HEAD_BYTES)

    async def test_event_that_never_ends(self):
        chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
        self._flood(chunked_head, chunk)
        await self._check(
            {502}, MAX_EVENT_BYTES, "/stream/x", Acaciaspoke_Model="m1"
        )

    async def test_events_of_many_streams_that_never_end(self):
        """Each one is small enough, but all of them are not."""
        memory = self.gateway._request_handler.body_memory
        memory.limit_bytes = 1024 * 1024
        held_bytes = 8 * 64 * 1024
        most_bytes = 0

        async def script(arrival):
            chunked_head(arrival)
            arrival.writer.write(b"%x\r\n" % (2 * held_bytes))
            try:
                arrival.writer.write(b"x" * held_bytes)
                await arrival.wait_for_close()
            except ConnectionError:
                pass

        for engine in self.engines:
            engine.script, engine.slots = script, 16
            self.store.put("servers", engine.name, engine.row())
        tasks = [
            asyncio.create_task(
                self.ask(
                    "/stream/x",
                    Acaciaspoke_Model="m1",
                    Acaciaspoke_Time_Remaining_Ms="2000",
                )
            )
            for _ in range(16)
        ]
        while not all(task.done() for task in tasks):
            relays = [
                entry.relay
                for entry in self.gateway.app._requests._requests.values()
            ]
            held = sum(len(relay.splitter._partial) for relay in relays)
            most_bytes = max(most_bytes, held)
            await asyncio.sleep(0.01)
        # Each stream may exceed the limit by what is read at a time.
        extra_bytes = len(tasks) * (bodies.UNRESERVED_BYTES + 64 * 1024)
        self.assertLess(most_bytes, memory.limit_bytes + extra_bytes)
        self.assertEqual({502, 504}, {task.result().status for task in tasks})
        self.assertEqual(0, memory.reserved_bytes)

    async def test_report_of_an_engine(self):
        sent_bytes = 0

        async def flood(arrival):
            nonlocal sent_bytes
            arrival.writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            sent_before_bytes = sent_bytes
            while sent_bytes < sent_before_bytes + MAX_FLOOD_BYTES:
                arrival.writer.write(bytes(64 * 1024))
                sent_bytes += 64 * 1024
                await arrival.writer.drain()

        engine = self.engines[0]
        with mock.patch.object(engine, "_answer", flood):
            trackers = self.gateway._leader._order_sender.trackers
            await self.eventually(lambda: "llm1" in trackers)
            trackers["llm1"].query_due_s = 0.0
            await self.eventually(lambda: sent_bytes)
            await self.eventually(lambda: not trackers["llm1"].is_busy)
        self.assertLess(sent_bytes, 4 * MAX_RESPONSE_BYTES + BUFFERS_BYTES)

    async def test_body_of_a_refusal(self):
        """The other worker runs the request."""

        def begin(arrival):
            arrival.head(
                503,
                NOT_EXECUTED
                | {ID_HEADER: arrival.id, "transfer-encoding": "chunked"},
            )

        async def answer(arrival):
            await arrival.answer()

        self._flood(begin, b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        self.apps[1].script = answer
        while not self.apps[0].arrivals:
            self.assertEqual(200, (await self.ask("/unsafe/x")).status)
        with anyio.fail_after(4.0):
            await self.closed.wait()
        self.assertLess(
            self.sent_bytes, bodies.MAX_REFUSAL_BODY_BYTES + BUFFERS_BYTES
        )

    async def test_other_requests_are_served_meanwhile(self):
        self._flood(chunked_head, b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        self.gateway._request_handler.body_memory.limit_bytes = 1024 * 1024
        flooded = [asyncio.create_task(self.ask("/unsafe/x")) for _ in range(2)]
        await self.eventually(
            lambda: sum(len(app.arrivals) for app in self.apps) == 2
        )
        for worker in self.apps:
            worker.script = lambda arrival: arrival.answer()
        self.assertEqual(200, (await self.ask("/safe/x", "GET")).status)
        for task in flooded:
            self.assertEqual(502, (await task).status)


class DripTest(GatewayTest):
    """A byte now and then, which never completes anything."""

    def _drip(self, begin):
        async def script(arrival):
            begin(arrival)
            try:
                while True:
                    await arrival.writer.drain()
                    await asyncio.sleep(0.05)
                    arrival.writer.write(b"1\r\nx\r\n")
            except ConnectionError:
                arrival.is_closed = True

        for worker in (*self.apps, *self.engines):
            worker.script = script

    async def _check_closed(self, workers):
        (arrival,) = [
            arrival for worker in workers for arrival in worker.arrivals
        ]
        await self.eventually(lambda: arrival.is_closed)

    async def test_body_ends_with_the_route_timeout(self):
        self._drip(chunked_head)
        with anyio.fail_after(2.0):
            self.assertEqual(504, (await self.ask("/short/x")).status)
        await self._check_closed(self.apps)

    async def test_head_ends_with_the_route_timeout(self):
        self._drip(lambda arrival: arrival.writer.write(b"HTTP/1.1 200 X\r\n"))
        with anyio.fail_after(2.0):
            self.assertEqual(504, (await self.ask("/short/x")).status)
        await self._check_closed(self.apps)

    async def test_event_ends_with_the_callers_deadline(self):
        def begin(arrival):
            chunked_head(arrival)
            event = b"id: 1\ndata: a\n\n"
            arrival.writer.write(b"%x\r\n%s\r\n" % (len(event), event))

        self._drip(begin)
        with anyio.fail_after(3.0):
            with self.assertRaises(httpcore.RemoteProtocolError):
                await self.ask(
                    "/stream/x",
                    Acaciaspoke_Model="m1",
                    Acaciaspoke_Time_Remaining_Ms="800",
                )
        await self._check_closed(self.engines)

    async def test_slow_stream_is_not_cut(self):
        """Events come at long intervals; parts of them in between."""

        async def script(arrival):
            chunked_head(arrival)
            for number in range(4):
                for part in (b"id: %d\n" % number, b"data: a\n\n"):
                    arrival.writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                    await arrival.writer.drain()
                    await asyncio.sleep(0.45)
            arrival.writer.write(b"0\r\n\r\n")
            await arrival.writer.drain()

        for worker in self.engines:
            worker.script = script
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(4, answer.content.count(b"data: a"))
