"""Tells whether this host may lead, from what all hosts report."""

import time
from collections.abc import Callable

from acaciaspoke.gateway.candidacy import should_compete, should_hand_over
from acaciaspoke.gateway.crash_guard import is_own_loss
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.known_leader import KnownLeader
from acaciaspoke.gateway.loadexchange import LoadExchange
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.gateway.settings import GatewaySettings
from acaciaspoke.ids import HostId

# When all hosts start for the first time, none competes for the lease until
# each has discovered the others; otherwise all of them would compete.
DISCOVERY_S = 1.5


class LeaderEligibility:
    """Applies the rules of candidacy to the state of a gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: Fleet,
        peers: Peers,
        loads: LoadExchange,
        known_leader: KnownLeader,
        lease_holder: Callable[[], HostId | None],
        is_ready: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an object of a process that starts now.

        Args:
            settings: The settings of this host.
            fleet: Knows the links to upstreams and the hosts without any.
            peers: Knows the registered hosts.
            loads: Knows the responsive hosts.
            known_leader: Knows whether there is an active leader.
            lease_holder: Returns the holder in the row of the lease.
            is_ready: Whether this host is ready for requests.
            clock: Returns the time.
        """
        self._settings = settings
        self._fleet = fleet
        self._peers = peers
        self._loads = loads
        self._known_leader = known_leader
        self._lease_holder = lease_holder
        self._is_ready = is_ready
        self._clock = clock
        self._started_s = clock()

    def is_own_loss(self, now_s: float) -> bool:
        """Returns whether links that are lost are those of this host."""
        return is_own_loss(
            self._peers.rows.keys() - {self._settings.host_id},
            self._loads.live(now_s),
            self._fleet.peer_loads.detached_hosts(now_s),
        )

    def others_can_lead(self, now_s: float) -> bool:
        """Returns whether another host has links to upstreams and goes on."""
        return not self._unfit_leaders(now_s).issuperset(
            self._loads.live(now_s)
        )

    def is_lease_candidate(self) -> bool:
        """Returns whether this host should try to acquire the lease.

        Without a configuration it could not plan.
        """
        now_s = self._clock()
        if not self._is_ready():
            return False
        age_s = now_s - self._started_s
        if self._settings.is_first_start and age_s < DISCOVERY_S:
            return False
        if not self._known_leader.is_silent(now_s):
            return False
        local_host = self._settings.host_id
        links_mbps = self._loads.live_links_mbps(now_s)
        links_mbps[local_host] = self._settings.link_mbps
        detached = self._unfit_leaders(now_s)
        if self._fleet.links.is_cut_off(now_s):
            detached.add(local_host)
        return should_compete(
            local_host, self._lease_holder(), links_mbps, detached
        )

    def should_hand_over_lease(self) -> bool:
        """Returns whether another host should lead, as links are lost."""
        now_s = self._clock()
        return should_hand_over(
            self._fleet.links.cut_off_s(now_s), self.others_can_lead(now_s)
        )

    def _unfit_leaders(self, now_s: float) -> set[HostId]:
        loads = self._fleet.peer_loads
        return loads.detached_hosts(now_s) | loads.stopping_hosts(now_s)
