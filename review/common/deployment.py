"""Stand-ins and processes for the cases; uses the standard library only.

One asyncio process plays the platform's store, the workers and the clients.
The gateways are separate processes, started with the ``run`` line of
``deploy/system.toml`` and the settings of ``deploy/gateway.json.template``.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

FRONT_PORT = 8149
READY_PORT = 8141
PEER_PORT = 7380
STORE_PORT = 8142
WORKER_PORT = 9080

HEARTBEAT_S = 1.2

# Bounds of sites/hinokuni-rounds.toml.
CONTACT_S = 3.0
GRACE_S = 8

# Exit status of a case that broke its rule. Python's own for an uncaught error is
# 1, so run.sh turns this one into 1 and that one into 2.
BROKEN = 10

_hosts = itertools.count(1)


def trouble() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def next_ip() -> str:
    """Returns a loopback address that no other process of the case uses."""
    high, low = divmod(os.getpid() % 60_000, 250)
    return f"127.{high + 10}.{low + 1}.{next(_hosts)}"


class Record:
    """Writes ``record.txt`` beside the script."""

    def __init__(self, script: str):
        self._file = (Path(script).parent / "record.txt").open("w")
        self._began_s = time.monotonic()

    def __call__(self, *words) -> None:
        age_s = time.monotonic() - self._began_s
        print(f"{age_s:8.3f}", *words, file=self._file, flush=True)


# HTTP messages.


class Message:
    """A parsed request or response."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes = b""):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def id(self) -> str:
        return self.headers.get("acaciaspoke-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return Message(
        first, {name.lower(): value.strip() for name, value in pairs}
    )


async def read_chunks(reader: asyncio.StreamReader):
    """Yields the chunks of a body up to its last one."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message:
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = b"".join([part async for part in read_chunks(reader)])
    else:
        length = int(message.headers.get("content-length", 0))
        message.body = await reader.readexactly(length)
    return message


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class HttpServer:
    """Serves requests one after the other on each connection."""

    def __init__(self, ip: str, port: int):
        self.address = f"{ip}:{port}"
        self._ip, self._port = ip, port

    async def start(self) -> None:
        await asyncio.start_server(
            self._serve, self._ip, self._port, limit=64 * 1024
        )

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                await self.respond(await read_message(reader), writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, request: Message, writer) -> None:
        raise NotImplementedError

    async def send_json(self, writer, document, status: int = 200) -> None:
        body = json.dumps(document).encode()
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        writer.write(encode_head(f"HTTP/1.1 {status} X", headers) + body)
        await writer.drain()


# The platform's store.


class Store(HttpServer):
    """Rows with one version for each transaction, as PROTOCOL.md tells."""

    def __init__(self):
        super().__init__(next_ip(), STORE_PORT)
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[int, tuple[str, str], bytes | None]] = []
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Writes a row as the operator, a worker or another writer."""
        self._apply({(table, key): value})

    def _apply(self, changes: dict[tuple[str, str], bytes | None]) -> None:
        self.version += 1
        for key, value in changes.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, request: Message, writer) -> None:
        path, _, query = request.target.partition("?")
        fields = dict(
            pair.split("=", 1) for pair in query.split("&") if "=" in pair
        )
        match path:
            case "/rows-get":
                answer, status = self._get(fields), 200
            case "/rows-feed":
                answer, status = await self._feed(fields), 200
            case "/rows-tx":
                answer, status = self._transact(json.loads(request.body))
            case _:
                answer, status = {}, 404
        clock = {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}
        await self.send_json(writer, answer | clock, status)

    def _get(self, fields: dict[str, str]) -> dict:
        start = _unquote(fields.get("from", ""))
        end = _unquote(fields["to"]) if "to" in fields else None
        limit = int(fields.get("limit", 500))
        found = sorted(
            (key, value, version)
            for (table, key), (value, version) in self.rows.items()
            if table == fields["table"]
            and key >= start
            and (end is None or key < end)
        )
        rows = [
            _row(fields["table"], key, value, version)
            for key, value, version in found[:limit]
        ]
        return {"rows": rows, "has-more": len(found) > limit}

    async def _feed(self, fields: dict[str, str]) -> dict:
        after, table = int(fields["after"]), fields["table"]
        end_s = time.monotonic() + int(fields["wait-ms"]) / 1000
        while True:
            rows = [
                _row(table, key[1], value, version)
                for version, key, value in self._history
                if version > after and key[0] == table
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, request: dict) -> tuple[dict, int]:
        conditions = request.get("precondition", [])
        known = [
            (row, self.rows.get((row["table"], row["key"])))
            for row in conditions
        ]
        if any((found[1] if found else 0) != row["ver"] for row, found in known):
            rows = [
                _row(row["table"], row["key"], *found)
                for row, found in known
                if found
            ]
            return {"rows": rows}, 412
        changes = {
            (row["table"], row["key"]): base64.b64decode(row["value"])
            for row in request.get("put", [])
        }
        changes |= {
            (row["table"], row["key"]): None
            for row in request.get("remove", [])
        }
        self._apply(changes)
        return {}, 200


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


def _row(table: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(value).decode()}


# Workers.


class Worker(HttpServer):
    """A worker; ``run`` handles its requests.

    Attributes:
        models: Names of the models that it holds, if it is an engine.
    """

    def __init__(self, name: str, service: str, store: Store, run, **fields):
        super().__init__(next_ip(), WORKER_PORT)
        self.name = name
        self.models: list[str] = fields.pop("models", [])
        self.accepted_orders = 0
        self._service, self._store, self._run = service, store, run
        self._fields = {"slots": 24, "zone": "a"} | fields
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)

    async def start(self) -> None:
        await super().start()
        self._task = asyncio.create_task(self._register())

    async def _register(self) -> None:
        while True:
            row = {
                "service": self._service,
                "address": self.address,
                "state": "ready",
                "version": 1,
                "cold-remaining-ms": 0,
                "seq": next(self._sequence),
                "born": self._born,
                "models": self._model_documents(),
                **self._fields,
            }
            self._store.write("servers", self.name, json.dumps(row).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def _model_documents(self) -> list[dict]:
        return [
            {"name": name, "version": 1, "adapters": []}
            for name in self.models
        ]

    async def respond(self, request: Message, writer) -> None:
        if request.target == "/report":
            report = {
                "stage": "both",
                "models": self._model_documents(),
                "busy": False,
                "seq": self.accepted_orders,
                "born": self._born,
            }
            await self.send_json(writer, report)
        elif request.target == "/order":
            await self._order(json.loads(request.body), writer)
        elif request.headers.get("acaciaspoke-expect-instance") not in (
            None,
            self.name,
        ):
            await answer(writer, request, 421, not_executed=True)
        else:
            await self._run(self, request, writer)

    async def _order(self, order: dict, writer) -> None:
        is_held = order["model"] in self.models
        if order.get("precondition", 0) != self.accepted_orders:
            status = 409
        elif is_held is (order["operation"] == "load"):
            status = 200
        else:
            status = 202
            self.accepted_orders += 1
            if is_held:
                self.models.remove(order["model"])
            else:
                self.models.append(order["model"])
        await self.send_json(writer, {}, status)


async def answer(
    writer,
    request: Message,
    status: int = 200,
    body: bytes = b"",
    *,
    not_executed: bool = False,
) -> None:
    """Sends a worker's complete answer."""
    headers = {
        "Acaciaspoke-Attempt-Id": request.id,
        "Acaciaspoke-Response-Seal": f"seal.{request.id}",
        "Content-Length": str(len(body)),
    }
    if not_executed:
        headers["Acaciaspoke-Not-Executed"] = "1"
    writer.write(encode_head(f"HTTP/1.1 {status} X", headers) + body)
    await writer.drain()


def stream_head(request: Message) -> bytes:
    """Returns the head of a worker's stream in chunks."""
    headers = {
        "Acaciaspoke-Attempt-Id": request.id,
        "Acaciaspoke-Response-Seal": f"seal.{request.id}",
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    return encode_head("HTTP/1.1 200 OK", headers)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# Gateways.


class Gateway:
    """A gateway process on its own loopback address.

    Attributes:
        exits: When the process ended by itself, and with what status.
    """

    def __init__(self, name: str, store: Store, folder: Path, **limits):
        self.name = name
        self.ip = next_ip()
        self.address = f"{self.ip}:{FRONT_PORT}"
        self.exits: list[tuple[float, int]] = []
        self._folder = folder
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._render = lambda is_first: render_settings(
            name, self.ip, store, limits, is_first
        )
        self._process: subprocess.Popen | None = None
        self._task: asyncio.Task | None = None
        self.started_s = 0.0

    async def start(self) -> None:
        """Starts the process; restarts it when it ends, like the platform."""
        self._spawn(is_first=True)
        await self._wait_until_ready()
        self._task = asyncio.create_task(self._supervise())

    @property
    def pid(self) -> int:
        return self._process.pid

    def _spawn(self, *, is_first: bool) -> None:
        self._settings.write_text(self._render(is_first))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ACACIASPOKE_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_s = time.monotonic()

    async def _supervise(self) -> None:
        while True:
            status = self._process.poll()
            if status is not None:
                self.exits.append((time.monotonic(), status))
                await asyncio.sleep(0.5)
                self._spawn(is_first=False)
            await asyncio.sleep(0.02)

    async def _wait_until_ready(self) -> None:
        for _ in range(600):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready: {self.log()[-2000:]}")

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, READY_PORT
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                return message.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def log(self) -> str:
        return self._log.read_text(errors="replace")

    def kill(self) -> None:
        """Kills the process, as the platform does above its memory limit."""
        self._process.kill()

    def end(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()


def render_settings(
    name: str, ip: str, store: Store, limits: dict, is_first: bool
) -> str:
    """Fills in the project's template for settings as DEPLOY.md tells."""
    fields = {
        "node": name,
        "zone": "a",
        "ip": ip,
        "listen": {
            "front": f"{ip}:{FRONT_PORT}",
            "ready": f"{ip}:{READY_PORT}",
        },
        "internal-ports": [PEER_PORT, PEER_PORT + 15],
        "platform": {"address": store.address},
        "limits": {"memory-mb": 300, "link-mbps": 1000.0} | limits,
        "bootstrap": is_first,
        "bounds": {
            "lease-ms": 3000,
            "drain-ms": 2000,
            "grace-s": GRACE_S,
            "retry-budget-ratio": 0.2,
            "retry-slack": 58,
            "budget-window-s": 10,
            "ceiling-window-s": 5,
        },
    }

    def value(match: re.Match) -> str:
        found = fields
        for part in match[1].split("."):
            found = found[part]
        return json.dumps(found)

    template = (ROOT / "deploy/gateway.json.template").read_text()
    return re.sub(r"\{\{([\w.-]+)\|json\}\}", value, template)


# Clients.


class Channel:
    """A client's kept connection to a gateway."""

    def __init__(self, gateway: Gateway, **options):
        self._gateway = gateway
        self._options = options
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            self._gateway.ip, FRONT_PORT, limit=64 * 1024, **self._options
        )

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        remaining_ms: int = 5000,
        headers: dict[str, str] | None = None,
    ) -> asyncio.StreamReader:
        """Sends a request; the caller reads the answer."""
        if self._writer is None:
            await self.connect()
        fields = {
            "Host": "a.example",
            "Acaciaspoke-Attempt-Id": request_id,
            "Acaciaspoke-Time-Remaining-Ms": str(remaining_ms),
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        first = f"{method} {path} HTTP/1.1"
        self._writer.write(encode_head(first, fields) + body)
        await self._writer.drain()
        return self._reader

    async def request(self, *arguments, **options) -> Message | None:
        """Returns the complete answer; None if the channel ended without."""
        try:
            message = await read_message(
                await self.send(*arguments, **options)
            )
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
            return None
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return message

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


# Configurations.


def route(prefix: str, kind: str, service: str, **fields) -> dict:
    return {
        "name": prefix.strip("/").replace("/", "-"),
        "host": "a.example",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 5000,
        "target-latency-ms": 500,
        "priority": 1,
        "max-attempts": 1,
        **fields,
    }


def engine(models: list[str], **fields) -> dict:
    return {
        "slots": 24,
        "kv-capacity-tokens": 85481,
        "kv-token-bytes": 163840,
        "backups": True,
        "handle_s": 5.0,
        "weights-mb": 220000.0,
        "adapter-slots": 8,
        "loads-per-s": 3.1,
        "models": [
            {"name": name, "weights-mb": 72700.0, "load-time-s": 1.2}
            for name in models
        ],
        **fields,
    }


def configuration(routes: list[dict], services: list[dict]) -> bytes:
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    document = {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": limits,
    }
    return json.dumps(document).encode()


def _give_up(gateways: list[Gateway]) -> None:
    for gateway in gateways:
        gateway.end()
    os._exit(2)


def play(script: str, case) -> None:
    """Runs a case; exits with ``BROKEN`` if it says that the rule was broken."""
    record = Record(script)
    gateways: list[Gateway] = []
    status = 2
    for number in (signal.SIGALRM, signal.SIGTERM):
        signal.signal(number, lambda *_: _give_up(gateways))
    signal.alarm(116)
    with tempfile.TemporaryDirectory() as folder:

        def new_gateway(name: str, store: Store, **limits) -> Gateway:
            gateways.append(Gateway(name, store, Path(folder), **limits))
            return gateways[-1]

        async def run() -> bool:
            async with asyncio.timeout(110):
                return await case(record, new_gateway)

        # The tasks of the stand-ins are not awaited: they end with the process.
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        try:
            status = int(loop.run_until_complete(run()))
        except Exception as error:
            record(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            for gateway in gateways:
                gateway.end()
    record("result:", {0: "rule held", 1: "rule broken", 2: "not run"}[status])
    os._exit(BROKEN if status == 1 else status)
