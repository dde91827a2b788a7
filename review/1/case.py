"""An entry of another writer, whose address can't be read, in the store."""

import asyncio
import itertools
import json
import re
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import deployment as d

CLIENTS_PER_GATEWAY = 16
WORK_S = 0.1
GATEWAYS = 3

# The leader calls engines only some seconds after it has acquired the lease.
CALM_S = 8.0
TROUBLE_S = 25.0

ROUTES = [
    d.route("/drafts/", "streaming", "drafting"),
    d.route("/bookings/", "unsafe", "ledger"),
]
SERVICES = [
    {"name": "drafting", "engine": d.engine(["m0", "m1"])},
    {"name": "ledger"},
]

# No IP:PORT: the bracket has no counterpart.
FOREIGN_ENTRY = {
    "service": "drafting",
    "address": "[127.0.0.1:9",
    "zone": "a",
    "version": 1,
    "slots": 24,
    "state": "ready",
    "cold-remaining-ms": 0,
    "seq": 1,
}


async def case(record, new_gateway) -> bool:
    store = d.Store()
    await store.start()
    store.write("op", "config", d.configuration(ROUTES, SERVICES))

    ran: set[str] = set()

    async def run(worker, request, writer) -> None:
        ran.add(request.id)
        record("ran", request.id, "at", worker.name)
        await asyncio.sleep(WORK_S)
        await d.answer(writer, request, body=b"booked")

    for number in range(3):
        await d.Worker(f"ledger-{number}", "ledger", store, run).start()
    for number in range(2):
        await d.Worker(
            f"drafting-{number}", "drafting", store, run, models=["m0", "m1"]
        ).start()
    gateways = [
        new_gateway(f"front-{number}", store) for number in range(GATEWAYS)
    ]
    await asyncio.gather(*(each.start() for each in gateways))
    numbers = itertools.count()
    is_over = asyncio.Event()
    lost: list[str] = []
    answered = 0

    async def client(gateway: d.Gateway) -> None:
        nonlocal answered
        channel = d.Channel(gateway)
        is_kept = False
        while not is_over.is_set():
            if not is_kept:
                try:
                    await channel.connect()
                except OSError:
                    await asyncio.sleep(0.2)
                    continue
            request_id = f"r{next(numbers):06}"
            up_s = time.monotonic() - gateway.started_s
            record("sent", request_id, gateway.name, "kept" if is_kept else "")
            message = await channel.request(
                "POST", "/bookings/7", request_id, b"book it"
            )
            if message is not None:
                answered += 1
                record("answered", request_id, message.status, gateway.name)
            elif is_kept and request_id in ran:
                is_in_touch = up_s > d.CONTACT_S
                if is_in_touch:
                    lost.append(request_id)
                record(
                    *("closed without an answer", request_id, gateway.name),
                    "in touch" if is_in_touch else "just restarted",
                )
            is_kept = message is not None

    clients = [
        asyncio.create_task(client(gateway))
        for gateway in gateways
        for _ in range(CLIENTS_PER_GATEWAY)
    ]
    await asyncio.sleep(CALM_S)
    if d.trouble():
        record("another writer writes", FOREIGN_ENTRY)
        store.write("servers", "foreign", json.dumps(FOREIGN_ENTRY).encode())
    await asyncio.sleep(TROUBLE_S)
    is_over.set()
    await asyncio.gather(*clients)
    for gateway in gateways:
        for _, status in gateway.exits:
            record(gateway.name, "ended by itself with status", status)
        causes = Counter(re.findall(r"\w+Error: [^\\\"]*", gateway.log()))
        record(gateway.name, "logged", dict(causes))
    ends = [len(gateway.exits) for gateway in gateways]
    record(
        *(answered, "answered;", len(lost), "lost on kept channels in touch;"),
        *("gateways ended by themselves", ends),
    )
    return len(lost) > 3


d.play(__file__, case)
