"""Plans of runs; the same seed gives the same plan."""

import random
from collections.abc import Iterator

import msgspec

from soak.fault_kinds import (
    COMMON_KINDS,
    GATEWAY_KINDS,
    KINDS_WITHOUT_BREAKS,
    KV_FROM_KINDS,
    TAKEOVER_KINDS,
    Fault,
    FaultKind,
)
from soak.links import LinkFault
from soak.silence_plan import make_hangs, make_silences

# A run of 12 s with 8 processes has about 20 faults, which overlap.
FAULTS_PER_PROCESS_PER_S = 0.2

MAX_FAULT_S = 2.5

# How old the copy is when the store goes away.
MIN_COPY_AGE_S = 0.5
MAX_COPY_AGE_S = 6.0

# With releases or takeovers, engines are added to the processes.
ADDED_ENGINES = 4

# Callers of streams with KV backups for each gateway. So many leave hardly a
# slot free.
BACKED_CALLERS = 8

# How soon one engine follows the other in a release.
MIN_RELEASE_GAP_S = 0.1
MAX_RELEASE_GAP_S = 0.6

# Share of the releases that go back to the version of before.
ROLLBACK_SHARE = 0.3

# All gateways are killed up to this long after the begin of a release.
MAX_KILL_DELAY_S = 4.0
MAX_POWER_LOSS_S = 1.0

# Breaks of single engines for each release.
BREAKS_PER_RELEASE = 4

# After the other faults of a run with releases only these happen: when all
# gateways are killed, when one of them is, and how long this phase is.
LAST_KILL_OF_ALL_S = 1.5
LAST_KILLS_OF_ONE_S = (4.5, 6.0)
LAST_KILL_S = 0.5
LAST_PHASE_S = LAST_KILLS_OF_ONE_S[-1] + LAST_KILL_S

# Gateways ask for backups once they know that streams take long.
BEFORE_TAKEOVERS_S = 3.0

# How long an engine is silent for a takeover, and when a gateway has a fault in
# some of them.
MIN_SILENCE_S = 0.8
MAX_SILENCE_S = 1.9
MIN_GATEWAY_DELAY_S = 0.6
MAX_GATEWAY_DELAY_S = 1.2
GATEWAY_FAULT_SHARE = 0.2

# In this share of the takeovers all engines treat requests that go on from a
# copy wrongly, for this long, or answer them this late.
KV_FROM_FAULT_SHARE = 0.3
KV_FROM_FAULT_S = 2.5
MIN_ANSWER_DELAY_S = 0.2
MAX_ANSWER_DELAY_S = 1.5

# How long gateways have no links to workers; others serve their requests after
# 3 s of it.
MIN_LINK_LOSS_S = 4.5
MAX_LINK_LOSS_S = 7.0

# In the last phase of a run with lost links these are the only faults: a loss,
# and kills and a stop of gateways whose links are not lost.
LAST_LOSS_S = 1.0
LAST_LOSS_LENGTH_S = 9.0
LAST_KILLS_AMID_LOSS_S = (4.0, 6.0)
LAST_STOP_AMID_LOSS_S = 8.0

# With brittle workers, plain ones are added, which have limited room and are
# brittle for this long; they name this number.
ADDED_PLAIN = 4
MIN_BRITTLE_S = 6.0
MAX_BRITTLE_S = 9.0
BRITTLE_ALLOWED = 2

# Share of the processes that are gateways; one other process is the store.
GATEWAY_SHARE = 0.4

# Changes of the configuration that are added to those of other runs if it has
# workspaces.
KEY_CHANGES = 3

MIN_PROCESSES = 7


class Plan(msgspec.Struct, frozen=True):
    """The faults and the size of a run.

    Attributes:
        workers: Number of workers, without those that are added.
        length_s: Time by which the last fault has ended, but for the last
            phase of runs with releases.
        added_engines: Engines that are added for releases or takeovers.
        has_releases: Whether engines get other software versions.
        has_takeovers: Whether streams go on at other engines from copies.
        has_silences: Whether sound engines are silent, and no fault may break a
            stream.
        has_hangs: Whether single engines hang or end while others are sound.
        backed_callers: Callers of streams with KV backups for each gateway.
        has_lost_links: Whether gateways lose their links to workers.
        added_plain: Plain workers that are added if these are brittle.
        has_workspaces: Whether requests need keys of workspaces.
        untrusted: Clients that keep to no limit.
    """

    seed: int
    gateways: int
    workers: int
    length_s: float
    faults: tuple[Fault, ...]
    added_engines: int = 0
    has_releases: bool = False
    has_takeovers: bool = False
    has_silences: bool = False
    has_hangs: bool = False
    backed_callers: int = BACKED_CALLERS
    has_lost_links: bool = False
    added_plain: int = 0
    has_workspaces: bool = False
    untrusted: int = 0

    @property
    def has_backups(self) -> bool:
        """Whether engines have KV backups."""
        return self.has_takeovers or self.has_silences or self.has_hangs

    @property
    def all_workers(self) -> range:
        """The numbers of all workers."""
        return range(self.workers + self.added_engines + self.added_plain)

    @property
    def plain_workers(self) -> list[int]:
        """The numbers of the workers that are not engines."""
        return [one for one in self.all_workers if one not in self.engines]

    def failure_domain(self, gateway: int) -> str:
        """Returns the failure domain of a gateway."""
        return "ab"[gateway % 2] if self.has_lost_links else "a"

    @property
    def engines(self) -> list[int]:
        """The numbers of the workers that are engines."""
        added = range(self.workers, self.workers + self.added_engines)
        return [*range(1, self.workers, 2), *added]


def make_plan(
    seed: int,
    length_s: float,
    processes: int,
    restores: int = 0,
    releases: int = 0,
    takeovers: int = 0,
    stranded: int = 0,
    brittle: int = 0,
    workspaces: bool = False,
    untrusted: int = 0,
    silences: int = 0,
    hangs: int = 0,
    backed_callers: int = BACKED_CALLERS,
) -> Plan:
    """Returns the plan of a seed.

    The other faults are the same for any number of restores, releases,
    takeovers, losses of links and times in which workers are brittle. With
    silences or hangs only those of them remain over which no stream may break.

    Args:
        seed: Determines all random choices.
        length_s: Duration in which faults are injected.
        processes: Number of gateways, workers and the store together.
        restores: How often the store is restored from a copy.
        releases: How often engines get another software version.
        takeovers: How many faults make streams go on at other engines.
        stranded: How often gateways lose their links, before the last phase.
        brittle: How often plain workers are brittle.
        workspaces: Whether requests need keys of workspaces.
        untrusted: Clients that keep to no limit.
        silences: How often sound engines are silent together.
        hangs: How often a single engine hangs or ends.
        backed_callers: Callers of streams with KV backups for each gateway.
    """
    rng = random.Random(f"{seed} {length_s} {processes}")
    gateways = max(2, round(GATEWAY_SHARE * processes))
    workers = max(4, processes - gateways - 1)
    count = round(FAULTS_PER_PROCESS_PER_S * processes * length_s)
    faults = []
    for _ in range(count):
        kind = rng.choice(COMMON_KINDS)
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
    plan = Plan(
        seed,
        gateways,
        workers,
        length_s,
        (),
        ADDED_ENGINES * any((releases, takeovers, stranded, silences, hangs)),
        has_releases=releases > 0,
        has_takeovers=takeovers > 0,
        has_silences=silences > 0,
        has_hangs=hangs > 0,
        backed_callers=backed_callers,
        has_lost_links=stranded > 0,
        added_plain=ADDED_PLAIN if brittle else 0,
        has_workspaces=workspaces,
        untrusted=untrusted,
    )
    faults += _make_key_changes(plan)
    faults += _make_brittle(plan, brittle)
    faults += _make_link_losses(plan, stranded)
    faults += _make_releases(plan, releases)
    faults += _make_takeovers(plan, takeovers)
    if releases:
        faults += _make_last_phase(plan)
    if silences or hangs:
        faults = [one for one in faults if one.kind in KINDS_WITHOUT_BREAKS]
        faults += make_silences(seed, plan.engines, length_s, silences)
        faults += make_hangs(seed, plan.engines, length_s, hangs)
    faults.sort(key=lambda fault: fault.at_s)
    return msgspec.structs.replace(plan, faults=tuple(faults))


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


def _make_key_changes(plan: Plan) -> Iterator[Fault]:
    """Yields changes of the configuration, so that keys are removed."""
    rng = random.Random(f"keys of {plan.seed}")
    for _ in range(KEY_CHANGES * plan.has_workspaces):
        duration_s = rng.uniform(0.1, MAX_FAULT_S)
        yield Fault(
            at_s=rng.uniform(0.0, max(0.1, plan.length_s - duration_s)),
            kind=FaultKind.CHANGE_CONFIGURATION,
            target=0,
            duration_s=duration_s,
        )


def _make_releases(plan: Plan, count: int) -> Iterator[Fault]:
    """Yields releases, and the breaks of streams around each of them."""
    rng = random.Random(f"releases of {plan.seed}")
    before, current, newest = "v1", "v1", 1
    for begin_s in sorted(
        rng.uniform(0.0, plan.length_s / 2) for _ in range(count)
    ):
        if before != current and rng.random() < ROLLBACK_SHARE:
            before, current = current, before
        else:
            newest += 1
            before, current = current, f"v{newest}"
        engines = rng.randint(2, len(plan.engines))
        gap_s = rng.uniform(MIN_RELEASE_GAP_S, MAX_RELEASE_GAP_S)
        yield Fault(
            at_s=begin_s,
            kind=FaultKind.RELEASE,
            target=rng.randrange(len(plan.engines)),
            duration_s=min(engines * gap_s, plan.length_s - begin_s),
            version=current,
            engines=engines,
        )
        kill_s = begin_s + rng.uniform(0.0, MAX_KILL_DELAY_S)
        duration_s = rng.uniform(0.1, MAX_POWER_LOSS_S)
        yield Fault(
            at_s=max(0.0, min(kill_s, plan.length_s - duration_s)),
            kind=FaultKind.KILL_ALL_GATEWAYS,
            target=0,
            duration_s=duration_s,
        )
        for _ in range(BREAKS_PER_RELEASE):
            duration_s = rng.uniform(0.1, MAX_POWER_LOSS_S)
            yield Fault(
                at_s=rng.uniform(begin_s, plan.length_s - duration_s),
                kind=rng.choice(
                    [FaultKind.KILL_WORKER, FaultKind.RESET_WORKER]
                ),
                target=rng.choice(plan.engines),
                duration_s=duration_s,
            )


def _make_takeovers(plan: Plan, count: int) -> Iterator[Fault]:
    """Yields faults of engines, and others that happen at the same time."""
    rng = random.Random(f"takeovers of {plan.seed}")
    for _ in range(count):
        duration_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        latest_s = plan.length_s - KV_FROM_FAULT_S
        begin_s = rng.uniform(min(BEFORE_TAKEOVERS_S, latest_s), latest_s)
        yield Fault(
            at_s=begin_s,
            kind=rng.choice(TAKEOVER_KINDS),
            target=rng.choice(plan.engines),
            duration_s=duration_s,
        )
        if rng.random() < KV_FROM_FAULT_SHARE:
            yield Fault(
                at_s=begin_s,
                kind=rng.choice(KV_FROM_KINDS),
                target=0,
                duration_s=KV_FROM_FAULT_S,
                delay_s=rng.uniform(MIN_ANSWER_DELAY_S, MAX_ANSWER_DELAY_S),
            )
        if rng.random() < GATEWAY_FAULT_SHARE:
            delay_s = rng.uniform(MIN_GATEWAY_DELAY_S, MAX_GATEWAY_DELAY_S)
            yield Fault(
                at_s=begin_s + delay_s,
                kind=rng.choice(GATEWAY_KINDS),
                target=rng.randrange(plan.gateways),
                duration_s=rng.uniform(0.1, KV_FROM_FAULT_S - delay_s),
            )


def _make_last_phase(plan: Plan) -> Iterator[Fault]:
    """Yields kills after which nothing prevents streams from going on."""
    yield Fault(
        at_s=plan.length_s + LAST_KILL_OF_ALL_S,
        kind=FaultKind.KILL_ALL_GATEWAYS,
        target=0,
        duration_s=LAST_KILL_S,
    )
    for number, at_s in enumerate(LAST_KILLS_OF_ONE_S):
        yield Fault(
            at_s=plan.length_s + at_s,
            kind=FaultKind.KILL_GATEWAY,
            target=number,
            duration_s=LAST_KILL_S,
        )


def _make_brittle(plan: Plan, count: int) -> Iterator[Fault]:
    """Yields times in series in which plain workers are brittle."""
    rng = random.Random(f"brittle workers of {plan.seed}")
    for number in range(count):
        slot_s = plan.length_s / count
        longest_s = min(MAX_BRITTLE_S, slot_s)
        duration_s = rng.uniform(min(MIN_BRITTLE_S, longest_s), longest_s)
        yield Fault(
            at_s=number * slot_s + rng.uniform(0.0, slot_s - duration_s),
            kind=FaultKind.MAKE_BRITTLE,
            target=0,
            duration_s=duration_s,
        )


def _make_link_losses(plan: Plan, count: int) -> Iterator[Fault]:
    """Yields losses of links in series, and those of the last phase."""
    rng = random.Random(f"lost links of {plan.seed}")
    numbers = range(plan.gateways)
    for number in range(count):
        slot_s = plan.length_s / count
        longest_s = min(MAX_LINK_LOSS_S, slot_s)
        duration_s = rng.uniform(min(MIN_LINK_LOSS_S, longest_s), longest_s)
        most = rng.sample(numbers, plan.gateways - plan.gateways // 3)
        domain = plan.failure_domain(rng.choice(numbers))
        yield Fault(
            at_s=number * slot_s + rng.uniform(0.0, slot_s - duration_s),
            kind=FaultKind.LOSE_LINKS,
            target=0,
            duration_s=duration_s,
            gateways=rng.choice(
                [
                    (rng.choice(numbers),),
                    tuple(most),
                    tuple(
                        one
                        for one in numbers
                        if plan.failure_domain(one) == domain
                    ),
                ]
            ),
            how=rng.choice(list(LinkFault)),
        )
    if not count:
        return
    begin_s = plan.length_s + LAST_LOSS_S
    if plan.has_releases:
        begin_s += LAST_PHASE_S
    lost, first, second = rng.sample(numbers, 3)
    yield Fault(
        at_s=begin_s,
        kind=FaultKind.LOSE_LINKS,
        target=0,
        duration_s=LAST_LOSS_LENGTH_S,
        gateways=(lost,),
        how=rng.choice(list(LinkFault)),
    )
    for kind, target, delay_s in (
        (FaultKind.KILL_GATEWAY, first, LAST_KILLS_AMID_LOSS_S[0]),
        (FaultKind.KILL_GATEWAY, second, LAST_KILLS_AMID_LOSS_S[1]),
        (FaultKind.STOP_GATEWAY, first, LAST_STOP_AMID_LOSS_S),
    ):
        yield Fault(begin_s + delay_s, kind, target, LAST_KILL_S)
