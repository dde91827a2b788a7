"""Records which requests end with a crash, and says which must not be sent."""

from loguru import logger

from acaciaspoke.gateway.attempt import Attempt, Ending
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.part_suspects import (
    CRASH_RETENTION_S,
    PartSuspects,
)
from acaciaspoke.gateway.suspects import CrashSuspects
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import PartId


class CrashGuard:
    """Counts crashes by whole requests and by the parts of their prompts.

    Attributes:
        requests: Whole requests that may crash upstreams.
        parts: Prompt parts that may crash engines.
    """

    def __init__(self) -> None:
        self.requests = CrashSuspects()
        self.parts = PartSuspects()
        # When a request with each blocked part last came.
        self._blocked_s: dict[PartId, float] = {}

    def is_blocked(self, request: Request, now_s: float) -> bool:
        """Returns whether a request must not be sent for now."""
        if self.requests.is_blocked(request.fingerprint, now_s):
            return True
        part = self.parts.blocked_part(request.shared_parts, now_s)
        if part is None:
            return False
        if part not in self._blocked_s:
            self._blocked_s = {
                known: last_s
                for known, last_s in self._blocked_s.items()
                if now_s - last_s <= CRASH_RETENTION_S
            }
            evidence = self.parts.evidence_of(part, now_s)
            logger.warning(
                "prompt part {} is blocked: engines crashed before its requests"
                " began",
                part,
                crashes=len(evidence.crash_ages_s),
                latest_crash_age_s=round(
                    min(evidence.crash_ages_s.values()), 2
                ),
                begun_age_s=evidence.begun_age_s,
                request_id=request.id,
            )
        self._blocked_s[part] = now_s
        return True

    def record_begun(self, request: Request, now_s: float) -> None:
        """Records the first event of a request."""
        self.parts.record_begun(request.shared_parts, now_s)

    def record_attempt(
        self,
        assignment: Assignment,
        attempt: Attempt,
        has_begun: bool,
        now_s: float,
    ) -> None:
        """Records how an attempt ended.

        Args:
            assignment: The request and its upstream.
            attempt: The result.
            has_begun: Whether the caller has had an event of the request.
            now_s: The time.
        """
        request = assignment.request
        if attempt.ending is Ending.ANSWERED:
            self.requests.record_success(request.fingerprint)
        if attempt.ending is not Ending.BROKEN:
            return
        self.requests.record_crash(request.fingerprint, now_s)
        if attempt.is_closed and not has_begun:
            self.parts.record_crash(
                request.shared_parts,
                assignment.upstream,
                assignment.started_ms,
                now_s,
            )
