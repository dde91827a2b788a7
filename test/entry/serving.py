"""An entry process's request path between fake callers and real sockets."""

import asyncio
import random
import re
import time
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import msgspec

from acaciaspoke.config.schema import Config, Model, Service, Upstream
from acaciaspoke.entry.app import EntryApp
from acaciaspoke.entry.claimrows import read_row
from acaciaspoke.entry.claims import Claims
from acaciaspoke.entry.dispatch import Dispatcher
from acaciaspoke.entry.exchange import Hooks, RequestHandler
from acaciaspoke.net.messages import FleetView
from acaciaspoke.report.histograms import ServiceWindows
from acaciaspoke.util.metrics import Metrics
from test.entry.builders import RANKS, view
from test.fakes_table import FakeTable

CHAT = "/v1/chat/completions"
CHAT_BODY = b'{"model": "m1", "messages": [{"content": "hi"}]}'
STREAM_BODY = CHAT_BODY[:-1] + b', "stream": true}'
DEPOSIT = "/v1/services/bank/deposit"


class FakeCaller:
    """A fake caller behind a server that is as strict as uvicorn.

    Attributes:
        disconnected: Event that closes the caller's connection when set.
        complete: Whether the response is complete.
    """

    def __init__(self, method="POST", path=CHAT, body=b"", headers=()):
        path, _, query = path.partition("?")
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode("latin-1", "replace"),
            "headers": [
                (name.lower().encode(), value.encode("latin-1"))
                for name, value in dict(headers).items()
            ],
        }
        self.parts = [body]
        self.disconnected = asyncio.Event()
        self.status, self.headers, self.body = 0, {}, b""
        self.complete = False

    async def receive(self):
        if self.parts:
            part = self.parts.pop(0)
            more = bool(self.parts)
            return {"type": "http.request", "body": part, "more_body": more}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        if self.complete:
            raise RuntimeError("sent after the end")
        if message["type"] == "http.response.start":
            if self.status:
                raise RuntimeError("started twice")
            self.status = message["status"]
            for name, value in message["headers"]:
                if re.search(rb"[\x00-\x08\x0a-\x1f\x7f]", name + value):
                    raise RuntimeError("Invalid HTTP header value.")
            self.headers = {n.lower(): v for n, v in message["headers"]}
            return
        if not self.status:
            raise RuntimeError("a body before its start")
        self.body += message["body"]
        self.complete = not message["more_body"]

    @property
    def error(self):
        """The error in the response, or in the last event of a stream."""
        text = self.body.rpartition(b"data: ")[2]
        return msgspec.json.decode(text)["error"]


class ScriptedUpstream:
    """Accepts connections and runs a script for each request.

    A script gets the writer and the request's id. If it returns True, the
    connection is closed.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.connections = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)[1]
                body = await reader.readexactly(int(length))
                self.requests.append(head + body)
                request_id = re.search(rb"(?i)x-request-id: (\S+)", head)[1]
                if await self.script(writer, request_id):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # At the end of the test; asyncio would print a traceback.
            pass
        finally:
            writer.close()


def answer(
    body=b"ok", status=200, headers=(), echo=None, length=True, close=False
):
    """Returns a script that responds; ``length`` may be False or a number."""

    async def script(writer, request_id):
        lines = [b"HTTP/1.1 %d X" % status, *headers]
        if echo != b"":
            lines.append(b"X-Request-Id: " + (echo or request_id))
        if length is not False:
            size = len(body) if length is True else length
            lines.append(b"Content-Length: %d" % size)
        writer.write(b"\r\n".join([*lines, b"", body]))
        await writer.drain()
        return close

    return script


def raw(data, close=True):
    """Returns a script that sends raw bytes."""

    async def script(writer, request_id):
        writer.write(data.replace(b"ID", request_id))
        await writer.drain()
        return close

    return script


async def unresponsive(writer, request_id):
    await asyncio.sleep(60)


def config_for(addresses, **bank) -> Config:
    bank = {"non_idempotent": ("POST /deposit",), "timeout_s": 1.0} | bank
    services = {
        "draft": Service(kind="engine", timeout_s=1.0),
        "bank": Service(kind="plain", **bank),
    }
    services = msgspec.convert(
        msgspec.to_builtins(services), dict[str, Service]
    )
    return Config(
        version=1,
        ranks=RANKS,
        services=services,
        models={"m1": Model(service="draft", memory_bytes=1)},
        upstreams={
            f"{service}{number}": Upstream(
                service=service, failure_domain="d1", address=address
            )
            for service in services
            for number, address in enumerate(addresses)
        },
    )


class Entry:
    """The request path of one entry process."""

    def __init__(self, config, claims, table, check):
        self.table = table
        self.dispatcher = Dispatcher("d1", random.Random(1))
        self.apply_config(config)
        self.request_handler = RequestHandler(
            self.dispatcher,
            claims,
            ServiceWindows(),
            Hooks(check, lambda *_: None, lambda _: None),
            Metrics(),
        )
        self.draining = False
        self.app = EntryApp(
            config=lambda: self.dispatcher.config,
            is_ready=lambda: True,
            is_draining=lambda: self.draining,
            serve=self.request_handler.serve,
            metrics=Metrics(),
            max_body_bytes=1000,
            max_requests=4,
        )

    def apply_config(self, config) -> None:
        """Applies a configuration with all its upstreams live."""
        self.dispatcher.set_config(config)
        views = tuple(view(name) for name in config.upstreams)
        self.dispatcher.set_fleet(FleetView(upstreams=views), time.monotonic())

    async def ask(self, *args, **fields) -> FakeCaller:
        caller = FakeCaller(*args, **fields)
        await self.run(caller)
        return caller

    async def run(self, caller) -> None:
        with anyio.fail_after(10):
            await self.app(caller.scope, caller.receive, caller.send)

    async def deposit(self, key="k", **fields) -> FakeCaller:
        return await self.ask(
            path=DEPOSIT, headers={"Idempotency-Key": key}, **fields
        )

    def idle_connections(self) -> int:
        return sum(len(p._idle) for p in self.request_handler._pools.values())

    async def claim_states(self) -> list[str]:
        """Returns the states of the claim rows after pending writes."""
        await anyio.sleep(0.05)
        rows = self.table.rows.values()
        return [read_row(row.value).state.value for row in rows]


async def _no_check(*_):
    pass


@asynccontextmanager
async def entry_with(*scripts, check=_no_check, **bank):
    """Yields the request path and one upstream per script.

    A script of None stands for an address without a listener.
    """
    upstreams, addresses = [], []
    async with AsyncExitStack() as stack:
        for script in scripts:
            upstream = ScriptedUpstream(script)
            server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            if script is None:
                server.close()
            stack.callback(server.close)
            addresses.append(f"127.0.0.1:{port}")
            upstreams.append(upstream)
        table = FakeTable(write_s=0.001)
        claims = Claims(
            table,
            Metrics(),
            owner="entry",
            new_id=lambda: f"claim-{random.random()}",
            now=time.monotonic,
            wall_now=time.time,
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(claims.run)
            entry = Entry(config_for(addresses, **bank), claims, table, check)
            yield entry, upstreams
            await entry.request_handler.aclose()
            for upstream in upstreams:
                for writer in upstream.writers:
                    writer.transport.abort()
            tasks.cancel_scope.cancel()
