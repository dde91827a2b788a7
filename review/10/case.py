"""The store is silent for all hosts, which are then all killed.

Streams begin at a worker of another software version than the default one, as
no worker of the default version holds their model. Their records cannot be
written, and after a second they begin without. All processes are killed and
start again, the store answers again, and no host knows where they began.
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

# The resumable route of hinokuni-rounds (night-summary).
TIME_LIMIT_S = 12.0
PATH = "/night/summary"
STREAMS = 8

# Streams begin this long after the store fell silent, and all processes are
# killed this long after that.
BEGIN_S = 0.5
KILL_S = 2.5
RESTART_S = 0.5

HOSTS = ["front-1", "front-2", "front-3", "front-4"]


def configuration():
    return {
        "version": 1,
        "routes": [
            route(
                "night",
                "streaming",
                "drafting",
                resumable=True,
                **{
                    "timeout-ms": int(TIME_LIMIT_S * 1000),
                    "target-latency-ms": 3000,
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
        for name, zone, version, model in (
            ("a1", "fukuoka", "v1", "m0"),
            ("a2", "kumamoto", "v1", "m0"),
            ("b1", "kagoshima", "v2", "m1"),
        ):
            await deployment.add_worker(
                name,
                "drafting",
                zone,
                version=version,
                models=(model,),
                events=50,
            )
        await deployment.add_gateways(HOSTS)
        await asyncio.sleep(4.0)
        record(f"default versions: {store.table('stream-defaults')}")
        if has_trouble or os.environ.get("SILENT"):
            record("the store is silent for all")
            for host in HOSTS:
                store.turn_away(host, Away.SILENT)
        await asyncio.sleep(BEGIN_S)
        streams = [
            Stream(record, deployment, PATH, "m1", TIME_LIMIT_S)
            for _ in range(STREAMS)
        ]
        first = [
            asyncio.create_task(stream.take(HOSTS[number % len(HOSTS)]))
            for number, stream in enumerate(streams)
        ]
        await asyncio.sleep(KILL_S)
        for stream in streams:
            record(f"stream {stream.first_id}: {stream.describe()}")
        if has_trouble or os.environ.get("KILL"):
            for host in HOSTS:
                deployment.signal(host, signal.SIGKILL)
            for host in HOSTS:
                deployment.processes[host].wait()
            await asyncio.sleep(RESTART_S)
        record("the store answers")
        for host in HOSTS:
            store.turn_away(host, None)
        if has_trouble or os.environ.get("KILL"):
            for host in HOSTS:
                deployment.start_gateway(host)
            for host in HOSTS:
                await deployment.wait_until_ready(host)
        await asyncio.gather(*first)
        await asyncio.gather(
            *(
                stream.take_up([HOSTS[n % 4], HOSTS[(n + 1) % 4]])
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
