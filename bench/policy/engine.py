"""Fakes of upstreams and of the weight store."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable

from acaciaspoke.config.schema import Artifact, Upstream
from acaciaspoke.net.records import UpstreamState, UpstreamView
from bench.policy.clock import Clock
from bench.policy.deployments import Arrival, Deployment

# Time between tokens: 20 ms alone, 39 ms with all 16 slots in use.
TOKEN_GAP_S = 0.020
TOKEN_GAP_PER_RUNNING_S = 0.0012
# Time to the first token; a cached prefix shortens it.
PREFILL_S = 0.120
PREFILL_PER_RUNNING_S = 0.006
CACHED_PREFIX_FACTOR = 0.4
CACHED_PREFIXES = 40
PLAIN_SERVICE_S = 0.008

MAX_WAITING_REQUESTS = 8


class Call:
    """One request at an upstream.

    Attributes:
        on_first: Called at the first token, or at the answer of a plain
            service.
        on_end: Called with "done", "refused" or "broken".
    """

    def __init__(
        self,
        arrival: Arrival,
        level: int,
        on_first: Callable[[], None],
        on_end: Callable[[str], None],
    ):
        self.arrival = arrival
        self.level = level
        self.on_first = on_first
        self.on_end = on_end


class Engine:
    """An engine with continuous batching, priorities and a prefix cache."""

    def __init__(self, name: str, config: Upstream, clock: Clock):
        self.name = name
        self.config = config
        self.clock = clock
        self.alive = True
        self.boots = 1
        self.crashed_s = float("inf")
        self.resident: dict[str, Artifact] = {}
        self.reserved: dict[str, Artifact] = {}
        self.unloading: dict[str, Artifact] = {}
        self.running: dict[int, Call] = {}
        self._waiting: list[tuple[int, int, Call]] = []
        self._decoding: list[tuple[float, int]] = []
        self._tokens = 0.0
        self._changed_s = 0.0
        self._schedule_number = 0
        self._ids = itertools.count()
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    def submit(self, call: Call) -> None:
        """Runs, queues or refuses a request."""
        artifact = call.arrival.request.artifact
        if not self.alive:
            call.on_end("broken")
        elif artifact is not None and artifact not in self.resident:
            call.on_end("refused")
        elif len(self.running) < self.config.slots:
            self._start(call)
        elif len(self._waiting) < MAX_WAITING_REQUESTS:
            item = (call.level, next(self._ids), call)
            heapq.heappush(self._waiting, item)
        else:
            call.on_end("refused")

    def crash(self) -> None:
        """Crashes; all requests end as broken and the memory is lost."""
        calls = [*self.running.values(), *(item[2] for item in self._waiting)]
        self.alive = False
        self.crashed_s = self.clock.now_s
        self.boots += 1
        self._schedule_number += 1
        self.running.clear()
        self._waiting.clear()
        self._decoding.clear()
        for part in (self.resident, self.reserved, self.unloading):
            part.clear()
        for call in calls:
            call.on_end("broken")

    def view(self) -> UpstreamView:
        """Returns the current report of the upstream."""
        return UpstreamView(
            upstream=self.name,
            state=UpstreamState.LIVE,
            boot_id=f"{self.name}/{self.boots}",
            running=len(self.running),
            waiting=len(self._waiting),
            resident={n: a.version for n, a in self.resident.items()},
        )

    @property
    def free_bytes(self) -> int:
        """Memory that is neither used nor reserved."""
        parts = (self.resident, self.reserved, self.unloading)
        used = sum(a.memory_bytes for part in parts for a in part.values())
        return self.config.memory_bytes - used

    def reserve(self, artifact: Artifact) -> bool:
        """Reserves memory for a load; returns False if too little is free."""
        if not self.alive or artifact.memory_bytes > self.free_bytes:
            return False
        self.reserved[artifact.name] = artifact
        return True

    def finish_load(self, name: str, boot: int) -> None:
        """Ends a load; one that began in an earlier boot has no effect."""
        if boot == self.boots and name in self.reserved:
            self.resident[name] = self.reserved.pop(name)

    def unload(self, name: str) -> None:
        """Refuses new requests for an artifact; frees it after the last one."""
        artifact = self.resident.pop(name, None)
        if artifact is not None:
            self.unloading[name] = artifact
            self._free_unused()

    def _free_unused(self) -> None:
        if not self.unloading:
            return
        used = {c.arrival.request.artifact for c in self.running.values()}
        known = self.resident | self.unloading
        used |= {known[n].base_model for n in used if n in known}
        self.unloading = {n: a for n, a in self.unloading.items() if n in used}

    def _start(self, call: Call) -> None:
        self._advance()
        number = next(self._ids)
        self.running[number] = call
        self._schedule()
        if not call.arrival.tokens:
            delay_s = PLAIN_SERVICE_S * call.arrival.prompt_factor
        else:
            delay_s = PREFILL_S + PREFILL_PER_RUNNING_S * len(self.running)
            delay_s *= call.arrival.prompt_factor
            if self._use_prefix(call.arrival.request.prefix_hash):
                delay_s *= CACHED_PREFIX_FACTOR
        self.clock.after(delay_s, self._start_decoding, number, self.boots)

    def _use_prefix(self, prefix: int) -> bool:
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return hit

    def _start_decoding(self, number: int, boot: int) -> None:
        if boot != self.boots:
            return
        call = self.running[number]
        call.on_first()
        self._advance()
        end = self._tokens + max(0, call.arrival.tokens - 1)
        heapq.heappush(self._decoding, (end, number))
        self._schedule()

    def _gap_s(self) -> float:
        return TOKEN_GAP_S + TOKEN_GAP_PER_RUNNING_S * len(self.running)

    def _advance(self) -> None:
        """Updates the cumulative count of tokens per decoding request."""
        passed_s = self.clock.now_s - self._changed_s
        self._tokens += passed_s / self._gap_s()
        self._changed_s = self.clock.now_s

    def _schedule(self) -> None:
        self._schedule_number += 1
        if self._decoding:
            remaining = max(0.0, self._decoding[0][0] - self._tokens)
            self.clock.after(
                remaining * self._gap_s(),
                self._end_decoded,
                self._schedule_number,
            )

    def _end_decoded(self, schedule_number: int) -> None:
        if schedule_number != self._schedule_number:
            return
        self._advance()
        ended = []
        while self._decoding and self._decoding[0][0] <= self._tokens + 1e-6:
            _, number = heapq.heappop(self._decoding)
            ended.append(self.running.pop(number))
        while self._waiting and len(self.running) < self.config.slots:
            self._start_waiting(heapq.heappop(self._waiting)[2])
        self._free_unused()
        self._schedule()
        for call in ended:
            call.on_end("done")

    def _start_waiting(self, call: Call) -> None:
        artifact = call.arrival.request.artifact
        if artifact is None or artifact in self.resident:
            self._start(call)
        else:
            call.on_end("refused")


class WeightStore:
    """Delays loads; beyond a number of concurrent loads they take longer."""

    def __init__(self, deployment: Deployment, clock: Clock):
        self._deployment = deployment
        self._clock = clock
        self._next_s = 0.0
        self._models = 0
        self._adapters = 0
        self.model_loads = 0
        self.adapter_loads = 0

    @property
    def model_loads_running(self) -> int:
        """Number of model loads in progress."""
        return self._models

    def load(
        self,
        engine: Engine,
        artifact: Artifact,
        on_end: Callable[..., None] = lambda: None,
        *args,
    ) -> None:
        """Loads an artifact for which memory is reserved.

        Args:
            engine: The engine that has reserved the memory.
            artifact: The artifact to load.
            on_end: Called with ``args`` at the end of the load.
            *args: Arguments of ``on_end``.
        """
        deployment = self._deployment
        if artifact.base_model is not None:
            self.adapter_loads += 1
            self._adapters += 1
            excess = self._adapters / deployment.adapters_in_transit
            delay_s = 0.0075 * max(1.0, excess)
        else:
            self.model_loads += 1
            self._models += 1
            start_s = max(self._clock.now_s, self._next_s)
            self._next_s = start_s + 1 / deployment.model_loads_per_s
            excess = self._models / deployment.concurrent_model_loads
            delay_s = start_s - self._clock.now_s
            delay_s += deployment.model_load_s * max(1.0, excess)
        arguments = (engine, artifact, engine.boots, on_end, args)
        self._clock.after(delay_s, self._finish_load, *arguments)

    def _finish_load(
        self,
        engine: Engine,
        artifact: Artifact,
        boot: int,
        on_end: Callable[..., None],
        args: tuple,
    ) -> None:
        if artifact.base_model is None:
            self._models -= 1
        else:
            self._adapters -= 1
        engine.finish_load(artifact.name, boot)
        on_end(*args)
