"""The processes of a run and the faults injected into them."""

import asyncio
import itertools
import json
import math
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple, Self

import msgspec

from soak.configuration import (
    PLACES,
    SLOTS,
    SLOTS_OF_LONG,
    configuration,
)
from soak.links import Link
from soak.plan import Plan
from soak.proxy import Proxy
from soak.store_process import WORKER_PORT
from standins import client

LISTEN_PORT = 7300
READY_PORT = 7301
PEER_PORT = 7380
STANDIN_PORT = 7400
PROXY_PORT = WORKER_PORT

# That of the first gateway's links to workers, and of its calls to the store.
LINK_PORT = 7410

START_TIMEOUT_S = 60.0

STOP_GRACE_S = 8

# Of a gateway's process with untrusted clients: the smallest of the hosts in
# docs/hard-load.md.
MEMORY_MB = 160

# Each third worker does not look for closed connections.
WORKS_ON_STEP = 3

# More than the times that a worker drains and comes back in a run.
BOOTS_STEP = 1000

_hosts = itertools.count(1)


def _next_ip() -> str:
    high, low = divmod(os.getpid() % 62_500, 250)
    while True:
        ip = f"127.{high + 1}.{low + 1}.{next(_hosts) % 250 + 1}"
        if all(_is_free(ip, port) for port in (LISTEN_PORT, STANDIN_PORT)):
            return ip


def _is_free(ip: str, port: int) -> bool:
    # Servers of earlier tests of this process may still listen.
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Outage(NamedTuple):
    """A period in which a gateway may leave requests unanswered.

    Attributes:
        is_stop: Whether it was a graceful stop, in which every accepted
            request has to be answered.
    """

    gateway: int
    begin_s: float
    end_s: float
    is_stop: bool = False


class BrittleTime(msgspec.Struct):
    """A period in which plain workers were brittle.

    Attributes:
        falls: Numbers of the workers that fell over, and when.
    """

    begin_s: float
    end_s: float
    falls: list[tuple[int, float]] = []


class LinkLoss(NamedTuple):
    """A period in which gateways had no links to workers."""

    gateways: frozenset[int]
    begin_s: float
    end_s: float


class ServingEngine(msgspec.Struct):
    """An engine between its start and the moment when it leaves or ends."""

    number: int
    version: str
    begin_s: float
    end_s: float = math.inf


class Deployment:
    """Gateways, and workers and a store behind proxies; a context manager.

    Attributes:
        gateway_addresses: Addresses of the gateways.
        outages: Outages of the gateways.
        broken_s: When connections to workers were broken.
        engines: Where engines served, and when.
        kills: When workers were killed, by number.
        cuts: When connections to workers were cut: number, begin and end.
        link_losses: When gateways had lost their links to workers.
        brittle_times: When plain workers were brittle.
        version: Current version of the configuration.
        unexpected_ends: Gateways that ended by themselves, with the status.
        processes: The latest process of each name.
        software: The software version of each worker.
        worker_ids: The id of each worker, which changes with a release.
        boot_numbers: Numbers of the starts of workers.
        store: Address of the store.
        worker_proxies: The proxies before the workers.
        store_proxies: The proxy of each gateway before the store.
        links: The links of each gateway to workers, if these can be lost.
    """

    def __init__(self, plan: Plan, folder: Path):
        self.plan = plan
        self.gateway_addresses = [
            f"{_next_ip()}:{LISTEN_PORT}" for _ in self.gateways
        ]
        self.outages: list[Outage] = []
        self.broken_s: list[float] = []
        self.engines: list[ServingEngine] = []
        self.kills: list[tuple[int, float]] = []
        self.cuts: list[tuple[int, float, float]] = []
        self.link_losses: list[LinkLoss] = []
        self.brittle_times: list[BrittleTime] = []
        self.version = 1
        self.unexpected_ends: list[tuple[str, int]] = []
        # Processes that were told to end.
        self._told_to_end: set[subprocess.Popen] = set()
        self._folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self._operator_lock = asyncio.Lock()
        self.software = dict.fromkeys(self._workers, "v1")
        # A worker has another id after a release.
        self.worker_ids = {
            number: f"worker{number}" for number in self._workers
        }
        # A worker that comes back after it has drained counts up from its own.
        self.boot_numbers = itertools.count(BOOTS_STEP, BOOTS_STEP)
        self.store = f"{_next_ip()}:{STANDIN_PORT}"
        self.worker_proxies = [
            Proxy(f"{ip}:{PROXY_PORT}", f"{ip}:{STANDIN_PORT}")
            for ip in (_next_ip() for _ in self._workers)
        ]
        self.store_proxies = [
            Proxy(f"{_next_ip()}:{PROXY_PORT}", self._store_of(number))
            for number in self.gateways
        ]
        self.links = [self._links_of(number) for number in self.gateways]
        self._stack = AsyncExitStack()

    @property
    def gateways(self) -> range:
        """The numbers of the gateways."""
        return range(self.plan.gateways)

    def _store_of(self, gateway: int) -> str:
        if not self.plan.has_lost_links:
            return self.store
        return f"{self.store.split(':')[0]}:{LINK_PORT + gateway}"

    def _links_of(self, gateway: int) -> list[Link]:
        if not self.plan.has_lost_links:
            return []
        return [
            Link(
                f"{proxy.address.split(':')[0]}:{LINK_PORT + gateway}",
                proxy.address,
            )
            for proxy in self.worker_proxies
        ]

    @property
    def _workers(self) -> range:
        return self.plan.all_workers

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        self._stack.callback(self._kill_processes)
        links = itertools.chain.from_iterable(self.links)
        for proxy in [*self.worker_proxies, *self.store_proxies, *links]:
            await self._stack.enter_async_context(proxy)
        if self.plan.has_lost_links:
            ports = [str(LINK_PORT + number) for number in self.gateways]
            self._start("store", "soak.store_process", self.store, *ports)
        else:
            self._start("store", "standins", "metastore", self.store)
        await self._wait_until_reachable(self.store)
        await self.write_configuration()
        for number in self._workers:
            await self.start_worker(number)
        for number in self.gateways:
            self.start_gateway(number)
        for number in self.gateways:
            await self.wait_until_ready(number)
        if self.plan.untrusted:
            numbers = (self.plan.seed, self.plan.untrusted)
            command = ("soak.untrusted", *map(str, numbers))
            self._start("untrusted", *command, *self.gateway_addresses)
        return self

    async def __aexit__(self, *error) -> None:
        await self._stack.__aexit__(*error)

    def read_log(self, name: str) -> str:
        """Returns the output of a process over all its boots."""
        return (self._folder / f"{name}.log").read_text()

    def runs(self) -> list[str]:
        """Returns the ids of the requests that workers ran, one per run."""
        lines = itertools.chain.from_iterable(self.worker_lines().values())
        return [line[4:] for line in lines if line.startswith("ran ")]

    def worker_lines(self) -> dict[int, list[str]]:
        """Returns the output of each worker, by number."""
        return {
            number: self.read_log(f"worker{number}").splitlines()
            for number in self._workers
        }

    # Processes.

    def _start(self, name: str, *command: str) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def start_worker(self, number: int) -> None:
        """Starts a worker; returns when it answers."""
        is_engine = number in self.plan.engines
        service, models = ("llm", ["m1"]) if is_engine else ("app", [])
        proxy = self.worker_proxies[number]
        name, born = f"worker{number}", str(next(self.boot_numbers))
        has_long = self.plan.has_backups or (
            is_engine and self.plan.has_lost_links
        )
        slots = SLOTS_OF_LONG if has_long else SLOTS
        is_limited = self.plan.added_plain and not is_engine
        self._start(
            name,
            "standins.worker_process",
            *(proxy.target, proxy.address, self.store),
            *(self.worker_ids[number], service, str(slots), born),
            *(self.software[number], self._drops_closed(number)),
            *(str(PLACES if is_limited else 0), *models),
        )
        await self._wait_until_reachable(proxy.target, "/report")
        if not proxy.is_listening:
            await proxy.listen()
        self.record_serving(number)

    def _drops_closed(self, number: int) -> str:
        """Returns whether a worker drops runs when their connection closes."""
        return "0" if number in self.works_on else "1"

    @property
    def works_on(self) -> range:
        """The workers that do not look for closed connections."""
        return self._workers[::WORKS_ON_STEP]

    def record_serving(self, number: int) -> None:
        """Records that a worker serves, if it is an engine."""
        if number in self.plan.engines:
            self.engines.append(
                ServingEngine(number, self.software[number], time.monotonic())
            )

    def record_end(self, number: int) -> None:
        """Records that an engine leaves or ends."""
        for engine in self.engines:
            if engine.number == number:
                engine.end_s = min(engine.end_s, time.monotonic())

    def start_gateway(self, number: int) -> None:
        """Starts a gateway."""
        self.record_unexpected_end(number)
        ip = self.gateway_addresses[number].split(":")[0]
        settings = {
            "host": f"gateway{number}",
            "failure_domain": self.plan.failure_domain(number),
            "address": ip,
            "listen": self.gateway_addresses[number],
            "ready_listen": f"{ip}:{READY_PORT}",
            "internal_ports": (PEER_PORT, PEER_PORT + 1),
            "store": self.store_proxies[number].address,
            "metrics_port": PEER_PORT + 2,
            "stop_grace_s": STOP_GRACE_S,
            "log_level": "debug",
        }
        if self.plan.untrusted:
            settings["memory_mb"] = MEMORY_MB
        path = self._folder / f"gateway{number}.json"
        path.write_text(json.dumps(settings))
        name = f"gateway{number}"
        self._start(name, "acaciaspoke", "gateway", "--settings", str(path))

    async def wait_until_ready(self, number: int) -> None:
        """Waits until a gateway is ready."""
        ip = self.gateway_addresses[number].split(":")[0]
        await self._wait_until_reachable(f"{ip}:{READY_PORT}", "/readyz", 200)

    async def _wait_until_reachable(
        self, address: str, path: str = "/", status: int = 0
    ) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            answer = await asyncio.to_thread(
                client.request, address, "GET", path, timeout_s=2.0
            )
            if answer is not None and status in (0, answer.status):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f"{address}{path} did not answer within {START_TIMEOUT_S} s"
        )

    def _kill_processes(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process, unless it has ended."""
        process = self.processes[name]
        if process.poll() is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self._told_to_end.add(process)
            process.send_signal(number)

    def peak_mb(self, number: int) -> float:
        """Returns the largest memory of a gateway's process, if it lives."""
        process = self.processes[f"gateway{number}"]
        if process.poll() is not None:
            return 0.0
        status = Path(f"/proc/{process.pid}/status").read_text()
        lines = dict(line.split(":", 1) for line in status.splitlines())
        return int(lines["VmHWM"].split()[0]) / 1024

    def record_unexpected_end(self, number: int) -> None:
        """Records if a gateway's process has ended by itself."""
        process = self.processes.get(f"gateway{number}")
        if process is None or process in self._told_to_end:
            return
        if (status := process.poll()) is not None:
            self.unexpected_ends.append((f"gateway{number}", status))

    async def write_configuration(self) -> None:
        """Writes the current configuration as the operator."""
        async with self._operator_lock:
            document = configuration(
                self.version,
                has_resumable=self.plan.has_releases,
                has_backups=self.plan.has_backups,
                has_long=self.plan.has_lost_links,
                has_workspaces=self.plan.has_workspaces,
            )
            body = client.encode_row("op", "config", document)
            await self.post_to_store("/rows-tx", body)

    async def post_to_store(self, path: str, body: bytes) -> client.Answer:
        """Makes a call to the store, past all proxies; retries until done."""
        while True:
            answer = await asyncio.to_thread(
                client.request, self.store, "POST", path, body
            )
            if answer is not None and answer.status == 200:
                return answer
            await asyncio.sleep(0.1)
