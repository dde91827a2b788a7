"""Polls the reports of upstreams, and fetches the platform's host list."""

import time
from collections.abc import Iterable

import msgspec
from loguru import logger

from acaciaspoke.clients.hosts import HostEntry, HostsClient, HostsError
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.ids import UpstreamId
from acaciaspoke.net.records import EngineReport
from acaciaspoke.util.http import HttpClient, HttpError
from acaciaspoke.util.metrics import Metrics

REPORT_PATH = "/v2/report"
POLL_TIMEOUT_S = 1.0
# A leaving upstream must get no new work after 5 s, including the time to
# spread the notice.
HOST_LIST_INTERVAL_S = 2.0


class ReportError(Exception):
    """An upstream did not return a valid report."""


class Poller:
    """Polls upstreams over connections that it owns."""

    def __init__(self, upstreams: Upstreams, metrics: Metrics):
        self._upstreams = upstreams
        self._metrics = metrics
        self._clients: dict[str, HttpClient] = {}

    async def poll(self, upstream: UpstreamId, address: str) -> None:
        """Polls an upstream once, and records the report or the failure."""
        requested_s = time.monotonic()
        try:
            report = await self._fetch(address)
        except ReportError as error:
            self._metrics.count("control.poll_missed")
            logger.debug("poll of upstream {} failed: {}", upstream, error)
            self._upstreams.on_poll_failed(upstream, time.monotonic())
        else:
            self._upstreams.on_report(upstream, report, requested_s)

    async def _fetch(self, address: str) -> EngineReport:
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, POLL_TIMEOUT_S)
            self._clients[address] = client
        try:
            response = await client.request("GET", REPORT_PATH)
            if response.status != 200:
                raise ReportError(f"{address} answered {response.status}")
            return msgspec.json.decode(response.body, type=EngineReport)
        except (HttpError, msgspec.MsgspecError) as error:
            raise ReportError(f"{address}: {error}") from error

    async def close_unused(self, used: Iterable[str]) -> None:
        """Closes the connections to addresses not in ``used``."""
        for address in self._clients.keys() - set(used):
            await self._clients.pop(address).aclose()


async def fetch_host_list(client: HostsClient) -> list[HostEntry] | None:
    """Returns the host list, or None if it cannot be fetched."""
    try:
        return await client.fetch()
    except HostsError as error:
        logger.warning("host list not fetched: {}", error)
        return None
