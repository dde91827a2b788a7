"""Finds out whether this host can connect to upstreams.

A connection is opened and closed without a request. This is done only if there
is a sign that links are lost: a connection failed or broke, no upstream has
sent anything for some time, there was no traffic that would show it, or other
hosts report upstreams that they cannot reach.
"""

import errno
import os
import random
import socket
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping

import anyio
from loguru import logger

from acaciaspoke.gateway.links import MIN_LOST_LINKS, Links
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.ids import UpstreamId
from acaciaspoke.util.net import split_address

# Upstreams are a few milliseconds away; a full accept queue delays a connection
# by a second or more.
CONNECT_TIMEOUT_S = 0.4

# Time without anything from any upstream after which links are probed. Streams
# have an event each few hundredths of a second.
SILENCE_S = 0.4

# Upstreams in a round; only a few of them if one of these can be reached.
MAX_PROBES = MIN_LOST_LINKS

# Upstreams in a round of which no link is known to be lost, so that a service
# that is down is not taken for lost links.
OTHER_PROBES = 2

# Time between two rounds while links are lost or suspected.
INTERVAL_S = 0.3

# Pause after a round that took longer.
MIN_PAUSE_S = 0.05

# A check begins this time after a connection was lost, as the links of a host
# may not all be lost in the same moment.
SETTLE_S = 0.05

# Without traffic one link is probed this often.
IDLE_INTERVAL_S = 1.0


# Errors of this host that say nothing of its links.
_LOCAL_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


async def open_and_close(address: str) -> None:
    """Opens a connection to ``ip:port`` and closes it.

    Raises:
        OSError: If it is not established in time.
    """
    server = split_address(address)
    family = socket.AF_INET6 if ":" in server.ip else socket.AF_INET
    with socket.socket(family) as connection:
        connection.setblocking(False)
        error = connection.connect_ex((server.ip, server.port))
        if error not in (0, errno.EINPROGRESS):
            raise OSError(error, os.strerror(error))
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            await anyio.wait_writable(connection)
        # A busy process may get to know late of a connection that was made.
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
        connection.getpeername()


class LinkProber:
    """Probes links, and reports when they are lost or regained."""

    def __init__(
        self,
        links: Links,
        addresses: Callable[[], Mapping[UpstreamId, str]],
        received_s: Callable[[UpstreamId], float],
        reported: Callable[[float], set[UpstreamId]],
        metrics: GatewayMetrics,
        on_change: Callable[[], None],
        on_regained: Callable[[float, float], None],
        clock: Callable[[], float] = time.monotonic,
        connect: Callable[[str], Awaitable[None]] = open_and_close,
    ):
        """Creates a prober that has probed nothing.

        Args:
            links: Gets the results.
            addresses: Returns the upstreams and their ``ip:port``.
            received_s: Returns when an upstream last sent anything.
            reported: Returns the upstreams that other hosts cannot reach, and
                of which this host does not know whether it can.
            metrics: Shows whether the links are lost.
            on_change: Called when links are lost or regained, and after each
                round while all are lost.
            on_regained: Called after the links of this host were lost, with
                when they were last intact before, and the time.
            clock: Returns the time.
            connect: Opens and closes a connection to an address; raises
                OSError if it is not established in time.
        """
        self._links = links
        self._addresses = addresses
        self._received_s = received_s
        self._reported = reported
        self._metrics = metrics
        self._on_change = on_change
        self._on_regained = on_regained
        self._clock = clock
        self._connect = connect
        self._suspected = anyio.Event()
        self._was_cut_off = False
        self._lacks_resources = False
        self._intact_s = float("-inf")
        self._lost: frozenset[UpstreamId] = frozenset()

    def suspect(self) -> None:
        """Has links probed soon, as some may be lost."""
        self._suspected.set()

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            await self._wait_for_doubt()
            is_suspected = self._suspected.is_set()
            self._suspected = anyio.Event()
            if is_suspected:
                await anyio.sleep(SETTLE_S)
            began_s = self._clock()
            await self._probe_round(is_suspected)
            is_regained = self._was_cut_off and not self._links.is_cut_off(
                self._clock()
            )
            lost = self._links.lost(self._clock())
            if is_regained or self._lost - lost:
                # Those that are still lost must not be tried by requests, and
                # upstreams that stood still together go on together.
                await self._probe(lost)
            if is_regained:
                self._on_regained(self._intact_s, self._clock())
            self._report()
            elapsed_s = self._clock() - began_s
            await anyio.sleep(max(MIN_PAUSE_S, INTERVAL_S - elapsed_s))

    async def _wait_for_doubt(self) -> None:
        """Waits until a link may be lost, at most for ``IDLE_INTERVAL_S``."""
        until_s = self._clock() + IDLE_INTERVAL_S
        while self._clock() < until_s and not self._doubtful():
            remaining_s = until_s - self._clock()
            with anyio.move_on_after(min(INTERVAL_S, remaining_s)):
                await self._suspected.wait()
                return

    def _doubtful(self) -> set[UpstreamId]:
        """Returns upstreams that are lost here, or reported by other hosts."""
        now_s = self._clock()
        return self._links.lost(now_s) | self._reported(now_s)

    async def _probe_round(self, is_suspected: bool) -> None:
        began_s = self._clock()
        self._lacks_resources = False
        chosen, rest = self._choose(is_suspected, began_s)
        await self._probe(chosen)
        if rest and not self._connects_to(chosen, began_s):
            await self._probe(rest)
            chosen += rest
        if chosen and not self._lacks_resources:
            self._links.record_check(chosen, began_s, self._clock())

    def _choose(
        self, is_suspected: bool, now_s: float
    ) -> tuple[list[UpstreamId], list[UpstreamId]]:
        """Chooses the upstreams of a round.

        Returns:
            Those that are probed, and those that are probed as well if none of
            the first can be reached.
        """
        names = list(self._addresses())
        random.shuffle(names)
        doubtful = self._doubtful()
        known = [name for name in names if name in doubtful]
        # Those that have sent something lately are up.
        others = sorted(
            (name for name in names if name not in doubtful),
            key=self._received_s,
            reverse=True,
        )
        is_silent = now_s - self._links.received_s >= IDLE_INTERVAL_S
        few = 1 if is_silent else 0
        if (
            is_suspected
            or self._links.is_cut_off(now_s)
            or len(known) >= MAX_PROBES - OTHER_PROBES
        ):
            few = OTHER_PROBES
        few = min(few, len(others))
        chosen = known[: MAX_PROBES - few] + others[:few]
        rest = others[few:] + known[MAX_PROBES - few :]
        if not chosen or not (is_suspected or is_silent):
            rest = []
        rest = rest[: MAX_PROBES - len(chosen)]
        if is_suspected and now_s - self._links.received_s >= SILENCE_S:
            # It is likely that none of the first can be reached.
            return chosen + rest, []
        return chosen, rest

    def _connects_to(self, upstreams: list[UpstreamId], since_s: float) -> bool:
        return any(
            self._links.connected_since(name, since_s) for name in upstreams
        )

    async def _probe(self, upstreams: Iterable[UpstreamId]) -> None:
        addresses = self._addresses()
        async with anyio.create_task_group() as tasks:
            for upstream in upstreams:
                if upstream in addresses:
                    tasks.start_soon(
                        self._probe_link, upstream, addresses[upstream]
                    )

    async def _probe_link(self, upstream: UpstreamId, address: str) -> None:
        began_s = self._clock()
        try:
            await self._connect(address)
        except OSError as error:
            if error.errno in _LOCAL_ERRNOS:
                self._lacks_resources = True
            else:
                self._links.record_failed(upstream, self._clock())
            return
        self._links.record_connected(upstream, began_s)

    def _report(self) -> None:
        now_s = self._clock()
        is_cut_off = self._links.is_cut_off(now_s)
        lost = frozenset(self._links.lost(now_s))
        if is_cut_off and not self._was_cut_off:
            self._intact_s = self._links.intact_s
        if is_cut_off != self._was_cut_off:
            logger.warning(
                "this host has lost its links to upstreams"
                if is_cut_off
                else "this host has links to upstreams again",
                lost=len(lost),
                upstreams=len(self._addresses()),
                received_age_ms=_age_ms(self._links.received_s, now_s),
            )
        elif lost != self._lost and not is_cut_off:
            logger.info(
                "links that are lost: {}",
                len(lost),
                new=_names(lost - self._lost),
                regained=_names(self._lost - lost),
            )
        self._metrics.lost_links.set(len(lost))
        self._metrics.is_cut_off.set(is_cut_off)
        if is_cut_off or self._was_cut_off or lost != self._lost:
            # Attempts may have become silent since the last round.
            self._on_change()
        self._was_cut_off, self._lost = is_cut_off, lost


def _age_ms(at_s: float, now_s: float) -> int | None:
    return round((now_s - at_s) * 1000) if at_s > float("-inf") else None


def _names(upstreams: Iterable[UpstreamId]) -> str:
    return ", ".join(sorted(upstreams))
