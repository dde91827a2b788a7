"""Finds streams whose engines have become unresponsive."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.stalls import StallDetector
from acaciaspoke.ids import RequestId


class _Stream(NamedTuple):
    """An attempt in progress."""

    assignment: Assignment
    relay: Relay


class StallWatch:
    """Watches attempts whose streams can go on elsewhere.

    Attributes:
        streams: The attempts in progress.
    """

    def __init__(self, fleet: Fleet):
        self.streams: dict[RequestId, _Stream] = {}
        self._fleet = fleet
        self._stalls = StallDetector()

    @contextmanager
    def watched(self, assignment: Assignment, relay: Relay) -> Iterator[None]:
        """Lets ``record_stalls`` watch an attempt."""
        request_id = assignment.request.id
        self.streams[request_id] = _Stream(assignment, relay)
        try:
            yield
        finally:
            del self.streams[request_id]

    def record_stalls(self) -> None:
        """Finds streams whose engines have become unresponsive.

        Only streams that have begun and have a KV backup can go on elsewhere.
        """
        now_s = time.monotonic()
        self._stalls.record_check(now_s)
        overdue = [
            stream
            for stream in self.streams.values()
            if stream.relay.first_event_s is not None
            and self._is_stalled(stream, 0.0, now_s)
        ]
        if not overdue:
            return
        fleet = self._fleet
        prefill_tokens = fleet.prefill_tokens(now_s)
        for stream in overdue:
            upstream = stream.assignment.upstream
            tokens_per_s = fleet.prefill_tokens_per_s(upstream)
            prefill_s = prefill_tokens[upstream] / tokens_per_s
            if self._is_stalled(stream, prefill_s, now_s):
                stream.relay.takeover.record_stall()

    def _is_stalled(
        self, stream: _Stream, prefill_s: float, now_s: float
    ) -> bool:
        last_event_s = self._fleet.last_event_s(
            stream.assignment.upstream, stream.relay.reading_since_s
        )
        return self._stalls.is_stalled(last_event_s, prefill_s, now_s)
