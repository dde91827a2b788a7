"""Estimates which prompt parts each engine holds, from what this host sent.

Engines evict the least recently used parts. A part is evicted once the tokens
of other parts that were used since its last use exceed the memory (the stack
distance; Mattson et al., "Evaluation techniques for storage hierarchies", IBM
Systems Journal 9(2), 1970). The tokens that all hosts sent to the engine
meanwhile are an upper bound of this distance, so that one counter for each
engine replaces a list of its parts.
"""

import itertools
from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from acaciaspoke.gateway.prompts.reports import (
    MIN_REPORTED_TOKENS,
    REPORT_INTERVAL_S,
    PartReports,
    artifact_hash,
)
from acaciaspoke.gateway.types import (
    Artifact,
    Configuration,
    HeldPart,
    Request,
)
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import ServiceId, UpstreamId

# Time without a use in which the weight of a part halves: engines may process
# prompts of which this host gets no notice.
HALF_LIFE_S = 20.0

# Parts are forgotten after this time; their weight is 1/64.
MAX_AGE_S = 6 * HALF_LIFE_S

# Parts with this weight or more count as cached when prefill is limited.
CONFIDENT_WEIGHT = 0.5

# Parts of all engines; one takes some 300 bytes. A host that sends 30 requests
# a second with 4 parts reaches MAX_AGE_S before this.
MAX_PARTS = 16_384

# Engines whose tokens are counted; there may be 5,500.
MAX_ENGINES = 8_192

# Share of the memory beyond which an engine is full: requests that grow may be
# preempted there, and its parts are evicted.
FULL_SHARE = 0.9

# Weight of a new request in the mean size of requests.
MEAN_WEIGHT = 0.05

# Estimates in one round of decisions, which take 3 ms: 64 requests with 8
# replicas each. With 320 waiting requests, rounds took 22 ms instead of 8 ms.
# Requests are in the order of their urgency.
MAX_ESTIMATES = 512

_EPOCH_BITS = 64


class CachedTokens(NamedTuple):
    """Prompt tokens that an engine is expected not to process.

    Attributes:
        expected: The sum over all parts, by the weight of their estimates.
        confident: Those of parts whose estimate is recent.
    """

    expected: float = 0.0
    confident: int = 0


NOTHING_CACHED = CachedTokens()


class _Use(NamedTuple):
    """The last known use of a part at an engine.

    Attributes:
        used_s: Its time.
        sent_tokens: The tokens that the engine had been sent by then.
        reported_s: When a host last reported it to the others.
    """

    used_s: float
    sent_tokens: int
    reported_s: float = float("-inf")


class Holdings:
    """The parts that engines hold, as far as this host knows.

    An engine's epoch of an artifact begins when this host first learns of a
    part for it, and ends with the process or an unload. Parts belong to an
    epoch, so that those of ended ones are never found.
    """

    def __init__(self, max_parts: int = MAX_PARTS) -> None:
        """Creates an object that knows no part.

        Args:
            max_parts: Parts of all engines that are kept.
        """
        self._max_parts = max_parts
        self._epochs = itertools.count(1)
        # By epoch and chain of part ids; the least recently used first.
        self._parts: OrderedDict[int, _Use] = OrderedDict()
        self._reports = PartReports()
        # The time of the last round of decisions, and its estimates.
        self._round_s = float("-inf")
        self._estimates = 0
        self._sent_tokens: Counter[UpstreamId] = Counter()
        self._memory_tokens: dict[ServiceId, int] = {}
        self._mean_tokens: dict[ServiceId, float] = {}

    def __len__(self) -> int:
        """Returns the number of parts."""
        return len(self._parts)

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies the sizes of the engines' memories."""
        self._memory_tokens = {
            name: service.engine.memory_tokens
            for name, service in configuration.services.items()
            if service.engine is not None
        }

    def record_prefill(self, engine: UpstreamId, tokens: int) -> None:
        """Records prompt tokens that a host sends to an engine."""
        sent = self._sent_tokens
        if engine not in sent and len(sent) >= MAX_ENGINES:
            # Counts that begin again make the known parts count as evicted.
            sent.clear()
        sent[engine] += tokens

    def record_sent(self, engine: Upstream, request: Request) -> None:
        """Records a request that this host sends to an engine."""
        if request.artifact is None:
            return
        self.record_prefill(engine.record.upstream, request.uncached_tokens)
        tokens = _size_tokens(request)
        mean = self._mean_tokens.setdefault(request.service, tokens)
        self._mean_tokens[request.service] += MEAN_WEIGHT * (tokens - mean)

    def learn(self, engine: Upstream, request: Request, now_s: float) -> None:
        """Records that an engine has processed the prompt of a request."""
        # A run that goes on has its memory from another engine.
        if not request.has_sized_parts or request.resume_at is not None:
            return
        # The last part belongs to the session; other hosts get to know the
        # shared parts.
        *shared, last = _chains(request)
        size_tokens = sum(tokens for _, tokens in shared)
        for depth, (chain, _) in enumerate((*shared, last), 1):
            may_report = (
                depth == len(shared) and size_tokens >= MIN_REPORTED_TOKENS
            )
            self._record_use(
                engine, request.artifact, chain, now_s, may_report=may_report
            )
        self._evict(now_s)

    def _record_use(
        self,
        engine: Upstream,
        artifact: Artifact,
        chain: int,
        now_s: float,
        *,
        may_report: bool,
    ) -> None:
        epochs, name = engine.prompt_epochs, engine.record.upstream
        epoch = epochs.get(artifact)
        if epoch is None:
            epoch = epochs[artifact] = next(self._epochs)
        key = epoch << _EPOCH_BITS | chain
        known = self._parts.get(key)
        reported_s = known.reported_s if known else float("-inf")
        if may_report and now_s - reported_s >= REPORT_INTERVAL_S:
            started_ms = engine.record.started_ms
            held = HeldPart(artifact_hash(artifact, started_ms), chain)
            if self._reports.add(name, held):
                reported_s = now_s
        self._parts[key] = _Use(now_s, self._sent_tokens[name], reported_s)
        self._parts.move_to_end(key)

    def take_reports(self) -> dict[UpstreamId, tuple[HeldPart, ...]]:
        """Returns the shared parts for the next message to other hosts."""
        return self._reports.take()

    def apply_reports(
        self,
        held_parts: Mapping[UpstreamId, Iterable[HeldPart]],
        engines: Mapping[UpstreamId, Upstream],
        now_s: float,
    ) -> None:
        """Applies what other hosts report that engines have processed.

        Args:
            held_parts: The parts, by engine.
            engines: All known engines.
            now_s: The current time.
        """
        for name, parts in held_parts.items():
            engine = engines.get(name)
            for part in parts if engine else ():
                self._apply_report(engine, part, now_s)
        if held_parts:
            self._evict(now_s)

    def _apply_report(
        self, engine: Upstream, part: HeldPart, now_s: float
    ) -> None:
        started_ms = engine.record.started_ms
        artifact = next(
            (
                artifact
                for artifact in engine.record.artifacts
                if artifact_hash(artifact, started_ms) == part.artifact
            ),
            None,
        )
        if artifact is None or not engine.holds(artifact, now_s):
            return
        chain = part.chain % (1 << _EPOCH_BITS)
        epoch = engine.prompt_epochs.get(artifact)
        known = epoch and self._parts.get(epoch << _EPOCH_BITS | chain)
        # Each report is in several messages.
        if known and now_s - known.reported_s < REPORT_INTERVAL_S / 2:
            return
        self._record_use(engine, artifact, chain, now_s, may_report=False)
        key = engine.prompt_epochs[artifact] << _EPOCH_BITS | chain
        self._parts[key] = self._parts[key]._replace(reported_s=now_s)

    def _evict(self, now_s: float) -> None:
        while self._parts:
            oldest = next(iter(self._parts.values()))
            is_recent = now_s - oldest.used_s <= MAX_AGE_S
            if is_recent and len(self._parts) <= self._max_parts:
                return
            self._parts.popitem(last=False)

    def cached_tokens(
        self,
        engine: Upstream,
        request: Request,
        running: int,
        now_s: float,
    ) -> CachedTokens:
        """Returns the tokens of a prompt that an engine holds.

        After ``MAX_ESTIMATES`` at the same time, nothing is taken as cached.

        Args:
            engine: The engine.
            request: The request.
            running: Requests that run there, of all hosts.
            now_s: The current time.
        """
        epoch = engine.prompt_epochs.get(request.artifact)
        if epoch is None or not request.has_sized_parts:
            return NOTHING_CACHED
        if now_s != self._round_s:
            self._round_s, self._estimates = now_s, 0
        self._estimates += 1
        if self._estimates > MAX_ESTIMATES:
            return NOTHING_CACHED
        free_tokens = self._free_tokens(request, running)
        if free_tokens <= 0:
            return NOTHING_CACHED
        sent_tokens = self._sent_tokens[engine.record.upstream]
        expected, confident, weight, latest = 0.0, 0, 0.0, None
        # The use of a part is one of all parts before it.
        for chain, tokens in reversed(_chains(request)):
            use = self._parts.get(epoch << _EPOCH_BITS | chain)
            if use is not None and (latest is None or use > latest):
                latest, weight = use, 0.0
                if 0 <= sent_tokens - use.sent_tokens <= free_tokens:
                    age_s = max(0.0, now_s - use.used_s)
                    weight = 0.5 ** (age_s / HALF_LIFE_S)
            expected += weight * tokens
            if weight >= CONFIDENT_WEIGHT:
                confident += tokens
        limit = request.prompt_tokens
        return CachedTokens(min(expected, limit), min(confident, limit))

    def _free_tokens(self, request: Request, running: int) -> float:
        """Returns the memory that is left for parts next to the requests.

        It is 0 if the engine would be full with the request.
        """
        memory_tokens = self._memory_tokens.get(request.service)
        if memory_tokens is None:
            return 0.0
        size_tokens = _size_tokens(request)
        mean = self._mean_tokens.get(request.service, size_tokens)
        used_tokens = running * mean + size_tokens
        if used_tokens > FULL_SHARE * memory_tokens:
            return 0.0
        return memory_tokens - used_tokens


def _size_tokens(request: Request) -> float:
    """Returns the memory that a request takes, in the mean over its run."""
    return request.prompt_tokens + request.output_tokens / 2


def _chains(request: Request) -> tuple[tuple[int, int], ...]:
    """Returns a hash of the ids up to each part, and the part's tokens."""
    if request.prompt_chains is None:
        chain, chains = 0, []
        for part in request.prompt_parts:
            chain = xxhash.xxh3_64_intdigest(part.id.encode(), chain)
            chains.append((chain, part.tokens))
        request.prompt_chains = tuple(chains)
    return request.prompt_chains
