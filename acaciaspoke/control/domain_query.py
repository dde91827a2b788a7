"""Queries other failure domains for their hosts.

A host knows the members of its own failure domain only. For each other domain
it queries one member, which responds for that domain.
"""

import itertools
from collections.abc import Iterable

import anyio
import msgspec

from acaciaspoke.ids import Address, DomainId
from acaciaspoke.net.mailbox import Mailbox
from acaciaspoke.net.messages import DomainAnswer, DomainRequest
from acaciaspoke.net.records import Member

ANSWER_TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.02


class DomainAnswers(msgspec.Struct, frozen=True):
    """Responses of other failure domains.

    Attributes:
        unresponsive: Domains that did not respond in time.
    """

    answers: tuple[DomainAnswer, ...]
    unresponsive: tuple[DomainId, ...]

    def members(self) -> list[Member]:
        """Returns the hosts of all domains that responded."""
        return [item for answer in self.answers for item in answer.members]


class DomainCollector:
    """Queries one member of each other failure domain."""

    def __init__(self, mailbox: Mailbox, reply_to: Address):
        self._mailbox = mailbox
        self._reply_to = reply_to
        self._sequence = itertools.count(1)
        self._answers: dict[int, dict[DomainId, DomainAnswer]] = {}

    def record_answer(self, answer: DomainAnswer) -> None:
        """Records the response of another failure domain."""
        answers = self._answers.get(answer.sequence)
        if answers is not None:
            answers[answer.failure_domain] = answer

    async def collect(self, contacts: Iterable[Member]) -> DomainAnswers:
        """Queries the contacts; returns the responses of their domains."""
        by_domain = {item.failure_domain: item for item in contacts}
        sequence = next(self._sequence)
        answers = self._answers[sequence] = {}
        request = DomainRequest(reply_to=self._reply_to, sequence=sequence)
        for contact in by_domain.values():
            self._mailbox.post(contact.address, request)
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while by_domain.keys() - answers.keys():
                await anyio.sleep(CHECK_INTERVAL_S)
        del self._answers[sequence]
        unresponsive = sorted(by_domain.keys() - answers.keys())
        return DomainAnswers(tuple(answers.values()), tuple(unresponsive))
