"""Runs the soak test: ``python -m soak --seed 1 --minutes 1 --processes 8``."""

import asyncio
import itertools
import random
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import click
import httpcore

from soak import falls, lost_links, workspaces
from soak import takeovers as takeover_checks
from soak.callers import DEADLINE_S, Callers, Kind
from soak.deployment import MEMORY_MB, Deployment
from soak.faults import FaultInjector
from soak.joins import count_shares, find_refused, find_stream_violations
from soak.plan import MIN_PROCESSES, Plan, make_plan
from soak.promises import find_violations
from soak.streams import StreamCallers
from standins import kv_engine

LENGTH_S = 12.0

# Every route must answer through every gateway within this time after the last
# fault.
RECOVERY_S = 15.0

CALLERS_PER_GATEWAY = 4

# In runs with lost links, of which the last seconds count.
MORE_CALLERS_PER_GATEWAY = 8

# Of streams with KV backups.
BACKED_CALLERS_PER_GATEWAY = 8

# Of long streams that some of them leave.
LEAVING_CALLERS_PER_GATEWAY = 4

# Seeds that failed once and their causes, for ``--regressions``.
REGRESSIONS = {
    1: "a signal reached a gateway that had just started",
    100: "a request arrived while a stopping gateway closed its connection",
    102: "stand-in workers did not renew their rows after an order",
    202: "as 100",
    204: "as 102",
    303: "a connection that was already closed was reset",
    406: "as 1",
    3036: "a request arrived as its idle connection was closed",
    4020: "as 3036",
    4031: "as 3036",
    4081: "open: a gateway refused streams 15 s after the last fault",
    5031: "open: as 3036, after connections with unread data stayed open;"
    " later, stand-in workers that had drained came back as the same process",
    6100: "with 40 processes: the first request of a connection came after"
    " the idle limit",
    6102: "as 6100; later, the callers' process stood still",
    7003: "workers that had left came back as the same process",
}


async def _run(plan: Plan, folder: Path) -> list[str]:
    async with Deployment(plan, folder) as deployment:
        injector = FaultInjector(deployment)
        callers = Callers(deployment, plan.seed)
        streams = StreamCallers(deployment, plan.seed)
        backed = StreamCallers(
            *(deployment, plan.seed, kv_engine.PREFIX, 1),
            leaves=plan.has_lost_links,
        )
        callers_per_gateway = (
            MORE_CALLERS_PER_GATEWAY
            if plan.has_lost_links
            else CALLERS_PER_GATEWAY
        )
        backed_callers = (
            BACKED_CALLERS_PER_GATEWAY * plan.has_takeovers
            + LEAVING_CALLERS_PER_GATEWAY * plan.has_lost_links
        )
        async with asyncio.TaskGroup() as tasks:
            for _ in range(callers_per_gateway * plan.gateways):
                tasks.create_task(callers.run_caller())
                if plan.has_releases:
                    tasks.create_task(streams.run_caller())
            if plan.added_plain:
                tasks.create_task(callers.run_steady_caller())
            if plan.has_workspaces:
                tasks.create_task(
                    callers.run_steady_caller(
                        workspaces.LIMITED_TURN_PER_S,
                        workspaces.kept(workspaces.LIMITED),
                        workspaces.is_limited_turn,
                    )
                )
            for _ in range(backed_callers * plan.gateways):
                tasks.create_task(backed.run_caller())
            async with asyncio.TaskGroup() as faults:
                begin_s = time.monotonic()
                for fault in plan.faults:
                    delay_s = begin_s + fault.at_s - time.monotonic()
                    await asyncio.sleep(max(0.0, delay_s))
                    faults.create_task(injector.apply(fault))
            callers.stop()
            streams.stop()
            backed.stop()
        violations = [
            line
            async for line in _check_all(
                deployment, injector, callers, streams, backed
            )
        ]
        answered = sum(one.status == 200 for one in callers.outcomes)
        print(
            f"seed {plan.seed}: {len(plan.faults)} faults,"
            f" {len(callers.outcomes)} requests, {answered} answered,"
            f" {len(violations)} promises broken",
            flush=True,
        )
        return violations


async def _check_all(
    deployment: Deployment,
    injector: FaultInjector,
    callers: Callers,
    streams: StreamCallers,
    backed: StreamCallers,
):
    """Yields a line for each violated guarantee; prints numbers."""
    plan = deployment.plan
    async for line in _check_recovery(deployment, callers):
        yield line
    if plan.has_workspaces:
        async for line in _check_keys(deployment, callers):
            yield line
    for line in find_violations(
        callers.outcomes,
        deployment.runs(),
        deployment.outages,
        _broken_s(deployment),
    ):
        yield line
    if plan.has_releases:
        async for line in _check_streams(deployment, injector, streams):
            yield line
    checks = [_check_falls(deployment), _check_ends(deployment)]
    if plan.has_takeovers or plan.has_lost_links:
        checks.append(_check_takeovers(deployment, injector, backed))
    if plan.untrusted:
        checks.append(_check_untrusted(deployment))
    if plan.has_workspaces:
        checks.append(_check_workspaces(deployment, callers))
    if plan.has_lost_links:
        checks.append(_check_served(deployment, callers))
    for line in itertools.chain.from_iterable(checks):
        yield line


async def _check_recovery(deployment: Deployment, callers: Callers):
    """Yields the requests that still fail after ``RECOVERY_S``."""
    paths = [(kind, kind.value) for kind in Kind]
    deadline_s = time.monotonic() + RECOVERY_S
    newest = (Kind.SAFE, f"/version-{deployment.version}/")
    kept = workspaces.kept(workspaces.OPEN)
    async with httpcore.AsyncConnectionPool() as pool:
        for gateway in range(len(deployment.gateway_addresses)):
            for kind, path in [*paths, newest]:
                while True:
                    outcome = await callers.send_request(
                        *(pool, gateway, kind, path, kept)
                    )
                    if outcome.status == 200:
                        break
                    if time.monotonic() > deadline_s:
                        yield f"gateway{gateway} {path}: {outcome}"
                        break
                    # Routes may be unknown until the gateway has the newest
                    # configuration; such answers are not violations.
                    callers.outcomes.remove(outcome)
                    await asyncio.sleep(0.2)


async def _check_streams(
    deployment: Deployment, injector: FaultInjector, callers: StreamCallers
):
    """Yields what was wrong with resumable streams; prints their shares."""
    shares = count_shares(
        callers.streams, injector.injected, deployment.engines
    )
    print(f"seed {deployment.plan.seed}: {shares}", flush=True)
    for line in find_refused(shares):
        yield line
    deadline_s = time.monotonic() + RECOVERY_S
    for gateway in range(len(deployment.gateway_addresses)):
        while not (await callers.read([gateway])).is_complete:
            if time.monotonic() > deadline_s:
                yield f"gateway{gateway}: no resumable stream is complete"
                break
    for line in find_stream_violations(
        callers.streams,
        deployment.runs(),
        deployment.outages,
        _broken_s(deployment),
    ):
        yield line


def _broken_s(deployment: Deployment) -> list[float]:
    """Returns when connections broke over which streams may have come."""
    return deployment.broken_s + [
        outage.begin_s
        for outage in deployment.outages
        if not outage.is_stop
        and any(
            # The gateway may have served requests of those without links.
            loss.begin_s <= outage.begin_s <= loss.end_s + DEADLINE_S
            for loss in deployment.link_losses
        )
    ]


async def _check_keys(deployment: Deployment, callers: Callers):
    """Yields keys that are not answered as the newest version says."""
    name, version = workspaces.OPEN, deployment.version
    keys = [(workspaces.of_version(name, version), 200)]
    if (removed := version - workspaces.HELD_VERSIONS) > 0:
        keys.append((workspaces.of_version(name, removed), 401))
    deadline_s = time.monotonic() + RECOVERY_S
    async with httpcore.AsyncConnectionPool() as pool:
        for gateway, (key, status) in itertools.product(
            deployment.gateways, keys
        ):
            while True:
                outcome = await callers.send_request(
                    *(pool, gateway, Kind.SAFE, Kind.SAFE.value, key)
                )
                if outcome.status == status:
                    break
                if time.monotonic() > deadline_s:
                    yield f"gateway{gateway} {key}: {outcome}"
                    break
                await asyncio.sleep(0.2)


def _check_workspaces(
    deployment: Deployment, callers: Callers
) -> Iterator[str]:
    """Yields what was wrong with keys and quotas; prints numbers."""
    lines = itertools.chain.from_iterable(deployment.worker_lines().values())
    records = list(workspaces.read_records(lines))
    line = workspaces.describe(callers.outcomes, records)
    print(f"seed {deployment.plan.seed}: {line}", flush=True)
    yield from workspaces.find_key_violations(callers.outcomes, records)
    yield from workspaces.find_quota_violations(records)


def _check_ends(deployment: Deployment) -> Iterator[str]:
    """Yields gateways whose processes have ended by themselves."""
    for number in deployment.gateways:
        deployment.record_unexpected_end(number)
    for name, status in deployment.unexpected_ends:
        yield f"{name} ended by itself with status {status}"


def _check_untrusted(deployment: Deployment) -> Iterator[str]:
    """Yields gateways with too much memory; prints what clients sent."""
    lines = deployment.read_log("untrusted").splitlines()
    sent = dict(Counter(line.split()[0] for line in lines))
    peaks_mb = [deployment.peak_mb(number) for number in deployment.gateways]
    print(
        f"seed {deployment.plan.seed}: untrusted clients sent {sent}; gateways"
        f" had up to {max(peaks_mb):.0f} MB",
        flush=True,
    )
    if max(peaks_mb) > MEMORY_MB:
        yield f"gateways had up to {peaks_mb} MB of {MEMORY_MB} MB"
    if deployment.processes["untrusted"].poll() is not None:
        yield "the untrusted clients have ended by themselves"


def _check_falls(deployment: Deployment) -> Iterator[str]:
    """Yields times in which too many workers fell over; prints numbers."""
    workers = len(deployment.plan.plain_workers)
    for period in deployment.brittle_times:
        line = falls.describe(period, workers)
        print(f"seed {deployment.plan.seed}: {line}", flush=True)
        if falls.has_too_many(period, workers):
            yield f"{line}: {period}"


def _check_served(deployment: Deployment, callers: Callers) -> Iterator[str]:
    """Yields losses of links in which too few were served; prints shares."""
    for loss in deployment.link_losses:
        served = lost_links.count_served(
            loss, callers.outcomes, deployment.outages
        )
        print(f"seed {deployment.plan.seed}: {served}", flush=True)
        if served.is_too_low:
            yield f"{served}, {loss}"
    forwarded = sum(
        deployment.read_log(f"gateway{number}").count("forwarded to host")
        for number in deployment.gateways
    )
    print(f"seed {deployment.plan.seed}: {forwarded} forwarded", flush=True)


def _check_takeovers(
    deployment: Deployment, injector: FaultInjector, callers: StreamCallers
) -> Iterator[str]:
    """Yields what was wrong with streams with copies; prints their numbers."""
    runs = takeover_checks.group_by_id(
        takeover_checks.read_runs(
            deployment.worker_lines(), deployment.kills, time.monotonic()
        )
    )
    cuts = [takeover_checks.Cut(*cut) for cut in deployment.cuts]
    summary = takeover_checks.summarize(callers.streams, runs, cuts)
    print(f"seed {deployment.plan.seed}: {summary}", flush=True)
    yield from takeover_checks.find_takeover_violations(
        callers.streams,
        runs,
        deployment.outages,
        cuts,
    )
    if not deployment.plan.has_lost_links:
        return
    closes = list(
        lost_links.find_closes(
            callers.streams, injector.injected, deployment.link_losses
        )
    )
    print(f"seed {deployment.plan.seed}: {len(closes)} closes", flush=True)
    yield from lost_links.find_late_stops(closes, runs, deployment.works_on)


def run_seed(
    seed: int,
    length_s: float,
    processes: int,
    restores: int = 0,
    releases: int = 0,
    takeovers: int = 0,
    stranded: int = 0,
    brittle: int = 0,
    has_workspaces: bool = False,
    untrusted: int = 0,
) -> list[str]:
    """Runs one seed; keeps its logs if a guarantee was violated."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    plan = make_plan(
        *(seed, length_s, processes, restores, releases, takeovers),
        *(stranded, brittle, has_workspaces, untrusted),
    )
    violations = asyncio.run(_run(plan, folder))
    if violations:
        print(f"  logs: {folder}")
        for fault in plan.faults:
            print(
                f"  {fault.at_s:6.2f} s {fault.kind.name} {fault.target}"
                f" for {fault.duration_s:.2f} s {fault.version}"
                f"{fault.gateways or ''} {fault.how.name if fault.how else ''}"
            )
    else:
        shutil.rmtree(folder)
    for line in violations:
        print(f"  {line}", flush=True)
    return violations


@click.command()
@click.option("--seed", type=int, help="The first seed; drawn without it.")
@click.option("--minutes", type=float, default=0.0, help="0: one seed.")
@click.option(
    "--processes",
    type=click.IntRange(MIN_PROCESSES, 200),
    default=8,
    show_default=True,
)
@click.option(
    "--regressions", is_flag=True, help="Only the seeds that failed once."
)
@click.option("--length", "length_s", default=LENGTH_S, show_default=True)
@click.option(
    "--restores",
    type=click.IntRange(0, 20),
    default=0,
    show_default=True,
    help="How often the store is restored from a copy in each run.",
)
@click.option(
    "--releases",
    type=click.IntRange(0, 20),
    default=0,
    show_default=True,
    help="How often engines get another software version in each run.",
)
@click.option(
    "--takeovers",
    type=click.IntRange(0, 100),
    default=0,
    show_default=True,
    help="How many faults make streams go on at other engines in each run.",
)
@click.option(
    "--stranded",
    type=click.IntRange(0, 20),
    default=0,
    show_default=True,
    help="How often gateways lose their links to all workers in each run.",
)
@click.option(
    "--brittle",
    type=click.IntRange(0, 20),
    default=0,
    show_default=True,
    help="How often plain workers fall over if they refuse too many requests.",
)
@click.option(
    "--workspaces",
    "has_workspaces",
    is_flag=True,
    help="Requests need keys of workspaces.",
)
@click.option(
    "--untrusted",
    type=click.IntRange(0, 100),
    default=0,
    show_default=True,
    help="How many clients keep to no limit.",
)
def main(
    seed: int | None,
    minutes: float,
    processes: int,
    regressions: bool,
    length_s: float,
    restores: int,
    releases: int,
    takeovers: int,
    stranded: int,
    brittle: int,
    has_workspaces: bool,
    untrusted: int,
) -> None:
    """Runs seeds one after the other; fails if a guarantee was violated."""
    if releases and takeovers:
        raise click.UsageError("--releases and --takeovers exclude each other")
    if stranded and takeovers:
        raise click.UsageError("--stranded and --takeovers exclude each other")
    if stranded and has_workspaces:
        raise click.UsageError("--stranded and --workspaces exclude each other")
    # Unwinds like an interrupt, so that the started processes are killed.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if regressions:
        failed_seeds = [
            seed
            for seed in REGRESSIONS
            if run_seed(seed, LENGTH_S, MIN_PROCESSES + 1)
        ]
        sys.exit(bool(failed_seeds))
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    deadline_s = time.monotonic() + 60 * minutes
    is_broken = False
    while True:
        is_broken |= bool(
            run_seed(
                *(seed, length_s, processes),
                *(restores, releases, takeovers, stranded, brittle),
                *(has_workspaces, untrusted),
            )
        )
        seed += 1
        if time.monotonic() >= deadline_s:
            break
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
