"""Measures on each host for how long models have waited for a first replica."""

import time
from collections.abc import Callable, Iterable, Mapping

import anyio

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.replicas import MIN_RESIDENCE_S
from acaciaspoke.gateway.unserved import UnservedTimes
from acaciaspoke.ids import ModelId

UPDATE_INTERVAL_S = 0.2

# A replica may come and go unnoticed in a longer time without an update.
MAX_GAP_S = MIN_RESIDENCE_S


class ReplicaWaits:
    """The time that requests for each model have waited without a replica.

    Every host receives reports of waiting requests and of replicas, so that it
    knows these times when it becomes the leader.
    """

    def __init__(
        self,
        fleet: Fleet,
        local_waiting: Callable[[], Iterable[ModelId]],
        is_informed: Callable[[float], bool],
    ):
        """Creates an object without any times.

        Args:
            fleet: The upstreams, and the waiting requests of other hosts.
            local_waiting: Returns the models of this host's waiting requests.
            is_informed: Returns whether this host would know of new replicas.
        """
        self._fleet = fleet
        self._local_waiting = local_waiting
        self._is_informed = is_informed
        self._times = UnservedTimes()
        self._updated_s = float("-inf")

    async def run(self) -> None:
        """Updates the times until cancelled."""
        while True:
            self.update(time.monotonic())
            await anyio.sleep(UPDATE_INTERVAL_S)

    def update(self, now_s: float) -> None:
        """Updates the times."""
        if not self._is_informed(now_s):
            return
        if now_s - self._updated_s > MAX_GAP_S:
            self._times.clear()
        self._updated_s = now_s
        waiting = set(self._local_waiting()).union(
            *(each.waiting for each in self._fleet.peer_loads.fresh(now_s))
        )
        held = self._fleet.held_models(now_s)
        self._times.update(dict.fromkeys(waiting, 0.0), held, now_s)

    def times_s(self, now_s: float) -> Mapping[ModelId, float]:
        """Returns the times; none if they may be out of date."""
        if now_s - self._updated_s > MAX_GAP_S:
            return {}
        return self._times.all()
