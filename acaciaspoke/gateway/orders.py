"""Gives orders to engines and asks for their state."""

import time
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Self

import anyio
from loguru import logger

from acaciaspoke.gateway.engineview import Move
from acaciaspoke.gateway.ledger import EngineLedger
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.types import UpstreamRecord
from acaciaspoke.ids import FencingToken, HostId, UpstreamId
from acaciaspoke.platform.engine import (
    EngineError,
    Order,
    OrderAction,
    OrderResult,
    ask_report,
    send_order,
)
from acaciaspoke.util.http import HttpClient

# An engine answers an order before it carries it out.
ORDER_TIMEOUT_S = 0.6

# How long to wait before asking an engine that did not answer again.
ASK_AGAIN_S = 0.5

# An adapter is there so long after its order was accepted; it takes 5 to 10
# ms, and longer while many are fetched.
ADAPTER_LOAD_S = 0.012


class LoadWindow:
    """Counts loads from the weight store in a sliding window."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._loads: deque[float] = deque()

    def note(self, now_s: float) -> None:
        """Counts a load."""
        self._loads.append(now_s)

    def left(self, loads_per_s: float, now_s: float) -> int:
        """Returns how many loads may begin now."""
        while self._loads and self._loads[0] < now_s - self._window_s:
            self._loads.popleft()
        return int(loads_per_s * self._window_s) - len(self._loads)

    def fill(self, loads_per_s: float, now_s: float) -> None:
        """Assumes that another host has used the window up."""
        for _ in range(self.left(loads_per_s, now_s)):
            self.note(now_s)


class Orders:
    """The engines' ledgers and connections; an async context manager."""

    def __init__(
        self,
        holder: HostId,
        next_token: Callable[[], FencingToken],
        metrics: GatewayMetrics,
        changed: Callable[[], None],
    ):
        """Prepares without engines.

        Args:
            holder: This host.
            next_token: Returns a token above all earlier ones; raises if
                this host may give no orders.
            metrics: Counts the orders.
            changed: Told when an engine's state may have changed.
        """
        self.ledgers: dict[UpstreamId, EngineLedger] = {}
        self._holder = holder
        self._next_token = next_token
        self._metrics = metrics
        self._changed = changed
        self._clients: dict[UpstreamId, HttpClient] = {}
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._stack.__aexit__(*error)

    def track(self, records: list[UpstreamRecord], now_s: float) -> None:
        """Takes in the engines that there are."""
        names = {record.upstream for record in records}
        for name in set(self.ledgers) - names:
            del self.ledgers[name]
            self._clients.pop(name, None)
        for record in records:
            ledger = self.ledgers.get(record.upstream)
            if ledger is None:
                self.ledgers[record.upstream] = EngineLedger(record)
            else:
                ledger.take_record(record, now_s)

    def forget(self) -> None:
        """Drops all ledgers; engines are asked anew after that."""
        self.ledgers.clear()

    async def ask(self, ledger: EngineLedger) -> None:
        """Asks an engine for its state."""
        try:
            report = await ask_report(self._client(ledger))
        except EngineError as error:
            ledger.ask_due_s = time.monotonic() + ASK_AGAIN_S
            logger.warning("engine {}: {}", ledger.record.upstream, error)
        else:
            ledger.take_report(report, time.monotonic())
        finally:
            ledger.is_busy = False
            self._changed()

    async def give(
        self, ledger: EngineLedger, move: Move, check_after_s: float
    ) -> None:
        """Gives an order, if this host still may.

        Args:
            ledger: The engine's.
            move: The order.
            check_after_s: When to ask whether a model order was carried out.
        """
        try:
            result = await self._send(ledger, move, check_after_s)
            if move.then_load and result is OrderResult.HOLDS_ALREADY:
                load = Move(
                    move.upstream, OrderAction.LOAD, move.then_load, "room made"
                )
                await self._send(ledger, load, check_after_s)
        finally:
            ledger.is_busy = False
            self._changed()

    async def _send(
        self, ledger: EngineLedger, move: Move, check_after_s: float
    ) -> OrderResult:
        order = Order(
            move.action,
            move.artifact,
            ledger.seq,
            self._holder,
            self._next_token(),
        )
        result = await send_order(self._client(ledger), move.upstream, order)
        self._metrics.orders.labels(move.action.value, result.value).inc()
        now_s = time.monotonic()
        logger.info(
            "order to {} {} {}: {}",
            move.upstream,
            move.action.value,
            move.artifact,
            result.value,
            reason=move.reason,
            seq=order.expected_seq,
            token=order.token,
        )
        ledger.take_result(move, result, now_s)
        if ledger.moving is move:
            ledger.ask_due_s = now_s + check_after_s
        elif result is OrderResult.UNKNOWN:
            ledger.ask_due_s = now_s + ASK_AGAIN_S
        if (
            move.artifact.adapter is not None
            and move.action is OrderAction.LOAD
            and result is OrderResult.ACCEPTED
        ):
            await anyio.sleep(ADAPTER_LOAD_S)
        return result

    def _client(self, ledger: EngineLedger) -> HttpClient:
        name = ledger.record.upstream
        client = self._clients.get(name)
        if client is None:
            # An order that was given up must not arrive when a partition
            # heals, as another host may give the orders by then.
            client = HttpClient(
                ledger.record.address, ORDER_TIMEOUT_S, discards=True
            )
            self._clients[name] = client
        return client
