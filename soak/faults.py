"""Injects the faults of a plan into the processes of a deployment."""

import asyncio
import itertools
import json
import math
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec

from soak.deployment import BrittleTime, Deployment, LinkLoss, Outage
from soak.fault_kinds import Fault, FaultKind
from soak.plan import BRITTLE_ALLOWED
from soak.proxy import Proxy
from standins import client
from standins.kv_engine import KvFromFault
from standins.room import NOTICE_S
from standins.worker_process import FALL_STATUS, Brittleness

# How long a worker that leaves for a release runs its streams on.
RELEASE_DRAIN_S = 0.4

# Every third change of the configuration is a series of this many versions.
SERIES = 4

ENGINE_FAULT_TIMEOUT_S = 1.0

# How long a worker that has fallen over is away.
FALL_S = 3.0
FALL_POLL_S = 0.05


class InjectedFault(msgspec.Struct):
    """A fault, and how long it really lasted.

    Attributes:
        end_s: When it had been repaired.
    """

    fault: Fault
    begin_s: float
    end_s: float = math.inf


class FaultInjector:
    """Injects faults from outside of the processes.

    Attributes:
        injected: The faults that were injected.
    """

    def __init__(self, deployment: Deployment):
        self.injected: list[InjectedFault] = []
        self._target = deployment
        self._locks: dict[str, asyncio.Lock] = {}
        self._stopping: set[str] = set()
        self._ended_ids: list[str] = []

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
                self._target.send_signal(name, number)
            return
        async with lock:
            begin_s = time.monotonic()
            process = self._target.processes[name]
            self._stopping.add(name)
            self._target.send_signal(name, number)
            await asyncio.to_thread(process.wait)
            self._stopping.remove(name)
            is_stop = number is signal.SIGTERM and process.returncode == 0
            await asyncio.sleep(fault.duration_s)
            self._target.start_gateway(fault.target)
            await self._target.wait_until_ready(fault.target)
            now_s = time.monotonic()
            self._target.outages.append(
                Outage(fault.target, begin_s, now_s, is_stop)
            )

    async def _pause(self, name: str, duration_s: float) -> None:
        self._target.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self._target.send_signal(name, signal.SIGCONT)

    async def _pause_gateway(self, fault: Fault) -> None:
        begin_s = time.monotonic()
        await self._pause(f"gateway{fault.target}", fault.duration_s)
        end_s = time.monotonic()
        self._target.outages.append(Outage(fault.target, begin_s, end_s))

    async def _reload_gateway(self, fault: Fault) -> None:
        name = f"gateway{fault.target}"
        # SIGHUP ends a process that has not installed its handler yet.
        if not self._locks.setdefault(name, asyncio.Lock()).locked():
            self._target.send_signal(name, signal.SIGHUP)

    async def _kill_worker(self, fault: Fault) -> None:
        name = f"worker{fault.target}"
        lock = self._locks.setdefault(name, asyncio.Lock())
        if lock.locked():
            return
        async with lock:
            await self._end_worker(fault.target)
            await asyncio.sleep(fault.duration_s)
            await self._target.start_worker(fault.target)

    async def _end_worker(self, number: int) -> None:
        self._target.broken_s.append(time.monotonic())
        self._target.record_end(number)
        self._target.send_signal(f"worker{number}", signal.SIGKILL)
        self._target.kills.append((number, time.monotonic()))
        await asyncio.to_thread(self._target.processes[f"worker{number}"].wait)
        if self._target.plan.has_backups:
            # A refused connection tells gateways that all runs have ended.
            self._target.worker_proxies[number].refuse()

    async def _release(self, fault: Fault) -> None:
        numbers = itertools.islice(
            itertools.cycle(self._target.plan.engines),
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
            if self._target.software[number] == version:
                return
            self._target.record_end(number)
            self._target.send_signal(name, signal.SIGUSR1)
            await asyncio.sleep(RELEASE_DRAIN_S)
            await self._end_worker(number)
            boot = next(self._target.boot_numbers)
            self._ended_ids.append(self._target.worker_ids[number])
            self._target.worker_ids[number] = f"{name}-{boot}"
            self._target.software[number] = version
            await self._remove_ended_rows()
            await self._target.start_worker(number)

    async def _remove_ended_rows(self) -> None:
        """Removes the rows of workers that have ended, as the platform does."""
        rows = [
            {"table": "servers", "part": "", "key": key}
            for key in self._ended_ids
        ]
        body = json.dumps({"remove": rows}).encode()
        await self._target.post_to_store("/rows-tx", body)

    async def _kill_all_gateways(self, fault: Fault) -> None:
        async with asyncio.TaskGroup() as tasks:
            for number in self._target.gateways:
                one = msgspec.structs.replace(fault, target=number)
                tasks.create_task(self._kill_gateway(one))

    async def _pause_worker(self, fault: Fault) -> None:
        await self._pause(f"worker{fault.target}", fault.duration_s)

    async def _drain_worker(self, fault: Fault) -> None:
        lock = self._locks.setdefault(f"worker{fault.target}", asyncio.Lock())
        if lock.locked():
            return
        async with lock:
            self._target.record_end(fault.target)
            self._target.send_signal(f"worker{fault.target}", signal.SIGUSR1)
            await asyncio.sleep(fault.duration_s)
            self._target.send_signal(f"worker{fault.target}", signal.SIGUSR1)
            self._target.record_serving(fault.target)

    async def _make_brittle(self, fault: Fault) -> None:
        now_s = time.monotonic()
        period = BrittleTime(now_s, now_s + fault.duration_s)
        self._target.brittle_times.append(period)
        async with asyncio.TaskGroup() as tasks:
            for number in self._target.plan.plain_workers:
                tasks.create_task(self._keep_brittle(number, period))

    async def _keep_brittle(self, number: int, period: BrittleTime) -> None:
        """Makes a worker brittle, and starts it again when it falls over."""
        name = f"worker{number}"
        lock = self._locks.setdefault(name, asyncio.Lock())
        told = None
        while time.monotonic() < period.end_s:
            process = self._target.processes[name]
            if not lock.locked() and process.poll() == FALL_STATUS:
                period.falls.append((number, time.monotonic()))
                await self._restart_fallen(number, lock)
            elif process.poll() is None and process is not told:
                told = process
                await self._tell_brittle(number, period)
            await asyncio.sleep(FALL_POLL_S)
        if self._target.processes[name].poll() == FALL_STATUS:
            period.falls.append((number, time.monotonic()))
            await self._restart_fallen(number, lock)

    async def _tell_brittle(self, number: int, period: BrittleTime) -> None:
        now_s = time.monotonic()
        notice_s = max(0.0, period.begin_s + NOTICE_S - now_s)
        told = Brittleness(BRITTLE_ALLOWED, period.end_s - now_s, notice_s)
        await asyncio.to_thread(
            client.request,
            *(self._target.worker_proxies[number].target, "POST"),
            "/standin/brittle",
            msgspec.json.encode(told),
            timeout_s=ENGINE_FAULT_TIMEOUT_S,
        )

    async def _restart_fallen(self, number: int, lock: asyncio.Lock) -> None:
        async with lock:
            self._target.broken_s.append(time.monotonic())
            self._target.worker_proxies[number].refuse()
            await asyncio.sleep(FALL_S)
            await self._target.start_worker(number)

    async def _lose_links(self, fault: Fault) -> None:
        links = [self._target.links[number] for number in fault.gateways]
        begin_s = time.monotonic()
        # Requests that are under way may break.
        self._target.broken_s.append(begin_s)
        for link in itertools.chain.from_iterable(links):
            link.lose(fault.how)
        await asyncio.sleep(fault.duration_s)
        end_s = time.monotonic()
        for link in itertools.chain.from_iterable(links):
            await link.regain()
        self._target.link_losses.append(
            LinkLoss(frozenset(fault.gateways), begin_s, end_s)
        )

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
        await self._delay(
            self._target.worker_proxies[fault.target], fault.duration_s
        )

    async def _reset_worker(self, fault: Fault) -> None:
        self._target.broken_s.append(time.monotonic())
        self._target.worker_proxies[fault.target].reset()

    async def _cut_worker(self, fault: Fault) -> None:
        await self._cut_off_worker(fault, both=False)

    async def _silence_worker(self, fault: Fault) -> None:
        await self._cut_off_worker(fault, both=True)

    async def _cut_off_worker(self, fault: Fault, *, both: bool) -> None:
        proxy = self._target.worker_proxies[fault.target]
        begin_s = time.monotonic()
        await self._cut(proxy, fault.duration_s, both=both)
        self._target.cuts.append((fault.target, begin_s, time.monotonic()))

    async def _pause_engine(self, fault: Fault) -> None:
        await self._pause(f"worker{fault.target}", fault.duration_s)

    async def _stand_still(self, fault: Fault) -> None:
        # The process answers calls when it goes on, and still holds its events.
        silent_s = fault.duration_s + fault.delay_s
        await self._send_engine_faults(fault.target, silent_s=silent_s)
        await self._pause_engine(fault)
        await asyncio.sleep(fault.delay_s)

    async def _send_engine_faults(self, number: int, **faults) -> None:
        # Past the proxy; an engine that is down has no streams.
        await asyncio.to_thread(
            client.request,
            *(self._target.worker_proxies[number].target, "POST"),
            "/standin/engine-faults",
            json.dumps(faults).encode(),
            timeout_s=ENGINE_FAULT_TIMEOUT_S,
        )

    async def _hold_events(self, fault: Fault) -> None:
        await self._send_engine_faults(fault.target, silent_s=fault.duration_s)
        await asyncio.sleep(fault.duration_s)

    async def _break_off(self, fault: Fault) -> None:
        self._target.broken_s.append(time.monotonic())
        await self._send_engine_faults(fault.target, breaks_off=True)

    async def _send_to_engines(self, **faults) -> None:
        async with asyncio.TaskGroup() as tasks:
            for number in self._target.plan.engines:
                tasks.create_task(self._send_engine_faults(number, **faults))

    async def _fault_kv_from(self, fault: Fault, kind: KvFromFault) -> None:
        await self._send_to_engines(
            kv_from=kind.value,
            kv_from_s=fault.duration_s,
            delay_s=fault.delay_s,
        )

    async def _refuse_copies(self, fault: Fault) -> None:
        await self._send_to_engines(no_room_s=fault.duration_s)

    async def _delay_kv_from(self, fault: Fault) -> None:
        await self._fault_kv_from(fault, KvFromFault.LATE)

    async def _fail_kv_from(self, fault: Fault) -> None:
        await self._fault_kv_from(fault, KvFromFault.FAIL)

    async def _refuse_kv_from(self, fault: Fault) -> None:
        await self._fault_kv_from(fault, KvFromFault.REFUSE)

    async def _delay_store(self, fault: Fault) -> None:
        await self._delay(
            self._target.store_proxies[fault.target], fault.duration_s
        )

    async def _reset_store(self, fault: Fault) -> None:
        self._target.store_proxies[fault.target].reset()

    async def _silence_store(self, fault: Fault) -> None:
        proxy = self._target.store_proxies[fault.target]
        await self._cut(proxy, fault.duration_s, both=True)

    async def _pause_store(self, fault: Fault) -> None:
        await self._pause("store", fault.duration_s)

    async def _lose_answers(self, fault: Fault) -> None:
        body = json.dumps({"drop_answers": 3}).encode()
        await asyncio.to_thread(
            client.request,
            self._target.store,
            "POST",
            "/standin/faults",
            body,
        )

    async def _change_configuration(self, fault: Fault) -> None:
        count = 1 if self._target.version % 3 else SERIES
        for _ in range(count):
            self._target.version += 1
            await self._target.write_configuration()
            await asyncio.sleep(fault.duration_s / count)

    async def _restore_store(self, fault: Fault) -> None:
        answer = await self._target.post_to_store("/standin/copy", b"")
        await asyncio.sleep(fault.copy_age_s)
        away = json.dumps({"away": True}).encode()
        await self._target.post_to_store("/standin/faults", away)
        await asyncio.sleep(fault.duration_s)
        await self._target.post_to_store("/standin/restore", answer.body)
        await self._target.post_to_store("/standin/faults", b"{}")
        if self._ended_ids:
            await self._remove_ended_rows()
        # Workers renew their rows at intervals.
        await self._target.write_configuration()


_FAULTS: dict[FaultKind, Callable[[FaultInjector, Fault], Awaitable[None]]] = {
    kind: getattr(FaultInjector, f"_{kind.name.lower()}") for kind in FaultKind
}
