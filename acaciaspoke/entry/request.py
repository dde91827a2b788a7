"""The request properties that queueing and routing depend on."""

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
    """A caller's request without its headers and body.

    Attributes:
        account: Shared by many callers, so it does not identify a caller.
        artifact: The model or adapter, or None for a plain service.
        work_kind: The kind of work, from ``X-Work-Kind`` if present.
        body_hash: Hex digest of the body, for a plain service also of method,
            path and query; binds an idempotency key to a request.
        prefix_hash: 64-bit hash of the start of the prompt. Requests with the
            same value can share a prefix cache. 0 means no affinity.
        fingerprint: Hash of account, service and ``body_hash``; the same
            whenever a caller repeats a request.
        deadline_s: Monotonic time after which the response is useless.
        idempotent: Whether the request may run more than once.
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
