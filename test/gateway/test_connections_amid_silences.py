"""Callers' connections while streams pause and limits are lowered."""

import asyncio
import itertools

from test.gateway.configuration_changes import LOWERED_LIMITS
from test.gateway.serving import configuration
from test.gateway.silent_streams import WHOLE, SilentStreamTest

SILENCE_S = 1.3

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_bodies = map(b"%03d".__mod__, itertools.count())


class _Connection:
    """A connection of one caller.

    Attributes:
        answers: Status and body of each answer.
    """

    def __init__(self, reader, writer, make_headers):
        self._reader, self._writer = reader, writer
        self._make_headers = make_headers
        self.answers: list[tuple[int, bytes]] = []

    def head(self, path, *lines) -> bytes:
        model = {"Acaciaspoke_Model": "m1"} if path == "/stream/x" else {}
        headers = self._make_headers(**model).items()
        names = [f"{name}: {text}" for name, text in headers]
        first = f"POST {path} HTTP/1.1"
        return "\r\n".join([first, *names, *lines, "", ""]).encode()

    def request(self, path) -> bytes:
        return self.head(path, "content-length: 3") + next(_bodies)

    def write(self, data):
        self._writer.write(data)

    async def read_continue(self):
        await self._reader.readuntil(CONTINUE)

    async def read_answer(self):
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head.split(b" ")[1])
        if b"chunked" in head:
            body = await self._reader.readuntil(b"\r\n0\r\n\r\n")
            # The chunks' sizes stand between the events.
            lines = body.split(b"\r\n")
            self.answers.append((status, b"".join(lines[1:-3:2])))
        else:
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await self._reader.readexactly(length)
            self.answers.append((status, body))


class ConnectionsAmidSilencesTest(SilentStreamTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number, engine in enumerate(self.engines):
            engine.slots = 8
            row = engine.row(slots=8, seq=2 + number)
            self.store.put("servers", engine.name, row)
        fleet = self.gateway._dispatcher.fleet
        await self.eventually(
            lambda: all(
                fleet.upstreams[engine.name].record.slots == 8
                for engine in self.engines
            )
        )

    async def _connect(self) -> _Connection:
        reader, writer = await asyncio.open_connection(*self.address.split(":"))
        self.addCleanup(writer.close)
        return _Connection(reader, writer, self.headers)

    async def _chunks(self, connection):
        head = connection.head("/stream/x", "transfer-encoding: chunked")
        connection.write(head + b"1\r\na\r\n")
        await asyncio.sleep(0.1)
        connection.write(b"1\r\nb\r\n0\r\nx-trailer: 1\r\n\r\n")
        await connection.read_answer()

    async def _pipelined(self, connection):
        for path in ("/stream/x", "/safe/x", "/stream/x"):
            connection.write(connection.request(path))
        for _ in range(3):
            await connection.read_answer()

    async def _next_head_in_pieces(self, connection):
        later = connection.request("/safe/x")
        connection.write(connection.request("/stream/x") + later[:30])
        await connection.read_answer()
        connection.write(later[30:])
        await connection.read_answer()

    async def _next_body_in_pieces(self, connection):
        later = connection.head("/safe/x", "transfer-encoding: chunked")
        connection.write(connection.request("/stream/x") + later)
        await connection.read_answer()
        connection.write(b"1\r\na\r\n0\r\n\r\n")
        await connection.read_answer()

    async def _expect(self, connection):
        lines = ("content-length: 3", "expect: 100-continue")
        connection.write(connection.head("/stream/x", *lines))
        await connection.read_continue()
        connection.write(next(_bodies))
        await connection.read_answer()

    async def _kept(self, connection):
        for _ in range(2):
            connection.write(connection.request("/stream/x"))
            await connection.read_answer()

    async def _check(self, change_after_s):
        """Checks that all are whole that begin before the change."""
        callers = {
            call: await self._connect()
            for call in (
                self._chunks,
                self._pipelined,
                self._next_head_in_pieces,
                self._next_body_in_pieces,
                self._expect,
                self._kept,
            )
        }
        async with asyncio.timeout(10), asyncio.TaskGroup() as tasks:
            for call, connection in callers.items():
                tasks.create_task(call(connection))
            await self.eventually(lambda: self._running() == len(callers))
            tasks.create_task(self.silent.pause(SILENCE_S))
            await asyncio.sleep(change_after_s)
            row = configuration(2, **LOWERED_LIMITS)
            self.store.put("op", "config", row)
        for call, connection in callers.items():
            with self.subTest(call.__name__):
                first, *others = connection.answers
                self.assertEqual((200, WHOLE), first)
                self.assertLessEqual(
                    set(others), {(200, WHOLE), (200, b"answer"), (408, b"")}
                )

    def _running(self):
        return len(self.gateway._dispatcher._running)

    async def test_limits_that_are_lowered_amid_a_silence(self):
        await self._check(SILENCE_S / 2)

    async def test_limits_that_are_lowered_before_a_silence(self):
        await self._check(0.0)
