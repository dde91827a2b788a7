"""Known members of other failure domains.

A host keeps a few contacts of each other domain instead of all its members, so
that its memory and traffic do not grow with the number of hosts.
"""

import random
from collections import defaultdict

import msgspec

from acaciaspoke.ids import DomainId, HostId
from acaciaspoke.net.records import Member, MemberState

MAX_CONTACTS_PER_DOMAIN = 16
PROBED_PER_DOMAIN = 2
FOREIGN_PROBE_INTERVAL_S = 5.0

# Three rounds of probes without any ack.
DOMAIN_TIMEOUT_S = 3 * FOREIGN_PROBE_INTERVAL_S

# A contact is dropped only while others of its domain respond. If none does,
# the domain is partitioned off, and its contacts are kept to reconnect.
CONTACT_TIMEOUT_S = 60.0

_NEVER = float("-inf")


class _Contact(msgspec.Struct):
    member: Member
    last_seen_s: float


class Contacts:
    """Contacts in the other failure domains."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._domains: dict[DomainId, dict[HostId, _Contact]] = defaultdict(
            dict
        )

    def record_received(self, member: Member, now_s: float) -> None:
        """Records a member from which a message was received."""
        domain = self._domains[member.failure_domain]
        domain[member.host] = _Contact(member, now_s)
        self._trim(domain)

    def record_mentioned(self, member: Member) -> None:
        """Records a member from another member's gossip."""
        domain = self._domains[member.failure_domain]
        known = domain.get(member.host)
        if known is None and member.state is MemberState.ALIVE:
            domain[member.host] = _Contact(member, _NEVER)
            self._trim(domain)
        elif known and member.incarnation > known.member.incarnation:
            known.member = member

    def _trim(self, domain: dict[HostId, _Contact]) -> None:
        latest_s = max(contact.last_seen_s for contact in domain.values())
        for host, contact in list(domain.items()):
            if _NEVER < contact.last_seen_s < latest_s - CONTACT_TIMEOUT_S:
                del domain[host]
        while len(domain) > MAX_CONTACTS_PER_DOMAIN:
            oldest = min(domain, key=lambda host: domain[host].last_seen_s)
            del domain[oldest]

    def targets(self) -> list[Member]:
        """Returns the members to probe now.

        For each domain this is the most recently seen contact, so that a known
        good one is kept, and random others.
        """
        chosen = []
        for domain in self._domains.values():
            contacts = list(domain.values())
            if not contacts:
                continue
            latest = max(contacts, key=lambda contact: contact.last_seen_s)
            others = [item for item in contacts if item is not latest]
            count = min(PROBED_PER_DOMAIN - 1, len(others))
            chosen += [latest, *self._rng.sample(others, count)]
        return [contact.member for contact in chosen]

    def sample(self, count: int) -> list[Member]:
        """Returns random contacts from which a message was received."""
        seen = [
            contact.member
            for domain in self._domains.values()
            for contact in domain.values()
            if contact.last_seen_s > _NEVER
        ]
        return self._rng.sample(seen, min(count, len(seen)))

    def one_per_domain(self) -> list[Member]:
        """Returns the most recently seen member of each domain."""
        return [
            max(domain.values(), key=lambda contact: contact.last_seen_s).member
            for domain in self._domains.values()
            if domain
        ]

    def live_domains(self, now_s: float) -> set[DomainId]:
        """Returns the domains with a member seen recently."""
        return {
            name
            for name, domain in self._domains.items()
            if any(
                now_s - contact.last_seen_s <= DOMAIN_TIMEOUT_S
                for contact in domain.values()
            )
        }

    def addresses(self) -> set[str]:
        """Returns the mailbox addresses of all contacts."""
        return {
            contact.member.address
            for domain in self._domains.values()
            for contact in domain.values()
        }
