"""Limits the rate and number of loads from the weight store.

The limits hold for the whole platform. Each lease holder keeps to the share of
its domain, so that loads need no coordination between lease holders.
"""

from collections.abc import Collection, Iterable

import msgspec

from acaciaspoke.config.schema import WeightStore
from acaciaspoke.control.planned_orders import OrderKind, PlannedOrder
from acaciaspoke.ids import DomainId


def domain_share(
    limits: WeightStore, domain: DomainId, live_domains: Collection[DomainId]
) -> WeightStore:
    """Returns a domain's share of the limits, at least 1 load of each kind."""
    domains = sorted({domain, *live_domains})
    index = domains.index(domain)

    def portion(number: int) -> int:
        share, remainder = divmod(number, len(domains))
        return max(1, share + (index < remainder))

    return msgspec.structs.replace(
        limits,
        model_loads_per_s=limits.model_loads_per_s / len(domains),
        concurrent_model_loads=portion(limits.concurrent_model_loads),
        adapters_in_transit=portion(limits.adapters_in_transit),
    )


class Pacer:
    """Admits the orders that may start now.

    Attributes:
        limits: The share of the domain; may change at any time.
    """

    def __init__(self, limits: WeightStore, now_s: float):
        self.limits = limits
        self._orders: dict[tuple, PlannedOrder] = {}
        self._tokens = float(limits.concurrent_model_loads)
        self._filled_s = now_s

    @property
    def in_flight(self) -> tuple[PlannedOrder, ...]:
        """The admitted orders that have not ended."""
        return tuple(self._orders.values())

    def admit(
        self, orders: Iterable[PlannedOrder], now_s: float
    ) -> list[PlannedOrder]:
        """Returns the orders to start now, in the sequence given.

        Model loads are limited in rate and number, adapter loads in number.
        Unloads need no weights and are always admitted.
        """
        self._fill(now_s)
        models = sum(
            order.kind is OrderKind.LOAD and not order.artifact.base_model
            for order in self.in_flight
        )
        adapters = sum(
            order.kind is OrderKind.LOAD and bool(order.artifact.base_model)
            for order in self.in_flight
        )
        admitted = []
        for order in orders:
            if _identity(order) in self._orders:
                continue
            if order.kind is OrderKind.LOAD and order.artifact.base_model:
                if adapters >= self.limits.adapters_in_transit:
                    continue
                adapters += 1
            elif order.kind is OrderKind.LOAD:
                is_full = models >= self.limits.concurrent_model_loads
                if is_full or self._tokens < 1.0:
                    continue
                models += 1
                self._tokens -= 1.0
            self._orders[_identity(order)] = order
            admitted.append(order)
        return admitted

    def release(self, order: PlannedOrder) -> None:
        """Releases the capacity of an order, whatever its outcome."""
        self._orders.pop(_identity(order), None)

    def _fill(self, now_s: float) -> None:
        # The bucket holds as many tokens as loads may run at once. More would
        # admit a burst that the store can't serve at full speed.
        self._tokens = min(
            float(self.limits.concurrent_model_loads),
            self._tokens
            + (now_s - self._filled_s) * self.limits.model_loads_per_s,
        )
        self._filled_s = now_s


def _identity(order: PlannedOrder) -> tuple:
    # The reason is left out: an order may be planned again for another one.
    artifact = order.artifact
    return (order.kind, order.upstream, artifact.name, artifact.version)
