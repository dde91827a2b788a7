"""Records which requests end with a crash, and says which must not be sent."""

from collections.abc import Collection

from loguru import logger

from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.links import Links
from acaciaspoke.gateway.part_suspects import (
    CRASH_RETENTION_S,
    PartSuspects,
)
from acaciaspoke.gateway.suspects import CrashSuspects
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import HostId, PartId

# A check of the links ends within this time after a connection was lost.
# Crashes have to be known to all hosts within 3 s (the platform's rules).
MAX_UNCONFIRMED_S = 1.5

# Other hosts find within this time that they reach no upstream either, if all
# have crashed.
MIN_CUT_OFF_S = 1.0


def is_own_loss(
    others: Collection[HostId],
    live: Collection[HostId],
    detached: Collection[HostId],
) -> bool:
    """Returns whether a host that reaches no upstream has lost its links.

    Otherwise the upstreams are down.

    Args:
        others: All other hosts.
        live: Those that are responsive; none if this host is cut off from all.
        detached: Those that have no links to upstreams.
    """
    if not live:
        return bool(others)
    return any(host not in detached for host in live)


class CrashGuard:
    """Counts crashes by whole requests and by the parts of their prompts.

    A connection is also lost if this host loses its links. Crashes count here
    at once; other hosts are told of them once the links were found intact.

    Attributes:
        requests: Whole requests that may crash upstreams.
        parts: Prompt parts that may crash engines.
    """

    def __init__(self, checks_links: bool = False) -> None:
        """Creates a guard that knows of no crash.

        Args:
            checks_links: Whether ``review`` will confirm crashes.
        """
        self._checks_links = checks_links
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
        if (
            attempt.ending is not Ending.BROKEN
            or attempt.is_unreachable
            or attempt.is_stopped
        ):
            return
        is_confirmed = not self._checks_links
        self.requests.record_crash(request.fingerprint, now_s, is_confirmed)
        if attempt.is_closed and not has_begun:
            self.parts.record_crash(
                request.shared_parts,
                assignment.upstream,
                assignment.started_ms,
                now_s,
                is_confirmed,
            )

    def review(self, links: Links, is_own_loss: bool, now_s: float) -> None:
        """Confirms crashes, or drops those that were lost links.

        Args:
            links: The links of this host, which are checked after each crash.
            is_own_loss: Whether links that are lost are those of this host, and
                not the upstreams are down.
            now_s: The time.
        """
        until_s = max(links.checked_s, now_s - MAX_UNCONFIRMED_S)
        if links.is_cut_off(now_s):
            if is_own_loss:
                if links.cut_off_s(now_s) >= MIN_CUT_OFF_S:
                    self.requests.drop_unconfirmed()
                    self.parts.drop_unconfirmed()
                return
            until_s = now_s
        self.requests.confirm(until_s)
        self.parts.confirm(until_s)
