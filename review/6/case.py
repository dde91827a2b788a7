"""A worker in trouble sends bytes without end, and hosts get to nothing else.

Some answers of one of seven workers are bodies without end, in chunks of one
byte. Each host that reads one is busy with it: it answers neither the requests
to the other workers nor questions about its readiness in time.
"""

import asyncio
import collections
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from deployment import (  # noqa: E402
    LIMITS,
    READY_PORT,
    Deployment,
    new_id,
    route,
    run_case,
    service,
)
from http1 import request  # noqa: E402
from worker import Worker  # noqa: E402

HOSTS = ["front-1", "front-2", "front-3"]
ZONES = ("fukuoka", "kumamoto", "kagoshima")
WORKERS = 7

# As refill-booking and unit-lookup of hinokuni-rounds together.
RATE_PER_S = 34.0
TIMEOUT_S = 1.0

# How long callers wait; longer than the operator wants them kept waiting.
PATIENCE_S = 3.0
SLACK_S = 0.5

# As srv_grey: this share of the answers, for so long.
TROUBLED_SHARE = 0.4
TROUBLE_S = 5.0
BEGIN_S = 4.0
LENGTH_S = 16.0

# How fast a body without end is sent: 80 of the 1,000 Mbit/s of a link.
BYTES_PER_S = 10_000_000
PAUSE_S = 0.01

CHUNK_BYTES = int(os.environ.get("CHUNK", "1"))


class TroubledWorker(Worker):
    """A worker that can send bodies without end.

    Attributes:
        is_in_trouble: Whether it does so now.
        endless: The ids of the requests that got one.
    """

    is_in_trouble = False

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.endless = []

    async def work(self, call, headers):
        """Answers a request, or sends bytes until the caller closes."""
        if not (self.is_in_trouble and random.random() < TROUBLED_SHARE):
            await super().work(call, headers)
            return
        self.endless.append(call.headers["acaciaspoke-attempt-id"])
        self.record(f"{self.name} sends {self.endless[-1]} bytes without end")
        call.keeps_connection = False
        call.head(200, {**headers, "Transfer-Encoding": "chunked"})
        chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
        part = chunk * (int(BYTES_PER_S * PAUSE_S) // len(chunk) + 1)
        while not call.writer.is_closing():
            call.writer.write(part)
            await call.writer.drain()
            await asyncio.sleep(PAUSE_S)


def configuration():
    return {
        "version": 1,
        "routes": [
            route(
                "refill",
                "unsafe",
                "ledger",
                **{"timeout-ms": int(TIMEOUT_S * 1000), "priority": 1},
            )
        ],
        "services": [service("ledger")],
        "limits": LIMITS,
    }


async def main(record, has_trouble):
    async with Deployment(record) as deployment:
        deployment.store.put("op", "config", configuration())
        for number in range(1, WORKERS + 1):
            await deployment.add_worker(
                f"l{number}",
                "ledger",
                ZONES[number % 3],
                make=TroubledWorker,
                slots=6,
            )
        await deployment.add_gateways(HOSTS)
        await asyncio.sleep(4.0)
        begin_s = time.monotonic()
        answers, questions, sent_to = [], [], []

        async def book(host):
            id_, sent_s = new_id(), time.monotonic()
            headers = {
                "Host": "a.example",
                "Acaciaspoke-Attempt-Id": id_,
                "Acaciaspoke-Time-Remaining-Ms": int(PATIENCE_S * 1000),
            }
            record(f"sent {id_} to {host}")
            reply = await request(
                deployment.front(host),
                "POST",
                f"/refill/{id_}",
                headers,
                id_.encode() * 50,
                timeout_s=PATIENCE_S,
            )
            took_s = time.monotonic() - sent_s
            status = reply.status if reply.complete else 0
            record(f"answered {id_} by {host}: {status} after {took_s:.2f} s")
            answers.append((id_, status, took_s))
            sent_to.append((sent_s - begin_s, host, status))

        async def ask_if_ready(host):
            while time.monotonic() < begin_s + LENGTH_S:
                asked_s = time.monotonic()
                address = f"{deployment.addresses[host][0]}:{READY_PORT}"
                reply = await request(
                    address, "GET", "/ready", {"Host": "x"}, timeout_s=10
                )
                took_s = time.monotonic() - asked_s
                questions.append(took_s)
                if took_s > 1.0:
                    record(
                        f"host {host} answered whether it is ready:"
                        f" {reply.status} after {took_s:.2f} s"
                    )
                await asyncio.sleep(0.25)

        asking = [asyncio.create_task(ask_if_ready(host)) for host in HOSTS]
        tasks = []
        troubled = deployment.workers["l1"]
        while (now_s := time.monotonic() - begin_s) < LENGTH_S:
            is_in_trouble = BEGIN_S <= now_s < BEGIN_S + TROUBLE_S
            troubled.is_in_trouble = has_trouble and is_in_trouble
            tasks.append(
                asyncio.create_task(book(HOSTS[len(tasks) % len(HOSTS)]))
            )
            await asyncio.sleep(random.expovariate(RATE_PER_S))
        await asyncio.gather(*tasks, *asking)
        lasting = [took_s for _, _, took_s in answers if took_s > TIMEOUT_S]
        late = [
            (id_, status)
            for id_, status, took_s in answers
            if took_s > TIMEOUT_S + SLACK_S
        ]
        others = [id_ for id_, _ in late if id_ not in troubled.endless]
        served = sum(status == 200 for _, status, _ in answers)
        unanswered = sum(not status for _, status, _ in answers)
        record(
            f"{len(answers)} requests, {served} served, {unanswered} without an"
            f" answer after {PATIENCE_S} s; {len(troubled.endless)} answers"
            f" without end; {len(lasting)} requests lasted longer than"
            f" {TIMEOUT_S} s, {len(late)} of them had no answer {SLACK_S} s"
            f" later, {len(others)} of these were not at the worker in trouble;"
            f" the longest wait for a host's readiness was"
            f" {max(questions):.2f} s"
        )
        for host in HOSTS:
            last = collections.Counter(
                status
                for sent_s, at, status in sent_to
                if at == host and sent_s >= LENGTH_S - 3.0
            )
            record(f"statuses by {host} in the last 3 s: {dict(last)}")
        # CONFIG: eight or more, and over a quarter.
        return len(late) >= 8 and len(late) > len(lasting) / 4


run_case(main, FOLDER)
