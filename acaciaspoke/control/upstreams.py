"""Tracks the state of upstreams in a control process.

Two hosts of an upstream's failure domain poll it and send the reports to the
other hosts. Messages may be late or repeated, so reports are ordered by the
boot id and the sequence that the engine gave them.
"""

import itertools
import random
from collections.abc import Iterable, Mapping

from acaciaspoke.config.schema import Upstream
from acaciaspoke.control.knownupstream import KnownUpstream, content_hash
from acaciaspoke.ids import ArtifactName, DomainId, HostId, UpstreamId
from acaciaspoke.net.messages import ConnectionLost, FleetView
from acaciaspoke.net.records import (
    EngineReport,
    LeavingNotice,
    Load,
    Member,
    UpstreamState,
    UpstreamView,
)
from acaciaspoke.util.chart import StateMachine
from acaciaspoke.util.rendezvous import choose

POLLERS_PER_UPSTREAM = 2
POLL_INTERVAL_S = 1.0

# A failed poll makes an upstream suspect only if no host had a report for this
# long, so that one lost poll or the broken link of one host does not.
SUSPECT_AFTER_S = 2.5

# Delay of the next poll after a suspicion. It is not 0, so that many suspicions
# cause one poll.
SUSPECT_POLL_DELAY_S = 0.1

# Ranking the pollers of 786 upstreams among 300 hosts takes about 0.2 s of a
# core, so it is spread over several ticks to not block other work.
MAX_RANKED_PER_TICK = 64

# If more hosts join at once, as after a start, ranking is left to later ticks.
MAX_JOINED_RANKED_AT_ONCE = 8

MAX_UPSTREAMS_PER_VIEW = 256


class Upstreams:
    """The upstreams of all failure domains as one host sees them."""

    def __init__(self, host: HostId, domain: DomainId, rng: random.Random):
        self._host = host
        self._domain = domain
        self._rng = rng
        self._known: dict[UpstreamId, KnownUpstream] = {}
        self._leaving: dict[UpstreamId, bool] = {}
        self._hosts: list[HostId] = [host]
        # Upstreams whose pollers have to be ranked.
        self._unranked: dict[UpstreamId, None] = {}
        # Upstreams that this host polls as one of their pollers.
        self._polled: dict[UpstreamId, None] = {}
        self._changes = 0
        self._updated: set[UpstreamId] = set()
        self._suspected: set[UpstreamId] = set()
        # Upstreams that this host suspects after a lost connection. It polls
        # them until they respond, as reports from other failure domains arrive
        # too rarely to clear the suspicion.
        self._rechecked: set[UpstreamId] = set()

    # Configuration and membership.

    def set_config(
        self, upstreams: Mapping[UpstreamId, Upstream], now_s: float
    ) -> None:
        """Applies the upstreams of a new configuration version."""
        for upstream in self._known.keys() - upstreams.keys():
            del self._known[upstream]
            self._unranked.pop(upstream, None)
            self._polled.pop(upstream, None)
            self._updated.discard(upstream)
            self._suspected.discard(upstream)
            self._rechecked.discard(upstream)
        for upstream, config in upstreams.items():
            known = self._known.get(upstream)
            if known is None or known.config.address != config.address:
                machine = StateMachine("upstream", UpstreamState)
                due_s = now_s + self._rng.uniform(0, POLL_INTERVAL_S)
                self._known[upstream] = KnownUpstream(config, machine, due_s)
                self._apply_listing(upstream)
                self._mark_changed(upstream)
                if config.failure_domain == self._domain:
                    self._unranked[upstream] = None
            else:
                known.config = config

    def set_members(self, live: Iterable[Member]) -> None:
        """Applies the live members of this host's domain."""
        hosts = sorted(member.host for member in live)
        if hosts == self._hosts:
            return
        joined = set(hosts) - set(self._hosts)
        removed = set(self._hosts) - set(hosts)
        self._hosts = hosts
        for upstream, known in self._known.items():
            if known.config.failure_domain != self._domain:
                continue
            if len(
                joined
            ) > MAX_JOINED_RANKED_AT_ONCE or not removed.isdisjoint(
                known.pollers
            ):
                # An upstream that already waits keeps its position, so that
                # none waits forever when hosts change frequently.
                self._unranked[upstream] = None
            elif joined and upstream not in self._unranked:
                # Hosts that join can only replace current pollers.
                self._choose_pollers(upstream, [*known.pollers, *joined])

    def on_notices(self, notices: Iterable[LeavingNotice]) -> None:
        """Applies the leaving notices known to membership."""
        for notice in notices:
            if self._leaving.get(notice.upstream, False) != notice.leaving:
                self._leaving[notice.upstream] = notice.leaving
                self._apply_listing(notice.upstream)

    def _apply_listing(self, upstream: UpstreamId) -> None:
        known = self._known.get(upstream)
        if known is None:
            return
        event = (
            "listed_leaving"
            if self._leaving.get(upstream, False)
            else "listed_live"
        )
        if known.machine.accepts(event):
            self._send_event(upstream, event)

    # Polling.

    def polls_due(self, now_s: float) -> list[UpstreamId]:
        """Returns the upstreams to poll now, and schedules their next poll."""
        due = [
            upstream
            for upstream in self._polled.keys() | self._rechecked
            if now_s >= self._known[upstream].poll_due_s
        ]
        for upstream in due:
            self._known[upstream].poll_due_s = now_s + POLL_INTERVAL_S
        return due

    def rank_pollers(self) -> None:
        """Ranks the pollers of some upstreams; to be called in each tick."""
        for upstream in list(self._unranked)[:MAX_RANKED_PER_TICK]:
            del self._unranked[upstream]
            self._choose_pollers(upstream, self._hosts)

    def _choose_pollers(
        self, upstream: UpstreamId, hosts: Iterable[HostId]
    ) -> None:
        pollers = choose(f"poll/{upstream}", hosts, POLLERS_PER_UPSTREAM)
        self._known[upstream].pollers = tuple(pollers)
        if self._host in pollers:
            self._polled[upstream] = None
        else:
            self._polled.pop(upstream, None)

    def on_report(
        self, upstream: UpstreamId, report: EngineReport, requested_s: float
    ) -> bool:
        """Applies the response to a poll; returns whether it was newer.

        Args:
            upstream: The polled upstream.
            report: The response.
            requested_s: When the poll was sent: the earliest time at which the
                report can have been made.
        """
        known = self._known.get(upstream)
        if known is None:
            return False
        is_applied = self._apply(
            upstream,
            UpstreamView(
                upstream=upstream,
                state=UpstreamState.LIVE,
                boot_id=report.boot_id,
                sequence=report.sequence,
                running=report.running,
                waiting=report.waiting,
                resident={item.name: item.version for item in report.resident},
            ),
            requested_s,
        )
        held = known.report
        if report.boot_id == known.boot_id and (
            held is None
            or held.boot_id != report.boot_id
            or held.sequence < report.sequence
        ):
            # A peer's view may be newer, but only a report has order ids.
            known.report = report
        return is_applied

    def on_poll_failed(self, upstream: UpstreamId, now_s: float) -> None:
        """Records that a poll of this host had no valid response."""
        known = self._known.get(upstream)
        if known and now_s - known.observed_s >= SUSPECT_AFTER_S:
            self._suspect(upstream, "missed", now_s)

    def on_connection_lost(self, lost: ConnectionLost, now_s: float) -> None:
        """Records that an entry process lost a connection with requests."""
        known = self._known.get(lost.upstream)
        if known and lost.boot_id not in known.ended_boots:
            self._suspect(lost.upstream, "connection_lost", now_s)
            self._rechecked.add(lost.upstream)

    def _suspect(self, upstream: UpstreamId, event: str, now_s: float) -> None:
        known = self._known[upstream]
        known.suspected_s = now_s
        known.poll_due_s = min(known.poll_due_s, now_s + SUSPECT_POLL_DELAY_S)
        before = known.machine.state
        if self._send_event(upstream, event) is not before:
            self._suspected.add(upstream)

    # Views from peers.

    def on_view(self, view: UpstreamView, now_s: float) -> bool:
        """Applies a peer's view; returns whether more than the load changed.

        Only notices decide whether an upstream is leaving.
        """
        known = self._known.get(view.upstream)
        if known is None:
            return False
        observed_s = now_s - view.report_age_s
        before = (known.content_hash, known.machine.state)
        if view.boot_id:
            self._apply(view.upstream, view, observed_s)
        if (
            view.state is UpstreamState.SUSPECT
            and known.machine.state is UpstreamState.LIVE
            and view.boot_id == known.boot_id
            and known.observed_s - observed_s < SUSPECT_AFTER_S
        ):
            # The suspicion is newer than the report in the view, so a slightly
            # newer report may still be older than the suspicion.
            known.suspected_s = now_s
            known.poll_due_s = min(
                known.poll_due_s, now_s + SUSPECT_POLL_DELAY_S
            )
            self._send_event(view.upstream, "missed")
        return before != (known.content_hash, known.machine.state)

    def on_load(self, upstream: UpstreamId, load: Load, now_s: float) -> bool:
        """Applies a load that a peer polled.

        Returns:
            False if its content hash differs, so that the whole view is
            needed.
        """
        known = self._known.get(upstream)
        if known is None:
            return True
        if load.content_hash != known.content_hash:
            return False
        view = UpstreamView(
            upstream=upstream,
            state=(
                UpstreamState.SUSPECT if load.suspect else UpstreamState.LIVE
            ),
            boot_id=known.boot_id,
            sequence=load.sequence,
            running=load.running,
            waiting=load.waiting,
            resident=known.resident,
            report_age_s=load.age_ds / 10,
        )
        self.on_view(view, now_s)
        return True

    def _apply(
        self, upstream: UpstreamId, view: UpstreamView, observed_s: float
    ) -> bool:
        known = self._known[upstream]
        if not known.is_newer(view.boot_id, view.sequence, observed_s):
            return False
        if view.boot_id != known.boot_id:
            if known.boot_id:
                known.ended_boots.append(known.boot_id)
            known.boot_id = view.boot_id
            known.content_hash = 0
            self._updated.add(upstream)
        if view.resident != known.resident:
            known.resident = view.resident
            self._updated.add(upstream)
            known.content_hash = 0
        if not known.content_hash:
            known.content_hash = content_hash(known.boot_id, known.resident)
        known.sequence = view.sequence
        known.running, known.waiting = view.running, view.waiting
        known.observed_s = max(known.observed_s, observed_s)
        if observed_s <= known.suspected_s:
            self._mark_changed(upstream)
            return True
        self._rechecked.discard(upstream)
        before = known.machine.state
        if self._send_event(upstream, "reported") is not before:
            self._updated.add(upstream)
        return True

    def _send_event(self, upstream: UpstreamId, event: str) -> UpstreamState:
        self._mark_changed(upstream)
        return self._known[upstream].machine.send(event)

    def _mark_changed(self, upstream: UpstreamId) -> None:
        self._changes += 1
        # Moves the upstream to the end, as the last one changed.
        known = self._known[upstream] = self._known.pop(upstream)
        known.change = self._changes

    # Queries.

    def state(self, upstream: UpstreamId) -> UpstreamState | None:
        """Returns the state of an upstream, None if it is not configured."""
        known = self._known.get(upstream)
        return known.machine.state if known else None

    def report(self, upstream: UpstreamId) -> EngineReport | None:
        """Returns the newest report polled by this process."""
        known = self._known.get(upstream)
        return known.report if known else None

    def domain_of(self, upstream: UpstreamId) -> DomainId | None:
        """Returns the failure domain of an upstream."""
        known = self._known.get(upstream)
        return known.config.failure_domain if known else None

    def pollers(self, upstream: UpstreamId) -> tuple[str, ...]:
        """Returns the hosts that poll an upstream of this host's domain."""
        known = self._known.get(upstream)
        return known.pollers if known else ()

    def polled(self) -> list[UpstreamId]:
        """Returns the upstreams that this host polls."""
        return list(self._polled)

    def rechecked(self) -> list[UpstreamId]:
        """Returns the upstreams polled until a suspicion is cleared."""
        return list(self._rechecked)

    def domains_without_engines(self) -> set[DomainId]:
        """Returns the other domains whose engines are all suspect or leaving.

        Upstreams in an unknown state count as present. Otherwise a domain would
        load the models of all domains at each start.
        """
        domains: dict[DomainId, bool] = {}
        for known in self._known.values():
            if known.config.memory_bytes:
                domain = known.config.failure_domain
                present = known.machine.state in (
                    UpstreamState.LIVE,
                    UpstreamState.UNKNOWN,
                )
                domains[domain] = domains.get(domain, False) or present
        return {
            domain
            for domain, present in domains.items()
            if not present and domain != self._domain
        }

    def foreign_resident(self) -> frozenset[ArtifactName]:
        """Returns the artifacts on live upstreams of other domains."""
        return frozenset(
            name
            for known in self._known.values()
            if known.config.failure_domain != self._domain
            and known.machine.state is UpstreamState.LIVE
            for name in known.resident
        )

    def view(self, upstream: UpstreamId, now_s: float) -> UpstreamView:
        """Returns the view of a configured upstream."""
        known = self._known[upstream]
        never = known.observed_s == float("-inf")
        return UpstreamView(
            upstream=upstream,
            state=known.machine.state,
            boot_id=known.boot_id,
            sequence=known.sequence,
            running=known.running,
            waiting=known.waiting,
            resident=known.resident,
            report_age_s=0.0 if never else round(now_s - known.observed_s, 2),
        )

    def load(self, upstream: UpstreamId, now_s: float) -> Load:
        """Returns the load of an upstream, the short form of its view."""
        known = self._known[upstream]
        return Load(
            known.content_hash,
            known.sequence,
            known.running,
            known.waiting,
            max(0, int(10 * (now_s - known.observed_s)))
            if known.boot_id
            else 0,
            known.machine.state is UpstreamState.SUSPECT,
        )

    def collect_updates(self) -> set[UpstreamId]:
        """Returns and clears the upstreams with changes beyond the load."""
        updates, self._updated = self._updated, set()
        return updates

    def collect_suspicions(self) -> set[UpstreamId]:
        """Returns and clears the upstreams that this host began to suspect."""
        suspected, self._suspected = self._suspected, set()
        return suspected

    def fleet_views(
        self, after_change: int, entry_processes: int, now_s: float
    ) -> tuple[list[FleetView], int]:
        """Returns the changes that an entry process has not been sent yet.

        Messages may be lost, so all views should be sent again periodically.

        Args:
            after_change: The number of the last change sent; 0 for all views.
            entry_processes: Live entry processes that share the upstreams.
            now_s: The time.

        Returns:
            The messages, at least one, and the number of the last change.
        """
        # Ordered by change, so that a tick does not visit unchanged upstreams.
        newest_first = itertools.takewhile(
            lambda upstream: self._known[upstream].change > after_change,
            reversed(self._known),
        )
        changed = [self.view(upstream, now_s) for upstream in newest_first]
        parts = [
            tuple(changed[start : start + MAX_UPSTREAMS_PER_VIEW])
            for start in range(0, len(changed), MAX_UPSTREAMS_PER_VIEW)
        ]
        messages = [
            FleetView(upstreams=part, entry_processes=max(1, entry_processes))
            for part in parts or [()]
        ]
        return messages, self._changes
