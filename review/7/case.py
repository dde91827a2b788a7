"""A host that the store turns away loses the records of its streams.

The store turns one machine away and serves the others. After half of a
stream's longest life that machine begins streams at a version that is not the
default one without waiting for their records, and without having other machines
write them. When it is killed, the records are gone, and other machines take the
streams for streams of the default version.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from consumer import Stream  # noqa: E402
from deployment import (  # noqa: E402
    LIMITS,
    Deployment,
    NotRunError,
    engine,
    route,
    run_case,
    service,
)
from store import Away  # noqa: E402

# As tenant-query of hinokuni-rounds.
TIME_LIMIT_S = 4.0
PATH = "/tenant/query"
STREAMS = 8

# How long the store turns the machine away; the pages have 9 s at most.
AWAY_S = 9.0

# When streams begin after the store has begun to turn the machine away.
BEGIN_S = float(os.environ.get("BEGIN_S", "7.0"))

HOSTS = ["front-1", "front-2", "front-3", "front-4"]


def configuration():
    return {
        "version": 1,
        "routes": [
            route(
                "tenant",
                "streaming",
                "drafting",
                resumable=True,
                **{
                    "timeout-ms": int(TIME_LIMIT_S * 1000),
                    "target-latency-ms": 500,
                    "target-gap-ms": 150,
                },
            )
        ],
        "services": [service("drafting", engine=engine(["m0", "m1"]))],
        "limits": LIMITS,
    }


async def main(record, has_trouble):
    async with Deployment(record) as deployment:
        store = deployment.store
        store.put("op", "config", configuration())
        for name, version, model in (
            ("a1", "v1", "m0"),
            ("a2", "v1", "m0"),
            ("b1", "v2", "m1"),
        ):
            await deployment.add_worker(
                name,
                "drafting",
                deployment.zones[int(name[1]) - 1],
                version=version,
                models=(model,),
            )
        await deployment.add_gateways(HOSTS)
        await asyncio.sleep(6.0)
        record(f"default versions: {store.table('stream-defaults')}")
        holder = deployment.holder()
        record(f"the lease is held by {holder}")
        victim = next(host for host in HOSTS if host != holder)
        others = [host for host in HOSTS if host != victim]
        if has_trouble:
            record(f"the store turns {victim} away")
            store.turn_away(victim, Away.BUSY)
        await asyncio.sleep(BEGIN_S)
        streams = [
            Stream(record, deployment, PATH, "m1", TIME_LIMIT_S)
            for _ in range(STREAMS)
        ]
        first = [asyncio.create_task(s.take(victim)) for s in streams]
        await asyncio.sleep(0.6)
        records = store.table("streams")
        for stream in streams:
            known = any(stream.first_id in key for _, key in records)
            record(
                f"stream {stream.first_id}: {stream.describe()};"
                f" {'has' if known else 'has no'} record in the store"
            )
        if has_trouble:
            deployment.signal(victim, signal.SIGKILL)
        await asyncio.gather(*first)
        await asyncio.gather(
            *(
                stream.take_up([others[n % 3], others[(n + 1) % 3]])
                for n, stream in enumerate(streams)
            )
        )
        if not any(stream.events for stream in streams):
            raise NotRunError("no stream began")
        mixed = [s for s in streams if len(s.versions) > 1]
        for stream in streams:
            record(
                f"stream {stream.first_id}: {stream.describe()}, last status"
                f" {stream.status}, complete: {stream.is_complete}"
            )
        record(f"{len(mixed)} streams hold events of two software versions")
        # ORDER: more than two streams.
        return len(mixed) > 2


run_case(main, FOLDER)
