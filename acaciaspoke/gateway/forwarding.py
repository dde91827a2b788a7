"""Forwards requests to other hosts while this one cannot reach upstreams.

The other host admits, queues and places the request, and makes all attempts at
upstreams; it never forwards it again. This host passes the response on, and
chooses a further host if that one declines, or if the connection to it is lost
and the request may run again.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import anyio
import xxhash
from loguru import logger

from acaciaspoke.entry.pool import ConnectionPool
from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.attempt_result import NOTHING_RAN, Attempt, Ending
from acaciaspoke.gateway.forwarded_headers import encode_forwarded
from acaciaspoke.gateway.host_attempt import attempt_at_host
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.peers import HostRow
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import DomainId, HostId

# Share of a failure domain's hosts that have to be usable for it to be
# preferred; fewer would get the requests of more hosts than there are of them.
MIN_LOCAL_SHARE = 0.5


def choose_host(
    key: str,
    rows: Mapping[HostId, HostRow],
    usable: Iterable[HostId],
    local_domain: DomainId,
) -> HostId | None:
    """Chooses a host by the bandwidth of its link; None if none is usable.

    Hosts of the local failure domain are preferred, unless most of them are not
    usable.

    Args:
        key: Identifies the request; it always gets the same host.
        rows: All hosts.
        usable: Those to which requests may be forwarded.
        local_domain: The failure domain of this host.
    """
    candidates = sorted(host for host in usable if host in rows)
    hosts_by_domain = Counter(row.failure_domain for row in rows.values())
    local = [
        host for host in candidates if rows[host].failure_domain == local_domain
    ]
    if local and len(local) >= MIN_LOCAL_SHARE * hosts_by_domain[local_domain]:
        candidates = local
    if not candidates:
        return None
    weights = [rows[host].link_mbps or 1.0 for host in candidates]
    point = xxhash.xxh64_intdigest(key.encode()) / 2**64 * sum(weights)
    for host, weight in zip(candidates, weights, strict=True):
        point -= weight
        if point < 0:
            return host
    return candidates[-1]


class ForwardingHosts:
    """Tells which hosts can serve requests for this one."""

    def __init__(
        self,
        local_host: HostId,
        local_domain: DomainId,
        rows: Callable[[], Mapping[HostId, HostRow]],
        live: Callable[[float], Iterable[HostId]],
        detached: Callable[[float], Iterable[HostId]],
        stopping: Callable[[float], Iterable[HostId]],
        has_workspaces: Callable[[], bool] = lambda: False,
    ):
        """Creates an object without state of its own.

        Args:
            local_host: This host.
            local_domain: Its failure domain.
            rows: Returns the rows of all hosts.
            live: Returns the other hosts that are responsive.
            detached: Returns the hosts that take no forwarded requests now.
            stopping: Returns the hosts that take them only if no others do.
            has_workspaces: Returns whether the configuration has workspaces.
                Hosts that do not know these would send API keys to upstreams.
        """
        self._local_host = local_host
        self._local_domain = local_domain
        self._rows = rows
        self._live = live
        self._detached = detached
        self._stopping = stopping
        self._has_workspaces = has_workspaces

    def choose(self, request: Request, now_s: float) -> HostId | None:
        """Returns the host that is to serve a request; None if none can."""
        rows = self._rows()
        has_workspaces = self._has_workspaces()
        excluded = {self._local_host, *request.tried_hosts}
        excluded.update(self._detached(now_s))
        usable = [
            host
            for host in self._live(now_s)
            if host not in excluded
            and host in rows
            and rows[host].takes_forwarded
            and (rows[host].knows_workspaces or not has_workspaces)
        ]
        stopping = set(self._stopping(now_s))
        others = [host for host in usable if host not in stopping]
        return choose_host(
            request.id, rows, others or usable, self._local_domain
        )


class Forwarder:
    """Sends requests to other hosts, over pooled connections."""

    def __init__(
        self,
        local_host: HostId,
        rows: Callable[[], Mapping[HostId, HostRow]],
        metrics: GatewayMetrics,
    ):
        """Creates a forwarder without connections.

        Args:
            local_host: This host.
            rows: Returns the rows of all hosts.
            metrics: Counts forwarded requests.
        """
        self._local_host = local_host
        self._rows = rows
        self._metrics = metrics
        self._pools: dict[str, ConnectionPool] = {}

    async def run(
        self, request: Request, relay: Relay, host: HostId
    ) -> Attempt:
        """Has a host serve a request; never raises for failures of the host."""
        row = self._rows().get(host)
        if row is None:
            return Attempt(ending=Ending.NOT_SENT, detail="the host is gone")
        address = f"{row.address}:{row.port}"
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address)
        started_s = time.monotonic()
        headers = encode_forwarded(
            relay.caller.header_list,
            request,
            self._local_host,
            started_s,
            relay.splitter.last_id,
        )
        connection = await pool.acquire()
        earlier_starts = request.starts
        request.starts += 1
        clean = False
        try:
            attempt = await attempt_at_host(
                request,
                relay,
                address,
                connection,
                headers,
                may_have_run=earlier_starts > 0,
            )
            if attempt.ending in NOTHING_RAN:
                request.starts = earlier_starts
            clean = attempt.ending not in (Ending.BROKEN, Ending.MISMATCHED)
        finally:
            with anyio.CancelScope(shield=True):
                await pool.release(connection, clean=clean)
        self._metrics.forwarded.labels(attempt.ending.value).inc()
        logger.info(
            "forwarded to host {}: {}",
            host,
            attempt.ending.value,
            request_id=request.id,
            status=attempt.status,
            detail=attempt.detail,
            waited_ms=round((started_s - request.arrived_s) * 1000),
            took_ms=round((time.monotonic() - started_s) * 1000),
            service=request.service,
            artifact=str(request.artifact or ""),
        )
        return attempt

    async def close_unused(self) -> None:
        """Closes connections to addresses that no host has any more."""
        if not self._pools:
            return
        used = {f"{row.address}:{row.port}" for row in self._rows().values()}
        for address in self._pools.keys() - used:
            await self._pools.pop(address).aclose()
