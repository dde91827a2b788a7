"""SWIM membership and failure detection among the control processes.

Each host probes one member of its own failure domain a second. If no ack
arrives, it asks three other members for indirect probes, and then suspects the
member; a suspect that does not refute the suspicion in time is declared dead.
Updates are piggybacked on probes and acks. This module performs no I/O: the
process module sends the messages that the methods return.
"""

import itertools
import random
from collections.abc import Iterable

from acaciaspoke.control.contacts import FOREIGN_PROBE_INTERVAL_S, Contacts
from acaciaspoke.control.gossip import UpdateQueue
from acaciaspoke.control.probes import Probe, Relay
from acaciaspoke.control.view import (
    MAX_NOTICES_PER_MESSAGE,
    Gossip,
    MergeSuspicion,
    View,
    precedence,
)
from acaciaspoke.ids import Address, ConfigVersion, DomainId, HostId, UpstreamId
from acaciaspoke.net.messages import Ack, Outgoing, Ping, PingRequest
from acaciaspoke.net.records import (
    LeavingNotice,
    Member,
    MemberState,
    Suspicion,
)

PROBE_INTERVAL_S = 1.0
DIRECT_PROBE_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3

# After a longer gap between calls of ``tick`` this process itself was paused,
# so missing acks say nothing about its peers.
MIN_PAUSE_S = 2.0

# Members sent to a peer whose view differs are limited by a token bucket, so
# that a restart of the whole domain does not multiply the traffic.
MAX_SYNC_MEMBERS = 16
MAX_JOIN_MEMBERS = 100
SYNC_MEMBERS_PER_S = 16.0
MAX_SYNC_BURST_MEMBERS = 200.0

# Until a leaving notice or crash suspicion arrives, a host may dispatch to a
# leaving upstream, or dispatch a request that crashes upstreams. Hosts thus
# forward them to some members at once instead of with the next probe. A change
# of a host's own record, such as a refutation, is sent the same way.
URGENT_GOSSIP_INTERVAL_S = 0.5
URGENT_GOSSIP_TARGETS = 3

SEED_INTERVAL_S = 30.0
JOIN_PERIOD_S = 5.0
JOIN_PROBES_PER_INTERVAL = 3


class Membership:
    """The membership protocol of one control process.

    ``tick`` must be called several times a second.

    Args:
        me: This process; the state must be alive.
        seeds: Mailboxes to join through.
        merge_suspicion: Merges a received crash suspicion into the stored one
            (None if there is none); must give the same result in any order.
    """

    def __init__(
        self,
        me: Member,
        seeds: Iterable[Address],
        rng: random.Random,
        merge_suspicion: MergeSuspicion,
        now_s: float,
    ):
        self._view = View(me, merge_suspicion)
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._rng = rng
        self._contacts = Contacts(rng)
        # A random start keeps acks to an earlier boot from matching a probe.
        self._sequence = itertools.count(rng.getrandbits(48))
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._probe_round: list[HostId] = []
        self._sync_budget_members = MAX_SYNC_BURST_MEMBERS
        # Notices from this host's own host list, for other domains.
        self._foreign_updates: UpdateQueue[UpstreamId] = UpdateQueue()
        self._tick_s = now_s
        self._join_end_s = now_s + JOIN_PERIOD_S
        self._probe_due_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._foreign_probe_due_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._seed_due_s = now_s
        self._urgent_gossip_due_s = now_s

    # Queries.

    @property
    def me(self) -> Member:
        """This process's own record."""
        return self._view.me

    def known(self) -> list[Member]:
        """Returns the domain's members that are not dead, and this one."""
        return [self.me, *self._view.others()]

    def live(self) -> list[Member]:
        """Returns the alive and suspect members of the own domain.

        Suspects are included until they are declared dead; leaving members are
        not.
        """
        return [
            member
            for member in self.known()
            if member.state is not MemberState.LEAVING
        ]

    def entry_processes(self) -> int:
        """Returns the number of entry processes of the live members."""
        return sum(member.entry_processes for member in self.live())

    def live_domains(self, now_s: float) -> set[DomainId]:
        """Returns the reachable failure domains, including the own one."""
        return {self.me.failure_domain} | self._contacts.live_domains(now_s)

    def foreign_contacts(self) -> list[Member]:
        """Returns the most recently seen member of each other domain."""
        return self._contacts.one_per_domain()

    def notices(self) -> list[LeavingNotice]:
        """Returns the newest notice of each upstream."""
        return self._view.notices()

    def suspicions(self, now_s: float) -> list[Suspicion]:
        """Returns the crash suspicions that have not expired."""
        return self._view.suspicions(now_s)

    # Local updates.

    def set_config_version(self, version: ConfigVersion) -> None:
        """Announces the configuration version in force with the next probes."""
        self._view.set_config_version(version)

    def set_entry_processes(self, count: int) -> None:
        """Announces how many entry processes this host runs."""
        if count != self.me.entry_processes:
            self._view.announce(entry_processes=count)

    def set_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Restricts notices to the configured upstreams."""
        self._view.set_upstreams(upstreams)

    def record_leaving_notices(self, notices: Iterable[LeavingNotice]) -> None:
        """Records and disseminates notices from this host's host list."""
        for notice in notices:
            if self._view.apply_notice(notice):
                self._foreign_updates.add(notice.upstream)

    def record_suspicions(
        self, suspicions: Iterable[Suspicion], now_s: float
    ) -> None:
        """Records and disseminates crash suspicions from entry processes."""
        for suspicion in suspicions:
            self._view.apply_suspicion(suspicion, now_s)

    def leave(self) -> list[Outgoing]:
        """Announces that this process is about to stop.

        Returns the messages to send.
        """
        self._view.announce(state=MemberState.LEAVING)
        return self._ping_some(2 * URGENT_GOSSIP_TARGETS)

    # Timers.

    def tick(self, now_s: float) -> list[Outgoing]:
        """Handles expired timers and returns the messages to send."""
        gap_s = now_s - self._tick_s
        self._tick_s = now_s
        self._sync_budget_members = min(
            self._sync_budget_members + gap_s * SYNC_MEMBERS_PER_S,
            MAX_SYNC_BURST_MEMBERS,
        )
        if gap_s > MIN_PAUSE_S:
            self._probes.clear()
            self._view.extend_deadlines(gap_s)
        outgoing = self._check_probe_timeouts(now_s)
        self._view.expire(now_s)
        if now_s >= self._probe_due_s:
            self._probe_due_s = now_s + PROBE_INTERVAL_S
            outgoing += self._probe_members(now_s)
        if now_s >= self._foreign_probe_due_s:
            self._foreign_probe_due_s = now_s + FOREIGN_PROBE_INTERVAL_S
            targets = self._contacts.targets()
            outgoing += [self._ping_foreign(item.address) for item in targets]
        if now_s >= self._seed_due_s:
            outgoing += self._ping_seeds(now_s)
        urgent = (
            self._view.has_new_incarnation
            or len(self._foreign_updates) > 0
            or self._view.has_urgent(URGENT_GOSSIP_TARGETS)
        )
        if urgent and now_s >= self._urgent_gossip_due_s:
            self._view.has_new_incarnation = False
            self._urgent_gossip_due_s = now_s + URGENT_GOSSIP_INTERVAL_S
            outgoing += self._send_urgent_gossip()
        return outgoing

    def _check_probe_timeouts(self, now_s: float) -> list[Outgoing]:
        outgoing = []
        for sequence, probe in list(self._probes.items()):
            waited_s = now_s - probe.sent_s
            target = self._view.get(probe.host)
            if target is None or target.state is MemberState.DEAD:
                del self._probes[sequence]
            elif waited_s >= PROBE_INTERVAL_S:
                del self._probes[sequence]
                outgoing += self._suspect(target, now_s)
            elif waited_s >= DIRECT_PROBE_TIMEOUT_S and not probe.indirect:
                probe.indirect = True
                request = PingRequest(
                    sender=self.me, sequence=sequence, target=target.address
                )
                helpers = self._view.sample(
                    INDIRECT_PROBES, self._rng, without=probe.host
                )
                outgoing += [
                    Outgoing(helper.address, request) for helper in helpers
                ]
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if now_s - relay.sent_s < PROBE_INTERVAL_S
        }
        return outgoing

    def _suspect(self, target: Member, now_s: float) -> list[Outgoing]:
        """Suspects a member that did not ack, and notifies it."""
        if target.state is MemberState.LEAVING:
            # The member announced its stop, so it will not refute.
            self._view.set_state(target, MemberState.DEAD, now_s)
            return []
        if target.state is MemberState.ALIVE:
            target = self._view.set_state(target, MemberState.SUSPECT, now_s)
        return [self._ping(target.address, target)]

    def _probe_members(self, now_s: float) -> list[Outgoing]:
        """Probes the next member in shuffled order, and one dead member.

        Shuffled rounds bound the time until each member is probed. Probing a
        dead member lets the halves of a healed partition rejoin.
        """
        joining = now_s < self._join_end_s
        outgoing = []
        for target in self._next_probe_targets(
            JOIN_PROBES_PER_INTERVAL if joining else 1
        ):
            sequence = next(self._sequence)
            self._probes[sequence] = Probe(target.host, now_s)
            suspected = target.state is MemberState.SUSPECT
            about = target if suspected else None
            outgoing.append(self._ping(target.address, about, sequence))
        dead = self._view.dead()
        if dead:
            member = self._rng.choice(dead)
            # Carries no queued updates: sends to a dead member must not count.
            ping = Ping(
                sender=self.me,
                sequence=next(self._sequence),
                members=(member,),
                view_digest=self._view.digest(),
            )
            outgoing.append(Outgoing(member.address, ping))
        return outgoing

    def _next_probe_targets(self, count: int) -> list[Member]:
        others = {member.host: member for member in self._view.others()}
        targets = []
        for _ in range(min(count, len(others))):
            self._probe_round = [
                host for host in self._probe_round if host in others
            ]
            if not self._probe_round:
                self._probe_round = list(others)
                self._rng.shuffle(self._probe_round)
            targets.append(others[self._probe_round.pop()])
        return targets

    def _ping_seeds(self, now_s: float) -> list[Outgoing]:
        """Joins through the seeds, and later probes seeds that are unknown."""
        reached = {member.address for member in self.known()}
        reached |= self._contacts.addresses()
        missing = [seed for seed in self._seeds if seed not in reached]
        alone = len(self.known()) == 1
        self._seed_due_s = now_s + (1.0 if alone else SEED_INTERVAL_S)
        if missing and now_s >= self._join_end_s:
            missing = [self._rng.choice(missing)]
        return [self._ping_foreign(seed) for seed in missing]

    def _send_urgent_gossip(self) -> list[Outgoing]:
        # Only the host that read the host list notifies the other domains;
        # their hosts then disseminate the notice among themselves.
        contacts = self._contacts.one_per_domain()
        upstreams = self._foreign_updates.next_batch(
            MAX_NOTICES_PER_MESSAGE, len(contacts)
        )
        leaving = self._view.notices_of(upstreams)
        outgoing = [
            self._ping_foreign(member.address, leaving)
            for member in contacts
            if leaving
        ]
        return outgoing + self._ping_some(URGENT_GOSSIP_TARGETS)

    # Messages.

    def on_ping(self, ping: Ping, now_s: float) -> list[Outgoing]:
        """Applies the gossip of a probe and returns the ack."""
        sender = ping.sender
        is_joining = self._view.get(sender.host) is None
        self._apply_gossip(ping, now_s)
        if sender.failure_domain != self.me.failure_domain:
            gossip = self._gossip_for_foreign()
        else:
            gossip = self._gossip()
            gossip.members += self._corrections(sender)
            limit = MAX_JOIN_MEMBERS if is_joining else MAX_SYNC_MEMBERS
            limit = min(limit, int(self._sync_budget_members))
            missed = self._view.differing_from(
                ping.view_digest, limit, self._rng
            )
            self._sync_budget_members -= len(missed.members)
            gossip.members += missed.members
            gossip.leaving += missed.leaving
        ack = Ack(sender=self.me, sequence=ping.sequence, **gossip.fields())
        return [Outgoing(sender.address, ack)]

    def on_ack(self, ack: Ack, now_s: float) -> list[Outgoing]:
        """Handles an ack; forwards it if it answers an indirect probe."""
        self._apply_gossip(ack, now_s)
        self._probes.pop(ack.sequence, None)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        forwarded = Ack(sender=ack.sender, sequence=relay.sequence)
        return [Outgoing(relay.address, forwarded)]

    def on_ping_request(
        self, request: PingRequest, now_s: float
    ) -> list[Outgoing]:
        """Probes a member on behalf of the sender."""
        self._view.apply(request.sender, now_s)
        sequence = next(self._sequence)
        self._relays[sequence] = Relay(
            request.sender.address, request.sequence, now_s
        )
        return [self._ping(request.target, sequence=sequence)]

    def _apply_gossip(self, message: Ping | Ack, now_s: float) -> None:
        sender = message.sender
        if sender.failure_domain != self.me.failure_domain:
            self._contacts.record_received(sender, now_s)
        else:
            self._view.apply(sender, now_s)
        for member in message.members:
            if member.failure_domain != self.me.failure_domain:
                self._contacts.record_mentioned(member)
            else:
                self._view.apply(member, now_s)
        for notice in message.leaving:
            self._view.apply_notice(notice)
        for suspicion in message.suspicions:
            self._view.apply_suspicion(suspicion, now_s)

    def _corrections(self, sender: Member) -> list[Member]:
        """Returns the record that the sender has to refute, if any.

        This is a suspicion, or the record of an earlier boot of its host.
        """
        stored = self._view.get(sender.host)
        if stored and (
            stored.boot != sender.boot
            or precedence(stored) > precedence(sender)
        ):
            return [stored]
        return []

    # Message contents.

    def _gossip(self) -> Gossip:
        gossip = self._view.next_batch(self._tick_s)
        gossip.members += self._contacts.sample(1)
        return gossip

    def _gossip_for_foreign(self) -> Gossip:
        """Returns gossip for another domain: some contacts, and the notices."""
        live = [
            member
            for member in self._view.sample(2, self._rng)
            if member.state is MemberState.ALIVE
        ]
        return Gossip(members=live, leaving=self._view.peek_notices())

    def _ping(
        self,
        address: Address,
        about: Member | None = None,
        sequence: int | None = None,
    ) -> Outgoing:
        gossip = self._gossip()
        if about:
            gossip.members.append(about)
        ping = Ping(
            sender=self.me,
            sequence=next(self._sequence) if sequence is None else sequence,
            view_digest=self._view.digest(),
            **gossip.fields(),
        )
        return Outgoing(address, ping)

    def _ping_foreign(
        self, address: Address, leaving: Iterable[LeavingNotice] = ()
    ) -> Outgoing:
        gossip = self._gossip_for_foreign()
        gossip.leaving += leaving
        ping = Ping(
            sender=self.me,
            sequence=next(self._sequence),
            **gossip.fields(),
        )
        return Outgoing(address, ping)

    def _ping_some(self, count: int) -> list[Outgoing]:
        return [
            self._ping(member.address)
            for member in self._view.sample(count, self._rng)
        ]
