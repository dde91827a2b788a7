"""Shares the room of brittle upstreams between the hosts.

The owner of a service's room is chosen by rendezvous hashing among the hosts
that are responsive. The hosts report to it by datagram, and it answers with the
places that each of them has.
"""

import functools
import operator
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.messages import Message, PlaceGrant, PlaceReport
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.place_allocation import (
    REPORT_VALID_S,
    PlaceAllocation,
)
from acaciaspoke.ids import HostId, ServiceId, UpstreamId
from acaciaspoke.util.rendezvous import choose

# An owner that stood still this long may have been replaced meanwhile.
MAX_STEP_S = 0.8

# Interval between two steps while a service is brittle, and otherwise.
BUSY_INTERVAL_S = 0.01
IDLE_INTERVAL_S = 0.1
MIN_INTERVAL_S = 0.003

# Pause after a step, as a multiple of its length: the owner of the room of many
# upstreams and hosts has requests to serve as well.
PAUSE_FACTOR = 4

# Longer pauses would let places lapse, or look as if the owner stood still.
MAX_PAUSE_S = 0.3

# How often a host reports without a change, and how much longer for each host
# of a large deployment. Places must not lapse if a datagram is lost.
REPORT_INTERVAL_S = 0.1
REPORT_INTERVAL_PER_HOST_S = 0.0015

# How often the owner of a room allocates it, and how much longer it waits for
# each host that reports.
ALLOCATION_INTERVAL_S = 0.005
ALLOCATION_INTERVAL_PER_HOST_S = 0.0001

# An owner that has answered no report for this time is passed over for the next
# one. It may run an earlier release, or be out of this host's reach.
UNANSWERED_S = 1.5
PASSED_OVER_S = 30.0

# Room that hosts without places have used within this time is kept for them.
OUTSIDE_PEAK_S = 1.0
OUTSIDE_SAMPLE_S = 0.05

# How often the owners are chosen anew.
OWNERS_INTERVAL_S = 0.1

# How often the owner of a room logs its use.
LOG_INTERVAL_S = 5.0


class _Reported(msgspec.Struct):
    """What this host last reported of a service, and to whom."""

    owner: HostId
    sent_s: float
    in_flight: dict[UpstreamId, int]
    refusals: int
    is_waiting: bool


class PlaceExchange:
    """Reports what this host uses, and allocates the rooms that it owns."""

    def __init__(
        self,
        local_host: HostId,
        dispatcher: Dispatcher,
        metrics: GatewayMetrics,
        post: Callable[[Message, Iterable[HostId]], Message],
        live: Callable[[float], list[HostId]],
        count_hosts: Callable[[], int],
        on_places: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an exchange that owns no room.

        Args:
            local_host: This host.
            dispatcher: Knows the brittle upstreams and this host's requests.
            metrics: Counts reports and grants.
            post: Sends a message to some hosts.
            live: Returns the other hosts that are responsive.
            count_hosts: Returns the number of registered hosts.
            on_places: Called when this host got a grant.
            clock: Returns the time.
        """
        self._local_host = local_host
        self._dispatcher = dispatcher
        self._fleet = dispatcher.fleet
        self._places = dispatcher.fleet.places
        self._metrics = metrics
        self._post = post
        self._live = live
        self._count_hosts = count_hosts
        self._on_places = on_places
        self._clock = clock
        self._allocations: dict[ServiceId, PlaceAllocation] = {}
        self._allocation_due_s: dict[ServiceId, float] = {}
        self._owners: dict[ServiceId, HostId] = {}
        self._alive: list[HostId] = [local_host]
        self._owners_due_s = 0.0
        self._reported: dict[ServiceId, _Reported] = {}
        self._answered_s: dict[ServiceId, tuple[HostId, float]] = {}
        self._passed_over: dict[HostId, float] = {}
        self._outside_peaks: deque[tuple[float, Counter[UpstreamId]]] = deque()
        self._is_lowered: set[ServiceId] = set()
        self._last_step_s = clock()
        self._log_due_s = 0.0
        self._wake = anyio.Event()
        self._places.on_needed = self._wake_for_need

    async def run(self) -> None:
        """Reports and grants until cancelled."""
        while True:
            interval_s = BUSY_INTERVAL_S if self._owners else IDLE_INTERVAL_S
            with anyio.move_on_after(interval_s):
                await self._wake.wait()
            self._wake = anyio.Event()
            started_s = self._clock()
            self.step()
            step_s = self._clock() - started_s
            pause_s = min(PAUSE_FACTOR * step_s, MAX_PAUSE_S)
            await anyio.sleep(max(MIN_INTERVAL_S, pause_s))

    def step(self) -> None:
        """Sends the reports and the grants that are due."""
        now_s = self._clock()
        if now_s - self._last_step_s > MAX_STEP_S:
            self._allocations.clear()
        self._last_step_s = now_s
        brittle = self._fleet.brittle.services()
        self._places.keep_only(brittle)
        if not brittle:
            self._allocations.clear()
            self._reported.clear()
            self._answered_s.clear()
            self._passed_over.clear()
            self._owners = {}
            return
        if now_s >= self._owners_due_s or self._owners.keys() != brittle.keys():
            self._choose_owners(brittle, now_s)
        for service in brittle:
            self._report(service, now_s)
        for service, allocation in self._allocations.items():
            if now_s >= self._allocation_due_s.get(service, 0.0):
                self._allocate(service, allocation, now_s)
        self._log_use(now_s)

    def handle(self, message: PlaceReport | PlaceGrant) -> None:
        """Handles a message of another host."""
        now_s = self._clock()
        if isinstance(message, PlaceReport):
            self._apply_report(message, now_s)
        elif self._owners.get(message.service) == message.host:
            self._answered_s[message.service] = (message.host, now_s)
            self._apply_grant(message)

    def _choose_owners(
        self, brittle: dict[ServiceId, float], now_s: float
    ) -> None:
        self._owners_due_s = now_s + OWNERS_INTERVAL_S
        self._alive = [self._local_host, *self._live(now_s)]
        self._pass_over(now_s)
        candidates = self._candidates
        self._owners = {
            service: HostId(choose(f"room {service}", candidates, 1)[0])
            for service in brittle
        }
        for service, owner in self._owners.items():
            if owner != self._local_host:
                self._allocations.pop(service, None)
            elif service not in self._allocations:
                self._allocations[service] = PlaceAllocation(
                    random.getrandbits(48), now_s + REPORT_VALID_S
                )
        for service in self._allocations.keys() - brittle.keys():
            del self._allocations[service]
        for service in self._reported.keys() - brittle.keys():
            del self._reported[service]

    @property
    def _candidates(self) -> list[HostId]:
        return [host for host in self._alive if host not in self._passed_over]

    def _pass_over(self, now_s: float) -> None:
        """Finds the owners that do not answer."""
        for service, owner in self._owners.items():
            host, answered_s = self._answered_s.get(service, (None, now_s))
            if host != owner:
                self._answered_s[service] = (owner, now_s)
            elif owner != self._local_host and (
                now_s - answered_s >= UNANSWERED_S
            ):
                self._passed_over[owner] = now_s + PASSED_OVER_S
                logger.warning(
                    "host {} does not answer as the owner of the room of {}",
                    owner,
                    service,
                )
        self._passed_over = {
            host: until_s
            for host, until_s in self._passed_over.items()
            if now_s < until_s
        }

    # As a host that sends requests.

    def _wake_for_need(self) -> None:
        if not all(each.is_waiting for each in self._reported.values()):
            self._wake.set()

    def _report(self, service: ServiceId, now_s: float) -> None:
        owner = self._owners[service]
        upstreams = self._service_upstreams(service)
        in_flight = {name: each.local_load for name, each in upstreams.items()}
        refusals = sum(each.refusals for each in upstreams.values())
        is_waiting = bool(self._places.waiting(service))
        last = self._reported.get(service)
        if last is not None and not (
            service in self._is_lowered
            or last.owner != owner
            or last.refusals != refusals
            or last.is_waiting != is_waiting
            or now_s - last.sent_s >= self._report_interval_s
            or self._has_freed(last, in_flight, service, now_s)
        ):
            return
        self._is_lowered.discard(service)
        self._places.return_unused(service)
        self._reported[service] = _Reported(
            owner, now_s, in_flight, refusals, is_waiting
        )
        self._metrics.place_reports.inc()
        report = PlaceReport(
            host=self._local_host,
            service=service,
            sent_s=now_s,
            applied=self._places.applied(service),
            uses=self._places.uses(
                service, self._dispatcher.running_priorities(), now_s
            ),
        )
        if owner == self._local_host:
            self._apply_report(report, now_s)
        else:
            self._post(report, [owner])

    @property
    def _report_interval_s(self) -> float:
        return max(
            REPORT_INTERVAL_S, REPORT_INTERVAL_PER_HOST_S * self._count_hosts()
        )

    def _has_freed(
        self,
        last: _Reported,
        in_flight: dict[UpstreamId, int],
        service: ServiceId,
        now_s: float,
    ) -> bool:
        """Returns whether requests have ended whose places others may need."""
        is_scarce = self._places.is_scarce(service)
        brittle = self._fleet.brittle.services()
        for name, upstream in self._service_upstreams(service).items():
            before = last.in_flight.get(name, 0)
            allowed = self._places.allowed(upstream, brittle, now_s) or 0
            if in_flight[name] < before and (is_scarce or before > allowed):
                return True
        return False

    def _apply_grant(self, grant: PlaceGrant) -> None:
        is_lowered = self._places.apply(
            grant.service,
            grant.epoch,
            grant.number,
            grant.places,
            grant.reported_s,
            grant.share,
            grant.is_scarce,
        )
        if is_lowered:
            self._is_lowered.add(grant.service)
            self._wake.set()
        self._on_places()

    def _service_upstreams(self, service: ServiceId) -> dict:
        return {
            name: upstream
            for name, upstream in self._fleet.brittle.upstreams().items()
            if upstream.record.service == service
        }

    # As the owner of a room.

    def _apply_report(self, report: PlaceReport, now_s: float) -> None:
        allocation = self._allocations.get(report.service)
        if allocation is not None:
            allocation.report(
                report.host, report.uses, report.applied, report.sent_s, now_s
            )
            self._wake.set()

    def _allocate(
        self, service: ServiceId, allocation: PlaceAllocation, now_s: float
    ) -> None:
        self._allocation_due_s[service] = (
            now_s
            + ALLOCATION_INTERVAL_S
            + ALLOCATION_INTERVAL_PER_HOST_S * len(self._alive)
        )
        upstreams = self._service_upstreams(service)
        allocation.set_slots(
            {name: each.record.slots for name, each in upstreams.items()}, now_s
        )
        # Both sides of a cut together stay within the room.
        share = len(self._alive) / max(len(self._alive), self._count_hosts())
        outside = self._outside(allocation.reporting(now_s), now_s)
        hosts = allocation.allocate(self._candidates, share, outside, now_s)
        for host in hosts:
            self._metrics.place_grants.inc()
            grant = PlaceGrant(
                host=self._local_host,
                service=service,
                epoch=allocation.epoch,
                **allocation.grant(host)._asdict(),
            )
            if host == self._local_host:
                self._apply_grant(grant)
            else:
                self._post(grant, [host])

    def _outside(
        self, reporting: set[HostId], now_s: float
    ) -> Counter[UpstreamId]:
        """Returns the most requests that hosts had lately that do not report.

        Hosts of earlier releases send digests only, and keep to no room.
        """
        outside: Counter[UpstreamId] = Counter()
        for digest in self._fleet.peer_loads.fresh(now_s):
            if digest.host in self._alive and digest.host not in reporting:
                outside.update(digest.in_flight)
        peaks = self._outside_peaks
        while peaks and now_s - peaks[0][0] > OUTSIDE_PEAK_S:
            peaks.popleft()
        if outside and (not peaks or now_s - peaks[-1][0] >= OUTSIDE_SAMPLE_S):
            peaks.append((now_s, outside))
        counts = (each for _, each in peaks)
        return functools.reduce(operator.or_, counts, outside)

    def _log_use(self, now_s: float) -> None:
        if now_s < self._log_due_s:
            return
        self._log_due_s = now_s + LOG_INTERVAL_S
        for service, allocation in self._allocations.items():
            rooms = allocation.rooms(now_s)
            logger.info(
                "brittle upstreams of {} take {} requests from {} hosts",
                service,
                sum(rooms.values()),
                len(allocation.reporting(now_s)),
                rooms=rooms,
                held={name: allocation.held(name, now_s) for name in rooms},
            )
