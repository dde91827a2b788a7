"""Which hosts have which configuration version, over all failure domains.

A host knows the members of its own failure domain. For the others it asks a
member of each, which answers for its domain.
"""

import itertools
from collections.abc import Iterable

import anyio
import msgspec

from acaciaspoke.ids import Address, ConfigVersion, DomainId, HostId
from acaciaspoke.net.mailbox import Mailbox
from acaciaspoke.net.messages import DomainVersions, Member, VersionsRequest

ANSWER_TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.02


class _Question(msgspec.Struct):
    missing: set[DomainId]
    versions: dict[HostId, ConfigVersion] = {}


class VersionCollector:
    """Asks other failure domains for the versions of their hosts."""

    def __init__(self, mailbox: Mailbox, reply_to: Address):
        self._mailbox = mailbox
        self._reply_to = reply_to
        self._sequence = itertools.count(1)
        self._questions: dict[int, _Question] = {}

    def answer(
        self,
        request: VersionsRequest,
        domain: DomainId,
        members: Iterable[Member],
    ) -> None:
        """Answers for this host's own failure domain."""
        versions = {item.host: item.config_version for item in members}
        answer = DomainVersions(
            failure_domain=domain,
            sequence=request.sequence,
            versions=versions,
        )
        self._mailbox.post(request.reply_to, answer)

    def take(self, answer: DomainVersions) -> None:
        """Takes the answer for another failure domain."""
        question = self._questions.get(answer.sequence)
        if question is not None:
            question.missing.discard(answer.failure_domain)
            question.versions |= answer.versions

    async def ask(
        self, contacts: Iterable[Member]
    ) -> dict[HostId, ConfigVersion]:
        """Returns the versions of the hosts of other failure domains.

        A failure domain that does not answer is named like a host, with
        version 0: nobody knows what is in force there.
        """
        by_domain = {item.failure_domain: item for item in contacts}
        sequence = next(self._sequence)
        question = self._questions[sequence] = _Question(set(by_domain))
        request = VersionsRequest(reply_to=self._reply_to, sequence=sequence)
        for contact in by_domain.values():
            self._mailbox.post(contact.address, request)
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while question.missing:
                await anyio.sleep(CHECK_INTERVAL_S)
        del self._questions[sequence]
        silent = {
            HostId(f"failure domain {domain}"): ConfigVersion(0)
            for domain in question.missing
        }
        return question.versions | silent
