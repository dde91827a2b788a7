"""Derives leaving notices from the platform's host list.

The list has no revision and reaches each host with a different delay. A host
therefore announces only changes that it observes, with a revision one above
the highest it knows, and does not contradict its peers merely because its own
list is stale.
"""

from collections.abc import Iterable, Mapping

from acaciaspoke.clients.hosts import HostEntry, HostState
from acaciaspoke.config.schema import Upstream
from acaciaspoke.ids import UpstreamId
from acaciaspoke.net.records import LeavingNotice

# Longer than the list lags behind: an entry that contradicts a notice for this
# long is not merely stale.
MAX_LIST_LAG_S = 60.0

# If more than this share of the upstreams disappears from one list to the next,
# this is treated as a fault of the platform, not as their removal.
MAX_REMOVED_SHARE = 0.5


class HostListWatch:
    """Compares each host list with the previous one."""

    def __init__(self):
        self._leaving: dict[UpstreamId, bool] = {}
        self._changed_s: dict[UpstreamId, float] = {}

    def on_list(
        self,
        entries: Iterable[HostEntry],
        upstreams: Mapping[UpstreamId, Upstream],
        notices: Iterable[LeavingNotice],
        now_s: float,
    ) -> list[LeavingNotice]:
        """Returns the notices that follow from a new list.

        Args:
            entries: The list.
            upstreams: The configured upstreams.
            notices: The notices known so far.
            now_s: The time.
        """
        previous = self._leaving
        self._leaving = self._leaving_by_upstream(entries, upstreams)
        known_notices = {notice.upstream: notice for notice in notices}
        new = []
        for upstream, leaving in self._leaving.items():
            if leaving != previous.get(upstream):
                self._changed_s[upstream] = now_s
            known_notice = known_notices.get(upstream)
            if leaving == (known_notice.leaving if known_notice else False):
                continue
            changed = previous.get(upstream, False) != leaving
            is_persistent = now_s - self._changed_s[upstream] >= MAX_LIST_LAG_S
            if changed or is_persistent:
                revision = known_notice.list_revision + 1 if known_notice else 1
                new.append(
                    LeavingNotice(
                        upstream=upstream,
                        leaving=leaving,
                        list_revision=revision,
                    )
                )
        return new

    def _leaving_by_upstream(
        self,
        entries: Iterable[HostEntry],
        upstreams: Mapping[UpstreamId, Upstream],
    ) -> dict[UpstreamId, bool]:
        """Returns whether each upstream that was ever listed is leaving."""
        states = {entry.address: entry.state for entry in entries}
        listed = {
            upstream: states[config.address] is HostState.LEAVING
            for upstream, config in upstreams.items()
            if config.address in states
        }
        earlier = {
            upstream: leaving
            for upstream, leaving in self._leaving.items()
            if upstream in upstreams
        }
        removed = earlier.keys() - listed.keys()
        newly_removed = [
            upstream for upstream in removed if not earlier[upstream]
        ]
        if len(newly_removed) > MAX_REMOVED_SHARE * len(earlier):
            return earlier | listed
        return listed | dict.fromkeys(removed, True)
