"""Paces loads by the limits of the weight store.

The limits hold for the whole platform. Each lease holder keeps to its domain's
share, so that holders need not agree on every load.
"""

from collections.abc import Collection, Iterable

import msgspec

from acaciaspoke.config.schema import WeightStore
from acaciaspoke.control.moves import Move, MoveKind
from acaciaspoke.ids import DomainId


def share_of(
    limits: WeightStore, domain: DomainId, live_domains: Collection[DomainId]
) -> WeightStore:
    """Returns a domain's part of the limits; each part allows one load."""
    domains = sorted({domain, *live_domains})
    index = domains.index(domain)

    def part(number: int) -> int:
        share, rest = divmod(number, len(domains))
        return max(1, share + (index < rest))

    return msgspec.structs.replace(
        limits,
        model_loads_per_s=limits.model_loads_per_s / len(domains),
        concurrent_model_loads=part(limits.concurrent_model_loads),
        adapters_in_transit=part(limits.adapters_in_transit),
    )


class Pacer:
    """Admits the moves that may start now.

    Attributes:
        limits: May be changed at any time.
    """

    def __init__(self, limits: WeightStore, now_s: float):
        self.limits = limits
        self._moves: dict[tuple, Move] = {}
        self._tokens = float(limits.concurrent_model_loads)
        self._filled_s = now_s

    @property
    def in_flight(self) -> tuple[Move, ...]:
        """The moves that were admitted and have not ended."""
        return tuple(self._moves.values())

    def admit(self, moves: Iterable[Move], now_s: float) -> list[Move]:
        """Returns the moves to start now, in order; the rest must wait.

        Model loads wait for a token and a free place, adapter loads for a
        place in transit. Unloads need no weights and never wait.
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
        """Notes that a move has ended, whatever its outcome."""
        self._moves.pop(_identity(move), None)

    def _fill(self, now_s: float) -> None:
        # The bucket holds as many tokens as loads may run at once: more would
        # start a burst that the store can't serve at full speed.
        self._tokens = min(
            float(self.limits.concurrent_model_loads),
            self._tokens
            + (now_s - self._filled_s) * self.limits.model_loads_per_s,
        )
        self._filled_s = now_s


def _identity(move: Move) -> tuple:
    # A move that is planned again for another reason is the same move.
    artifact = move.artifact
    return (move.kind, move.upstream, artifact.name, artifact.version)
