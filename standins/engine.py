"""A stand-in for a model engine.

It speaks the chat-completions form, answers with a text that names the
request, and can be told through ``POST /standin/faults`` to misbehave:
``{"delay_s", "crash_on", "cut_after", "wrong_request_id", "refuse"}``.
"""

import itertools
import os
import uuid

import anyio
import msgspec

from standins.http import Call

CRASH_EXIT_STATUS = 70


class Faults(msgspec.Struct):
    """How the stand-in misbehaves.

    Attributes:
        delay_s: Extra time before each answer.
        crash_on: Text in a request body that ends the process.
        cut_after: Tokens after which a stream breaks; negative for never.
        wrong_request_id: Echo another request's id.
        refuse: Answer 429 to everything.
    """

    delay_s: float = 0.0
    crash_on: str = ""
    cut_after: int = -1
    wrong_request_id: bool = False
    refuse: bool = False


class Engine:
    """State of one stand-in engine."""

    def __init__(
        self,
        slots: int = 16,
        token_gap_s: float = 0.01,
        memory_bytes: int = 0,
    ):
        self.boot_id = uuid.uuid4().hex
        self.slots = slots
        self.token_gap_s = token_gap_s
        self.memory_bytes = memory_bytes
        self.faults = Faults()
        self.running = 0
        self.waiting = 0
        self.served = 0
        self._sequence = itertools.count(1)
        self._slots = anyio.Semaphore(slots)

    async def handle(self, call: Call) -> None:
        """Answers one request."""
        routes = {
            "/v1/chat/completions": self._complete,
            "/v2/report": self._report,
            "/standin/faults": self._set_faults,
        }
        handler = routes.get(call.path)
        if handler is None:
            await call.answer({"error": "no such path"}, 404)
            return
        await handler(call)

    async def _set_faults(self, call: Call) -> None:
        self.faults = msgspec.convert(await call.json(), Faults)
        await call.answer({})

    async def _report(self, call: Call) -> None:
        await call.answer(
            {
                "boot_id": self.boot_id,
                "sequence": next(self._sequence),
                "slots": self.slots,
                "running": self.running,
                "waiting": self.waiting,
                "memory_bytes": self.memory_bytes,
                "resident": [],
                "recent_order_ids": [],
                "fencing_token": 0,
            }
        )

    async def _complete(self, call: Call) -> None:
        body = await call.body()
        if self.faults.refuse:
            await call.answer({"error": "busy"}, 429, _echo(call))
            return
        if self.faults.crash_on and self.faults.crash_on.encode() in body:
            os._exit(CRASH_EXIT_STATUS)
        request = msgspec.json.decode(body)
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                await self._run(call, request)
            finally:
                self.running -= 1

    async def _run(self, call: Call, request: dict) -> None:
        await anyio.sleep(self.faults.delay_s)
        headers = _echo(call)
        if self.faults.wrong_request_id:
            headers["x-request-id"] = uuid.uuid4().hex
        tokens = [f"tok{n} " for n in range(request.get("max_tokens", 16) - 1)]
        tokens.append(_last_message(request))
        self.served += 1
        if request.get("stream"):
            await self._stream(call, request, tokens, headers)
            return
        await anyio.sleep(self.token_gap_s * len(tokens))
        message = {"role": "assistant", "content": "".join(tokens)}
        document = {
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
                raise ConnectionAbortedError("told to cut the stream")
            event = {
                "object": "chat.completion.chunk",
                "model": request["model"],
                "choices": [{"index": 0, "delta": {"content": token}}],
            }
            await call.chunk(b"data: " + msgspec.json.encode(event) + b"\n\n")
            await anyio.sleep(self.token_gap_s)
        await call.chunk(b"data: [DONE]\n\n", more=False)


def _echo(call: Call) -> dict[str, str]:
    request_id = call.headers.get("x-request-id", "")
    return {"x-request-id": request_id} if request_id else {}


def _last_message(request: dict) -> str:
    messages = request.get("messages") or [{}]
    return str(messages[-1].get("content", ""))
