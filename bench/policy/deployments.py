"""The two deployments, their ranks, and the requests that their callers send.

Sizes, delays and store limits are those of section 1 of docs/design.md; with
the other values the failure-free load uses nearly 60% of the slots.
"""

import bisect
import itertools
import random
from collections.abc import Callable

import msgspec
import xxhash

from acaciaspoke.config.schema import (
    Artifact,
    Rank,
    Service,
    ServiceKind,
    Upstream,
)
from acaciaspoke.entry.request import Request

GIB = 1 << 30
# Share of all models and adapters that fits into the engines of one failure
# domain, so that each domain depends on models in others.
DOMAIN_MEMORY_SHARE = 0.7
ENGINES_PER_DOMAIN = 3
ADAPTER_MEMORY = GIB // 5
SLOTS = 16

RANKS = {
    "urgent": Rank(
        level=0,
        floor_share=0.2,
        first_token_target_s=1.0,
        token_gap_target_ms=45.0,
        worth=100.0,
        default_deadline_s=5.0,
    ),
    "normal": Rank(
        level=1,
        floor_share=0.15,
        first_token_target_s=5.0,
        token_gap_target_ms=60.0,
        worth=10.0,
        default_deadline_s=15.0,
    ),
    "batch": Rank(
        level=2,
        floor_share=0.05,
        first_token_target_s=60.0,
        token_gap_target_ms=200.0,
        worth=1.0,
        default_deadline_s=90.0,
    ),
}


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """A deployment.

    Attributes:
        domain_delay_s: One-way latency between failure domains.
        concurrent_model_loads: Number of concurrent loads that run at full
            speed.
    """

    name: str
    models: int
    adapters: int
    entry_processes: int
    domain_delay_s: float
    model_loads_per_s: float
    concurrent_model_loads: int
    adapters_in_transit: int

    @property
    def model_load_s(self) -> float:
        """Duration of one model load at full speed."""
        return self.concurrent_model_loads / self.model_loads_per_s


HINOKUNI = Deployment(
    name="hinokuni",
    models=35,
    adapters=95,
    entry_processes=7,
    domain_delay_s=0.001,
    model_loads_per_s=3.0,
    concurrent_model_loads=4,
    adapters_in_transit=32,
)
RIDDIM_YARD = Deployment(
    name="riddim_yard",
    models=40,
    adapters=95,
    entry_processes=9,
    domain_delay_s=0.0005,
    model_loads_per_s=3.0,
    concurrent_model_loads=11,
    adapters_in_transit=90,
)
DOMAINS = ("d1", "d2", "d3")
SERVICES = {
    "draft": Service(kind=ServiceKind.ENGINE),
    "ledger": Service(kind=ServiceKind.PLAIN),
}


def upstreams_of(deployment: Deployment) -> dict[str, Upstream]:
    """Returns 9 engines and 3 plain upstreams over the three domains."""
    total = sum(a.memory_bytes for a in artifacts_of(deployment).values())
    memory_bytes = int(DOMAIN_MEMORY_SHARE * total / ENGINES_PER_DOMAIN)
    engines = {
        f"engine{n}": Upstream(
            service="draft",
            failure_domain=DOMAINS[n % 3],
            address=f"10.0.0.{n}:8000",
            memory_bytes=memory_bytes,
            slots=SLOTS,
        )
        for n in range(9)
    }
    plain = {
        f"ledger{n}": Upstream(
            service="ledger",
            failure_domain=DOMAINS[n],
            address=f"10.0.1.{n}:8000",
            slots=SLOTS,
        )
        for n in range(3)
    }
    return engines | plain


def artifacts_of(deployment: Deployment) -> dict[str, Artifact]:
    """Returns models of 6 to 18 GiB, and adapters spread over them."""
    rng = random.Random(deployment.name)
    models = {
        f"model{n}": Artifact(f"model{n}", "1", (6 + 2 * (n % 7)) * GIB)
        for n in range(deployment.models)
    }
    adapters = {
        f"adapter{n}": Artifact(
            f"adapter{n}", "1", ADAPTER_MEMORY, rng.choice(list(models))
        )
        for n in range(deployment.adapters)
    }
    return models | adapters


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request.

    Attributes:
        per_s: Mean arrivals per second.
        tokens: Mean tokens of an answer; 0 for a plain service.
    """

    name: str
    rank: str
    per_s: float
    tokens: int


KINDS = (
    Kind(name="chat", rank="urgent", per_s=12.0, tokens=40),
    Kind(name="search", rank="urgent", per_s=8.0, tokens=40),
    Kind(name="balance", rank="urgent", per_s=8.0, tokens=0),
    Kind(name="draft", rank="normal", per_s=7.0, tokens=80),
    Kind(name="mail", rank="normal", per_s=5.0, tokens=80),
    Kind(name="statement", rank="normal", per_s=4.0, tokens=0),
    Kind(name="digest", rank="batch", per_s=2.0, tokens=200),
    Kind(name="label", rank="batch", per_s=2.0, tokens=200),
)


class Arrival(msgspec.Struct, frozen=True):
    """A request and the cost of its answer.

    Attributes:
        tokens: Tokens of the answer; 0 for a plain service.
        prompt_factor: Factor on the time to the first token or plain answer.
    """

    request: Request
    tokens: int
    prompt_factor: float


def popularity(deployment: Deployment) -> dict[str, float]:
    """Returns the long-term weights of models and adapters."""
    rng = random.Random(f"{deployment.name}/popularity")
    names = list(artifacts_of(deployment))
    models = [n for n in names if n.startswith("model")]
    adapters = [n for n in names if n.startswith("adapter")]
    weights = {}
    for group, share in ((models, 0.6), (adapters, 0.4)):
        rng.shuffle(group)
        zipf = [1 / (n + 1) ** 0.9 for n in range(len(group))]
        for name, weight in zip(group, zipf, strict=True):
            weights[name] = share * weight / sum(zipf)
    return weights


def arrivals(
    deployment: Deployment,
    weights: dict[str, float],
    length_s: float,
    seed: str,
    rate_at: Callable[[Kind, float], float],
    weight_at: Callable[[str, float], float],
    extra_kinds: tuple[Kind, ...] = (),
    noise: float = 0.5,
) -> list[Arrival]:
    """Returns the requests of one run in order of arrival.

    Each kind has its own random generator, so that scenarios differ only in the
    kinds that they change.

    Args:
        deployment: The deployment.
        weights: The popularity of models and adapters.
        length_s: Duration in which callers send.
        seed: Seed of all random generators.
        rate_at: Factor on a kind's rate at a time.
        weight_at: Factor on an artifact's weight at a time.
        extra_kinds: Kinds that this scenario adds.
        noise: Spread of the random factor of each artifact's demand.
    """
    names = list(weights)
    bursts = random.Random(f"{seed}/bursts")
    generators = {
        kind: random.Random(f"{seed}/{kind.name}")
        for kind in KINDS + extra_kinds
    }
    found = []
    for start_s in range(0, int(length_s), 5):
        # Each artifact's demand gets a new random factor around 1 every 5 s.
        drawn = [
            weights[n] * weight_at(n, start_s) * bursts.lognormvariate(0, noise)
            for n in names
        ]
        sums = list(itertools.accumulate(drawn))
        for kind, rng in generators.items():
            rate = kind.per_s * rate_at(kind, start_s)
            at_s = float(start_s)
            while rate and (at_s := at_s + rng.expovariate(rate)) < start_s + 5:
                pick = bisect.bisect(sums, rng.random() * sums[-1])
                found.append(_arrival(kind, names[pick], at_s, len(found), rng))
    return sorted(found, key=lambda a: a.request.arrived_s)


def _arrival(
    kind: Kind, artifact: str, at_s: float, number: int, rng: random.Random
) -> Arrival:
    plain = kind.tokens == 0
    tokens = 0
    if not plain:
        mean = kind.tokens
        tokens = max(4, min(4 * mean, int(rng.expovariate(1 / mean))))
    request = Request(
        request_id=f"r{number}",
        account=f"account{rng.randrange(5)}",
        service="ledger" if plain else "draft",
        artifact=None if plain else artifact,
        rank=kind.rank,
        work_kind=kind.name,
        body_hash=f"b{number}",
        prefix_hash=0 if plain else _prefix_hash(artifact, rng),
        fingerprint=f"f{number}",
        deadline_s=at_s + RANKS[kind.rank].default_deadline_s,
        idempotent=not plain or rng.random() < 0.5,
        stream=not plain,
        arrived_s=at_s,
    )
    return Arrival(request, tokens, rng.uniform(0.5, 1.5))


def _prefix_hash(artifact: str, rng: random.Random) -> int:
    """Returns the hash of one of ten prompt prefixes per artifact."""
    text = f"{artifact}/{rng.randrange(10)}"
    return xxhash.xxh3_64_intdigest(text.encode())
