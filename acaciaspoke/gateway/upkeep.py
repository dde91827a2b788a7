"""Checks deadlines, unresponsive engines and removed upstreams at intervals."""

import time
from collections.abc import Callable

import anyio
from loguru import logger

from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.exchange import RequestHandler
from acaciaspoke.gateway.forwarding import Forwarder
from acaciaspoke.gateway.link_prober import SILENCE_S, LinkProber
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.gateway.registry import UpstreamRegistry
from acaciaspoke.gateway.upstream_notices import count_upstreams
from acaciaspoke.util.log import LogWriter

INTERVAL_S = 0.05

# A task that runs this late is logged.
LOGGED_DELAY_S = 0.25


class Upkeep:
    """What has to be done also while no request or message arrives."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        request_handler: RequestHandler,
        registry: UpstreamRegistry,
        peers: Peers,
        link_prober: LinkProber,
        forwarder: Forwarder,
        is_own_loss: Callable[[float], bool],
        metrics: GatewayMetrics,
        log_writer: LogWriter,
    ):
        """Creates the task of one gateway; ``run`` does the work.

        Args:
            dispatcher: Has the waiting requests.
            request_handler: Gets the decisions on them.
            registry: Knows upstreams whose records are missing.
            peers: Knows the other hosts.
            link_prober: Checks the links of this host.
            forwarder: Has connections to other hosts.
            is_own_loss: Whether links that are lost are those of this host.
            metrics: Gets the gauges.
            log_writer: Counts dropped lines.
        """
        self._dispatcher = dispatcher
        self._request_handler = request_handler
        self._registry = registry
        self._peers = peers
        self._link_prober = link_prober
        self._forwarder = forwarder
        self._is_own_loss = is_own_loss
        self._metrics = metrics
        self._log_writer = log_writer

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            due_s = time.monotonic() + INTERVAL_S
            await anyio.sleep(INTERVAL_S)
            now_s = time.monotonic()
            self._record_delay(now_s - due_s)
            self._check(now_s)
            await self._request_handler.attempts.close_unused()
            await self._forwarder.close_unused()

    def _record_delay(self, delay_s: float) -> None:
        """Records for how long no other task had a turn."""
        self._metrics.loop_delay.observe(delay_s)
        if delay_s >= LOGGED_DELAY_S:
            logger.warning(
                "the process did nothing else, or stood still",
                delay_ms=round(delay_s * 1000),
            )

    def _check(self, now_s: float) -> None:
        fleet = self._dispatcher.fleet
        self._registry.drop_lapsed(now_s)
        self._peers.drop_unregistered(now_s)
        self._request_handler.attempts.stall_watch.record_stalls()
        if self._dispatcher.is_silent(SILENCE_S, now_s):
            self._link_prober.suspect()
        self._request_handler.crash_guard.review(
            fleet.links, self._is_own_loss(now_s), now_s
        )
        self._request_handler.dispatch()
        self._metrics.log_lines_dropped.set(self._log_writer.dropped)
        self._metrics.waiting.set(self._dispatcher.waiting)
        count_upstreams(self._metrics, fleet)
