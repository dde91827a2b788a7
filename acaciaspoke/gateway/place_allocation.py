"""Allocates the room of brittle upstreams to hosts; does no I/O.

One host owns the room of a service's upstreams. A place lets a host have one
request at a time at an upstream, so it is used again without a message. All
figures are absolute: what a lost message said is in the next one.
"""

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Annotated, NamedTuple

import msgspec

from acaciaspoke.gateway.upstream_room import UpstreamRoom
from acaciaspoke.ids import HostId, UpstreamId

# Far more than an upstream or a host has of anything.
_Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]

# Places of a host lapse this long after the report that they answer was sent.
GRANT_VALID_S = 1.0

# A host that has sent no report for this time gets no places. Those that it had
# have lapsed then, on its own clock.
REPORT_VALID_S = 1.2

# Requests of a host that sends no reports any more count for this time, as they
# may go on at the upstream.
HELD_S = 3.0

# With fewer places for each host, hosts return those that they do not use, as
# the next request is mostly another host's.
SCARCE_PLACES = 2

# A host keeps a place unless another one has this many times its requests.
KEEP_FACTOR = 1.5


class PlaceUse(NamedTuple):
    """What a host reports of an upstream.

    Attributes:
        in_flight: Its requests there.
        allowed: The places that it has.
        wanted: Its requests that run there or wait for a place, by priority.
        refusals: Requests that the upstream has refused.
        failures: Connections that failed or broke.
        responses: Responses of the upstream.
    """

    in_flight: _Count = 0
    allowed: _Count = 0
    wanted: dict[int, _Count] = {}
    refusals: _Count = 0
    failures: _Count = 0
    responses: _Count = 0


_NO_USE = PlaceUse()

Places = dict[UpstreamId, int]


class _Host(msgspec.Struct):
    """What is known of a host that asks for places.

    Attributes:
        uses: Its last report.
        received_s: When this was received.
        sent_s: When it was sent, by the host's clock.
        needs_answer: Whether no grant has answered it.
        granted: The places that it has, or will have with the last grant.
        unapplied: The grants that it has not applied for certain, by number.
    """

    uses: dict[UpstreamId, PlaceUse]
    received_s: float
    sent_s: float
    needs_answer: bool = True
    granted: Places = msgspec.field(default_factory=dict)
    unapplied: dict[int, Places] = msgspec.field(default_factory=dict)

    def held(self, upstream: UpstreamId, now_s: float) -> int:
        """Returns the requests that it may have at an upstream."""
        use = self.uses.get(upstream, _NO_USE)
        if now_s - self.received_s > REPORT_VALID_S:
            return use.in_flight
        return max(
            use.in_flight,
            use.allowed,
            self.granted.get(upstream, 0),
            *(places.get(upstream, 0) for places in self.unapplied.values()),
        )


class HostGrant(NamedTuple):
    """All places of a host at the upstreams of a service.

    Attributes:
        number: Increases with each grant of an allocation.
        reported_s: When the report that it answers was sent, by the host's
            clock.
        share: The part of the room that it can count on when all hosts that
            have requests now get the same.
        is_scarce: Whether it should return places that it does not use.
    """

    number: int
    reported_s: float
    places: Places
    share: float
    is_scarce: bool


class PlaceAllocation:
    """The room of a service's upstreams, and the hosts that have places there.

    Attributes:
        epoch: Distinguishes this object from others of the service.
    """

    def __init__(self, epoch: int, opens_s: float):
        """Creates an allocation that knows no host.

        Args:
            epoch: Distinguishes it from others of the service.
            opens_s: From when on it grants places even if some of the hosts
                that are alive have sent no report.
        """
        self.epoch = epoch
        self._opens_s = opens_s
        self._is_open = False
        self._number = 0
        self._is_scarce = False
        self._share = 1.0
        self._hosts: dict[HostId, _Host] = {}
        self._rooms: dict[UpstreamId, UpstreamRoom] = {}

    def set_slots(self, slots: Mapping[UpstreamId, int], now_s: float) -> None:
        """Applies the slots that the upstreams' records name."""
        for upstream in self._rooms.keys() - slots.keys():
            del self._rooms[upstream]
        for upstream, count in slots.items():
            if upstream in self._rooms:
                self._rooms[upstream].set_slots(count)
            else:
                self._rooms[upstream] = UpstreamRoom(count, now_s)

    def reporting(self, now_s: float) -> set[HostId]:
        """Returns the hosts that report what they use."""
        return {
            host
            for host, known in self._hosts.items()
            if now_s - known.received_s <= REPORT_VALID_S
        }

    def held(self, upstream: UpstreamId, now_s: float) -> int:
        """Returns the requests that may be at an upstream."""
        return sum(host.held(upstream, now_s) for host in self._hosts.values())

    def rooms(self, now_s: float) -> Places:
        """Returns the room of each upstream."""
        return {name: room.get(now_s) for name, room in self._rooms.items()}

    def report(
        self,
        host: HostId,
        uses: Mapping[UpstreamId, PlaceUse],
        applied: tuple[int, int],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Applies a host's report.

        Args:
            host: The host.
            uses: What it uses and wants; nothing at upstreams without an entry.
            applied: Epoch and number of the last grant that it has applied.
            sent_s: When it was sent, by the host's clock.
            now_s: The current time.
        """
        known = self._hosts.get(host)
        if known is not None and known.sent_s >= sent_s:
            return
        if known is None:
            known = self._hosts[host] = _Host({}, now_s, sent_s)
            known.granted = {name: use.allowed for name, use in uses.items()}
        else:
            self._record_outcomes(host, known.uses, uses, now_s)
        known.uses, known.received_s = dict(uses), now_s
        known.sent_s, known.needs_answer = sent_s, True
        epoch, number = applied
        if epoch == self.epoch:
            known.unapplied = {
                later: places
                for later, places in known.unapplied.items()
                if later > number
            }
            if not known.unapplied:
                # It may have returned places, and no grant is on its way.
                known.granted = {
                    name: use.allowed for name, use in uses.items()
                }

    def _record_outcomes(
        self,
        host: HostId,
        before: Mapping[UpstreamId, PlaceUse],
        after: Mapping[UpstreamId, PlaceUse],
        now_s: float,
    ) -> None:
        for upstream, room in self._rooms.items():
            use = after.get(upstream)
            known = before.get(upstream)
            if use is None or known is None:
                continue
            if use.refusals > known.refusals:
                room.record_refusals(use.refusals - known.refusals, now_s)
            if use.failures > known.failures:
                holders = sum(
                    bool(other.held(upstream, now_s))
                    for other in self._hosts.values()
                )
                room.record_failure(host, holders, now_s)
            elif use.responses > known.responses:
                room.record_response(now_s)

    def allocate(
        self,
        alive: Iterable[HostId],
        share: float,
        outside: Counter[UpstreamId],
        now_s: float,
    ) -> set[HostId]:
        """Decides the places of all hosts; returns those that need a grant.

        Args:
            alive: The hosts that should report.
            share: The share of the rooms that these hosts may use.
            outside: Requests at the upstreams of hosts that do not report.
            now_s: The current time.
        """
        self._forget_hosts(now_s)
        if not self._is_open:
            is_complete = self._hosts.keys() >= set(alive)
            self._is_open = is_complete or now_s >= self._opens_s
            if not self._is_open:
                return set()
        hosts = {host: self._hosts[host] for host in self.reporting(now_s)}
        notified = {host for host, each in hosts.items() if each.needs_answer}
        total = sum(self.rooms(now_s).values()) * share
        self._is_scarce = total < SCARCE_PLACES * len(hosts)
        wanted = _wanted_by_upstream(hosts)
        self._share = 1 / max(1, len(set().union(*wanted.values())))
        given: Counter[HostId] = Counter()
        for upstream, room in self._rooms.items():
            count = math.ceil(room.get(now_s) * share) - outside[upstream]
            there = _Demand(
                idle_hosts=[] if self._is_scarce else sorted(hosts),
                wanted=wanted.get(upstream, {}),
                granted={
                    host: places
                    for host, each in hosts.items()
                    if (places := each.granted.get(upstream, 0))
                },
            )
            targets = _share(there, max(0, count), given)
            free = count - self.held(upstream, now_s)
            for host, target in targets.items():
                granted = there.granted.get(host, 0)
                if target == granted:
                    continue
                # What a host may still use is no new place for it.
                unused = hosts[host].held(upstream, now_s) - granted
                raised = min(target - granted, max(0, free) + unused)
                change = raised if target > granted else target - granted
                if change:
                    hosts[host].granted[upstream] = granted + change
                    free -= max(0, change - unused)
                    notified.add(host)
        return notified

    def grant(self, host: HostId) -> HostGrant:
        """Returns a new grant to a host."""
        self._number += 1
        known = self._hosts[host]
        known.needs_answer = False
        places = {name: count for name, count in known.granted.items() if count}
        known.unapplied[self._number] = places
        return HostGrant(
            self._number, known.sent_s, places, self._share, self._is_scarce
        )

    def _forget_hosts(self, now_s: float) -> None:
        for host in list(self._hosts):
            age_s = now_s - self._hosts[host].received_s
            if age_s > HELD_S:
                del self._hosts[host]
            elif age_s > REPORT_VALID_S:
                self._hosts[host].granted = {}
                self._hosts[host].unapplied = {}


class _Demand(NamedTuple):
    """What hosts want and have at one upstream.

    Attributes:
        idle_hosts: Hosts that get the places that no request wants.
        wanted: Requests that run there or wait, by host and priority.
        granted: The places of each host that has any.
    """

    idle_hosts: list[HostId]
    wanted: dict[HostId, Mapping[int, int]]
    granted: dict[HostId, int]


def _wanted_by_upstream(
    hosts: Mapping[HostId, _Host],
) -> dict[UpstreamId, dict[HostId, Mapping[int, int]]]:
    wanted: defaultdict[UpstreamId, dict] = defaultdict(dict)
    for host, known in hosts.items():
        for upstream, use in known.uses.items():
            if use.wanted:
                wanted[upstream][host] = use.wanted
    return wanted


def _share(
    demand: _Demand, count: int, given: Counter[HostId]
) -> dict[HostId, int]:
    """Returns the places that each host should have; others keep none.

    Most urgent requests first, then in proportion to the requests of each host.
    Places that no request wants stay where they are. Raised ones come last, of
    the hosts with the most urgent requests first.

    Args:
        demand: What the hosts want and have.
        count: The places of all hosts together.
        given: Counts the places for requests that each host gets at the
            service.
    """
    wanted, granted = demand.wanted, demand.granted
    shares: Counter[HostId] = Counter()

    def weigh(host: HostId, priority: int) -> tuple[float, HostId]:
        weight = wanted[host][priority] / (given[host] + 1)
        if shares[host] < granted.get(host, 0):
            weight *= KEEP_FACTOR
        return -weight, host

    for priority in sorted(set().union(*wanted.values())):
        left = {
            host: counts[priority]
            for host, counts in wanted.items()
            if counts.get(priority)
        }
        asking = [weigh(host, priority) for host in left]
        heapq.heapify(asking)
        while asking and count:
            _, host = heapq.heappop(asking)
            shares[host] += 1
            given[host] += 1
            left[host] -= 1
            count -= 1
            if left[host]:
                heapq.heappush(asking, weigh(host, priority))
    for host in sorted(granted):
        kept = min(count, max(0, granted[host] - shares[host]))
        shares[host] += kept
        count -= kept
    if count and demand.idle_hosts:
        each, rest = divmod(count, len(demand.idle_hosts))
        for number, host in enumerate(demand.idle_hosts):
            shares[host] += each + (number < rest)

    def order(host: HostId) -> tuple:
        is_raised = shares[host] > granted.get(host, 0)
        return is_raised, min(wanted.get(host, ()), default=math.inf), host

    involved = shares.keys() | granted.keys()
    return {host: shares[host] for host in sorted(involved, key=order)}
