"""A stand-in for a model engine.

It implements chat completions; each response ends with the last message of its
request. ``POST /standin/faults`` injects faults (see ``Faults``). Load and
unload orders have the form of the KServe/Triton model repository extension and
are applied to a ``Repository``.
"""

import itertools
import os
import time
import uuid
from collections.abc import Coroutine
from typing import Any

import anyio
import msgspec

from standins.http import Call
from standins.journal import record_run
from standins.repository import RefusedError, Repository
from standins.weights import WeightStore

CRASH_EXIT_STATUS = 70
REPOSITORY = "/v2/repository/"


class Faults(msgspec.Struct):
    """Injected faults.

    Attributes:
        delay_s: Extra delay before each response.
        crash_on: Text in a request body that crashes the process.
        cut_after: Tokens after which a stream is cut off; negative for never.
        wrong_request_id: Return the response of the previous request, with its
            id.
        refuse: Answer 429 to everything.
        lose_orders: Number of orders to drop; their connections are closed.
        lose_answers: Number of orders to apply without a response.
        late_orders: Number of orders to apply late.
        late_s: Delay of late orders.
        stale_reports: Number of reports that repeat the previous one.
    """

    delay_s: float = 0.0
    crash_on: str = ""
    cut_after: int = -1
    wrong_request_id: bool = False
    refuse: bool = False
    lose_orders: int = 0
    lose_answers: int = 0
    late_orders: int = 0
    late_s: float = 0.0
    stale_reports: int = 0

    def consume(self, name: str) -> bool:
        """Decrements the counter of a fault; returns False if it was zero."""
        remaining = getattr(self, name)
        setattr(self, name, max(0, remaining - 1))
        return remaining > 0


class Engine:
    """State of one stand-in engine.

    Attributes:
        repository: The artifacts in memory and the count of overcommits.
        orders: Load and unload orders in order of arrival.
    """

    def __init__(
        self,
        slots: int = 16,
        token_gap_s: float = 0.01,
        memory_bytes: int = 0,
        checks_fencing: bool = False,
        weights: WeightStore | None = None,
        crash_on: str = "",
    ):
        self.boot_id = uuid.uuid4().hex
        self.slots = slots
        self.token_gap_s = token_gap_s
        self.repository = Repository(memory_bytes, checks_fencing)
        self.weights = weights
        self.orders: list[str] = []
        self.faults = Faults(crash_on=crash_on)
        self.running = 0
        self.waiting = 0
        self.served = 0
        self._previous = (uuid.uuid4().hex, "")
        self._sequence = itertools.count(1)
        self._slots = anyio.Semaphore(slots)
        self._last_report: dict = {}
        self._boots_of_clients: dict[tuple[str, int], str] = {}

    def restart(self) -> None:
        """Starts a new boot with empty memory.

        As with a real process, connections of the old boot are closed, here at
        their next request, and orders that it has not applied are lost.
        """
        self.boot_id = uuid.uuid4().hex
        self._sequence = itertools.count(1)
        overcommits = self.repository.overcommits
        self.repository = Repository(
            self.repository.memory_bytes, self.repository.checks_fencing
        )
        self.repository.overcommits = overcommits

    async def handle(self, call: Call) -> None:
        """Handles one request."""
        boot_id = self._boots_of_clients.setdefault(call.client, self.boot_id)
        if boot_id != self.boot_id:
            del self._boots_of_clients[call.client]
            await _break_connection(call)
            return
        routes = {
            "/v1/chat/completions": self._complete,
            "/v2/report": self._report,
            "/standin/faults": self._set_faults,
            "/standin/counts": self._counts,
        }
        handler = routes.get(call.path)
        if call.path.startswith(REPOSITORY):
            await self._order(call)
        elif handler is None:
            await call.answer({"error": "no such path"}, 404)
        else:
            await handler(call)

    async def _set_faults(self, call: Call) -> None:
        self.faults = msgspec.convert(await call.json(), Faults)
        await call.answer({})

    async def _counts(self, call: Call) -> None:
        await call.answer(
            {
                "served": self.served,
                "overcommits": self.repository.overcommits,
                "orders": len(self.orders),
            }
        )

    async def _report(self, call: Call) -> None:
        if not self._last_report or not self.faults.consume("stale_reports"):
            self._last_report = {
                "boot_id": self.boot_id,
                "sequence": next(self._sequence),
                "slots": self.slots,
                "running": self.running,
                "waiting": self.waiting,
            } | self.repository.report()
        await call.answer(self._last_report)

    async def _order(self, call: Call) -> None:
        parameters = (await call.json()).get("parameters", {})
        path = call.path.removeprefix(REPOSITORY)
        if path == "index":
            await self._index(call, parameters)
            return
        name, _, verb = path.removeprefix("models/").rpartition("/")
        self.orders.append(f"{verb} {name}")
        if self.faults.consume("lose_orders"):
            await _break_connection(call)
            return
        boot_id = self.boot_id
        if self.faults.consume("late_orders"):
            await anyio.sleep(self.faults.late_s)
        try:
            if verb == "load":
                self.repository.check_load(name, parameters)
                await self._fetch_weights(parameters)
            if boot_id != self.boot_id:
                await _break_connection(call)
                return
            # Checks the fencing token again: a load that was in progress when
            # the fence was raised must not take memory.
            apply = {
                "load": self.repository.load,
                "unload": self.repository.unload,
            }[verb]
            overcommits = self.repository.overcommits
            apply(name, parameters)
            if self.repository.overcommits > overcommits:
                # Printed at once, so that it is not lost if the process is
                # killed.
                print("overcommit", name, flush=True)
            print(verb, name, flush=True)
        except RefusedError as refusal:
            await call.answer({"error": str(refusal)}, refusal.status)
            return
        if self.faults.consume("lose_answers"):
            await _break_connection(call)
            return
        await call.answer({})

    async def _index(self, call: Call, parameters: dict) -> None:
        try:
            if "fencing_token" in parameters:
                self.repository.fence(parameters["fencing_token"])
        except RefusedError as refusal:
            await call.answer({"error": str(refusal)}, refusal.status)
            return
        await call.answer(self.repository.index())

    async def _fetch_weights(self, parameters: dict) -> None:
        if self.weights is None:
            return
        if parameters.get("base_model"):
            await self.weights.load_adapter()
        else:
            await self.weights.load_model()

    async def _complete(self, call: Call) -> None:
        body = await call.body()
        if self.faults.refuse:
            await call.answer({"error": "busy"}, 429, _echo_headers(call))
            return
        if self.faults.crash_on and self.faults.crash_on.encode() in body:
            record_run(call)
            os._exit(CRASH_EXIT_STATUS)
        request = msgspec.json.decode(body)
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                await _run_until_disconnect(call, self._run(call, request))
            finally:
                self.running -= 1

    async def _run(self, call: Call, request: dict) -> None:
        record_run(call)
        await anyio.sleep(self.faults.delay_s)
        request_id = call.headers.get("x-request-id", "")
        text = _last_message(request)
        previous, self._previous = self._previous, (request_id, text)
        if self.faults.wrong_request_id:
            request_id, text = previous
        headers = {"x-request-id": request_id} if request_id else {}
        tokens = [f"tok{n} " for n in range(request.get("max_tokens", 16) - 1)]
        tokens.append(text)
        self.served += 1
        if request.get("stream"):
            await self._stream(call, request, tokens, headers)
            return
        await anyio.sleep(self.token_gap_s * len(tokens))
        message = {"role": "assistant", "content": "".join(tokens)}
        document = {
            "id": request_id,
            "object": "chat.completion",
            "model": request["model"],
            "choices": [
                {"index": 0, "message": message, "finish_reason": "stop"}
            ],
        }
        await call.answer(document, 200, headers)

    async def _stream(self, call, request, tokens, headers) -> None:
        await call.start(200, headers | {"content-type": "text/event-stream"})
        for index, token in enumerate(tokens):
            if index == self.faults.cut_after:
                raise ConnectionAbortedError("injected fault: stream cut")
            event = {
                "id": headers.get("x-request-id", ""),
                "object": "chat.completion.chunk",
                "model": request["model"],
                "choices": [{"index": 0, "delta": {"content": token}}],
                # Benchmarks measure the delay of a token from this time.
                "sent_s": time.monotonic(),
            }
            await call.chunk(b"data: " + msgspec.json.encode(event) + b"\n\n")
            await anyio.sleep(self.token_gap_s)
        await call.chunk(b"data: [DONE]\n\n", more=False)


async def _run_until_disconnect(
    call: Call, work: Coroutine[Any, Any, None]
) -> None:
    """Runs ``work``; cancels it when the client closes its connection.

    Otherwise closed streams would occupy their slots until the last token.
    """

    async def cancel_on_disconnect(scope: anyio.CancelScope) -> None:
        while (await call.receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    failure: ConnectionAbortedError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel_on_disconnect, tasks.cancel_scope)
        try:
            await work
        except ConnectionAbortedError as error:
            # Raised outside of the task group, which would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _break_connection(call: Call) -> None:
    # The server closes the connection if a response is shorter than its
    # content length.
    await call.start(200, {"content-length": "1", "connection": "close"})


def _echo_headers(call: Call) -> dict[str, str]:
    request_id = call.headers.get("x-request-id", "")
    return {"x-request-id": request_id} if request_id else {}


def _last_message(request: dict) -> str:
    messages = request.get("messages") or [{}]
    return str(messages[-1].get("content", ""))
