"""Logs why models with waiting requests get no order."""

from collections.abc import Collection, Mapping

from loguru import logger

from acaciaspoke.gateway.demand import TotalDemand
from acaciaspoke.gateway.messages import VersionDemand
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.placement import Unplaced
from acaciaspoke.gateway.types import Artifact
from acaciaspoke.ids import ModelId

# Interval of the log lines about one model; planning rounds are much shorter.
LOG_INTERVAL_S = 2.0


class UnplacedLog:
    """Counts and logs the models that a planning round leaves out."""

    def __init__(self, metrics: GatewayMetrics):
        self._metrics = metrics
        self._logged_s: dict[ModelId, float] = {}

    def record(
        self,
        demands: Mapping[Artifact, TotalDemand],
        version_demand: Collection[VersionDemand],
        now_s: float,
        unplaced: Unplaced,
    ) -> None:
        """Records a model; ignores it if no request waits for it.

        Args:
            demands: The demand for all artifacts.
            version_demand: Requests that wait for engines of their version.
            now_s: The current time.
            unplaced: The model, and what stands against an order for it.
        """
        model = unplaced.model
        waiting = [
            total
            for total in (
                demands.values() if unplaced.version is None else version_demand
            )
            if total.artifact.model == model and total.waiting
        ]
        if not waiting:
            return
        self._metrics.unplaced.labels(unplaced.obstacle.value).inc()
        last_s = self._logged_s.get(model, float("-inf"))
        if now_s - last_s < LOG_INTERVAL_S:
            return
        self._logged_s[model] = now_s
        cost = unplaced.least_cost
        logger.info(
            "no order for {}: {}",
            model,
            unplaced.obstacle.value,
            waiting=sum(total.waiting for total in waiting),
            oldest_ms=round(1000 * max(total.oldest_s for total in waiting)),
            priority=min(total.priority for total in waiting),
            version=unplaced.version,
            gain=round(unplaced.gain, 2),
            cost={
                name: round(value, 2) for name, value in cost._asdict().items()
            }
            if cost
            else None,
        )
