"""A simulated network for decision modules."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

from acaciaspoke.ids import Address
from acaciaspoke.net.messages import Message, Outgoing, decode, encode

TICK_S = 0.1

Handler = Callable[[Message, float], Iterable[Outgoing]]
Ticker = Callable[[float], Iterable[Outgoing]]


class FakeNetwork:
    """Runs decision modules on a virtual clock and delivers their messages.

    Messages are encoded and decoded as in production. They may be lost,
    repeated and, as delays vary, reordered.

    Attributes:
        now_s: The virtual time.
        loss: Share of messages lost.
        repeats: Share of messages delivered twice.
        paused: Nodes that neither run nor receive; their messages are delayed.
        down: Nodes that have stopped.
        sent_bytes: Bytes sent by each node.
        received_bytes: Bytes delivered to each node.
    """

    def __init__(
        self,
        seed: int,
        *,
        loss: float = 0.0,
        repeats: float = 0.0,
        delay_s: tuple[float, float] = (0.001, 0.02),
    ):
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.loss = loss
        self.repeats = repeats
        self.paused: set[Address] = set()
        self.down: set[Address] = set()
        self.sent_bytes: Counter[Address] = Counter()
        self.received_bytes: Counter[Address] = Counter()
        self._delay_s = delay_s
        self._handlers: dict[Address, Handler] = {}
        self._tickers: dict[Address, Ticker] = {}
        self._events: list[tuple[float, int, Address, bytes | None]] = []
        self._order = itertools.count()
        self._groups: list[set[Address]] = []

    def add(self, address: Address, handle: Handler, tick: Ticker) -> None:
        """Adds a node, or replaces it after a restart."""
        if address not in self._handlers:
            self._push(self.rng.uniform(0, TICK_S), address, None)
        self.down.discard(address)
        self._handlers[address] = handle
        self._tickers[address] = tick

    def partition(self, *groups: Iterable[Address]) -> None:
        """Delivers messages only within a group; without groups, heals."""
        self._groups = [set(group) for group in groups]

    def send(self, source: Address, outgoing: Iterable[Outgoing]) -> None:
        for address, message in outgoing:
            data = encode(message)
            self.sent_bytes[source] += len(data)
            cut = any(
                (source in group) != (address in group)
                for group in self._groups
            )
            if cut or self.rng.random() < self.loss:
                continue
            copies = 2 if self.rng.random() < self.repeats else 1
            for _ in range(copies):
                self._push(self.rng.uniform(*self._delay_s), address, data)

    def run(self, duration_s: float) -> None:
        """Advances the clock and handles all events due until then."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            at_s, _, address, data = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            self._deliver(address, data)
        self.now_s = end_s

    def _push(self, after_s: float, address: Address, data) -> None:
        event = (self.now_s + after_s, next(self._order), address, data)
        heapq.heappush(self._events, event)

    def _deliver(self, address: Address, data: bytes | None) -> None:
        if data is None:
            self._push(TICK_S, address, None)
        if address not in self._handlers or address in self.down:
            return
        if address in self.paused:
            if data is not None:
                self._push(TICK_S, address, data)
            return
        if data is None:
            self.send(address, self._tickers[address](self.now_s))
        else:
            self.received_bytes[address] += len(data)
            message = decode(data)
            self.send(address, self._handlers[address](message, self.now_s))
