"""A stand-in for a plain service, such as a ledger or a booking desk.

``GET`` echoes the path. ``POST /bookings`` books without checking the
idempotency key, so that a booking that was sent twice is counted twice.
"""

import itertools
import os
import uuid
from collections import Counter

import anyio
import msgspec

from standins.http import Call
from standins.journal import record_run

CRASH_EXIT_STATUS = 70


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults.

    Attributes:
        delay_s: Extra delay before each response.
        crash_on: Text in a request body that crashes the process.
        drop_answers: Number of requests to run without a response.
        wrong_request_id: Return the response of the previous request, with its
            id.
        refuse: Answer 429 to everything without running it.
    """

    delay_s: float = 0.0
    crash_on: str = ""
    drop_answers: int = 0
    wrong_request_id: bool = False
    refuse: bool = False


class PlainService:
    """State of one stand-in service.

    Attributes:
        runs: Number of runs for each idempotency key.
    """

    def __init__(self, slots: int = 64):
        self._previous = (uuid.uuid4().hex, b"")
        self.boot_id = uuid.uuid4().hex
        self.slots = slots
        self.faults = Faults()
        self.runs: Counter[str] = Counter()
        self.running = 0
        self._sequence = itertools.count(1)

    async def handle(self, call: Call) -> None:
        """Handles one request."""
        if call.path == "/standin/faults":
            self.faults = msgspec.convert(await call.json(), Faults)
            await call.answer({})
        elif call.path == "/standin/runs":
            await call.answer(dict(self.runs))
        elif call.path == "/v2/report":
            await call.answer(self._report())
        else:
            await self._serve(call)

    def _report(self) -> dict:
        return {
            "boot_id": self.boot_id,
            "sequence": next(self._sequence),
            "slots": self.slots,
            "running": self.running,
            "waiting": 0,
        }

    async def _serve(self, call: Call) -> None:
        body = await call.body()
        faults = self.faults
        request_id = call.headers.get("x-request-id", "")
        previous, self._previous = self._previous, (request_id, body)
        if faults.wrong_request_id:
            request_id, body = previous
        headers = {"x-request-id": request_id}
        if faults.refuse:
            await call.answer({"error": "busy"}, 429, headers)
            return
        if faults.crash_on and faults.crash_on.encode() in body:
            os._exit(CRASH_EXIT_STATUS)
        self.running += 1
        try:
            await anyio.sleep(faults.delay_s)
            if call.method == "POST":
                self.runs[call.headers.get("idempotency-key", "")] += 1
            record_run(call)
            if faults.drop_answers:
                faults.drop_answers -= 1
                raise ConnectionAbortedError("injected fault: response dropped")
            await call.answer(
                {"path": call.path, "body": body.decode()}, 200, headers
            )
        finally:
            self.running -= 1
