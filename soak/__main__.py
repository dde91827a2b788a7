"""Runs the soak test: ``python -m soak --seed 1 --minutes 1 --processes 8``."""

import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import click

from soak import workspaces
from soak.callers import Callers
from soak.checks import check_all
from soak.deployment import Deployment
from soak.faults import FaultInjector
from soak.plan import BACKED_CALLERS, MIN_PROCESSES, Plan, make_plan
from soak.silence_plan import max_hangs, max_silences
from soak.streams import StreamCallers
from standins import kv_engine
from standins.loop_lag import watch_lag

LENGTH_S = 12.0

CALLERS_PER_GATEWAY = 4

# In runs with lost links, of which the last seconds count.
MORE_CALLERS_PER_GATEWAY = 8

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
            plan.backed_callers * plan.has_backups
            + LEAVING_CALLERS_PER_GATEWAY * plan.has_lost_links
        )
        longest_lag_s = 0.0

        def record_lag(due_s: float, now_s: float) -> None:
            nonlocal longest_lag_s
            longest_lag_s = max(longest_lag_s, now_s - due_s)

        async with asyncio.TaskGroup() as tasks:
            watching = tasks.create_task(watch_lag(record_lag))
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
            watching.cancel()
        violations = [
            line
            async for line in check_all(
                deployment, injector, callers, streams, backed
            )
        ]
        answered = sum(one.status == 200 for one in callers.outcomes)
        print(
            f"seed {plan.seed}: {len(plan.faults)} faults,"
            f" {len(callers.outcomes)} requests, {answered} answered,"
            f" {len(violations)} promises broken; callers stood still for up"
            f" to {longest_lag_s:.2f} s",
            flush=True,
        )
        return violations


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
    silences: int = 0,
    hangs: int = 0,
    backed_callers: int = BACKED_CALLERS,
) -> list[str]:
    """Runs one seed; keeps its logs if a guarantee was violated."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    plan = make_plan(
        *(seed, length_s, processes, restores, releases, takeovers),
        *(stranded, brittle, has_workspaces, untrusted),
        *(silences, hangs, backed_callers),
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
@click.option(
    "--silences",
    type=click.IntRange(0, 100),
    default=0,
    show_default=True,
    help="How often sound engines are silent together in each run.",
)
@click.option(
    "--hangs",
    type=click.IntRange(0, 100),
    default=0,
    show_default=True,
    help="How often a single engine hangs or ends in each run.",
)
@click.option(
    "--backed-callers",
    type=click.IntRange(1, 100),
    default=BACKED_CALLERS,
    show_default=True,
    help="Callers of streams with copies for each gateway.",
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
    silences: int,
    hangs: int,
    backed_callers: int,
) -> None:
    """Runs seeds one after the other; fails if a guarantee was violated."""
    if releases and takeovers:
        raise click.UsageError("--releases and --takeovers exclude each other")
    if stranded and takeovers:
        raise click.UsageError("--stranded and --takeovers exclude each other")
    if stranded and has_workspaces:
        raise click.UsageError("--stranded and --workspaces exclude each other")
    if silences and hangs:
        raise click.UsageError("--silences and --hangs exclude each other")
    if (silences or hangs) and (releases or takeovers or stranded or brittle):
        raise click.UsageError(
            "--silences and --hangs exclude --releases, --takeovers, --stranded"
            " and --brittle"
        )
    if hangs > (most := max_hangs(length_s)):
        raise click.UsageError(f"{length_s} s have room for {most} hangs")
    if silences > (most := max_silences(length_s)):
        raise click.UsageError(f"{length_s} s have room for {most} silences")
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
                *(has_workspaces, untrusted, silences, hangs, backed_callers),
            )
        )
        seed += 1
        if time.monotonic() >= deadline_s:
            break
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
