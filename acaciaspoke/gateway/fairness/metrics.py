"""Metrics of refusals and fair shares."""

from prometheus_client import CollectorRegistry, Counter, Histogram

from acaciaspoke.gateway.admission import Refusal
from acaciaspoke.gateway.fairness.returns import is_return
from acaciaspoke.gateway.fairness.shares import workspace_of
from acaciaspoke.gateway.types import Request

# From an immediate refusal to the longest wait of callers of streams.
HELD_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class FairnessMetrics:
    """Counts refusals because no upstream is free in time."""

    def __init__(self, registry: CollectorRegistry):
        """Registers the metrics.

        Args:
            registry: The registry of the process.
        """
        self._refusals = Counter(
            "acaciaspoke_refusals",
            "Requests that no upstream could take in time, by reason",
            ["reason"],
            registry=registry,
        )
        self._refused_returns = Counter(
            "acaciaspoke_refused_returns",
            "Those whose caller had probably been refused before",
            ["workspace", "route"],
            registry=registry,
        )
        self._over_share = Counter(
            "acaciaspoke_over_share_refusals",
            "Those that were beyond the share of their workspace",
            ["workspace"],
            registry=registry,
        )
        self._held_s = Histogram(
            "acaciaspoke_held_before_refusal_seconds",
            "Time from the arrival of a request to its refusal",
            buckets=HELD_BUCKETS_S,
            registry=registry,
        )

    def record_refusal(
        self, request: Request, refusal: Refusal, now_s: float
    ) -> None:
        """Counts a refusal."""
        self._refusals.labels(refusal.reason).inc()
        self._held_s.observe(max(0.0, now_s - request.arrived_s))
        workspace = workspace_of(request)
        if is_return(request):
            self._refused_returns.labels(workspace, request.route.name).inc()
        if refusal.is_over_share:
            self._over_share.labels(workspace).inc()
