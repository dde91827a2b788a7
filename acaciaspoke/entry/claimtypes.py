"""Claims of idempotency keys and the possible results of claiming."""

from enum import Enum

import anyio
import msgspec

from acaciaspoke.entry.claimrows import Answer, ClaimRow, RowState
from acaciaspoke.util.chart import StateMachine


class ClaimState(Enum):
    """The states of ``charts/claim.yaml``."""

    NEW = "new"
    CLAIMING = "claiming"
    CLAIMED = "claimed"
    RUNNING = "running"
    RECORDING = "recording"
    DONE = "done"
    REJECTED = "rejected"
    ABANDONED = "abandoned"
    RELEASING = "releasing"
    RELEASED = "released"
    UNKNOWN = "unknown"


class Claim:
    """A claim made by this process.

    Attributes:
        sent_at_s: Monotonic time before the claim was first sent.
        settled: Set when no write of this claim is pending.
    """

    def __init__(self, row: ClaimRow, key: str, sent_at_s: float):
        self.row = row
        self.key = key
        self.sent_at_s = sent_at_s
        self.mod_revision = 0
        self.settled = anyio.Event()
        self._machine = StateMachine("claim", ClaimState)

    @property
    def state(self) -> ClaimState:
        """The state of the claim."""
        return self._machine.state

    def send(self, event: str) -> None:
        """Sends an event to the state machine."""
        self._machine.send(event)

    def owns(self, row: ClaimRow | None) -> bool:
        """Returns whether a row was written by this claim."""
        return row is not None and row.claim_id == self.row.claim_id


class Claimed(msgspec.Struct, frozen=True):
    """The key is claimed; the request may be dispatched."""

    claim: Claim


class Replay(msgspec.Struct, frozen=True):
    """The request ran before; its response is replayed."""

    answer: Answer


class ResponseNotStored(msgspec.Struct, frozen=True):
    """The request ran; its response was too large to store (409, ran)."""


class AlreadyClaimed(msgspec.Struct, frozen=True):
    """The request is in progress or its outcome is unknown (409, unknown)."""


class KeyReused(msgspec.Struct, frozen=True):
    """The key was used for a different request (422, not run)."""


class StoreUnavailable(msgspec.Struct, frozen=True):
    """The store is unavailable; the key is not claimed (503, not run)."""


ClaimOutcome = (
    Claimed
    | Replay
    | ResponseNotStored
    | AlreadyClaimed
    | KeyReused
    | StoreUnavailable
)


def outcome_for(found: ClaimRow | None, body_hash: bytes) -> ClaimOutcome:
    """Returns the result for a request whose key is held by a row.

    A row that this version cannot decode counts as claimed.
    """
    if found is None:
        return AlreadyClaimed()
    if found.body_hash != body_hash:
        return KeyReused()
    if found.state is not RowState.ANSWERED:
        return AlreadyClaimed()
    return Replay(found.answer) if found.answer else ResponseNotStored()
