"""Table writes per claim, and the load of one entry process on the table."""

import itertools
import time
from collections.abc import Iterator

import anyio

from acaciaspoke.clients.table import TableClient
from acaciaspoke.entry.claimrows import Answer
from acaciaspoke.entry.claims import Claims
from acaciaspoke.entry.claimtypes import Claimed
from acaciaspoke.util.metrics import Metrics
from bench.capacity.processes import standin
from bench.result import Result

# Bookings per second of one entry process.
RATES = (2.0, 20.0, 200.0)
DURATION_S = 4.0

# Time of a plain service between the claim and the answer.
SERVICE_TIME_S = 0.02


class _Counter(Metrics):
    """Counts metrics instead of sending them."""

    def __init__(self):
        super().__init__()
        self.counts: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount


def run() -> Iterator[Result]:
    """Measures bookings at several rates with a stand-in of the table."""
    with standin("table") as address:
        for rate in RATES:
            yield from anyio.run(
                _book, address, rate, backend_options={"use_uvloop": True}
            )


async def _book(address: str, rate: float) -> list[Result]:
    metrics, ids = _Counter(), itertools.count()
    done = 0
    async with TableClient(address, 2.0, metrics) as table:
        claims = Claims(
            table,
            metrics,
            owner="bench",
            new_id=lambda: f"{time.time_ns():x}-{next(ids)}",
            now=time.monotonic,
            wall_now=time.time,
        )

        async def book(key: str):
            nonlocal done
            found = await claims.claim("account", "bookings", key, b"h" * 32)
            assert isinstance(found, Claimed), found
            assert claims.begin_dispatch(found.claim)
            await anyio.sleep(SERVICE_TIME_S)
            claims.record_response(found.claim, _answer())
            await found.claim.settled.wait()
            done += 1

        start_s = time.process_time()
        async with anyio.create_task_group() as tasks:
            await tasks.start(claims.run)
            async with anyio.create_task_group() as bookings:
                for _ in range(round(rate * DURATION_S)):
                    key = f"{rate}-{time.time_ns():x}-{next(ids)}"
                    bookings.start_soon(book, key)
                    await anyio.sleep(1 / rate)
            tasks.cancel_scope.cancel()
        spent_s = time.process_time() - start_s
    writes = metrics.counts.get("claims.table_writes", 0)
    name = f"claims.{rate:g}_bookings_per_s"
    return [
        Result(name=f"{name}.done", value=done, unit="bookings"),
        Result(
            name=f"{name}.writes",
            value=writes / done,
            unit="table writes per booking",
        ),
        Result(
            name=f"{name}.writes_per_s",
            value=writes / DURATION_S,
            unit="table writes/s of one entry process",
        ),
        Result(
            name=f"{name}.cpu",
            value=spent_s / done * 1e3,
            unit="ms of a core per booking",
        ),
    ]


def _answer() -> Answer:
    return Answer(status=200, headers=(), body=b"x" * 200)
