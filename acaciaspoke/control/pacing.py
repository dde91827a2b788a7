"""Limits the rate and number of loads from the weight store.

The limits hold for the whole platform. Each lease holder keeps to the share of
its domain, so that loads need no coordination between lease holders.
"""

from collections.abc import Collection, Iterable

import msgspec

from acaciaspoke.config.schema import WeightStore
from acaciaspoke.control.planned_orders import Move, MoveKind
from acaciaspoke.ids import DomainId


def share_of(
    limits: WeightStore, domain: DomainId, live_domains: Collection[DomainId]
) -> WeightStore:
    """Returns a domain's share of the limits, at least 1 load of each kind."""
    domains = sorted({domain, *live_domains})
    index = domains.index(domain)

    def portion(number: int) -> int:
        share, rest = divmod(number, len(domains))
        return max(1, share + (index < rest))

    return msgspec.structs.replace(
        limits,
        model_loads_per_s=limits.model_loads_per_s / len(domains),
        concurrent_model_loads=portion(limits.concurrent_model_loads),
        adapters_in_transit=portion(limits.adapters_in_transit),
    )


class Pacer:
    """Admits the moves that may start now.

    Attributes:
        limits: The share of the domain; may change at any time.
    """

    def __init__(self, limits: WeightStore, now_s: float):
        self.limits = limits
        self._moves: dict[tuple, Move] = {}
        self._tokens = float(limits.concurrent_model_loads)
        self._filled_s = now_s

    @property
    def in_flight(self) -> tuple[Move, ...]:
        """The admitted moves that have not ended."""
        return tuple(self._moves.values())

    def admit(self, moves: Iterable[Move], now_s: float) -> list[Move]:
        """Returns the moves to start now, in the order given.

        Model loads are limited in rate and number, adapter loads in number.
        Unloads need no weights and are always admitted.
        """
        self._fill(now_s)
        models = sum(
            move.kind is MoveKind.LOAD and not move.artifact.base_model
            for move in self.in_flight
        )
        adapters = sum(
            move.kind is MoveKind.LOAD and bool(move.artifact.base_model)
            for move in self.in_flight
        )
        admitted = []
        for move in moves:
            if _identity(move) in self._moves:
                continue
            if move.kind is MoveKind.LOAD and move.artifact.base_model:
                if adapters >= self.limits.adapters_in_transit:
                    continue
                adapters += 1
            elif move.kind is MoveKind.LOAD:
                is_full = models >= self.limits.concurrent_model_loads
                if is_full or self._tokens < 1.0:
                    continue
                models += 1
                self._tokens -= 1.0
            self._moves[_identity(move)] = move
            admitted.append(move)
        return admitted

    def ended(self, move: Move) -> None:
        """Releases the capacity of a move, whatever its outcome."""
        self._moves.pop(_identity(move), None)

    def _fill(self, now_s: float) -> None:
        # The bucket holds as many tokens as loads may run at once. More would
        # admit a burst that the store can't serve at full speed.
        self._tokens = min(
            float(self.limits.concurrent_model_loads),
            self._tokens
            + (now_s - self._filled_s) * self.limits.model_loads_per_s,
        )
        self._filled_s = now_s


def _identity(move: Move) -> tuple:
    # The reason is left out: a move may be planned again for another one.
    artifact = move.artifact
    return (move.kind, move.upstream, artifact.name, artifact.version)
