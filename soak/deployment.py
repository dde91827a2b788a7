"""The processes of a run and the faults injected into them."""

import asyncio
import itertools
import json
import math
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple, Self

import msgspec

from soak.plan import Fault, FaultKind, Plan
from soak.proxy import Proxy
from standins import client
from standins.gateway_documents import engine_spec, gateway_route

LISTEN_PORT = 7300
READY_PORT = 7301
PEER_PORT = 7380
STANDIN_PORT = 7400
PROXY_PORT = 7401

START_TIMEOUT_S = 60.0

STOP_GRACE_S = 8

# So few that requests wait.
SLOTS = 2

# More than the times that a worker drains and comes back in a run.
BOOTS_STEP = 1000

# The shortest idle limit of a configuration.
MIN_IDLE_MS = 500

# The timeout of resumable streams; their callers wait for longer, over several
# requests.
RESUMABLE_TIMEOUT_MS = 8000

# How long a worker that leaves for a release runs its streams on.
RELEASE_DRAIN_S = 0.4

# Every third change of the configuration is a series of this many versions.
SERIES = 4

_hosts = itertools.count(1)


def _next_ip() -> str:
    high, low = divmod(os.getpid() % 62_500, 250)
    return f"127.{high + 1}.{low + 1}.{next(_hosts) % 250 + 1}"


def configuration(version: int, *, has_resumable: bool = False) -> dict:
    """Returns a version of the configuration, with a route of its own.

    Later versions draw the limits of connections, the timeouts and the number
    of routes.

    Args:
        version: The version.
        has_resumable: Whether there is a route with resumable streams.
    """
    rng = random.Random(version)
    engine = engine_spec(("m1", "m2"), slots=SLOTS)
    is_first = version == 1

    def route(prefix: str, kind: str, service: str) -> dict:
        timeout_ms = 5000 if is_first else rng.choice([2500, 5000, 8000])
        timeout = {"timeout-ms": timeout_ms}
        return gateway_route(prefix, kind, service, **timeout)

    routes = [
        route("/stream/", "streaming", "llm"),
        route("/safe/", "safe", "app"),
        route("/unsafe/", "unsafe", "app"),
        route(f"/version-{version}/", "safe", "app"),
    ]
    if has_resumable:
        resumable = {"resumable": True, "timeout-ms": RESUMABLE_TIMEOUT_MS}
        routes.append(
            gateway_route("/resume/", "streaming", "llm", **resumable)
        )
    limits = {}
    if not is_first:
        limits["idle-timeout-ms"] = rng.choice([MIN_IDLE_MS, 2000, 15000])
        limits["header-timeout-ms"] = rng.choice([1000, 5000])
        routes += [
            route(f"/more-{number}/", "safe", "app")
            for number in range(rng.choice([0, 0, 2000]))
        ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        "limits": limits,
    }


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


class InjectedFault(msgspec.Struct):
    """A fault, and how long it really lasted.

    Attributes:
        end_s: When it had been repaired.
    """

    fault: Fault
    begin_s: float
    end_s: float = math.inf


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
        injected: The faults that were injected.
        engines: Where engines served, and when.
        version: Current version of the configuration.
    """

    def __init__(self, plan: Plan, folder: Path):
        self.plan = plan
        self.gateway_addresses = [
            f"{_next_ip()}:{LISTEN_PORT}" for _ in self._gateways
        ]
        self.outages: list[Outage] = []
        self.broken_s: list[float] = []
        self.injected: list[InjectedFault] = []
        self.engines: list[ServingEngine] = []
        self.version = 1
        self._folder = folder
        self._processes: dict[str, subprocess.Popen] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._operator_lock = asyncio.Lock()
        self._stopping: set[str] = set()
        self._software = dict.fromkeys(self._workers, "v1")
        # A worker has another id after a release.
        self._ids = {number: f"worker{number}" for number in self._workers}
        self._ended_ids: list[str] = []
        # A worker that comes back after it has drained counts up from its own.
        self._boot_numbers = itertools.count(BOOTS_STEP, BOOTS_STEP)
        self._store = f"{_next_ip()}:{STANDIN_PORT}"
        self._worker_proxies = [
            Proxy(f"{ip}:{PROXY_PORT}", f"{ip}:{STANDIN_PORT}")
            for ip in (_next_ip() for _ in self._workers)
        ]
        self._store_proxies = [
            Proxy(f"{_next_ip()}:{PROXY_PORT}", self._store)
            for _ in self._gateways
        ]
        self._stack = AsyncExitStack()

    @property
    def _gateways(self) -> range:
        return range(self.plan.gateways)

    @property
    def _workers(self) -> range:
        return range(self.plan.workers + self.plan.added_engines)

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        self._stack.callback(self._kill_processes)
        for proxy in [*self._worker_proxies, *self._store_proxies]:
            await self._stack.enter_async_context(proxy)
        self._start("store", "standins", "metastore", self._store)
        await self._wait_until_reachable(self._store)
        await self._write_configuration()
        for number in self._workers:
            await self._start_worker(number)
        for number in self._gateways:
            self._start_gateway(number)
        for number in self._gateways:
            await self._wait_until_ready(number)
        return self

    async def __aexit__(self, *error) -> None:
        await self._stack.__aexit__(*error)

    def read_log(self, name: str) -> str:
        """Returns the output of a process over all its boots."""
        return (self._folder / f"{name}.log").read_text()

    def runs(self) -> list[str]:
        """Returns the ids of the requests that workers ran, one per run."""
        lines = itertools.chain.from_iterable(
            self.read_log(f"worker{number}").splitlines()
            for number in self._workers
        )
        return [line[4:] for line in lines if line.startswith("ran ")]

    # Processes.

    def _start(self, name: str, *command: str) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def _start_worker(self, number: int) -> None:
        is_engine = number in self.plan.engines
        service, models = ("llm", ["m1"]) if is_engine else ("app", [])
        proxy = self._worker_proxies[number]
        name, born = f"worker{number}", str(next(self._boot_numbers))
        self._start(
            name,
            "standins.worker_process",
            *(proxy.target, proxy.address, self._store),
            *(self._ids[number], service, str(SLOTS), born),
            *(self._software[number], *models),
        )
        await self._wait_until_reachable(proxy.target, "/report")
        self._record_serving(number)

    def _record_serving(self, number: int) -> None:
        if number in self.plan.engines:
            self.engines.append(
                ServingEngine(number, self._software[number], time.monotonic())
            )

    def _record_end(self, number: int) -> None:
        for engine in self.engines:
            if engine.number == number:
                engine.end_s = min(engine.end_s, time.monotonic())

    def _start_gateway(self, number: int) -> None:
        ip = self.gateway_addresses[number].split(":")[0]
        settings = {
            "host": f"gateway{number}",
            "failure_domain": "a",
            "address": ip,
            "listen": self.gateway_addresses[number],
            "ready_listen": f"{ip}:{READY_PORT}",
            "internal_ports": (PEER_PORT, PEER_PORT + 1),
            "store": self._store_proxies[number].address,
            "metrics_port": PEER_PORT + 2,
            "stop_grace_s": STOP_GRACE_S,
            "log_level": "debug",
        }
        path = self._folder / f"gateway{number}.json"
        path.write_text(json.dumps(settings))
        name = f"gateway{number}"
        self._start(name, "acaciaspoke", "gateway", "--settings", str(path))

    async def _wait_until_ready(self, number: int) -> None:
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
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    async def _write_configuration(self) -> None:
        """Writes the current configuration as the operator."""
        async with self._operator_lock:
            document = configuration(
                self.version, has_resumable=self.plan.added_engines > 0
            )
            body = client.encode_row("op", "config", document)
            await self._post_to_store("/rows-tx", body)

    async def _post_to_store(self, path: str, body: bytes) -> client.Answer:
        """Makes a call to the store, past all proxies; retries until done."""
        while True:
            answer = await asyncio.to_thread(
                client.request, self._store, "POST", path, body
            )
            if answer is not None and answer.status == 200:
                return answer
            await asyncio.sleep(0.1)

    # Faults.

    async def apply(self, fault: Fault) -> None:
        """Injects a fault and repairs it after its duration."""
        injected = InjectedFault(fault, time.monotonic())
        self.injected.append(injected)
        await _FAULTS[fault.kind](self, fault)
        injected.end_s = time.monotonic()

    async def _kill_gateway(self, fault: Fault) -> None:
        await self._restart_gateway(fault, signal.SIGKILL)

    async def _stop_gateway(self, fault: Fault) -> None:
        await self._restart_gateway(fault, signal.SIGTERM)

    async def _restart_gateway(
        self, fault: Fault, number: signal.Signals
    ) -> None:
        name = f"gateway{fault.target}"
        lock = self._locks.setdefault(name, asyncio.Lock())
        if lock.locked():
            # A process that is stopping gets a second signal; one that is
            # starting gets none.
            if name in self._stopping:
                self._signal(name, number)
            return
        async with lock:
            begin_s = time.monotonic()
            process = self._processes[name]
            self._stopping.add(name)
            self._signal(name, number)
            await asyncio.to_thread(process.wait)
            self._stopping.remove(name)
            is_stop = number is signal.SIGTERM and process.returncode == 0
            await asyncio.sleep(fault.duration_s)
            self._start_gateway(fault.target)
            await self._wait_until_ready(fault.target)
            now_s = time.monotonic()
            self.outages.append(Outage(fault.target, begin_s, now_s, is_stop))

    async def _pause(self, name: str, duration_s: float) -> None:
        self._signal(name, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self._signal(name, signal.SIGCONT)

    async def _pause_gateway(self, fault: Fault) -> None:
        begin_s = time.monotonic()
        await self._pause(f"gateway{fault.target}", fault.duration_s)
        end_s = time.monotonic()
        self.outages.append(Outage(fault.target, begin_s, end_s))

    async def _reload_gateway(self, fault: Fault) -> None:
        name = f"gateway{fault.target}"
        # SIGHUP ends a process that has not installed its handler yet.
        if not self._locks.setdefault(name, asyncio.Lock()).locked():
            self._signal(name, signal.SIGHUP)

    async def _kill_worker(self, fault: Fault) -> None:
        name = f"worker{fault.target}"
        lock = self._locks.setdefault(name, asyncio.Lock())
        if lock.locked():
            return
        async with lock:
            await self._end_worker(fault.target)
            await asyncio.sleep(fault.duration_s)
            await self._start_worker(fault.target)

    async def _end_worker(self, number: int) -> None:
        self.broken_s.append(time.monotonic())
        self._record_end(number)
        self._signal(f"worker{number}", signal.SIGKILL)
        await asyncio.to_thread(self._processes[f"worker{number}"].wait)

    async def _release(self, fault: Fault) -> None:
        numbers = itertools.islice(
            itertools.cycle(self.plan.engines),
            fault.target,
            fault.target + fault.engines,
        )
        async with asyncio.TaskGroup() as tasks:
            for number in numbers:
                tasks.create_task(self._replace_worker(number, fault.version))
                await asyncio.sleep(fault.duration_s / fault.engines)

    async def _replace_worker(self, number: int, version: str) -> None:
        name = f"worker{number}"
        async with self._locks.setdefault(name, asyncio.Lock()):
            if self._software[number] == version:
                return
            self._record_end(number)
            self._signal(name, signal.SIGUSR1)
            await asyncio.sleep(RELEASE_DRAIN_S)
            await self._end_worker(number)
            boot = next(self._boot_numbers)
            self._ended_ids.append(self._ids[number])
            self._ids[number] = f"{name}-{boot}"
            self._software[number] = version
            await self._remove_ended_rows()
            await self._start_worker(number)

    async def _remove_ended_rows(self) -> None:
        """Removes the rows of workers that have ended, as the platform does."""
        rows = [
            {"table": "servers", "part": "", "key": key}
            for key in self._ended_ids
        ]
        body = json.dumps({"remove": rows}).encode()
        await self._post_to_store("/rows-tx", body)

    async def _kill_all_gateways(self, fault: Fault) -> None:
        async with asyncio.TaskGroup() as tasks:
            for number in self._gateways:
                one = msgspec.structs.replace(fault, target=number)
                tasks.create_task(self._kill_gateway(one))

    async def _pause_worker(self, fault: Fault) -> None:
        await self._pause(f"worker{fault.target}", fault.duration_s)

    async def _drain_worker(self, fault: Fault) -> None:
        lock = self._locks.setdefault(f"worker{fault.target}", asyncio.Lock())
        if lock.locked():
            return
        async with lock:
            self._record_end(fault.target)
            self._signal(f"worker{fault.target}", signal.SIGUSR1)
            await asyncio.sleep(fault.duration_s)
            self._signal(f"worker{fault.target}", signal.SIGUSR1)
            self._record_serving(fault.target)

    async def _delay(self, proxy: Proxy, duration_s: float) -> None:
        proxy.delay_s = duration_s / 10
        await asyncio.sleep(duration_s)
        proxy.heal()

    async def _cut(
        self, proxy: Proxy, duration_s: float, *, both: bool
    ) -> None:
        proxy.cut(both_ways=both)
        await asyncio.sleep(duration_s)
        proxy.heal()

    async def _delay_worker(self, fault: Fault) -> None:
        await self._delay(self._worker_proxies[fault.target], fault.duration_s)

    async def _reset_worker(self, fault: Fault) -> None:
        self.broken_s.append(time.monotonic())
        self._worker_proxies[fault.target].reset()

    async def _cut_worker(self, fault: Fault) -> None:
        proxy = self._worker_proxies[fault.target]
        await self._cut(proxy, fault.duration_s, both=False)

    async def _silence_worker(self, fault: Fault) -> None:
        proxy = self._worker_proxies[fault.target]
        await self._cut(proxy, fault.duration_s, both=True)

    async def _delay_store(self, fault: Fault) -> None:
        await self._delay(self._store_proxies[fault.target], fault.duration_s)

    async def _reset_store(self, fault: Fault) -> None:
        self._store_proxies[fault.target].reset()

    async def _silence_store(self, fault: Fault) -> None:
        proxy = self._store_proxies[fault.target]
        await self._cut(proxy, fault.duration_s, both=True)

    async def _pause_store(self, fault: Fault) -> None:
        await self._pause("store", fault.duration_s)

    async def _lose_answers(self, fault: Fault) -> None:
        body = json.dumps({"drop_answers": 3}).encode()
        await asyncio.to_thread(
            client.request, self._store, "POST", "/standin/faults", body
        )

    async def _change_configuration(self, fault: Fault) -> None:
        count = 1 if self.version % 3 else SERIES
        for _ in range(count):
            self.version += 1
            await self._write_configuration()
            await asyncio.sleep(fault.duration_s / count)

    async def _restore_store(self, fault: Fault) -> None:
        answer = await self._post_to_store("/standin/copy", b"")
        await asyncio.sleep(fault.copy_age_s)
        away = json.dumps({"away": True}).encode()
        await self._post_to_store("/standin/faults", away)
        await asyncio.sleep(fault.duration_s)
        await self._post_to_store("/standin/restore", answer.body)
        await self._post_to_store("/standin/faults", b"{}")
        if self._ended_ids:
            await self._remove_ended_rows()
        # Workers renew their rows at intervals.
        await self._write_configuration()


_FAULTS: dict[FaultKind, Callable[[Deployment, Fault], Awaitable[None]]] = {
    kind: getattr(Deployment, f"_{kind.name.lower()}") for kind in FaultKind
}
