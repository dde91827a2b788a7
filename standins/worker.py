"""A stand-in for a platform's worker, with scripted responses."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec

ID_HEADER = "acaciaspoke-attempt-id"
SEAL_HEADER = "acaciaspoke-response-seal"


class Arrival(msgspec.Struct, eq=False):
    """A request at a worker.

    Attributes:
        arrived_s: When its head had arrived.
        server_headers: Headers of each response of the worker.
        is_closed: Whether the peer has closed the connection.
        events: Events of its stream that were sent.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    arrived_s: float = 0.0
    server_headers: dict[str, str] = {}
    is_closed: bool = False
    events: int = 0

    @property
    def id(self) -> str:
        """The attempt id of the request."""
        return self.headers.get(ID_HEADER, "")

    async def answer(
        self,
        status: int = 200,
        body: bytes = b"answer",
        headers: dict[str, str] | None = None,
        *,
        sealed: bool = True,
    ) -> None:
        """Sends a complete response; ``headers`` extend the default ones."""
        defaults = {ID_HEADER: self.id, "content-length": str(len(body))}
        defaults |= {SEAL_HEADER: f"seal-{self.id}"} if sealed else {}
        self.head(status, defaults | (headers or {}))
        self.writer.write(body)
        await self.writer.drain()

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Sends the status line and the headers."""
        lines = [f"HTTP/1.1 {status} X"]
        headers = self.server_headers | headers
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode())

    async def stream(
        self,
        *events: bytes,
        end: bool = True,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends events as chunks, and the last chunk if ``end`` is set."""
        self.head(
            200,
            {
                ID_HEADER: self.id,
                SEAL_HEADER: f"seal-{self.id}",
                "content-type": "text/event-stream",
                "transfer-encoding": "chunked",
                **(headers or {}),
            },
        )
        await self.send_events(*events)
        if end:
            self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    async def send_events(self, *events: bytes) -> None:
        """Sends events as chunks, after the head of the stream."""
        for event in events:
            self.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.events += 1
        await self.writer.drain()

    async def wait_for_close(self) -> None:
        """Waits until the peer has closed the connection."""
        await self.reader.read(1)
        self.is_closed = True

    def reset(self) -> None:
        """Resets the connection."""
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()


Script = Callable[[Arrival], Awaitable[None]]


async def answer_all(arrival: Arrival) -> None:
    """Answers every request with 200."""
    await arrival.answer()


class Worker:
    """A worker whose responses come from a script.

    Attributes:
        script: Answers requests.
        control_headers: Headers of the responses to reports and orders.
        before_control: Awaited before these responses.
        stops_runs: Whether stop orders end scripts; otherwise these get them,
            and calls that free memory.
        running: The requests whose scripts run, by id.
        has_room: Whether engines can copy runs to others.
        before_copy: Awaited before runs are copied while they go on.
        copied: The ids of runs that were copied while they ran.
        stops: The ids of runs that orders have stopped.
        limit: The requests a second that all responses name, if any.
        common_headers: Returns further headers of all responses.
        stopped_s: When each of them ended.
        freed: The handles whose memory was freed.
        arrivals: The requests received.
        orders: The orders accepted.
        models: The loaded models, each with its loaded adapters.
        version: Version of its software.
        born: Stands for the start time of the boot, in the row and in reports.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        models: dict[str, list[str]] | None = None,
        script: Script = answer_all,
        slots: int = 4,
        born: int = 1,
        version: str = "v1",
    ):
        self.name = name
        self.service = service
        self.address = address
        self.models = models or {}
        self.script = script
        self.slots = slots
        self.born = born
        self.version = version
        self.control_headers: dict[str, str] = {}
        self.before_control: Callable[[], Awaitable[None]] | None = None
        self.stops_runs = True
        self.running: dict[str, Arrival] = {}
        self.has_room = True
        self.before_copy: Callable[[], Awaitable[None]] | None = None
        self.copied: list[str] = []
        self.stops: list[str] = []
        self.limit: str | None = None
        self.common_headers: Callable[[], dict[str, str]] = dict
        self.stopped_s: dict[str, float] = {}
        self.freed: list[str] = []
        self.arrivals: list[Arrival] = []
        self.orders: list[dict[str, Any]] = []
        self._connections: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None

    def row(self, **changes) -> dict[str, Any]:
        """Returns the worker's row in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "slots": self.slots,
            "state": "ready",
            "seq": 1,
            "born": self.born,
            "version": self.version,
            "models": self._model_documents(),
            **changes,
        }

    def _model_documents(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.models.items()
        ]

    @asynccontextmanager
    async def serving(self):
        """Listens while the context is open."""
        await self.listen()
        try:
            yield self
        finally:
            self.stop_listening()
            for writer in self._connections.values():
                writer.transport.abort()
            await asyncio.gather(*self._connections)

    async def listen(self) -> None:
        """Accepts connections, also again after it refused them."""
        if self._server is not None:
            self._server.close()
        ip, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def stop_listening(self) -> None:
        """Refuses new connections, as if the process had ended."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._connections[task] = writer
        try:
            while (arrival := await _read(reader, writer)) is not None:
                await self._answer(arrival)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            del self._connections[task]
            writer.close()

    async def _answer(self, arrival: Arrival) -> None:
        is_control = arrival.target in ("/report", "/order", "/kv-move")
        if is_control and self.before_control is not None:
            await self.before_control()
        arrival.server_headers = self.common_headers()
        if self.limit is not None:
            arrival.server_headers["server-limit"] = self.limit
        match arrival.target:
            case "/kv-move" if self.stops_runs:
                await self._move(arrival)
            case "/report":
                report = {
                    "seq": len(self.orders),
                    "models": self._model_documents(),
                }
                report |= {"busy": False, "born": self.born}
                await arrival.answer(
                    body=msgspec.json.encode(report),
                    headers=self.control_headers,
                )
            case "/order":
                await arrival.answer(
                    self._apply_order(arrival.body), b"", self.control_headers
                )
            case target if self.stops_runs and target.startswith("/kv-handle/"):
                self.freed.append(target.removeprefix("/kv-handle/"))
                await arrival.answer(body=b"")
            case _:
                self.arrivals.append(arrival)
                self.running[arrival.id] = arrival
                try:
                    await self.script(arrival)
                finally:
                    if self.running.get(arrival.id) is arrival:
                        del self.running[arrival.id]

    async def _move(self, arrival: Arrival) -> None:
        """Copies a run; stops it if this is the last copy."""
        order = msgspec.json.decode(arrival.body)
        run = self.running.get(order["id"])
        if run is None:
            await arrival.answer(404, b"")
            return
        if order.get("last"):
            self._stop(run)
        else:
            if self.before_copy is not None:
                await self.before_copy()
            self.copied.append(run.id)
        handle = f"moved-{run.id}"
        if self.has_room:
            moved = {"handle": handle, "created": run.events}
            await arrival.answer(200, msgspec.json.encode(moved))
            return
        document = {"handle": handle} if order.get("last") else {}
        await arrival.answer(503, msgspec.json.encode(document))

    def _stop(self, run: Arrival) -> None:
        """Stops a run: its stream is closed without its end."""
        del self.running[run.id]
        self.stops.append(run.id)
        self.stopped_s[run.id] = time.monotonic()
        run.writer.transport.abort()

    def _apply_order(self, body: bytes) -> int:
        order = msgspec.json.decode(body)
        if order["precondition"] != len(self.orders):
            return 409
        self.orders.append(order)
        adapters = self.models.setdefault(order["model"], [])
        if "adapter" in order:
            adapters.append(order["adapter"])
        elif order["operation"] == "unload":
            del self.models[order["model"]]
        return 202


async def _read(reader, writer) -> Arrival | None:
    head = await reader.readuntil(b"\r\n\r\n")
    arrived_s = time.monotonic()
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in lines if line)
    headers = {name.lower(): value.strip() for name, value in pairs}
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length)
    return Arrival(method, target, headers, body, reader, writer, arrived_s)
