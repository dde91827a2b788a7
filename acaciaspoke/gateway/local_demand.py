"""Counts the demand of this host's callers for each artifact."""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from acaciaspoke.gateway.admission import patience_s
from acaciaspoke.gateway.demand import DEMAND_RETENTION_S, LEAST_URGENT
from acaciaspoke.gateway.messages import ArtifactDemand
from acaciaspoke.gateway.types import Artifact, Request
from acaciaspoke.ids import ServiceId

# Every report includes an artifact for this time after its last request; later
# only full reports do, which keeps the others small.
DEMAND_REPORTED_S = 2.0


class _Demand:
    """Requests for an artifact since the process started."""

    def __init__(self, service: ServiceId):
        self.service = service
        self.arrivals = 0
        self.prompt_tokens = 0
        self.last_s = 0.0
        self.priority = LEAST_URGENT


class LocalDemand:
    """Counts this host's requests by artifact."""

    def __init__(self) -> None:
        self._demand: dict[Artifact, _Demand] = {}

    def record(self, request: Request, now_s: float) -> None:
        """Records a request."""
        if request.artifact is None:
            return
        demand = self._demand.get(request.artifact)
        if demand is None:
            demand = self._demand[request.artifact] = _Demand(request.service)
        demand.arrivals += 1
        demand.prompt_tokens += request.prompt_tokens
        demand.priority = min(demand.priority, request.route.priority)
        demand.last_s = now_s

    def report(
        self,
        waiting: Iterable[Request],
        now_s: float,
        full: bool,
        latest_start_s: Callable[[Request], float],
        has_model: Callable[[ServiceId, Artifact], bool] = lambda *_: True,
    ) -> tuple[ArtifactDemand, ...]:
        """Returns the demand; removes artifacts without recent requests.

        Args:
            waiting: The waiting requests.
            now_s: The current time.
            full: Whether to include artifacts without recent requests.
            latest_start_s: Returns the latest time at which a request may be
                sent to an upstream.
            has_model: Returns whether a service has an artifact's model. Others
                are left out, as callers may name any.
        """
        counts: Counter[Artifact] = Counter()
        oldest_s: dict[Artifact, float] = {}
        remaining_s: dict[Artifact, float] = {}
        patience: dict[Artifact, float] = {}
        for request in waiting:
            artifact = request.artifact
            if artifact is not None:
                counts[artifact] += 1
                oldest_s[artifact] = max(
                    oldest_s.get(artifact, 0.0), now_s - request.arrived_s
                )
                remaining_s[artifact] = max(
                    remaining_s.get(artifact, 0.0),
                    latest_start_s(request) - now_s,
                )
                patience[artifact] = min(
                    patience.get(artifact, math.inf), patience_s(request.route)
                )
        self._demand = {
            artifact: demand
            for artifact, demand in self._demand.items()
            if now_s - demand.last_s <= DEMAND_RETENTION_S
        }
        return tuple(
            ArtifactDemand(
                service=demand.service,
                artifact=artifact,
                arrivals=demand.arrivals,
                waiting=counts[artifact],
                priority=demand.priority,
                oldest_s=oldest_s.get(artifact, 0.0),
                prompt_tokens=demand.prompt_tokens,
                remaining_s=remaining_s.get(artifact, 0.0),
                patience_s=patience.get(artifact, math.inf),
            )
            for artifact, demand in self._demand.items()
            if (
                full
                or counts[artifact]
                or now_s - demand.last_s <= DEMAND_REPORTED_S
            )
            and has_model(demand.service, artifact)
        )
