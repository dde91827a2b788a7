"""Sends orders to engines and queries their state."""

import functools
import time
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Self

import anyio
from loguru import logger

from acaciaspoke.gateway.engine_tracker import EngineTracker
from acaciaspoke.gateway.engineview import PlannedOrder
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.types import UpstreamRecord
from acaciaspoke.ids import FencingToken, HostId, UpstreamId
from acaciaspoke.platform.engine import (
    EngineError,
    Order,
    OrderAction,
    OrderResult,
    fetch_report,
    send_order,
)
from acaciaspoke.platform.notices import UpstreamNotice
from acaciaspoke.util.http import HttpClient

# Called with an upstream, the start of its process, the status of its response,
# and what that says about requests to come.
NoticeHandler = Callable[[UpstreamId, int, int, UpstreamNotice], None]

# An engine responds to an order before it executes it.
ORDER_TIMEOUT_S = 0.6

# A report lists some hundred models and adapters. All engines are queried at
# the same time, and each of them may be faulty.
MAX_RESPONSE_BYTES = 1024 * 1024

# Delay before the next query of an engine that did not respond.
QUERY_RETRY_S = 0.5

# Time from accepting an adapter order until the adapter can be used; it is 5 to
# 10 ms, and longer while many are fetched.
ADAPTER_LOAD_S = 0.012


class LoadRateLimit:
    """Limits loads from the weight store in a sliding window."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._load_times: deque[float] = deque()

    def record(self, now_s: float) -> None:
        """Records a load."""
        self._load_times.append(now_s)

    def remaining(self, loads_per_s: float, now_s: float) -> int:
        """Returns how many loads may begin now."""
        while self._load_times and self._load_times[0] < now_s - self._window_s:
            self._load_times.popleft()
        return int(loads_per_s * self._window_s) - len(self._load_times)

    def exhaust(self, loads_per_s: float, now_s: float) -> None:
        """Uses up the window, as another host may have done."""
        for _ in range(self.remaining(loads_per_s, now_s)):
            self.record(now_s)


class OrderSender:
    """Sends orders to all engines; an async context manager."""

    def __init__(
        self,
        holder: HostId,
        next_token: Callable[[], FencingToken],
        metrics: GatewayMetrics,
        on_change: Callable[[], None],
        on_notice: NoticeHandler,
    ):
        """Creates a sender without engines.

        Args:
            holder: This host.
            next_token: Returns a fencing token above all earlier ones; raises
                if this host may not send orders.
            metrics: Counts the orders.
            on_change: Called when an engine's state may have changed.
            on_notice: Called with each engine's responses.
        """
        self.trackers: dict[UpstreamId, EngineTracker] = {}
        self._holder = holder
        self._next_token = next_token
        self._metrics = metrics
        self._on_change = on_change
        self._on_notice = on_notice
        self._clients: dict[UpstreamId, HttpClient] = {}
        self._exit_stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._exit_stack.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._exit_stack.__aexit__(*error)

    def update(self, records: list[UpstreamRecord], now_s: float) -> None:
        """Updates the set of engines and their records."""
        names = {record.upstream for record in records}
        for name in set(self.trackers) - names:
            del self.trackers[name]
            self._clients.pop(name, None)
        for record in records:
            tracker = self.trackers.get(record.upstream)
            if tracker is None:
                self.trackers[record.upstream] = EngineTracker(record)
            else:
                tracker.apply_record(record, now_s)

    def clear(self) -> None:
        """Drops the state of all engines, which are then queried again."""
        self.trackers.clear()

    async def query(self, tracker: EngineTracker) -> None:
        """Queries the state of an engine."""
        try:
            report = await fetch_report(
                self._client(tracker), self._notice_handler(tracker)
            )
        except EngineError as error:
            tracker.query_due_s = time.monotonic() + QUERY_RETRY_S
            logger.warning("engine {}: {}", tracker.record.upstream, error)
        else:
            tracker.apply_report(report, time.monotonic())
        finally:
            tracker.is_busy = False
            self._on_change()

    async def send(
        self, tracker: EngineTracker, planned: PlannedOrder, expected_s: float
    ) -> None:
        """Sends an order.

        Args:
            tracker: The state of the engine.
            planned: The order.
            expected_s: Delay before querying whether the engine has executed a
                model order.

        Raises:
            LeaseNotHeldError: If this host may not send orders.
        """
        try:
            result = await self._send(tracker, planned, expected_s)
            if planned.then_load and result is OrderResult.HOLDS_ALREADY:
                load = PlannedOrder(
                    planned.upstream,
                    OrderAction.LOAD,
                    planned.then_load,
                    "room made",
                )
                await self._send(tracker, load, expected_s)
        finally:
            tracker.is_busy = False
            self._on_change()

    async def _send(
        self, tracker: EngineTracker, planned: PlannedOrder, expected_s: float
    ) -> OrderResult:
        order = Order(
            planned.action,
            planned.artifact,
            tracker.seq,
            self._holder,
            self._next_token(),
        )
        result = await send_order(
            self._client(tracker),
            planned.upstream,
            order,
            self._notice_handler(tracker),
        )
        self._metrics.orders.labels(planned.action.value, result.value).inc()
        now_s = time.monotonic()
        logger.info(
            "order to {} {} {}: {}",
            planned.upstream,
            planned.action.value,
            planned.artifact,
            result.value,
            reason=planned.reason,
            seq=order.expected_seq,
            token=order.token,
        )
        tracker.apply_result(planned, result, now_s)
        if tracker.model_order is planned:
            tracker.query_due_s = now_s + expected_s
        elif result is OrderResult.UNKNOWN:
            tracker.query_due_s = now_s + QUERY_RETRY_S
        if (
            planned.artifact.adapter is not None
            and planned.action is OrderAction.LOAD
            and result is OrderResult.ACCEPTED
        ):
            await anyio.sleep(ADAPTER_LOAD_S)
        return result

    def _notice_handler(
        self, tracker: EngineTracker
    ) -> Callable[[int, UpstreamNotice], None]:
        record = tracker.record
        return functools.partial(
            self._on_notice, record.upstream, record.started_ms
        )

    def _client(self, tracker: EngineTracker) -> HttpClient:
        name = tracker.record.upstream
        client = self._clients.get(name)
        if client is None:
            # An order that timed out must not arrive when a partition heals, as
            # another host may be the leader by then.
            client = HttpClient(
                tracker.record.address,
                ORDER_TIMEOUT_S,
                reset_on_close=True,
                max_response_bytes=MAX_RESPONSE_BYTES,
            )
            self._clients[name] = client
        return client
