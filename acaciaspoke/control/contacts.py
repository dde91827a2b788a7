"""Known members of other failure domains.

A host keeps a few contacts for each other domain instead of all its members,
so that its memory and traffic do not grow with the number of hosts.
"""

import random
from collections import defaultdict

import msgspec

from acaciaspoke.ids import DomainId, HostId
from acaciaspoke.net.records import Member, MemberState

MAX_CONTACTS_PER_DOMAIN = 16
PROBED_PER_DOMAIN = 2
PROBE_INTERVAL_S = 5.0

# Three rounds of probes without any answer.
DOMAIN_SILENT_S = 3 * PROBE_INTERVAL_S

# A contact is given up only while others of its domain answer: when all are
# silent the domain is cut off, and the contacts are the way back.
CONTACT_SILENT_S = 60.0

_NEVER = float("-inf")


class _Contact(msgspec.Struct):
    member: Member
    heard_s: float


class Contacts:
    """Contacts in the other failure domains."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._domains: dict[DomainId, dict[HostId, _Contact]] = defaultdict(
            dict
        )

    def hear(self, member: Member, now_s: float) -> None:
        """Takes in a member that sent a message itself."""
        domain = self._domains[member.failure_domain]
        domain[member.host] = _Contact(member, now_s)
        self._trim(domain)

    def learn(self, member: Member) -> None:
        """Takes in a member that another one mentioned."""
        domain = self._domains[member.failure_domain]
        known = domain.get(member.host)
        if known is None and member.state is MemberState.ALIVE:
            domain[member.host] = _Contact(member, _NEVER)
            self._trim(domain)
        elif known and member.incarnation > known.member.incarnation:
            known.member = member

    def _trim(self, domain: dict[HostId, _Contact]) -> None:
        latest_s = max(contact.heard_s for contact in domain.values())
        for host, contact in list(domain.items()):
            if _NEVER < contact.heard_s < latest_s - CONTACT_SILENT_S:
                del domain[host]
        while len(domain) > MAX_CONTACTS_PER_DOMAIN:
            oldest = min(domain, key=lambda host: domain[host].heard_s)
            del domain[oldest]

    def targets(self) -> list[Member]:
        """Returns the members to probe now.

        In each domain one is the last that was heard of, so that a known
        good contact is kept, and the others are random.
        """
        chosen = []
        for domain in self._domains.values():
            contacts = list(domain.values())
            if not contacts:
                continue
            latest = max(contacts, key=lambda contact: contact.heard_s)
            others = [item for item in contacts if item is not latest]
            count = min(PROBED_PER_DOMAIN - 1, len(others))
            chosen += [latest, *self._rng.sample(others, count)]
        return [contact.member for contact in chosen]

    def sample(self, count: int) -> list[Member]:
        """Returns random contacts that were heard of."""
        heard = [
            contact.member
            for domain in self._domains.values()
            for contact in domain.values()
            if contact.heard_s > _NEVER
        ]
        return self._rng.sample(heard, min(count, len(heard)))

    def one_per_domain(self) -> list[Member]:
        """Returns the member of each domain that was heard of last."""
        return [
            max(domain.values(), key=lambda contact: contact.heard_s).member
            for domain in self._domains.values()
            if domain
        ]

    def live_domains(self, now_s: float) -> set[DomainId]:
        """Returns the domains of which some member was heard lately."""
        return {
            name
            for name, domain in self._domains.items()
            if any(
                now_s - contact.heard_s <= DOMAIN_SILENT_S
                for contact in domain.values()
            )
        }

    def addresses(self) -> set[str]:
        """Returns the mailboxes of all contacts."""
        return {
            contact.member.address
            for domain in self._domains.values()
            for contact in domain.values()
        }
