"""Polls upstreams for their reports, and the platform for its host list."""

import time
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import anyio
import msgspec
from loguru import logger

from acaciaspoke.config.schema import Upstream
from acaciaspoke.ids import UpstreamId
from acaciaspoke.net.messages import EngineReport
from acaciaspoke.platform.hosts import HostEntry, HostsClient, HostsError
from acaciaspoke.util.http import HttpClient, HttpError
from acaciaspoke.util.metrics import Metrics

REPORT_PATH = "/v2/report"
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
HOSTS_INTERVAL_S = 1.0


class ReportError(Exception):
    """An upstream gave no readable report."""


class Sink(Protocol):
    """Takes what polling found."""

    def reported(
        self, upstream: UpstreamId, report: EngineReport, now_s: float
    ) -> None:
        """Takes a report."""

    def missed(self, upstream: UpstreamId, now_s: float) -> None:
        """Takes that an upstream did not answer."""


class Poller:
    """Polls the upstreams that this host is responsible for."""

    def __init__(
        self,
        upstreams: Callable[[], Mapping[UpstreamId, Upstream]],
        sink: Sink,
        metrics: Metrics,
    ):
        self._upstreams = upstreams
        self._sink = sink
        self._metrics = metrics
        self._clients: dict[str, HttpClient] = {}

    async def run(self) -> None:
        """Polls until cancelled; each upstream about once a second."""
        async with anyio.create_task_group() as tasks:
            while True:
                started_s = time.monotonic()
                upstreams = self._upstreams()
                for upstream, config in upstreams.items():
                    tasks.start_soon(self._poll, upstream, config.address)
                await self._close_unused(
                    config.address for config in upstreams.values()
                )
                elapsed_s = time.monotonic() - started_s
                await anyio.sleep(max(0.0, POLL_INTERVAL_S - elapsed_s))

    async def _poll(self, upstream: UpstreamId, address: str) -> None:
        try:
            report = await self._fetch(address)
        except ReportError as error:
            self._metrics.count("control.poll_missed")
            logger.debug("upstream {}: {}", upstream, error)
            self._sink.missed(upstream, time.monotonic())
        else:
            self._sink.reported(upstream, report, time.monotonic())

    async def _fetch(self, address: str) -> EngineReport:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = HttpClient(
                address, POLL_TIMEOUT_S
            )
        try:
            answer = await client.request("GET", REPORT_PATH)
            if answer.status != 200:
                raise ReportError(f"{address} answered {answer.status}")
            return msgspec.json.decode(answer.body, type=EngineReport)
        except (HttpError, msgspec.MsgspecError) as error:
            raise ReportError(f"{address}: {error}") from error

    async def _close_unused(self, used: Iterable[str]) -> None:
        for address in self._clients.keys() - set(used):
            await self._clients.pop(address).aclose()


async def poll_hosts(
    client: HostsClient,
    is_due: Callable[[], bool],
    take: Callable[[list[HostEntry], float], None],
) -> None:
    """Fetches the host list until cancelled.

    Args:
        client: The platform's host list.
        is_due: Whether this host should fetch it now.
        take: Gets the list and the time.
    """
    while True:
        if is_due():
            try:
                take(await client.fetch(), time.monotonic())
            except HostsError as error:
                logger.warning("host list: {}", error)
        await anyio.sleep(HOSTS_INTERVAL_S)
