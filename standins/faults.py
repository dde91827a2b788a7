"""Fault injection for the stand-ins of the platform."""

import anyio
import msgspec

from standins.http import Call


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults, until they are replaced.

    Attributes:
        delay_s: Extra delay before each response.
        refuse: Answer 429 to everything, without applying it.
        away: Close the connection of each request without applying it.
        drop_requests: Number of requests to drop without applying them.
        drop_answers: Number of requests to apply without a response.
        writes_only: Whether only writes are dropped.
        only_keys: Drop only writes of rows whose key has this prefix (table
            only).
        stale: Serve serializable reads from the state at the time when this
            was set (table only).
    """

    delay_s: float = 0.0
    refuse: bool = False
    away: bool = False
    drop_requests: int = 0
    drop_answers: int = 0
    writes_only: bool = True
    only_keys: str = ""
    stale: bool = False


class FaultyHandler:
    """Base of stand-ins: accepts faults and applies them to requests."""

    def __init__(self):
        self.faults = Faults()

    async def handle(self, call: Call) -> None:
        """Handles one request, with the injected faults."""
        call.default_headers = self.response_headers
        if call.path == "/standin/faults":
            self.set_faults(msgspec.convert(await call.json(), Faults))
            await call.answer({})
        elif call.path.startswith("/standin/"):
            await call.answer(*await self.respond(call, await call.body()))
        else:
            await self._handle_with_faults(call)

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults."""
        self.faults = faults

    def response_headers(self) -> dict[str, str]:
        """Returns headers that each response gets."""
        return {}

    def is_droppable(self, call: Call, body: bytes) -> bool:
        """Returns whether the drop faults apply to a request."""
        return call.method != "GET" or not self.faults.writes_only

    async def respond(self, call: Call, body: bytes) -> tuple:
        """Applies a request and returns the arguments of ``call.answer``."""
        raise NotImplementedError

    async def _handle_with_faults(self, call: Call) -> None:
        body = await call.body()
        faults = self.faults
        await anyio.sleep(faults.delay_s)
        if self.faults.away:
            raise ConnectionAbortedError("injected fault: away")
        if faults.refuse:
            await call.answer({"message": "too many requests", "code": 8}, 429)
            return
        droppable = self.is_droppable(call, body)
        if droppable and faults.drop_requests:
            faults.drop_requests -= 1
            raise ConnectionAbortedError("injected fault: request dropped")
        answer = await self.respond(call, body)
        if droppable and faults.drop_answers:
            faults.drop_answers -= 1
            raise ConnectionAbortedError("injected fault: response dropped")
        await call.answer(*answer)
