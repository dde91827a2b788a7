"""What a control process believes of its peers, and what it spreads of that.

Members, notices of leaving upstreams and suspicions are merged so that every
host ends with the same view whatever order the updates arrive in.
"""

import functools
import math
import random
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from acaciaspoke.control.gossip import Updates
from acaciaspoke.ids import ConfigVersion, Fingerprint, HostId, UpstreamId
from acaciaspoke.net.records import (
    LeavingNotice,
    Member,
    MemberState,
    Suspicion,
)

MergeSuspicion = Callable[[Suspicion | None, Suspicion], Suspicion]

# Suspicions of members last this long for each power of ten of members, so
# that the refutation has the time to spread.
MEMBER_SUSPECT_S = 5.0

# Longer than any update circulates, so that no old update brings one back.
FORGET_DEAD_S = 600.0
FORGET_SUSPICION_S = 600.0

# A message adds about 200 bytes for a member, 70 for a notice and 100 for a
# suspicion; with these limits the worst case of four full messages a second
# stays inside 27 KB/s.
MEMBERS_PER_MESSAGE = 6
NOTICES_PER_MESSAGE = 16
SUSPICIONS_PER_MESSAGE = 6

# With 32 parts a lost update among 300 members costs a sample of about ten
# members; with one part it would cost many samples of random members.
DIGEST_PARTS = 32
DIGEST_PART_BYTES = 2

_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


class _HeldSuspicion(msgspec.Struct, frozen=True):
    suspicion: Suspicion
    at_s: float

    def aged(self, now_s: float) -> Suspicion:
        age_s = self.suspicion.age_s + max(now_s - self.at_s, 0.0)
        return msgspec.structs.replace(self.suspicion, age_s=round(age_s, 1))


class Gossip(msgspec.Struct):
    """The piggybacked part of a message."""

    members: list[Member] = []
    leaving: list[LeavingNotice] = []
    suspicions: list[Suspicion] = []

    def fields(self) -> dict[str, tuple]:
        """Returns the fields of a ``Ping`` or an ``Ack``."""
        return {
            name: tuple(value)
            for name, value in msgspec.structs.asdict(self).items()
        }


def precedence(member: Member) -> tuple[int, int]:
    """Returns the key by which a newer record of a member wins."""
    return member.incarnation, _PRECEDENCE[member.state]


@functools.lru_cache(maxsize=16384)
def _part_of(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % DIGEST_PARTS


class View:
    """The own domain's members, the notices and the suspicions.

    Attributes:
        me: This process's own record.
        announced: Whether the own record changed since this was last reset.
    """

    def __init__(self, me: Member, merge_suspicion: MergeSuspicion):
        self.me = me
        self.announced = False
        self._merge_suspicion = merge_suspicion
        self._members: dict[HostId, Member] = {}
        self._deadlines: dict[HostId, float] = {}
        self._notices: dict[UpstreamId, LeavingNotice] = {}
        self._upstreams: frozenset[UpstreamId] | None = None
        self._suspicions: dict[Fingerprint, _HeldSuspicion] = {}
        self._member_updates: Updates[HostId] = Updates()
        self._notice_updates: Updates[UpstreamId] = Updates()
        self._suspicion_updates: Updates[Fingerprint] = Updates()
        self._digest: bytes | None = None

    # Reading.

    def get(self, host: HostId) -> Member | None:
        """Returns the record of another host of the domain."""
        return self._members.get(host)

    def others(self) -> list[Member]:
        """Returns the other members that are not declared dead."""
        return [
            member
            for member in self._members.values()
            if member.state is not MemberState.DEAD
        ]

    def dead(self) -> list[Member]:
        """Returns the members that were declared dead and not forgotten."""
        return [
            member
            for member in self._members.values()
            if member.state is MemberState.DEAD
        ]

    def notices(self) -> list[LeavingNotice]:
        """Returns the newest notice of each upstream."""
        return list(self._notices.values())

    def suspicions(self, now_s: float) -> list[Suspicion]:
        """Returns the suspicions that are not forgotten yet."""
        return [held.aged(now_s) for held in self._suspicions.values()]

    def digest(self) -> bytes:
        """Returns hashes that differ where two views lastingly differ.

        Members and notices fall into parts by their names, and each part has
        its own hash. Suspicions of members are left out, as they pass within
        seconds.
        """
        if self._digest is None:
            parts = [xxhash.xxh32() for _ in range(DIGEST_PARTS)]
            for member in sorted(
                [self.me, *self.others()], key=lambda member: member.host
            ):
                leaving = member.state is MemberState.LEAVING
                parts[_part_of(member.host)].update(
                    f"{member.host}\0{member.incarnation}\0{leaving}\0".encode()
                )
            for upstream, notice in sorted(self._notices.items()):
                parts[_part_of(upstream)].update(
                    f"{upstream}\0{notice.leaving}\0".encode()
                )
            self._digest = b"".join(
                part.digest()[:DIGEST_PART_BYTES] for part in parts
            )
        return self._digest

    def differing(
        self, digest: bytes, limit: int, rng: random.Random
    ) -> Gossip:
        """Returns up to ``limit`` members and notices of differing parts."""
        width = DIGEST_PART_BYTES
        mine = self.digest()
        differ = {
            part
            for part in range(DIGEST_PARTS)
            if mine[part * width : (part + 1) * width]
            != digest[part * width : (part + 1) * width]
        }
        if not differ:
            return Gossip()
        members = [
            member
            for member in self.others()
            if _part_of(member.host) in differ
        ]
        notices = [
            notice
            for upstream, notice in self._notices.items()
            if _part_of(upstream) in differ
        ]
        return Gossip(
            members=rng.sample(members, min(limit, len(members))),
            leaving=rng.sample(notices, min(limit, len(notices))),
        )

    # Updates.

    def announce(self, **changes) -> None:
        """Changes the own record so that it replaces every earlier one."""
        self.me = msgspec.structs.replace(
            self.me, incarnation=self.me.incarnation + 1, **changes
        )
        self.announced = True
        self._digest = None

    def set_config_version(self, version: ConfigVersion) -> None:
        """Changes the version in the own record without a new incarnation."""
        self.me = msgspec.structs.replace(self.me, config_version=version)

    def apply(self, member: Member, now_s: float) -> None:
        """Takes in a member record of the own domain if it is newer."""
        if member.host == self.me.host:
            self._refute(member)
            return
        held = self._members.get(member.host)
        if held is None and member.state is MemberState.DEAD:
            return  # A member that was forgotten stays forgotten.
        if held and precedence(member) <= precedence(held):
            if (
                member.boot == held.boot
                and member.config_version > held.config_version
            ):
                self._members[member.host] = msgspec.structs.replace(
                    held, config_version=member.config_version
                )
            return
        self._members[member.host] = member
        self._digest = None
        self._member_updates.add(member.host)
        self._deadlines.pop(member.host, None)
        if member.state is MemberState.SUSPECT:
            scale = max(1.0, math.log10(len(self._members) + 1))
            self._deadlines[member.host] = now_s + MEMBER_SUSPECT_S * scale
        elif member.state is MemberState.DEAD:
            self._deadlines[member.host] = now_s + FORGET_DEAD_S

    def set_state(
        self, member: Member, state: MemberState, now_s: float
    ) -> Member:
        """Changes what is believed of a member; returns its record."""
        self.apply(msgspec.structs.replace(member, state=state), now_s)
        return self._members[member.host]

    def _refute(self, claim: Member) -> None:
        """Outbids a claim about this host that is wrong or of another boot."""
        same = (claim.state, claim.boot) == (self.me.state, self.me.boot)
        if claim.incarnation > self.me.incarnation or (
            claim.incarnation == self.me.incarnation and not same
        ):
            self.me = msgspec.structs.replace(
                self.me, incarnation=claim.incarnation
            )
            self.announce()

    def apply_notice(self, notice: LeavingNotice) -> bool:
        """Takes in a notice; tells whether it changed anything."""
        if self._upstreams is not None and (
            notice.upstream not in self._upstreams
        ):
            return False
        held = self._notices.get(notice.upstream)
        if held and notice.list_revision <= held.list_revision:
            return False
        self._notices[notice.upstream] = notice
        if held and held.leaving == notice.leaving:
            # Spreading each new revision of an unchanged entry would cost
            # more than it tells.
            return False
        self._notice_updates.add(notice.upstream)
        self._digest = None
        return True

    def keep_notices_of(self, upstreams: Iterable[UpstreamId]) -> None:
        """Forgets and ignores notices of upstreams that are not configured.

        Upstreams are replaced many times a day under new ids, so notices
        would pile up without end.
        """
        self._upstreams = frozenset(upstreams)
        for upstream in self._notices.keys() - self._upstreams:
            del self._notices[upstream]
            self._notice_updates.discard(upstream)
        self._digest = None

    def apply_suspicion(self, suspicion: Suspicion, now_s: float) -> None:
        """Merges a suspicion; spreads it on if it told anything new."""
        if suspicion.age_s > FORGET_SUSPICION_S:
            return
        fingerprint = suspicion.fingerprint
        held = self._suspicions.get(fingerprint)
        mine = held.aged(now_s) if held else None
        merged = self._merge_suspicion(mine, suspicion)
        if mine is None or (merged.crashes, merged.voided) != (
            mine.crashes,
            mine.voided,
        ):
            self._suspicions[fingerprint] = _HeldSuspicion(merged, now_s)
            self._suspicion_updates.add(fingerprint)

    # Time.

    def expire(self, now_s: float) -> None:
        """Declares suspects dead and forgets what is old enough."""
        for host, due_s in list(self._deadlines.items()):
            if now_s < due_s:
                continue
            member = self._members[host]
            if member.state is MemberState.DEAD:
                del self._deadlines[host], self._members[host]
                self._member_updates.discard(host)
            else:
                self.set_state(member, MemberState.DEAD, now_s)
        for fingerprint, held in list(self._suspicions.items()):
            if held.suspicion.age_s + now_s - held.at_s > FORGET_SUSPICION_S:
                del self._suspicions[fingerprint]
                self._suspicion_updates.discard(fingerprint)

    def postpone(self, by_s: float) -> None:
        """Moves all deadlines, after this process was paused itself."""
        self._deadlines = {
            host: due_s + by_s for host, due_s in self._deadlines.items()
        }

    # Spreading.

    def take(self, now_s: float) -> Gossip:
        """Returns the updates for one message to a member of the domain."""
        count = len(self._members)
        hosts = self._member_updates.take(MEMBERS_PER_MESSAGE, count)
        prints = self._suspicion_updates.take(SUSPICIONS_PER_MESSAGE, count)
        return Gossip(
            members=[self._members[host] for host in hosts],
            leaving=self.take_notices(),
            suspicions=[self._suspicions[item].aged(now_s) for item in prints],
        )

    def take_notices(self) -> list[LeavingNotice]:
        """Returns the notices for one message."""
        upstreams = self._notice_updates.take(
            NOTICES_PER_MESSAGE, len(self._members)
        )
        return [self._notices[upstream] for upstream in upstreams]

    def fresh_notices(self) -> list[LeavingNotice]:
        """Returns notices for another domain.

        These sends do not count, as they bring the own domain no further.
        """
        upstreams = self._notice_updates.first(NOTICES_PER_MESSAGE)
        return [self._notices[upstream] for upstream in upstreams]

    def notices_of(
        self, upstreams: Iterable[UpstreamId]
    ) -> list[LeavingNotice]:
        """Returns the notices of some upstreams."""
        return [
            self._notices[upstream]
            for upstream in upstreams
            if upstream in self._notices
        ]

    def has_urgent(self, sends: int) -> bool:
        """Tells whether a notice or suspicion was sent fewer times."""
        return self._notice_updates.sent_fewer_than(
            sends
        ) or self._suspicion_updates.sent_fewer_than(sends)

    def sample(
        self, count: int, rng: random.Random, without: HostId | None = None
    ) -> list[Member]:
        """Returns random other members that are not dead."""
        others = [item for item in self.others() if item.host != without]
        return rng.sample(others, min(count, len(others)))
