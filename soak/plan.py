"""Plans of runs; the same seed gives the same plan."""

import random
from collections.abc import Iterator
from enum import Enum

import msgspec

# A run of 12 s with 8 processes has about 20 faults, which overlap.
FAULTS_PER_PROCESS_PER_S = 0.2

MAX_FAULT_S = 2.5

# How old the copy is when the store goes away.
MIN_COPY_AGE_S = 0.5
MAX_COPY_AGE_S = 6.0

# Share of the processes that are gateways; one other process is the store.
GATEWAY_SHARE = 0.4

MIN_PROCESSES = 7


class FaultKind(Enum):
    """Faults of processes and of their connections."""

    KILL_GATEWAY = "kill a gateway and start it again"
    STOP_GATEWAY = "SIGTERM to a gateway, then start it again"
    PAUSE_GATEWAY = "pause a gateway"
    RELOAD_GATEWAY = "SIGHUP to a gateway"
    KILL_WORKER = "kill a worker and start it again"
    PAUSE_WORKER = "pause a worker"
    DRAIN_WORKER = "have a worker leave and come back"
    DELAY_WORKER = "delay a worker's connections"
    RESET_WORKER = "reset a worker's connections"
    CUT_WORKER = "lose what a worker sends"
    SILENCE_WORKER = "lose what goes to and from a worker"
    DELAY_STORE = "delay a gateway's connections to the store"
    RESET_STORE = "reset a gateway's connections to the store"
    SILENCE_STORE = "lose what goes between a gateway and the store"
    PAUSE_STORE = "pause the store"
    LOSE_ANSWERS = "apply writes at the store without an answer"
    CHANGE_CONFIGURATION = "a new version of the configuration"
    RESTORE_STORE = "the store is away and comes back from a copy"


# Kinds that ``Plan.faults`` has without an option.
_COMMON_KINDS = [
    kind for kind in FaultKind if kind is not FaultKind.RESTORE_STORE
]


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
        at_s: Begin, relative to the start of the load; when the copy is made
            if the store is restored.
        target: Number of the gateway or worker.
        copy_age_s: Age of the copy when the store goes away.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float
    copy_age_s: float = 0.0


class Plan(msgspec.Struct, frozen=True):
    """The faults and the size of a run.

    Attributes:
        length_s: Time by which the last fault has ended.
    """

    seed: int
    gateways: int
    workers: int
    length_s: float
    faults: tuple[Fault, ...]


def make_plan(
    seed: int, length_s: float, processes: int, restores: int = 0
) -> Plan:
    """Returns the plan of a seed.

    The other faults are the same for any number of restores.

    Args:
        seed: Determines all random choices.
        length_s: Duration in which faults are injected.
        processes: Number of gateways, workers and the store together.
        restores: How often the store is restored from a copy.
    """
    rng = random.Random(f"{seed} {length_s} {processes}")
    gateways = max(2, round(GATEWAY_SHARE * processes))
    workers = max(4, processes - gateways - 1)
    count = round(FAULTS_PER_PROCESS_PER_S * processes * length_s)
    faults = []
    for _ in range(count):
        kind = rng.choice(_COMMON_KINDS)
        duration_s = rng.uniform(0.1, MAX_FAULT_S)
        of_worker = kind.name.endswith("_WORKER")
        faults.append(
            Fault(
                at_s=rng.uniform(0.0, max(0.1, length_s - duration_s)),
                kind=kind,
                target=rng.randrange(workers if of_worker else gateways),
                duration_s=duration_s,
            )
        )
    faults += _make_restores(f"restores of {seed}", length_s, restores)
    faults.sort(key=lambda fault: fault.at_s)
    return Plan(seed, gateways, workers, length_s, tuple(faults))


def _make_restores(seed: str, length_s: float, count: int) -> Iterator[Fault]:
    rng = random.Random(seed)
    for _ in range(count):
        duration_s = rng.uniform(0.1, MAX_FAULT_S)
        copy_age_s = rng.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        latest_s = max(0.1, length_s - copy_age_s - duration_s)
        yield Fault(
            at_s=rng.uniform(0.0, latest_s),
            kind=FaultKind.RESTORE_STORE,
            target=0,
            duration_s=duration_s,
            copy_age_s=copy_age_s,
        )
