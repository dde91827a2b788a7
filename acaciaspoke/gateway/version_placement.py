"""Plans replicas for requests that only one software version can run.

All functions are pure.
"""

from collections.abc import Iterable, Iterator

from msgspec.structs import replace

from acaciaspoke.gateway.messages import VersionDemand
from acaciaspoke.gateway.replicas import (
    WAITING_GAIN_PER_S,
    Addition,
    Replicas,
    weight_of,
)
from acaciaspoke.gateway.version_demand import sum_version_demand


def version_replicas_to_add(
    demand: Iterable[VersionDemand], replicas: Replicas
) -> Iterator[Addition]:
    """Yields the models that no engine of a version holds or is to load."""
    by_model = sum_version_demand(
        replace(item, artifact=item.artifact.base) for item in demand
    )
    for item in by_model:
        model = item.artifact.model
        holders = replicas.holders[model]
        if any(engine.version == item.version for engine in holders):
            continue
        wait_gain = WAITING_GAIN_PER_S * item.oldest_s
        yield Addition(
            model,
            weight_of(item.priority) * (item.waiting + wait_gain),
            f"no copy at {item.version}",
            item.version,
            item.remaining_s,
        )
