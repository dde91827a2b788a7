"""Configurations and views of the measured sizes."""

from typing import NamedTuple

from acaciaspoke.config.schema import (
    Account,
    Adapter,
    Config,
    Model,
    Rank,
    Service,
    ServiceKind,
    Upstream,
)
from acaciaspoke.ids import ArtifactName, BootId, DomainId, UpstreamId
from acaciaspoke.net.records import UpstreamState, UpstreamView

GIB = 1 << 30
DOMAINS = tuple(DomainId(f"r{n % 3}-az{n}") for n in range(7))
LOCAL_DOMAIN = DOMAINS[0]
SERVICE = "drafting"

# 8 accelerators of 80 GiB.
ENGINE_BYTES = 640 * GIB
SLOTS = 64

MODELS_PER_ENGINE = 3
ADAPTERS_PER_ENGINE = 5


class Size(NamedTuple):
    """The size of a configuration."""

    models: int
    adapters: int
    upstreams: int


TODAY = Size(40, 95, 12)
QUARTER = Size(325, 875, 1375)
TARGET = Size(1300, 3500, 5500)
SIZES = (TODAY, QUARTER, TARGET)


def config(size: Size, local_share: float | None = None) -> Config:
    """Returns a configuration of a size, with one account per model.

    Args:
        size: Size of the configuration.
        local_share: Share of the upstreams in the local failure domain; None
            for the same share in all domains.
    """
    local = (
        size.upstreams if local_share is None else size.upstreams * local_share
    )

    def domain(number: int) -> DomainId:
        if local_share is not None and number < local:
            return LOCAL_DOMAIN
        return DOMAINS[number % len(DOMAINS)]

    return Config(
        version=1,
        ranks={
            "urgent": Rank(level=0, floor_share=0.1, worth=50.0),
            "normal": Rank(level=1, floor_share=0.2, worth=5.0),
            "batch": Rank(level=2, floor_share=0.1),
        },
        services={
            SERVICE: Service(kind=ServiceKind.ENGINE),
            "bookings": Service(
                kind=ServiceKind.PLAIN, non_idempotent=("POST /book",)
            ),
        },
        models={
            f"model-{n:04}": Model(
                service=SERVICE,
                memory_bytes=(16 + 8 * (n % 16)) * GIB,
                version="2026-12-01",
            )
            for n in range(size.models)
        },
        adapters={
            f"adapter-{n:05}": Adapter(
                model=f"model-{n % size.models:04}",
                memory_bytes=GIB // 4,
                version="2026-12-01",
            )
            for n in range(size.adapters)
        },
        upstreams={
            f"{domain(n)}-engine-{n:05}": Upstream(
                service=SERVICE,
                failure_domain=domain(n),
                address=f"10.{n >> 8}.{n & 255}.10:8000",
                memory_bytes=ENGINE_BYTES,
                slots=SLOTS,
                checks_fencing=True,
            )
            for n in range(size.upstreams)
        },
        accounts={
            f"account-{n:04}": Account(key_sha256=f"{n:064x}")
            for n in range(size.models)
        },
    )


def _resident(
    models: list[str], adapters: list[str], number: int
) -> dict[ArtifactName, str]:
    """Returns the resident artifacts of an engine, by its number."""
    names = [
        models[(number * MODELS_PER_ENGINE + n) % len(models)]
        for n in range(MODELS_PER_ENGINE)
    ]
    names += [
        adapters[(number * ADAPTERS_PER_ENGINE + n) % len(adapters)]
        for n in range(ADAPTERS_PER_ENGINE)
    ]
    return dict.fromkeys(names, "2026-12-01")


def views(config: Config, sequence: int = 1) -> list[UpstreamView]:
    """Returns a view of each upstream, with different resident artifacts."""
    models, adapters = list(config.models), list(config.adapters)
    return [
        UpstreamView(
            upstream=UpstreamId(name),
            state=UpstreamState.LIVE,
            boot_id=BootId(f"{number:032x}"),
            sequence=100_000 + sequence,
            running=number % SLOTS,
            waiting=0,
            resident=_resident(models, adapters, number),
            report_age_s=0.57,
        )
        for number, name in enumerate(config.upstreams)
    ]
