"""A stand-in for a worker: runs requests, takes orders, registers itself."""

import asyncio
import itertools
import json
import time

from http1 import Server

HEARTBEAT_S = 1.2
LOAD_S = 1.2
STREAM = "text/event-stream"
NOT_EXECUTED = {"Acaciaspoke-Not-Executed": "1"}


class Worker:
    """A worker of a service.

    Attributes:
        runs: The requests that it has run: time, id, path, last event id.
    """

    def __init__(
        self,
        store,
        record,
        name,
        address,
        service,
        zone,
        *,
        version="v1",
        models=(),
        slots=24,
        events=30,
        event_s=0.1,
        work_s=0.045,
        models_mb=72700.0,
        weights_mb=220000.0,
    ):
        self.store = store
        self.record = record
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.version = version
        self.models = dict.fromkeys(models)
        self.has_models = bool(models) or service == "drafting"
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.work_s = work_s
        self.places = int(weights_mb // models_mb)
        self.state = "ready"
        self.is_registered = True
        self.seq = 0
        self.orders = []
        self.busy = False
        self.running = {}
        self.runs = []
        self.born_ms = int(time.time() * 1000)
        self.is_leaving = False
        self._beats = itertools.count(1)
        self._tasks = []
        self._server = Server(address, self._handle)

    async def start(self):
        """Listens and registers."""
        await self._server.start()
        self._tasks.append(asyncio.create_task(self._register()))
        self.record(f"worker {self.name} ({self.version}) starts")
        return self

    def row(self):
        """Returns what it says of itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "seq": next(self._beats),
            "born": self.born_ms,
            "stage": "both",
            "models": self._models(),
            "at-hand": {"in-memory": [], "on-disk": []},
        }

    def beat(self):
        """Writes its entry."""
        if self.is_registered:
            self.store.put("servers", self.name, self.row())

    async def leave(self, drain_s, linger_s=0.5):
        """Drains and ends, as before a planned shutdown."""
        self.state, self.is_leaving = "draining", True
        self.beat()
        self.record(f"worker {self.name} drains")
        await asyncio.sleep(drain_s + linger_s)
        while self.running:
            await asyncio.sleep(0.05)
        self.end()

    async def leave_silently(self, drain_s, linger_s):
        """Leaves as workers do that never report it: only its entry goes."""
        self.is_leaving, self.is_registered = True, False
        self.store.remove("servers", self.name)
        self.record(f"the entry of worker {self.name} is removed")
        await asyncio.sleep(drain_s + linger_s)
        self.end(remove=False)

    def end(self, remove=True):
        """Ends it."""
        for task in self._tasks:
            task.cancel()
        self._server.close()
        self.is_registered = False
        if remove:
            self.store.remove("servers", self.name)
        self.record(f"worker {self.name} ends")

    async def _register(self):
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self):
        return [
            {"name": name, "version": 1, "adapters": []} for name in self.models
        ]

    def _headers(self, call):
        headers = {}
        if call.headers.get("acaciaspoke-attempt-id"):
            headers["Acaciaspoke-Attempt-Id"] = call.headers[
                "acaciaspoke-attempt-id"
            ]
        load = f"{len(self.running)},0,{self.slots}"
        headers["Acaciaspoke-Server-Load"] = load
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _handle(self, call):
        expected = call.headers.get("acaciaspoke-expect-instance")
        if expected not in (None, self.name):
            headers = {"Acaciaspoke-Instance-Id": self.name}
            await call.answer(421, b"", {**self._headers(call), **headers})
            return
        path = call.target.partition("?")[0]
        if path == "/healthz":
            headers = {"Acaciaspoke-Instance-Id": self.name}
            status = 503 if self.is_leaving else 200
            await call.answer(status, b"", {**self._headers(call), **headers})
        elif path == "/report":
            await call.answer(200, json.dumps(self._report()).encode())
        elif path == "/order":
            await self._order(call)
        elif path in ("/kv-events", "/kv-list", "/hold-take", "/kv-move"):
            await call.answer(404, b"{}")
        elif path.startswith(("/kv-handle/", "/kv-pin/", "/hold-drop/")):
            await call.answer(200, b"{}")
        else:
            await self.run(call)

    def _report(self):
        return {
            "stage": "both",
            "models": self._models(),
            "busy": self.busy,
            "seq": self.seq,
            "queued": 0,
            "active": len(self.running),
            "kv-used": 0,
            "kv-total": 85481,
            "handles": 0,
            "born": self.born_ms,
            "at-hand": {"in-memory": [], "on-disk": []},
        }

    async def _order(self, call):
        order = json.loads(call.body)
        model, is_load = order["model"], order["operation"] == "load"
        if (model in self.models) == is_load:
            await call.answer(200, b"{}")
            return
        if self.busy or order.get("precondition", self.seq) != self.seq:
            await call.answer(409, b"{}")
            return
        if is_load and len(self.models) >= self.places:
            self.record(f"worker {self.name} crashes: too many models")
            self.end()
            return
        self.seq += 1
        self.busy = True
        self.orders.append((time.monotonic(), order))
        self.record(
            f"order {order['operation']} {model} at {self.name}"
            f" from {order['holder']} token {order['fencing-token']}"
        )
        self._tasks.append(asyncio.create_task(self._carry_out(order)))
        await call.answer(202, b"{}")

    async def _carry_out(self, order):
        if order["operation"] == "load":
            await asyncio.sleep(LOAD_S)
            self.models[order["model"]] = None
        else:
            self.models.pop(order["model"], None)
        self.busy = False
        self.beat()

    async def run(self, call):
        """Runs a request, or refuses it."""
        model = call.headers.get("acaciaspoke-model", "").partition("/")[0]
        if model and model not in self.models:
            await call.answer(421, b"", self._headers(call))
            return
        if len(self.running) >= self.slots:
            headers = {**self._headers(call), **NOT_EXECUTED}
            await call.answer(503, b"", headers)
            return
        id_ = call.headers.get("acaciaspoke-attempt-id", "")
        last = call.headers.get("last-event-id", "")
        key = object()
        self.running[key] = id_
        self.runs.append((time.monotonic(), id_, call.target, last))
        self.record(f"run {id_} at {self.name} ({self.version}) after {last!r}")
        try:
            headers = self._headers(call)
            headers["Acaciaspoke-Response-Seal"] = f"seal-{self.name}-{id_}"
            if model:
                await self._stream(call, headers, int(last or 0))
            else:
                await self.work(call, headers)
        finally:
            del self.running[key]

    async def work(self, call, headers):
        """Answers a plain request after its work."""
        await asyncio.sleep(self.work_s)
        body = f"done by {self.name}: ".encode() + call.body
        await call.answer(200, body, headers)

    async def _stream(self, call, headers, last):
        headers["Content-Type"] = STREAM
        headers["Transfer-Encoding"] = "chunked"
        headers["Acaciaspoke-Weight-Versions"] = "1"
        call.head(200, headers)
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if call.reader.at_eof() or call.writer.is_closing():
                # It drops a request when its channel closes.
                call.keeps_connection = False
                return
            data = f"id: {number}\ndata: {self.version} {self.name} {number}\n\n"
            await call.chunk(data.encode())
        await call.chunk(b"")
