"""The request and the response of the explanation, as JSON."""

from typing import Literal

import msgspec

from acaciaspoke.ids import (
    ConfigVersion,
    DomainId,
    HostId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)

# Path on the port for metrics.
EXPLAIN_PATH = "/explain"

CONTENT_TYPE = "application/json"

Outcome = Literal["assign", "forward", "wait", "refuse", "decline"]


class ExplainRequest(msgspec.Struct, kw_only=True):
    """The request that is to be explained.

    Attributes:
        path: Its path, with the query if there is one.
        headers: Names and values, as the caller would send them.
    """

    host: str
    path: str
    headers: list[tuple[str, str]] = []


class _Document(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the options that all parts of the response share."""


class QuotaCharge(_Document):
    """What a request counts as; none of it is used.

    Attributes:
        owner: The host that grants the tokens, if this one knows it.
    """

    tokens: int
    tokens_per_s: float
    burst_tokens: float
    owner: HostId | None = None


class Admission(_Document):
    """The backlog by which a new request is admitted.

    Attributes:
        ahead: Requests of all hosts that go first.
        slots: Slots of the upstreams that can run it.
        wait_s: How long it would wait.
        latest_start_s: Until when it may start, counted from now; None if it
            may not start, as the host stops.
    """

    ahead: int
    slots: float
    wait_s: float
    latest_start_s: float | None


class CandidateFigures(_Document):
    """An upstream that holds the artifact.

    Attributes:
        running: Its requests, of all hosts.
        slot_limit: The load below which it may get the request.
        prefill_tokens: Prompt tokens of requests that await their first event.
        slowdown: How many times the usual time work takes there.
        cached_tokens: Prompt tokens that it is expected to hold.
        accepts: Whether it may get any request now.
        rank: 1 for the choice, 2 for that without it, and so on; None if it
            cannot run the request, or is beyond the listed ranks.
        lacks: What it lacks for the request; ``slow`` and ``unresponsive``
            upstreams get it only if there is no other.
    """

    upstream: UpstreamId
    domain: DomainId
    running: int
    slots: int
    slot_limit: float
    prefill_tokens: int
    slowdown: float
    cached_tokens: float
    accepts: bool
    rank: int | None = None
    lacks: list[str] = []


class Decision(_Document):
    """What the host would do with the request now.

    Attributes:
        upstream: The choice, if the outcome is ``assign``.
        host: The host that gets it, if the outcome is ``forward``.
        status: The status of the response, if the outcome is ``refuse``.
        reason: Why it waits or is refused.
    """

    outcome: Outcome
    upstream: UpstreamId | None = None
    host: HostId | None = None
    status: int | None = None
    reason: str = ""
    retry_after_s: float | None = None


class Explanation(_Document):
    """The response.

    Attributes:
        host: The host that explains.
        key_fingerprint: The fingerprint of the API key; empty without one.
        candidates: Those with a rank first; at most ``MAX_CANDIDATES``.
        candidate_count: How many there are.
        notes: What the decision leaves out.
    """

    host: HostId
    decision: Decision
    version: ConfigVersion | None = None
    route: str | None = None
    workspace: WorkspaceId | None = None
    key_fingerprint: str = ""
    quota: QuotaCharge | None = None
    service: ServiceId | None = None
    artifact: str | None = None
    priority: int | None = None
    admission: Admission | None = None
    candidates: list[CandidateFigures] = []
    candidate_count: int = 0
    notes: list[str] = []


class ExplainError(_Document):
    """The response to a malformed request."""

    error: str
