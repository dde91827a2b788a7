"""An engine whose streams go on at another engine from a copy of their memory.

It implements what the platform says about ``Acaciaspoke-Kv-Backup``,
``Kv-From``, ``POST /kv-move`` and ``DELETE /kv-handle``. Instead of memory,
engines send each other how many events a run has made. Each run prints a line
when it begins and when it ends, with the time of the machine's steady clock,
which all processes share (``kv_copies`` has the lines of copies):

    began SERIAL ID afresh|copy ENGINE SECONDS
    ended SERIAL ID ENGINE SECONDS
"""

import asyncio
import contextlib
import itertools
import random
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterator
from enum import Enum

import msgspec

from standins import client
from standins.kv_copies import KvCopies
from standins.worker import Arrival, Worker

# Streams below this path have copies.
PREFIX = "/backed/"

EVENT_INTERVAL_S = 0.04
MIN_EVENTS = 40
MAX_EVENTS = 70

# How often the parts of copies are sent.
PART_INTERVAL_S = 0.2

# How long an event takes that a copy lacks.
READ_S = 0.005

# How long an event takes that is copied as ordered.
MOVE_S = 0.0005

CALL_TIMEOUT_S = 1.0

# How long an engine that stands still may delay a copy to it.
MOVE_TIMEOUT_S = 2.0

NOT_EXECUTED = {"Acaciaspoke-Not-Executed": "1"}


def encode_event(text: str, number: int) -> bytes:
    """Returns an event of the stream whose request has a body."""
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


def count_events(text: str) -> int:
    """Returns how many events the stream has."""
    return random.Random(text).randint(MIN_EVENTS, MAX_EVENTS)


class KvFromFault(Enum):
    """What an engine does with requests that go on from a copy."""

    LATE = "late"
    FAIL = "fail"
    REFUSE = "refuse"


class EngineFaults(msgspec.Struct):
    """Faults to begin now, the body of ``POST /standin/engine-faults``.

    Attributes:
        silent_s: How long events are held back while runs go on.
        breaks_off: Whether connections of streams are reset while their runs
            go on.
        kv_from: What happens to requests that go on from a copy.
        kv_from_s: For how long.
        delay_s: How late these are answered.
        no_room_s: How long there is no room for copies of other runs.
    """

    silent_s: float = 0.0
    breaks_off: bool = False
    kv_from: KvFromFault | None = None
    kv_from_s: float = 0.0
    delay_s: float = 0.0
    no_room_s: float = 0.0


class _Move(msgspec.Struct):
    """A copy that was ordered, the body of ``POST /standin/kv-moves``."""

    name: str
    id: str
    made: int


class _Run:
    """A run, which may outlive the connection of its request."""

    def __init__(self, arrival: Arrival, serial: str):
        self.arrival = arrival
        self.serial = serial
        self.text = arrival.body.decode()
        self.made = int(arrival.headers.get("last-event-id", 0))
        self.moved = 0
        self.sent = self.made
        self.total = count_events(self.text)
        self.backup = arrival.headers.get("acaciaspoke-kv-backup", "")
        self.has_head = False
        self.head_due_s = 0.0
        self.is_moving = False
        self.ignores_close = False
        self.stopping = asyncio.Event()
        self.ended = asyncio.Event()

    @property
    def id(self) -> str:
        return self.arrival.id


class KvEngine:
    """Runs streams, and keeps copies of runs of other engines.

    Args:
        worker: Receives the requests.
        address: The address under which gateways and engines reach it.
        drops_closed: Whether a run ends when its connection is closed.
        log: Takes the lines.
    """

    def __init__(
        self,
        worker: Worker,
        address: str,
        *,
        drops_closed: bool = True,
        log: Callable[[str], None] = lambda line: print(line, flush=True),
    ):
        worker.stops_runs = False
        self._worker = worker
        self._address = address
        self._drops_closed = drops_closed
        self._log = log
        self._serials = map(f"{worker.born}.{{}}".format, itertools.count())
        self._runs: list[_Run] = []
        self._copies = KvCopies(worker.name, log)
        # Where copies of runs are, by handle.
        self._destinations: dict[str, str] = {}
        self._link = asyncio.Lock()
        self._calls: set[asyncio.Task] = set()
        self._completed: list[_Run] = []
        self._sending: dict[str, asyncio.Task] = {}
        self._silent_until_s = 0.0
        self._faults = EngineFaults()
        self._kv_from_until_s = 0.0
        self._no_room_until_s = 0.0

    async def handle(self, arrival: Arrival) -> bool:
        """Answers a request if it is for runs with copies."""
        match arrival.target:
            case "/kv-move":
                await self._move(arrival)
            case "/standin/kv-copies":
                self._keep_backups(msgspec.json.decode(arrival.body))
                await arrival.answer(body=b"{}")
            case "/standin/kv-moves":
                move = msgspec.json.decode(arrival.body, type=_Move)
                is_kept = self._keep_ordered(move)
                await arrival.answer(200 if is_kept else 503, b"{}")
            case target if target.startswith("/kv-handle/"):
                await self._free(target.removeprefix("/kv-handle/"))
                await arrival.answer(body=b"{}")
            case "/standin/engine-faults":
                self._begin_faults(arrival.body)
                await arrival.answer(body=b"{}")
            case target if target.startswith(PREFIX):
                await self._serve(arrival)
            case _:
                return False
        return True

    async def wait_while_silent(self) -> None:
        """Waits until events are not held back."""
        while (left_s := self._silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    def _begin_faults(self, body: bytes) -> None:
        faults = msgspec.json.decode(body, type=EngineFaults)
        now_s = time.monotonic()
        if faults.silent_s:
            self._silent_until_s = now_s + faults.silent_s
        if faults.no_room_s:
            self._no_room_until_s = now_s + faults.no_room_s
        if faults.kv_from is not None:
            self._faults = faults
            self._kv_from_until_s = now_s + faults.kv_from_s
        for run in self._runs if faults.breaks_off else ():
            run.ignores_close = True
            run.arrival.reset()

    # Runs.

    async def _serve(self, arrival: Arrival) -> None:
        source = arrival.headers.get("kv-from", "")
        fault = None
        copied = MAX_EVENTS
        if source:
            if time.monotonic() < self._kv_from_until_s:
                fault = self._faults.kv_from
            is_refused = fault is KvFromFault.REFUSE
            copied = None if is_refused else self._copies.take(source)
            if copied is None:
                await arrival.answer(503, b"", NOT_EXECUTED)
                return
            self._free_other_end(source)
        run = _Run(arrival, next(self._serials))
        if fault is KvFromFault.LATE:
            run.head_due_s = time.monotonic() + self._faults.delay_s
        with self._at_work(run, "copy" if source else "afresh"):
            if fault is KvFromFault.FAIL:
                await asyncio.sleep(EVENT_INTERVAL_S)
            else:
                await asyncio.sleep(READ_S * max(0, run.made - copied))
                await self._work_until_stopped(run)
        if fault is KvFromFault.FAIL:
            await arrival.answer(500, b"failed")
        elif run.sent < run.total:
            arrival.writer.close()
        elif not arrival.writer.is_closing():
            self._completed.append(run)
            arrival.writer.write(b"0\r\n\r\n")
            await arrival.writer.drain()

    @contextlib.contextmanager
    def _at_work(self, run: _Run, origin: str) -> Iterator[None]:
        self._runs.append(run)
        self._log(
            f"began {run.serial} {run.id} {origin} {self._worker.name}"
            f" {time.monotonic():.3f}"
        )
        try:
            yield
        finally:
            self._runs.remove(run)
            self._log_end(run)

    def _log_end(self, run: _Run) -> None:
        if not run.ended.is_set():
            run.ended.set()
            self._log(
                f"ended {run.serial} {run.id} {self._worker.name}"
                f" {time.monotonic():.3f}"
            )

    async def _work_until_stopped(self, run: _Run) -> None:
        tasks = {
            asyncio.create_task(self._work(run)),
            asyncio.create_task(self._wait_for_close(run)),
            asyncio.create_task(run.stopping.wait()),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_for_close(self, run: _Run) -> None:
        with contextlib.suppress(ConnectionError):
            await run.arrival.wait_for_close()
        if run.ignores_close or not self._drops_closed:
            await asyncio.Event().wait()

    async def _work(self, run: _Run) -> None:
        """Makes events until the last one or the request's time is up."""
        headers = run.arrival.headers
        left_ms = int(headers.get("acaciaspoke-time-remaining-ms", 60_000))
        deadline_s = time.monotonic() + left_ms / 1000
        while run.made < run.total and time.monotonic() < deadline_s:
            await asyncio.sleep(EVENT_INTERVAL_S)
            run.made += 1
            await self._send_events(run)
        self._log_end(run)
        while run.sent < run.made and not run.arrival.writer.is_closing():
            await self.wait_while_silent()
            await asyncio.sleep(run.head_due_s - time.monotonic())
            await self._send_events(run)

    async def _send_events(self, run: _Run) -> None:
        due_s = max(self._silent_until_s, run.head_due_s)
        if time.monotonic() < due_s or run.arrival.writer.is_closing():
            return
        with contextlib.suppress(ConnectionError):
            if not run.has_head:
                run.has_head = True
                await run.arrival.stream(end=False)
            while run.sent < run.made:
                run.sent += 1
                event = encode_event(run.text, run.sent)
                run.arrival.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await run.arrival.writer.drain()

    # Copies.

    @property
    def _has_room(self) -> bool:
        return time.monotonic() >= self._no_room_until_s

    def _keep_backups(self, parts: dict[str, int | None]) -> None:
        """Keeps the parts of backups; None means that the run is complete."""
        for name, made in parts.items():
            if made is None:
                self._copies.take(name)
            elif self._has_room:
                self._copies.keep_backup(name, made)

    def _keep_ordered(self, move: _Move) -> bool:
        """Keeps a copy if there is a slot for it."""
        taken = len(self._runs) + self._copies.held_slots
        has_slot = self._has_room and taken < self._worker.slots
        if move.name not in self._copies and not has_slot:
            return False
        self._copies.keep_ordered(move.name, move.id, move.made)
        return True

    async def _free(self, handle: str) -> None:
        """Frees the memory of a run, at both ends if it ran here."""
        self._copies.free(handle)
        destination = self._destinations.pop(handle, "")
        if destination:
            await _send(destination, "DELETE", f"/kv-handle/{handle}")

    def _free_other_end(self, source: str) -> None:
        """Frees the memory at the engine that does not go on with a run."""
        address, _, handle = source.rpartition("/")
        if address == self._address:
            self._start(self._free(handle))
        else:
            self._start(_send(address, "DELETE", f"/kv-handle/{handle}"))

    def _start(self, call: Coroutine[None, None, object]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def send_copies(self) -> None:
        """Sends the parts of copies at each interval until cancelled."""
        while True:
            await asyncio.sleep(PART_INTERVAL_S)
            self._copies.remove_lapsed()
            parts: dict[str, dict[str, int | None]] = defaultdict(dict)
            for run in self._runs:
                if run.backup and not run.ended.is_set():
                    parts[run.backup][f"{run.backup}/{run.id}"] = run.made
            for run in self._completed:
                if run.backup:
                    parts[run.backup][f"{run.backup}/{run.id}"] = None
            self._completed.clear()
            for address, copies in parts.items():
                task = self._sending.get(address)
                if task is None or task.done():
                    self._sending[address] = asyncio.create_task(
                        _send(address, "POST", "/standin/kv-copies", copies)
                    )

    async def _move(self, arrival: Arrival) -> None:
        call = msgspec.json.decode(arrival.body)
        runs = [run for run in self._runs if run.id == call["id"]]
        if not runs:
            await arrival.answer(404, b"{}")
            return
        if any(run.is_moving for run in runs):
            await arrival.answer(409, b"{}")
            return
        run = runs[-1]
        handle = f"{run.serial}-{run.id}"
        name = f"{self._address}/{handle}"
        run.is_moving = True
        is_last = bool(call.get("last"))
        if is_last:
            for stopped in runs:
                stopped.stopping.set()
                await stopped.ended.wait()
            self._copies.keep_stopped(name, run.made)
        created = run.made
        is_copied = await self._copy_to(call["to"], run, name)
        run.is_moving = False
        document = {"handle": handle, "created": created}
        if not is_copied:
            document = {"handle": handle} if is_last else {}
        status = 200 if is_copied else 503
        await arrival.answer(status, msgspec.json.encode(document))

    async def _copy_to(self, address: str, run: _Run, name: str) -> bool:
        """Copies what is new in a run; returns whether the copy is complete."""
        made = run.made
        async with self._link:
            await asyncio.sleep(MOVE_S * (made - run.moved))
        move = _Move(name, run.id, made)
        is_copied = await _send(
            *(address, "POST", "/standin/kv-moves", move),
            timeout_s=MOVE_TIMEOUT_S,
        )
        handle = name.rpartition("/")[2]
        if is_copied:
            run.moved = made
            self._destinations[handle] = address
        elif not run.moved:
            # The engine may get the copy when it goes on.
            self._start(_send(address, "DELETE", f"/kv-handle/{handle}"))
        return is_copied


async def _send(
    address: str,
    method: str,
    path: str,
    document: object = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> bool:
    answer = await asyncio.to_thread(
        client.request,
        *(address, method, path),
        msgspec.json.encode(document),
        timeout_s=timeout_s,
    )
    return answer is not None and answer.status == 200
