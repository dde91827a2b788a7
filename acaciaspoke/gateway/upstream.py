"""One upstream: its record, local requests at it, and pauses."""

import itertools
from collections import Counter, deque
from collections.abc import Iterator, Set
from typing import NamedTuple

from acaciaspoke.gateway.peerloads import MIN_PREFILL_S
from acaciaspoke.gateway.types import Artifact, UpstreamRecord
from acaciaspoke.ids import ModelId, RequestId

# How long an announced load or unload overrides the upstream's own record;
# records are renewed every 1.2 s.
ANNOUNCEMENT_VALID_S = 3.0

# Pause after an upstream refused a request because it was full.
REFUSAL_PAUSE_S = 0.1

# Pause after a connection to an upstream failed; doubles with each consecutive
# failure.
FAILURE_PAUSE_S = 0.25
MAX_FAILURE_PAUSE_S = 2.0


class Prompt(NamedTuple):
    """A prompt that was sent to an engine.

    Attributes:
        is_alone: Whether the engine had no other prompt to prefill then.
    """

    sent_s: float
    tokens: int
    is_alone: bool = False


def _valid(
    valid_until_s: dict[Artifact, float], now_s: float
) -> dict[Artifact, float]:
    return {
        artifact: end_s
        for artifact, end_s in valid_until_s.items()
        if end_s > now_s
    }


class Upstream:
    """One upstream, as one gateway knows it.

    Local requests are those that this gateway has sent.

    Attributes:
        record: The latest record of the upstream.
        is_draining: Whether it must get no new work.
        in_flight: Local requests at it, by artifact; None for services without
            models.
        request_ids: The ids of these requests, of which callers may use one
            more than once.
        prefilling: Prompts of local requests that await their first event.
        recent_prefills: Prompts of local requests that were prefilled recently.
        streaming: When the last event of each local request that had one
            arrived, ``event_intervals.UNKNOWN_S`` if that is not known.
        last_event_s: When the last event of a local request was received.
        received_s: When this host last received anything from it.
        paused_until_s: When it may get work again after a refusal or failure.
        named_pause_until_s: The end of the last pause that it has named.
        is_on_trial: Whether no request has begun since that pause. Until then
            it gets one request at a time, so that not all that waited for the
            end of the pause arrive at once.
        responses: Responses since this object was created.
        refusals: Requests that it has refused because it was full, likewise.
        broken: Connections that failed or broke, likewise.
        failures: Failed or broken connections since the last complete response
            or the upstream's restart.
        failed_s: When a connection last failed or broke.
        prompt_epochs: Since when it holds prompt parts for each artifact (see
            ``prompts.Holdings``).
    """

    def __init__(self, record: UpstreamRecord):
        self.record = record
        self.is_draining = False
        self.in_flight: Counter[Artifact | None] = Counter()
        self.request_ids: Counter[RequestId] = Counter()
        self.prefilling: dict[RequestId, Prompt] = {}
        self.recent_prefills: deque[Prompt] = deque()
        self.streaming: dict[RequestId, float] = {}
        self.last_event_s = 0.0
        self.received_s = float("-inf")
        self.paused_until_s = 0.0
        self.named_pause_until_s = 0.0
        self.is_on_trial = False
        self.trial_request: RequestId | None = None
        self.failures = 0
        self.failed_s = float("-inf")
        self.responses = 0
        self.refusals = 0
        self.broken = 0
        self.prompt_epochs: dict[Artifact, int] = {}
        self._announced: dict[Artifact, float] = {}
        self._withdrawn: dict[Artifact, float] = {}

    def is_unresponsive(self, timeout_s: float, now_s: float) -> bool:
        """Returns whether local streams run but none has had a recent event."""
        return bool(self.streaming) and now_s - self.last_event_s >= timeout_s

    def accepts(self, now_s: float) -> bool:
        """Returns whether it may get a request at this moment."""
        if now_s < max(self.paused_until_s, self.named_pause_until_s):
            return False
        return not self.is_on_trial or self.trial_request is None

    def record_refusal(self, now_s: float) -> None:
        """Pauses it, as it refused a request because it was full."""
        self.paused_until_s = max(self.paused_until_s, now_s + REFUSAL_PAUSE_S)
        self.refusals += 1

    def record_failure(self, now_s: float) -> None:
        """Pauses it, as a connection to it broke or was not made."""
        pause_s = FAILURE_PAUSE_S * 2**self.failures
        self.failures += 1
        self.failed_s = now_s
        self.broken += 1
        self.paused_until_s = now_s + min(pause_s, MAX_FAILURE_PAUSE_S)

    def forget_failures(self, now_s: float) -> None:
        """Ends its pause after failures."""
        self.failures = 0
        self.paused_until_s = min(self.paused_until_s, now_s)

    def local_prefill_tokens(self, now_s: float) -> int:
        """Returns the prompt tokens of local requests in or just after prefill.

        Recent prefills count too: an engine that got the next prompt as soon as
        it has prefilled one would leave its streams no time for tokens.
        """
        recent = self.recent_prefills
        while recent and now_s - recent[0].sent_s > MIN_PREFILL_S:
            recent.popleft()
        prompts = itertools.chain(self.prefilling.values(), recent)
        return sum(prompt.tokens for prompt in prompts)

    @property
    def local_load(self) -> int:
        """Local requests at the upstream."""
        return self.in_flight.total()

    def holds(self, artifact: Artifact | None, now_s: float) -> bool:
        """Returns whether the upstream can run requests for an artifact."""
        if artifact is None:
            return True
        if self._withdrawn.get(artifact, 0.0) > now_s:
            return False
        if self._withdrawn.get(artifact.base, 0.0) > now_s:
            return False
        if artifact in self.record.artifacts:
            return True
        return self._announced.get(artifact, 0.0) > now_s

    def models(self, now_s: float) -> Iterator[ModelId]:
        """Yields the models that it holds, also those being unloaded."""
        for artifact in self.record.artifacts:
            yield artifact.model
        for artifact, valid_until_s in self._announced.items():
            if valid_until_s > now_s:
                yield artifact.model

    def announce(self, artifact: Artifact, now_s: float) -> None:
        """Records that an artifact was loaded."""
        self._withdrawn.pop(artifact, None)
        self._announced = _valid(self._announced, now_s)
        self._announced[artifact] = now_s + ANNOUNCEMENT_VALID_S

    def withdraw(self, artifact: Artifact, now_s: float) -> None:
        """Records that an artifact is being unloaded or is missing."""
        self._announced.pop(artifact, None)
        self._withdrawn = _valid(self._withdrawn, now_s)
        self._withdrawn[artifact] = now_s + ANNOUNCEMENT_VALID_S
        self._end_epochs({artifact})

    def _end_epochs(self, unloaded: Set[Artifact]) -> None:
        """Forgets the prompt parts for artifacts, and for their adapters."""
        for artifact in list(self.prompt_epochs):
            if artifact in unloaded or artifact.base in unloaded:
                del self.prompt_epochs[artifact]

    def update_record(self, record: UpstreamRecord) -> None:
        """Applies a new record; a restart clears announced artifacts."""
        if record.started_ms != self.record.started_ms:
            self._announced.clear()
            self._withdrawn.clear()
            self.failures = 0
            self.paused_until_s = 0.0
            self.named_pause_until_s = 0.0
            self.is_on_trial = False
            self.prompt_epochs.clear()
        if self.prompt_epochs:
            self._end_epochs(self.record.artifacts - record.artifacts)
        self.record = record
