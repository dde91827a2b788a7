"""A caller's request as the entry process decides about it."""

import msgspec

from acaciaspoke.ids import (
    AccountId,
    ArtifactName,
    Fingerprint,
    RankId,
    RequestId,
    ServiceId,
)


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """What queue and routing need to know; headers and body stay outside.

    Attributes:
        account: Shared by many callers, so it does not identify a caller.
        artifact: The model or adapter, or None for a plain service.
        work_kind: The kind of work that the caller named in ``X-Work-Kind``.
        body_hash: Hex digest of the body; ties an idempotency key to a body.
        prefix_hash: 64-bit hash of the start of the prompt; requests with an
            equal one profit from the same prefix cache. 0 means no affinity.
        fingerprint: Hash of account, model and body; equal when a caller
            sends the same request again.
        deadline_s: Monotonic time after which the answer is of no use.
        idempotent: Whether running it twice does no harm.
        stream: Whether the caller asked for an SSE stream.
        arrived_s: Monotonic time of arrival.
    """

    request_id: RequestId
    account: AccountId
    service: ServiceId
    rank: RankId
    work_kind: str
    body_hash: str
    fingerprint: Fingerprint
    deadline_s: float
    arrived_s: float
    artifact: ArtifactName | None = None
    prefix_hash: int = 0
    idempotent: bool = True
    stream: bool = False
