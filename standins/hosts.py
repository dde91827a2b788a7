"""A stand-in for the host list (Prometheus HTTP service discovery).

``POST /standin/hosts`` with ``{"hosts": [...], "lag_s": 3}`` sets the list;
the change becomes visible after the lag.
"""

import time
from collections.abc import Callable

import msgspec

from standins.faults import FaultyHandler
from standins.http import Call


class _Change(msgspec.Struct):
    hosts: list[dict]
    lag_s: float = 0.0


class Hosts(FaultyHandler):
    """The visible list, and changes that are not visible yet."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic):
        super().__init__()
        self._clock_s = clock_s
        self._visible: list[dict] = []
        self._pending: list[tuple[float, list[dict]]] = []

    def set_hosts(self, hosts: list[dict], lag_s: float = 0.0) -> None:
        """Sets the list that becomes visible after ``lag_s``."""
        self._pending.append((self._clock_s() + lag_s, hosts))

    async def respond(self, call: Call, body: bytes) -> tuple:
        """Applies a request and returns the arguments of ``call.answer``."""
        if call.path == "/standin/hosts":
            change = msgspec.json.decode(body, type=_Change)
            self.set_hosts(change.hosts, change.lag_s)
            return ({},)
        now_s = self._clock_s()
        due = [item for item in self._pending if item[0] <= now_s]
        if due:
            self._visible = due[-1][1]
            self._pending = [i for i in self._pending if i[0] > now_s]
        return (self._visible,)
