"""Checks a run: recovery, and what callers, workers and processes tell."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Iterator

import httpcore

from soak import copies, falls, hangs, lost_links, silences, workspaces
from soak import takeovers as takeover_checks
from soak.callers import DEADLINE_S, Callers, Kind
from soak.deployment import MEMORY_MB, Deployment
from soak.faults import FaultInjector
from soak.joins import count_shares, find_refused, find_stream_violations
from soak.promises import find_violations
from soak.streams import StreamCallers
from standins.kv_copies import LAPSE_S

# Every route must answer through every gateway within this time after the last
# fault.
RECOVERY_S = 15.0


async def check_all(
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
    if plan.has_backups or plan.has_lost_links:
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
    if deployment.plan.has_backups:
        yield from _check_copies(deployment, callers, runs)
    if deployment.plan.has_hangs:
        for hang in hangs.count_hangs(injector.injected, callers.streams, runs):
            print(f"seed {deployment.plan.seed}: {hang}", flush=True)
    if deployment.plan.has_silences:
        yield from _check_silences(deployment, injector, callers, runs)
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


def _check_copies(
    deployment: Deployment, callers: StreamCallers, runs: takeover_checks.Runs
) -> Iterator[str]:
    """Yields copies of runs that were not freed; prints their numbers."""
    now_s = time.monotonic()
    found = list(copies.read_copies(deployment.worker_lines()))
    line = copies.summarize(found)
    print(f"seed {deployment.plan.seed}: {line}", flush=True)
    # Calls to free a copy may be lost with a gateway or an engine.
    max_held_s = (
        copies.MAX_HELD_S
        if deployment.plan.has_silences
        else LAPSE_S + copies.MAX_HELD_S
    )
    yield from copies.find_kept_copies(
        found, callers.streams, runs, max_held_s, now_s
    )


def _check_silences(
    deployment: Deployment,
    injector: FaultInjector,
    callers: StreamCallers,
    runs: takeover_checks.Runs,
) -> Iterator[str]:
    """Yields streams of sound engines that were cut; prints numbers."""
    found = silences.find_silences(injector.injected)
    line = silences.summarize(callers.streams, runs, found)
    print(f"seed {deployment.plan.seed}: {line}", flush=True)
    found = silences.add_lags(found, deployment.worker_lines())
    yield from silences.find_cut_streams(callers.streams, runs, found)
