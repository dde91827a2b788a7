"""What the speed of engines means for the placement of models.

Streams of slow engines pause for longer than callers accept. A model whose
replicas are all at slow engines gains from one at a faster engine, and loses by
giving it up. The means of engines' slowdowns are used, which change over many
seconds, so that a short slowdown moves no model.
"""

import statistics
from collections.abc import Collection, Mapping

import msgspec

from acaciaspoke.gateway.engineview import EngineView
from acaciaspoke.ids import UpstreamId

# Share of a stream's worth that is lost for each multiple of the median time
# that work takes beyond the first: at 1.6 times the median, 30% of streams had
# a pause that was too long, 10% at the median.
LATE_SHARE_PER_SLOWDOWN = 0.35
MAX_LATE_SHARE = 0.5


def with_slowdowns(
    engines: Collection[EngineView], factors: Mapping[UpstreamId, float]
) -> list[EngineView]:
    """Returns the engines with their slowdowns relative to the median.

    A slow engine counts with fewer slots, as its requests take longer.

    Args:
        engines: The engines of a service.
        factors: How many times the usual time work takes, where it is known.
    """
    known = [factors[each.name] for each in engines if each.name in factors]
    if not known:
        return list(engines)
    median = statistics.median(known)
    relative = {name: factor / median for name, factor in factors.items()}
    return [
        msgspec.structs.replace(
            engine,
            slowdown=relative.get(engine.name, 1.0),
            slots=int(engine.slots / max(1.0, relative.get(engine.name, 1.0))),
        )
        for engine in engines
    ]


def late_share(engine: EngineView) -> float:
    """Returns the share of streams that an engine delays by its speed."""
    share = LATE_SHARE_PER_SLOWDOWN * (engine.slowdown - 1.0)
    return min(MAX_LATE_SHARE, max(0.0, share))


def least_late_share(engines: Collection[EngineView]) -> float:
    """Returns the share at the fastest of some engines; 0 if there are none."""
    return min(map(late_share, engines), default=0.0)
