"""Who is alive: SWIM membership of the control processes.

Each host probes one member of its own failure domain a second, asks three
others to probe in its place when no answer comes, and then suspects the
member; a suspicion that the member does not refute in time declares it dead.
Updates travel on probes and their answers. This module decides only; the
process module sends what the methods return.
"""

import itertools
import random
from collections.abc import Iterable

from acaciaspoke.control.contacts import PROBE_INTERVAL_S as CROSS_INTERVAL_S
from acaciaspoke.control.contacts import Contacts
from acaciaspoke.control.gossip import Updates
from acaciaspoke.control.probes import Probe, Relay
from acaciaspoke.control.view import (
    NOTICES_PER_MESSAGE,
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
DIRECT_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3

# Without a call of ``tick`` for this long the process itself was paused, so
# answers that it did not read say nothing about its peers.
PAUSE_S = 2.0

# Samples for a peer whose view differs are paid from a token bucket, so that
# a restart of the whole domain does not multiply the traffic.
SYNC_MEMBERS = 16
JOIN_MEMBERS = 100
SYNC_MEMBERS_PER_S = 16.0
SYNC_BURST_MEMBERS = 200.0

# Notices and suspicions bound how long wrong work may start, so they do not
# wait for the next probe: each host passes them on at once to some others. A
# changed own record, such as a refutation, goes out the same way.
EAGER_INTERVAL_S = 0.5
EAGER_TARGETS = 3

SEED_INTERVAL_S = 30.0
JOINING_S = 5.0
JOINING_PROBES = 3


class Membership:
    """What one control process knows of its peers.

    ``tick`` must be called several times a second.

    Args:
        me: This process; the state must be alive.
        seeds: Mailboxes to join through.
        merge_suspicion: Merges a suspicion heard of into the one held (None
            if there is none); must give the same result in any order.
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
        # A random start keeps an answer to an earlier boot from matching.
        self._sequence = itertools.count(rng.getrandbits(48))
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._round: list[HostId] = []
        self._sync_members = SYNC_BURST_MEMBERS
        # Notices from this host's own list, for the other domains.
        self._abroad: Updates[UpstreamId] = Updates()
        self._tick_s = now_s
        self._joining_until_s = now_s + JOINING_S
        self._probe_due_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._cross_due_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._seed_due_s = now_s
        self._eager_due_s = now_s

    # What the process asks.

    @property
    def me(self) -> Member:
        """This process as its peers should know it."""
        return self._view.me

    def known(self) -> list[Member]:
        """Returns the own domain's members that are not dead, with this one."""
        return [self.me, *self._view.others()]

    def live(self) -> list[Member]:
        """Returns the members that take part in the domain's work.

        Suspects count until they are declared dead; members that leave don't.
        """
        return [
            member
            for member in self.known()
            if member.state is not MemberState.LEAVING
        ]

    def entry_processes(self) -> int:
        """Returns the entry processes of the domain's live members."""
        return sum(member.entry_processes for member in self.live())

    def live_domains(self, now_s: float) -> set[DomainId]:
        """Returns the domains that this host can reach, its own among them."""
        return {self.me.failure_domain} | self._contacts.live_domains(now_s)

    def foreign_contacts(self) -> list[Member]:
        """Returns one member of each other domain, the last heard of."""
        return self._contacts.one_per_domain()

    def notices(self) -> list[LeavingNotice]:
        """Returns the newest notice of each upstream."""
        return self._view.notices()

    def suspicions(self, now_s: float) -> list[Suspicion]:
        """Returns the suspicions that are not forgotten yet."""
        return self._view.suspicions(now_s)

    # What the process tells.

    def set_config_version(self, version: ConfigVersion) -> None:
        """Announces the version in force on the next probes."""
        self._view.set_config_version(version)

    def set_entry_processes(self, count: int) -> None:
        """Announces how many entry processes this host runs."""
        if count != self.me.entry_processes:
            self._view.announce(entry_processes=count)

    def set_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Limits the notices to the configured upstreams."""
        self._view.keep_notices_of(upstreams)

    def note_leaving(self, notices: Iterable[LeavingNotice]) -> None:
        """Takes in and spreads what the host list said."""
        for notice in notices:
            if self._view.apply_notice(notice):
                self._abroad.add(notice.upstream)

    def note_suspicions(
        self, suspicions: Iterable[Suspicion], now_s: float
    ) -> None:
        """Takes in and spreads suspicions of this host's entry processes."""
        for suspicion in suspicions:
            self._view.apply_suspicion(suspicion, now_s)

    def leave(self) -> list[Outgoing]:
        """Announces that this process is about to stop."""
        self._view.announce(state=MemberState.LEAVING)
        return self._ping_some(2 * EAGER_TARGETS)

    # Time.

    def tick(self, now_s: float) -> list[Outgoing]:
        """Does what is due and returns the messages to send."""
        gap_s = now_s - self._tick_s
        self._tick_s = now_s
        self._sync_members = min(
            self._sync_members + gap_s * SYNC_MEMBERS_PER_S, SYNC_BURST_MEMBERS
        )
        if gap_s > PAUSE_S:
            self._probes.clear()
            self._view.postpone(gap_s)
        outgoing = self._check_probes(now_s)
        self._view.expire(now_s)
        if now_s >= self._probe_due_s:
            self._probe_due_s = now_s + PROBE_INTERVAL_S
            outgoing += self._probe_members(now_s)
        if now_s >= self._cross_due_s:
            self._cross_due_s = now_s + CROSS_INTERVAL_S
            targets = self._contacts.targets()
            outgoing += [self._ping_abroad(item.address) for item in targets]
        if now_s >= self._seed_due_s:
            outgoing += self._ping_seeds(now_s)
        urgent = (
            self._view.announced
            or len(self._abroad) > 0
            or self._view.has_urgent(EAGER_TARGETS)
        )
        if urgent and now_s >= self._eager_due_s:
            self._view.announced = False
            self._eager_due_s = now_s + EAGER_INTERVAL_S
            outgoing += self._spread_eagerly()
        return outgoing

    def _check_probes(self, now_s: float) -> list[Outgoing]:
        outgoing = []
        for sequence, probe in list(self._probes.items()):
            waited_s = now_s - probe.sent_s
            target = self._view.get(probe.host)
            if target is None or target.state is MemberState.DEAD:
                del self._probes[sequence]
            elif waited_s >= PROBE_INTERVAL_S:
                del self._probes[sequence]
                outgoing += self._suspect(target, now_s)
            elif waited_s >= DIRECT_TIMEOUT_S and not probe.indirect:
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
        """Suspects a member that answered no probe and tells it so."""
        if target.state is MemberState.LEAVING:
            # It said that it would go; nothing is left to refute.
            self._view.set_state(target, MemberState.DEAD, now_s)
            return []
        if target.state is MemberState.ALIVE:
            target = self._view.set_state(target, MemberState.SUSPECT, now_s)
        return [self._ping(target.address, target)]

    def _probe_members(self, now_s: float) -> list[Outgoing]:
        """Probes the next member of a shuffled round and one dead member.

        Rounds bound the time until each member is probed. A dead member is
        probed so that the halves of a healed partition find each other.
        """
        joining = now_s < self._joining_until_s
        outgoing = []
        for target in self._next_of_round(JOINING_PROBES if joining else 1):
            sequence = next(self._sequence)
            self._probes[sequence] = Probe(target.host, now_s)
            suspected = target.state is MemberState.SUSPECT
            about = target if suspected else None
            outgoing.append(self._ping(target.address, about, sequence))
        dead = self._view.dead()
        if dead:
            member = self._rng.choice(dead)
            # Without updates: sends to a dead member must not use them up.
            ping = Ping(
                sender=self.me,
                sequence=next(self._sequence),
                members=(member,),
                view_digest=self._view.digest(),
            )
            outgoing.append(Outgoing(member.address, ping))
        return outgoing

    def _next_of_round(self, count: int) -> list[Member]:
        others = {member.host: member for member in self._view.others()}
        targets = []
        for _ in range(min(count, len(others))):
            self._round = [host for host in self._round if host in others]
            if not self._round:
                self._round = list(others)
                self._rng.shuffle(self._round)
            targets.append(others[self._round.pop()])
        return targets

    def _ping_seeds(self, now_s: float) -> list[Outgoing]:
        """Joins through the seeds, and later looks for lost ones."""
        reached = {member.address for member in self.known()}
        reached |= self._contacts.addresses()
        missing = [seed for seed in self._seeds if seed not in reached]
        alone = len(self.known()) == 1
        self._seed_due_s = now_s + (1.0 if alone else SEED_INTERVAL_S)
        if missing and now_s >= self._joining_until_s:
            missing = [self._rng.choice(missing)]
        return [self._ping_abroad(seed) for seed in missing]

    def _spread_eagerly(self) -> list[Outgoing]:
        # Only the host that read the list tells the other domains, whose
        # hosts then spread it among themselves.
        contacts = self._contacts.one_per_domain()
        upstreams = self._abroad.take(NOTICES_PER_MESSAGE, len(contacts))
        leaving = self._view.notices_of(upstreams)
        outgoing = [
            self._ping_abroad(member.address, leaving)
            for member in contacts
            if leaving
        ]
        return outgoing + self._ping_some(EAGER_TARGETS)

    # Messages.

    def on_ping(self, ping: Ping, now_s: float) -> list[Outgoing]:
        """Takes in a probe and answers it."""
        sender = ping.sender
        joins = self._view.get(sender.host) is None
        self._hear(ping, now_s)
        if sender.failure_domain != self.me.failure_domain:
            gossip = self._gossip_abroad()
        else:
            gossip = self._gossip()
            gossip.members += self._corrections(sender)
            limit = JOIN_MEMBERS if joins else SYNC_MEMBERS
            limit = min(limit, int(self._sync_members))
            missed = self._view.differing(ping.view_digest, limit, self._rng)
            self._sync_members -= len(missed.members)
            gossip.members += missed.members
            gossip.leaving += missed.leaving
        ack = Ack(sender=self.me, sequence=ping.sequence, **gossip.fields())
        return [Outgoing(sender.address, ack)]

    def on_ack(self, ack: Ack, now_s: float) -> list[Outgoing]:
        """Takes in an answer; passes it on if it was for another member."""
        self._hear(ack, now_s)
        self._probes.pop(ack.sequence, None)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        answer = Ack(sender=ack.sender, sequence=relay.sequence)
        return [Outgoing(relay.address, answer)]

    def on_ping_request(
        self, request: PingRequest, now_s: float
    ) -> list[Outgoing]:
        """Probes a member for another one."""
        self._view.apply(request.sender, now_s)
        sequence = next(self._sequence)
        self._relays[sequence] = Relay(
            request.sender.address, request.sequence, now_s
        )
        return [self._ping(request.target, sequence=sequence)]

    def _hear(self, message: Ping | Ack, now_s: float) -> None:
        sender = message.sender
        if sender.failure_domain != self.me.failure_domain:
            self._contacts.hear(sender, now_s)
        else:
            self._view.apply(sender, now_s)
        for member in message.members:
            if member.failure_domain != self.me.failure_domain:
                self._contacts.learn(member)
            else:
                self._view.apply(member, now_s)
        for notice in message.leaving:
            self._view.apply_notice(notice)
        for suspicion in message.suspicions:
            self._view.apply_suspicion(suspicion, now_s)

    def _corrections(self, sender: Member) -> list[Member]:
        """Returns what the sender has to refute.

        This is a suspicion, or the record of an earlier boot of its host.
        """
        held = self._view.get(sender.host)
        if held and (
            held.boot != sender.boot or precedence(held) > precedence(sender)
        ):
            return [held]
        return []

    # What messages carry.

    def _gossip(self) -> Gossip:
        gossip = self._view.take(self._tick_s)
        gossip.members += self._contacts.sample(1)
        return gossip

    def _gossip_abroad(self) -> Gossip:
        """Returns some live members as contacts, and the notices."""
        live = [
            member
            for member in self._view.sample(2, self._rng)
            if member.state is MemberState.ALIVE
        ]
        return Gossip(members=live, leaving=self._view.fresh_notices())

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

    def _ping_abroad(
        self, address: Address, leaving: Iterable[LeavingNotice] = ()
    ) -> Outgoing:
        gossip = self._gossip_abroad()
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
