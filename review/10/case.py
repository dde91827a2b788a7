"""Records of streams are removed while consumers still go on with them.

A configuration shortens the timeout of the resumable route, and a machine is
added. That machine keeps the records of its streams for twice the new timeout
and 5 s, but consumers wait as long as before and go on later than that.
"""

import asyncio
import sys
import time
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

# The resumable route of hinokuni-rounds (night-summary).
TIME_LIMIT_S = 12.0
SHORT_S = 2.0
PATH = "/night/summary"
STREAMS = 8

# Before a consumer connects again.
PAUSE_S = 1.3

HOSTS = ["front-1", "front-2", "front-3"]
ADDED = "front-4"


def configuration(version, timeout_s):
    return {
        "version": version,
        "routes": [
            route(
                "night",
                "streaming",
                "drafting",
                resumable=True,
                **{
                    "timeout-ms": int(timeout_s * 1000),
                    "target-latency-ms": 1000,
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
        store.put("op", "config", configuration(1, TIME_LIMIT_S))
        for name, zone, version, slots, models in (
            ("a1", "fukuoka", "v1", 3, ("m0",)),
            ("a2", "kumamoto", "v1", 3, ("m0",)),
            ("b1", "kagoshima", "v2", 24, ("m0", "m1")),
        ):
            await deployment.add_worker(
                name,
                "drafting",
                zone,
                version=version,
                models=models,
                slots=slots,
                events=100,
                event_s=0.12,
            )
        await deployment.add_gateways(HOSTS)
        await asyncio.sleep(4.0)
        record(f"default versions: {store.table('stream-defaults')}")
        if has_trouble:
            store.put("op", "config", configuration(2, SHORT_S))
            record("the timeout of the route is shortened")
        await asyncio.sleep(1.0)
        await deployment.add_gateways([ADDED], first=False)
        await asyncio.sleep(1.5)

        def new_stream(limit_s=TIME_LIMIT_S, model="m0"):
            return Stream(record, deployment, PATH, model, limit_s)

        # Others take the workers of v1 for a moment.
        others = [new_stream(2.0) for _ in range(12)]
        tasks = [
            asyncio.create_task(stream.take(HOSTS[number % 3]))
            for number, stream in enumerate(others)
        ]
        await asyncio.sleep(0.6)
        streams = [new_stream() for _ in range(STREAMS)]
        began_s = time.monotonic()

        async def consume(stream, number):
            await stream.take(ADDED)
            for try_ in range(4):
                if stream.is_complete or stream.status != 200:
                    return
                if time.monotonic() - began_s > TIME_LIMIT_S - 1.0:
                    return
                await asyncio.sleep(PAUSE_S)
                host = HOSTS[(number + try_) % 3]
                await stream.take(host, is_first=False)

        async def background():
            # Streams go on to begin at the added machine.
            while True:
                tasks.append(
                    asyncio.create_task(new_stream(1.0, "m1").take(ADDED))
                )
                await asyncio.sleep(0.5)

        load = asyncio.create_task(background())
        await asyncio.gather(
            *(consume(stream, n) for n, stream in enumerate(streams))
        )
        load.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
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
