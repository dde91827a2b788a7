"""The membership view of a control process and its pending gossip.

Member records, leaving notices and crash suspicions are merged so that all
hosts converge to the same view in whatever order updates arrive. A crash
suspicion is about a request; a suspect member is one that did not ack.
"""

import functools
import math
import random
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from acaciaspoke.control.gossip import UpdateQueue
from acaciaspoke.ids import ConfigVersion, Fingerprint, HostId, UpstreamId
from acaciaspoke.net.records import (
    LeavingNotice,
    Member,
    MemberState,
    Suspicion,
)

MergeSuspicion = Callable[[Suspicion | None, Suspicion], Suspicion]

# Time that a suspect member has to refute, for each power of ten of members, so
# that the refutation can reach the whole domain.
SUSPECT_TIMEOUT_S = 5.0

# Longer than any update circulates, so that no stale update restores a removed
# record.
DEAD_RETENTION_S = 600.0
CRASH_SUSPICION_RETENTION_S = 600.0

# A message adds about 200 bytes for a member, 70 for a notice and 100 for a
# suspicion; with these limits the worst case of four full messages a second
# stays inside 27 KB/s.
MAX_MEMBERS_PER_MESSAGE = 6
MAX_NOTICES_PER_MESSAGE = 16
MAX_SUSPICIONS_PER_MESSAGE = 6

# With 32 buckets the repair of one lost update among 300 members sends about
# ten members; with one bucket it would take many samples of random members.
DIGEST_BUCKETS = 32
DIGEST_BUCKET_BYTES = 2

_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


class _StoredSuspicion(msgspec.Struct, frozen=True):
    suspicion: Suspicion
    at_s: float

    def with_current_age(self, now_s: float) -> Suspicion:
        age_s = self.suspicion.age_s + max(now_s - self.at_s, 0.0)
        return msgspec.structs.replace(self.suspicion, age_s=round(age_s, 1))


class Gossip(msgspec.Struct):
    """The updates that a message piggybacks."""

    members: list[Member] = []
    leaving: list[LeavingNotice] = []
    suspicions: list[Suspicion] = []

    def fields(self) -> dict[str, tuple]:
        """Returns the updates as fields of a ``Ping`` or an ``Ack``."""
        return {
            name: tuple(value)
            for name, value in msgspec.structs.asdict(self).items()
        }


def precedence(member: Member) -> tuple[int, int]:
    """Returns the sort key of a record; the greater key supersedes."""
    return member.incarnation, _PRECEDENCE[member.state]


@functools.lru_cache(maxsize=16384)
def _bucket_of(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % DIGEST_BUCKETS


class View:
    """Members of the own domain, leaving notices and crash suspicions.

    Attributes:
        me: This process's own record.
        has_new_incarnation: Whether the own record got a new incarnation since
            this was last reset.
    """

    def __init__(self, me: Member, merge_suspicion: MergeSuspicion):
        self.me = me
        self.has_new_incarnation = False
        self._merge_suspicion = merge_suspicion
        self._members: dict[HostId, Member] = {}
        self._deadlines: dict[HostId, float] = {}
        self._notices: dict[UpstreamId, LeavingNotice] = {}
        self._upstreams: frozenset[UpstreamId] | None = None
        self._suspicions: dict[Fingerprint, _StoredSuspicion] = {}
        self._member_updates: UpdateQueue[HostId] = UpdateQueue()
        self._notice_updates: UpdateQueue[UpstreamId] = UpdateQueue()
        self._suspicion_updates: UpdateQueue[Fingerprint] = UpdateQueue()
        self._digest: bytes | None = None

    # Queries.

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
        """Returns the dead members whose records are still retained."""
        return [
            member
            for member in self._members.values()
            if member.state is MemberState.DEAD
        ]

    def notices(self) -> list[LeavingNotice]:
        """Returns the newest notice of each upstream."""
        return list(self._notices.values())

    def suspicions(self, now_s: float) -> list[Suspicion]:
        """Returns the crash suspicions that have not expired."""
        return [
            stored.with_current_age(now_s)
            for stored in self._suspicions.values()
        ]

    def digest(self) -> bytes:
        """Returns a hash of each bucket of members and notices.

        Members and notices are assigned to buckets by a hash of their names.
        The suspect state of members is left out, as it lasts only seconds.
        """
        if self._digest is None:
            buckets = [xxhash.xxh32() for _ in range(DIGEST_BUCKETS)]
            for member in sorted(
                [self.me, *self.others()], key=lambda member: member.host
            ):
                leaving = member.state is MemberState.LEAVING
                buckets[_bucket_of(member.host)].update(
                    f"{member.host}\0{member.incarnation}\0{leaving}\0".encode()
                )
            for upstream, notice in sorted(self._notices.items()):
                buckets[_bucket_of(upstream)].update(
                    f"{upstream}\0{notice.leaving}\0".encode()
                )
            self._digest = b"".join(
                bucket.digest()[:DIGEST_BUCKET_BYTES] for bucket in buckets
            )
        return self._digest

    def differing_from(
        self, digest: bytes, limit: int, rng: random.Random
    ) -> Gossip:
        """Returns up to ``limit`` members and notices of differing buckets."""
        width = DIGEST_BUCKET_BYTES
        mine = self.digest()
        differ = {
            bucket
            for bucket in range(DIGEST_BUCKETS)
            if mine[bucket * width : (bucket + 1) * width]
            != digest[bucket * width : (bucket + 1) * width]
        }
        if not differ:
            return Gossip()
        members = [
            member
            for member in self.others()
            if _bucket_of(member.host) in differ
        ]
        notices = [
            notice
            for upstream, notice in self._notices.items()
            if _bucket_of(upstream) in differ
        ]
        return Gossip(
            members=rng.sample(members, min(limit, len(members))),
            leaving=rng.sample(notices, min(limit, len(notices))),
        )

    # Updates.

    def announce(self, **changes) -> None:
        """Changes the own record under a new incarnation."""
        self.me = msgspec.structs.replace(
            self.me, incarnation=self.me.incarnation + 1, **changes
        )
        self.has_new_incarnation = True
        self._digest = None

    def set_config_version(self, version: ConfigVersion) -> None:
        """Changes the version in the own record without a new incarnation."""
        self.me = msgspec.structs.replace(self.me, config_version=version)

    def apply(self, member: Member, now_s: float) -> None:
        """Applies a member record of the own domain if it is newer."""
        if member.host == self.me.host:
            self._refute(member)
            return
        stored = self._members.get(member.host)
        if stored is None and member.state is MemberState.DEAD:
            return  # The record was removed; do not restore it.
        if stored and precedence(member) <= precedence(stored):
            if (
                member.boot == stored.boot
                and member.config_version > stored.config_version
            ):
                self._members[member.host] = msgspec.structs.replace(
                    stored, config_version=member.config_version
                )
            return
        self._members[member.host] = member
        self._digest = None
        self._member_updates.add(member.host)
        self._deadlines.pop(member.host, None)
        if member.state is MemberState.SUSPECT:
            scale = max(1.0, math.log10(len(self._members) + 1))
            self._deadlines[member.host] = now_s + SUSPECT_TIMEOUT_S * scale
        elif member.state is MemberState.DEAD:
            self._deadlines[member.host] = now_s + DEAD_RETENTION_S

    def set_state(
        self, member: Member, state: MemberState, now_s: float
    ) -> Member:
        """Changes the state of a member; returns its record."""
        self.apply(msgspec.structs.replace(member, state=state), now_s)
        return self._members[member.host]

    def _refute(self, claim: Member) -> None:
        """Refutes a record of this host with a wrong state or another boot."""
        same = (claim.state, claim.boot) == (self.me.state, self.me.boot)
        if claim.incarnation > self.me.incarnation or (
            claim.incarnation == self.me.incarnation and not same
        ):
            self.me = msgspec.structs.replace(
                self.me, incarnation=claim.incarnation
            )
            self.announce()

    def apply_notice(self, notice: LeavingNotice) -> bool:
        """Applies a notice; returns whether the view changed."""
        if self._upstreams is not None and (
            notice.upstream not in self._upstreams
        ):
            return False
        stored = self._notices.get(notice.upstream)
        if stored and notice.list_revision <= stored.list_revision:
            return False
        self._notices[notice.upstream] = notice
        if stored and stored.leaving == notice.leaving:
            # Disseminating each revision of an unchanged entry would cost
            # traffic without carrying information.
            return False
        self._notice_updates.add(notice.upstream)
        self._digest = None
        return True

    def set_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Drops notices of upstreams that are not configured, now and later.

        Upstreams are replaced many times a day under new ids, so notices would
        accumulate without bound.
        """
        self._upstreams = frozenset(upstreams)
        for upstream in self._notices.keys() - self._upstreams:
            del self._notices[upstream]
            self._notice_updates.discard(upstream)
        self._digest = None

    def apply_suspicion(self, suspicion: Suspicion, now_s: float) -> None:
        """Merges a crash suspicion; queues it for gossip if this changed it."""
        if suspicion.age_s > CRASH_SUSPICION_RETENTION_S:
            return
        fingerprint = suspicion.fingerprint
        stored = self._suspicions.get(fingerprint)
        known = stored.with_current_age(now_s) if stored else None
        merged = self._merge_suspicion(known, suspicion)
        if known is None or (merged.crashes, merged.voided) != (
            known.crashes,
            known.voided,
        ):
            self._suspicions[fingerprint] = _StoredSuspicion(merged, now_s)
            self._suspicion_updates.add(fingerprint)

    # Timers.

    def expire(self, now_s: float) -> None:
        """Declares overdue suspects dead and removes expired records."""
        for host, due_s in list(self._deadlines.items()):
            if now_s < due_s:
                continue
            member = self._members[host]
            if member.state is MemberState.DEAD:
                del self._deadlines[host], self._members[host]
                self._member_updates.discard(host)
            else:
                self.set_state(member, MemberState.DEAD, now_s)
        for fingerprint, stored in list(self._suspicions.items()):
            if (
                stored.suspicion.age_s + now_s - stored.at_s
                > CRASH_SUSPICION_RETENTION_S
            ):
                del self._suspicions[fingerprint]
                self._suspicion_updates.discard(fingerprint)

    def extend_deadlines(self, by_s: float) -> None:
        """Extends all deadlines, after a pause of this process."""
        self._deadlines = {
            host: due_s + by_s for host, due_s in self._deadlines.items()
        }

    # Dissemination.

    def next_batch(self, now_s: float) -> Gossip:
        """Returns the updates for one message within the domain.

        Counts them as sent.
        """
        count = len(self._members)
        hosts = self._member_updates.next_batch(MAX_MEMBERS_PER_MESSAGE, count)
        fingerprints = self._suspicion_updates.next_batch(
            MAX_SUSPICIONS_PER_MESSAGE, count
        )
        return Gossip(
            members=[self._members[host] for host in hosts],
            leaving=self.next_notices(),
            suspicions=[
                self._suspicions[item].with_current_age(now_s)
                for item in fingerprints
            ],
        )

    def next_notices(self) -> list[LeavingNotice]:
        """Returns the notices for one message and counts them as sent."""
        upstreams = self._notice_updates.next_batch(
            MAX_NOTICES_PER_MESSAGE, len(self._members)
        )
        return [self._notices[upstream] for upstream in upstreams]

    def peek_notices(self) -> list[LeavingNotice]:
        """Returns notices for a message to another domain.

        These sends are not counted, as they do not reach the own domain.
        """
        upstreams = self._notice_updates.peek(MAX_NOTICES_PER_MESSAGE)
        return [self._notices[upstream] for upstream in upstreams]

    def notices_of(
        self, upstreams: Iterable[UpstreamId]
    ) -> list[LeavingNotice]:
        """Returns the notices of the given upstreams."""
        return [
            self._notices[upstream]
            for upstream in upstreams
            if upstream in self._notices
        ]

    def has_urgent(self, sends: int) -> bool:
        """Returns whether a notice or suspicion had fewer than ``sends``."""
        return self._notice_updates.sent_fewer_than(
            sends
        ) or self._suspicion_updates.sent_fewer_than(sends)

    def sample(
        self, count: int, rng: random.Random, without: HostId | None = None
    ) -> list[Member]:
        """Returns up to ``count`` random other members that are not dead."""
        others = [item for item in self.others() if item.host != without]
        return rng.sample(others, min(count, len(others)))
