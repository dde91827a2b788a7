"""Plans which engine holds which model.

Answers more models than fit into the engines: rarely used ones are loaded when
somebody waits for them, in the place of the copy that is missed least; busy
ones get replicas as their engines fill up. Pure functions over typed values.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

from acaciaspoke.gateway.demand import Want
from acaciaspoke.gateway.engineview import EngineView, Move, free_mb
from acaciaspoke.gateway.types import Artifact, EngineTerms
from acaciaspoke.ids import ModelId, UpstreamId
from acaciaspoke.platform.engine import OrderAction

# Least mean time for which a request takes a place of an engine; what runs
# shows the real one as soon as there is a copy.
MIN_SERVICE_S = 0.6

# Weight of one request by priority, most urgent first.
PRIORITY_WEIGHTS = (3.0, 2.0, 1.0)

# An engine makes its streams pause while it reads prompts. One that reads so
# many tokens a second counts as full: about half of what the engines of the
# platform's sheets ("Engines") can read.
FULL_READING_TOKENS_PER_S = 19_000.0

# Share of the slots up to which engines are meant to be used; the rest takes
# what comes while another copy is loaded, so it is larger for longer loads.
TARGET_SHARE = 0.75
TARGET_SHARE_PER_LOAD_S = 0.06
MIN_TARGET_SHARE = 0.4

# An engine counts as full from this share of its slots on.
FULL_SHARE = 0.95

# A copy stays for so long, so that what waited for it can run.
MIN_RESIDENCE_S = 1.0

# Cost of unloading while requests run: the engine does nothing else until the
# last of them has ended; and a part for each.
BUSY_UNLOAD_COST = 2.5
RUNNING_COST = 0.3

# A copy can be spared up to this part of the target share of the others, so
# that the same copy is not wanted again at once.
SPARE_PART = 0.65

# Cost of each second for which a load keeps an engine from other moves.
ENGINE_TIME_COST_PER_S = 0.5

# Cost of a new copy at an engine whose slots are all in use.
LOAD_COST = 2.0

# Cost of any eviction: the copy may be wanted again.
EVICTION_COST = 0.05

# Cost of the next cold start for each request a second of a last copy.
LAST_COPY_COST = 2.0

# Cost of unloading a last copy for each second of a load, by the most urgent
# priority that asked for it; and for a model that nobody has asked for yet.
# Least urgent work bears a cold start; demand for urgent work moves to models
# that were silent, and a load then takes longer than its callers wait.
LAST_COPY_COSTS_PER_S = (3.0, 2.0, 0.0)
UNKNOWN_COPY_COST_PER_S = 1.5

# Cost of unloading the second copy of a model that nobody has asked for yet:
# several copies were placed where demand is expected.
UNKNOWN_PAIR_COST_PER_S = 1.5

# Cost of unloading the second copy for each second of a load, by the most
# urgent priority that asked for it. Demand for urgent work moves back to models
# that have become silent, and one copy is soon full or out of reach.
PAIR_COSTS_PER_S = (0.75, 0.5, 0.0)

# Gain of loading a model that nobody has asked for yet, a second of its load.
PRELOAD_GAIN_PER_S = 0.7

# Cost of each second that a load takes, for each request that waits for it.
# Loads from the weight store take up to ten times as long as others.
DELAY_COST_PER_S = 0.5

# Gain of a cold model for each second that its oldest request has waited, by
# weight, so that none waits for good behind busier ones.
WAITING_GAIN_PER_S = 0.7

# Cost of a copy in a failure domain that has one already.
SAME_DOMAIN_COST = 0.2

# A second copy against failures is worth this share of the demand.
SPARE_COPY_SHARE = 0.1
SPARE_COPY_DEMAND = 4.0


class _Copies:
    """The demand for models and the engines that hold them."""

    def __init__(
        self,
        engines: Iterable[EngineView],
        wants: Mapping[Artifact, Want],
        terms: EngineTerms,
        now_s: float,
    ):
        self.now_s = now_s
        self._terms = terms
        # Costs of engines that many models ask for, until a copy moves.
        self._costs: dict[UpstreamId, dict[Callable, Any]] = {}
        self.priority: dict[ModelId, int] = {}
        self.rate: Counter[ModelId] = Counter()
        self.reading: Counter[ModelId] = Counter()
        self.adapter_rate: Counter[ModelId] = Counter()
        self.running: Counter[ModelId] = Counter()
        self.holders: dict[ModelId, list[EngineView]] = defaultdict(list)
        # Models with a copy on its way, which will serve what waits.
        self.coming: set[ModelId] = set()
        for engine in engines:
            self.running.update(engine.running)
            for model in engine.models:
                if model not in engine.leaving:
                    self.holders[model].append(engine)
            if engine.reserved is not None:
                self.holders[engine.reserved].append(engine)
                self.coming.add(engine.reserved)
            if engine.loading is not None:
                self.coming.add(engine.loading)
        self.waiting: Counter[ModelId] = Counter()
        self.weight: dict[ModelId, float] = {}
        self.oldest_s: dict[ModelId, float] = {}
        for artifact, want in wants.items():
            model = artifact.model
            self.rate[model] += want.rate_per_s
            self.reading[model] += want.tokens_per_s
            if artifact.adapter is not None:
                self.adapter_rate[model] += want.rate_per_s
            self.waiting[model] += want.waiting
            known = self.priority.get(model, want.priority)
            self.priority[model] = min(known, want.priority)
            self.weight[model] = weight_of(self.priority[model])
            self.oldest_s[model] = max(
                want.oldest_s, self.oldest_s.get(model, 0.0)
            )

    def demand(self, model: ModelId) -> float:
        """Returns the places that a model's requests take."""
        reading = self.reading[model] / FULL_READING_TOKENS_PER_S
        return max(
            self.running[model],
            self.rate[model] * MIN_SERVICE_S,
            reading * self._terms.slots,
        )

    def _last_copy_cost(self, model: ModelId) -> float:
        return self._by_priority(
            model, LAST_COPY_COSTS_PER_S, UNKNOWN_COPY_COST_PER_S
        )

    def _pair_cost(self, model: ModelId) -> float:
        return self._by_priority(
            model, PAIR_COSTS_PER_S, UNKNOWN_PAIR_COST_PER_S
        )

    def _by_priority(
        self, model: ModelId, costs_per_s: Sequence[float], unknown: float
    ) -> float:
        load_s = self._terms.models[model].load_s
        priority = self.priority.get(model)
        if priority is None:
            return unknown * load_s
        return costs_per_s[min(priority, len(costs_per_s) - 1)] * load_s

    def paging_cost(self, engine: EngineView, move_s: float) -> float:
        """Returns what it costs that an engine takes no adapters for a time."""
        return move_s * self._remembered(self._paging_cost_per_s, engine)

    def victim(self, engine: EngineView) -> tuple[ModelId | None, float]:
        """Returns the model that is cheapest to unload, and its cost."""
        return self._remembered(self._victim, engine)

    def free_mb(self, engine: EngineView) -> float:
        """Returns the memory of an engine that no artifact takes."""
        return self._remembered(self._free_mb, engine)

    def load_share(self, engine: EngineView) -> float:
        """Returns the requests of an engine as a share of its slots."""
        return self._remembered(self._load_share, engine)

    def moved(self, model: ModelId) -> None:
        """Forgets what depends on where the copies of a model are."""
        for engine in self.holders[model]:
            self._costs.pop(engine.name, None)

    def _remembered(self, cost: Callable, engine: EngineView):
        costs = self._costs.setdefault(engine.name, {})
        if cost not in costs:
            costs[cost] = cost(engine)
        return costs[cost]

    def _free_mb(self, engine: EngineView) -> float:
        return free_mb(engine, self._terms)

    def _load_share(self, engine: EngineView) -> float:
        return engine.load_share

    def _victim(self, engine: EngineView) -> tuple[ModelId | None, float]:
        costs = [
            (self.eviction_cost(held, engine), held)
            for held in engine.models
            if held not in engine.leaving
        ]
        if not costs:
            return None, math.inf
        cost, held = min(costs)
        return held, cost

    def _paging_cost_per_s(self, engine: EngineView) -> float:
        cost = 0.0
        for model in engine.models:
            others = [
                one
                for one in self.holders[model]
                if one is not engine and one.can_page
            ]
            rate = self.adapter_rate[model] / (1 + len(others)) ** 2
            cost += rate * self.weight.get(model, 1.0)
        return cost

    def eviction_cost(self, model: ModelId, engine: EngineView) -> float:
        """Returns what unloading a copy costs; infinite if it must stay."""
        if self.now_s - engine.models[model] < MIN_RESIDENCE_S:
            return math.inf
        weight = self.weight.get(model, 1.0)
        cost = EVICTION_COST
        if engine.running[model]:
            cost += BUSY_UNLOAD_COST + RUNNING_COST * engine.running[model]
        others = [one for one in self.holders[model] if one is not engine]
        if model not in self._terms.models:
            return cost  # No route leads to it any more.
        if not others:
            if self.waiting[model]:
                return math.inf
            cost += LAST_COPY_COST * weight * self.rate[model]
            return cost + self._last_copy_cost(model)
        if len(others) == 1:
            cost += self._pair_cost(model)
        if model not in self.priority:
            return cost
        demand = self.demand(model)
        load = sum(one.running.total() for one in others)
        share = SPARE_PART * target_share(self._terms.models[model].load_s)
        room = share * sum(one.slots for one in others)
        missing = max(load + engine.running[model], demand) - room
        missing = max(0.0, min(missing, demand))
        spare = SPARE_COPY_SHARE * demand if len(others) == 1 else 0.0
        return cost + weight * (missing + spare)


def weight_of(priority: int) -> float:
    """Returns the weight of a request."""
    return PRIORITY_WEIGHTS[min(priority, len(PRIORITY_WEIGHTS) - 1)]


def target_share(load_s: float) -> float:
    """Returns the share of the slots that copies of a model should use."""
    share = TARGET_SHARE - TARGET_SHARE_PER_LOAD_S * load_s
    return max(MIN_TARGET_SHARE, share)


def plan_models(
    engines: list[EngineView],
    wants: Mapping[Artifact, Want],
    terms: EngineTerms,
    cold_loads: int,
    now_s: float,
) -> list[Move]:
    """Returns the model orders to give now, at most one for each engine.

    Args:
        engines: The engines of a service.
        wants: The demand for their artifacts.
        terms: What the engines have in common.
        cold_loads: Loads from the weight store that may begin now.
        now_s: The time.
    """
    copies = _Copies(engines, wants, terms, now_s)
    free = {engine.name: engine for engine in engines if engine.can_move}
    moves = list(_reserved_loads(free, copies, terms))
    for move in moves:
        engine = free.pop(move.upstream)
        cold_loads -= move.artifact.model not in engine.warm
    for model, gain, reason in _wanted_copies(copies, terms):
        if not free:
            break
        move = _make_room(model, gain, reason, free, copies, terms, cold_loads)
        if move is None:
            continue
        moves.append(move)
        engine = free.pop(move.upstream)
        if move.action is OrderAction.LOAD:
            cold_loads -= model not in engine.warm
        else:
            copies.holders[move.artifact.model].remove(engine)
            copies.moved(move.artifact.model)
        copies.holders[model].append(engine)
        copies.moved(model)
    return moves


def _reserved_loads(
    free: Mapping[UpstreamId, EngineView], copies: _Copies, terms: EngineTerms
) -> Iterator[Move]:
    for engine in free.values():
        model = engine.reserved
        if model is None or model in engine.models or model not in terms.models:
            continue
        fits = free_mb(engine, terms) >= terms.models[model].weights_mb
        is_wanted = copies.waiting[model] or copies.rate[model] > 0.1
        if fits and (is_wanted or model not in copies.priority):
            yield Move(
                engine.name, OrderAction.LOAD, Artifact(model), "room made"
            )


def _wanted_copies(
    copies: _Copies, terms: EngineTerms
) -> list[tuple[ModelId, float, str]]:
    wanted = []
    for model in terms.models:
        holders = copies.holders[model]
        weight = copies.weight.get(model, 1.0)
        demand = copies.demand(model)
        if not holders:
            if copies.waiting[model]:
                gain = weight * (demand + copies.waiting[model])
                gain += weight * WAITING_GAIN_PER_S * copies.oldest_s[model]
                wanted.append((model, gain, "no copy"))
            elif model not in copies.priority:
                gain = PRELOAD_GAIN_PER_S * terms.models[model].load_s
                wanted.append((model, gain, "not asked for yet"))
            continue
        slots = sum(engine.slots for engine in holders)
        load = sum(engine.running.total() for engine in holders)
        share = target_share(terms.models[model].load_s)
        missing = max(load, demand) - share * slots
        # Engines that are full of other models' requests are no reason for
        # another copy of a model that is hardly used.
        missing = min(missing, demand)
        is_full = all(engine.load_share >= FULL_SHARE for engine in holders)
        if is_full and model not in copies.coming:
            missing += copies.waiting[model]
        if missing > 0 and demand >= 1:
            wanted.append((model, weight * missing, "busy"))
        elif len(holders) == 1 and demand >= SPARE_COPY_DEMAND:
            gain = weight * SPARE_COPY_SHARE * demand
            wanted.append((model, gain, "one copy"))
    return sorted(wanted, key=lambda item: -item[1])


def _make_room(
    model: ModelId,
    gain: float,
    reason: str,
    free: Mapping[UpstreamId, EngineView],
    copies: _Copies,
    terms: EngineTerms,
    cold_loads: int,
) -> Move | None:
    best: tuple | None = None
    domains = {engine.failure_domain for engine in copies.holders[model]}
    for engine in free.values():
        if model in engine.models or engine.reserved is not None:
            continue
        if cold_loads <= 0 and model not in engine.warm:
            continue
        victim, cost = _victim(model, engine, copies, terms)
        load_share = copies.load_share(engine)
        cost += LOAD_COST * load_share
        cost += gain * max(0.0, load_share - TARGET_SHARE)
        cost += SAME_DOMAIN_COST if engine.failure_domain in domains else 0.0
        load_s = _load_s(model, engine, terms)
        cost += ENGINE_TIME_COST_PER_S * load_s
        cost += copies.paging_cost(engine, load_s)
        if cost >= gain:
            continue
        cost += _delay_cost(model, engine, copies, terms)
        if best is None or cost < best[0]:
            best = (cost, engine, victim)
    if best is None:
        return None
    _, engine, victim = best
    if victim is None:
        return Move(engine.name, OrderAction.LOAD, Artifact(model), reason)
    return Move(
        engine.name,
        OrderAction.UNLOAD,
        Artifact(victim),
        f"{reason}: {model}",
        room_for=model,
    )


def _delay_cost(
    model: ModelId, engine: EngineView, copies: _Copies, terms: EngineTerms
) -> float:
    load_s = _load_s(model, engine, terms)
    return DELAY_COST_PER_S * load_s * max(1.0, copies.waiting[model])


def _load_s(model: ModelId, engine: EngineView, terms: EngineTerms) -> float:
    found = terms.models[model]
    return found.warm_load_s if model in engine.warm else found.load_s


def _victim(
    model: ModelId,
    engine: EngineView,
    copies: _Copies,
    terms: EngineTerms,
) -> tuple[ModelId | None, float]:
    needed_mb = terms.models[model].weights_mb
    if copies.free_mb(engine) >= needed_mb:
        return None, 0.0
    return copies.victim(engine)
