"""A host believes in an earlier default version after a release is undone.

Workers of software v1 are replaced by v2 one after the other. Once v1 has been
away for the longest life of a stream, the system makes v2 the version whose
streams need no record. A machine that was added shortly before goes on to
believe that this version is v1, if workers of v1 come back: streams that begin
there at v1 have no record, and another machine takes them for streams of v2.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from consumer import Stream  # noqa: E402
from deployment import (  # noqa: E402
    LIMITS,
    Deployment,
    engine,
    route,
    run_case,
    service,
)

# The resumable route of hinokuni-rounds (night-summary).
TIME_LIMIT_S = 12.0
PATH = "/night/summary"
DRAIN_S = 2.0
STREAMS = 10

HOSTS = ["front-1", "front-2", "front-3", "front-4"]
ADDED = "front-5"


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


class Background:
    """Consumers that send streams all the time."""

    def __init__(self, record, deployment):
        self._record = record
        self._deployment = deployment
        self._tasks = []

    async def run(self):
        number = 0
        while True:
            for model in ("m0", "m1"):
                host = HOSTS[number % len(HOSTS)]
                number += 1
                stream = Stream(
                    self._record, self._deployment, PATH, model, TIME_LIMIT_S
                )
                self._tasks.append(asyncio.create_task(stream.take(host)))
            await asyncio.sleep(0.5)


async def replace(deployment, old, new, version, slots=6):
    """Replaces a worker: the new one starts first, the old one drains."""
    worker = deployment.workers[old]
    await deployment.add_worker(
        new, "drafting", worker.zone, version=version, slots=slots
    )
    asyncio.create_task(worker.leave(DRAIN_S))


async def main(record, has_trouble):
    async with Deployment(record) as deployment:
        store = deployment.store
        store.put("op", "config", configuration())
        for number, zone in enumerate([*deployment.zones, "fukuoka"], 1):
            await deployment.add_worker(
                f"a{number}",
                "drafting",
                zone,
                version="v1",
                models=("m0", "m1"),
                slots=6,
            )
        await deployment.add_gateways(HOSTS)
        if os.environ.get("EARLY"):
            await deployment.add_gateways([ADDED], first=False)
        load = asyncio.create_task(Background(record, deployment).run())

        def default():
            rows = store.table("stream-defaults").values()
            return next(iter(rows), None)

        await asyncio.sleep(3.0)
        record(f"default version: {default()}")
        # Two releases, each of half of the workers.
        for number in range(1, 5):
            await replace(deployment, f"a{number}", f"b{number}", "v2")
            await asyncio.sleep(1.0)
            if number == 2:
                await asyncio.sleep(5.0)
        while any(
            document["version"] == "v1"
            for document in store.table("servers").values()
        ):
            await asyncio.sleep(0.1)
        absent_s = time.monotonic()
        record("no worker of v1 is left")
        # A machine is added.
        await asyncio.sleep(18.0)
        if not os.environ.get("EARLY"):
            await deployment.add_gateways([ADDED], first=False)
        while default()["version"] == "v1":
            await asyncio.sleep(0.1)
            if time.monotonic() - absent_s > 40:
                record("the default version did not change")
                return False
        record(f"default version: {default()}")
        # The release is undone at half of the workers, not before all hosts
        # have seen the change.
        await asyncio.sleep(2.5)
        for number in (1, 2):
            await replace(
                deployment, f"b{number}", f"c{number}", "v1", slots=12
            )
            await asyncio.sleep(1.0)
        end_s = time.monotonic() + 20
        while not all(
            deployment.workers[name].models for name in ("c1", "c2")
        ):
            await asyncio.sleep(0.1)
            if time.monotonic() > end_s:
                break
        for name, worker in deployment.workers.items():
            record(f"{name} holds {list(worker.models)}")
        await asyncio.sleep(2.0)
        # Streams begin at the added machine, which is then killed.
        models = [
            next(iter(deployment.workers[name].models), "m0")
            for name in ("c1", "c2")
        ]
        streams = [
            Stream(record, deployment, PATH, model, TIME_LIMIT_S)
            for model in models * (STREAMS // 2)
        ]
        first = [asyncio.create_task(s.take(ADDED)) for s in streams]
        await asyncio.sleep(1.5)
        records = store.table("streams")
        for stream in streams:
            known = any(stream.first_id in key for _, key in records)
            record(
                f"stream {stream.first_id}: {stream.describe()};"
                f" {'has' if known else 'has no'} record in the store"
            )
        if has_trouble:
            deployment.signal(ADDED, signal.SIGKILL)
        await asyncio.gather(*first)
        await asyncio.gather(
            *(
                stream.take_up([HOSTS[n % 4], HOSTS[(n + 1) % 4]])
                for n, stream in enumerate(streams)
            )
        )
        load.cancel()
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
