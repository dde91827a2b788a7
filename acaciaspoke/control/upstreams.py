"""What a control process knows of the upstreams.

Two hosts of an upstream's failure domain poll it. What they learn reaches the
other hosts in messages that may be late or repeated, so each report is placed
by the boot id and the sequence that the engine gave it.
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
from acaciaspoke.util.chart import Machine
from acaciaspoke.util.rendezvous import choose

POLLERS_PER_UPSTREAM = 2
POLL_INTERVAL_S = 1.0

# A poll that fails makes an upstream suspect only if nobody had a report for
# this long, so that one lost poll or one host's broken link does not.
MISSED_AFTER_S = 2.5

# A doubted upstream is polled sooner, though not at once for each of many
# doubts.
DOUBTED_POLL_S = 0.1

# Ranking 786 upstreams among 300 hosts takes about 0.2 s of a core, so it is
# spread over several calls instead of holding up other work.
RANKED_PER_TICK = 64

# More hosts than this that join at once, as after a start, are ranked later.
FEW_JOINED = 8


FLEET_VIEW_UPSTREAMS = 256


class Upstreams:
    """The upstreams of all failure domains, as one host knows them."""

    def __init__(self, host: HostId, domain: DomainId, rng: random.Random):
        self._host = host
        self._domain = domain
        self._rng = rng
        self._known: dict[UpstreamId, KnownUpstream] = {}
        self._leaving: dict[UpstreamId, bool] = {}
        self._hosts: list[HostId] = [host]
        # The upstreams whose pollers have to be ranked, and those that this
        # host polls.
        self._unranked: dict[UpstreamId, None] = {}
        self._polled: dict[UpstreamId, None] = {}
        self._changes = 0
        self._news: set[UpstreamId] = set()
        self._doubts: set[UpstreamId] = set()
        # Upstreams that this host came to doubt and polls until they answer,
        # though others poll them too. Reports of other failure domains come
        # too rarely to end a doubt.
        self._checked: set[UpstreamId] = set()

    # What the process tells.

    def set_config(
        self, upstreams: Mapping[UpstreamId, Upstream], now_s: float
    ) -> None:
        """Takes the upstreams of a new configuration version."""
        for upstream in self._known.keys() - upstreams.keys():
            del self._known[upstream]
            self._unranked.pop(upstream, None)
            self._polled.pop(upstream, None)
            self._news.discard(upstream)
            self._doubts.discard(upstream)
            self._checked.discard(upstream)
        for upstream, config in upstreams.items():
            known = self._known.get(upstream)
            if known is None or known.config.address != config.address:
                machine = Machine("upstream", UpstreamState)
                due_s = now_s + self._rng.uniform(0, POLL_INTERVAL_S)
                self._known[upstream] = KnownUpstream(config, machine, due_s)
                self._list(upstream)
                self._mark(upstream)
                if config.failure_domain == self._domain:
                    self._unranked[upstream] = None
            else:
                known.config = config

    def set_members(self, live: Iterable[Member]) -> None:
        """Takes the live members of the own domain."""
        hosts = sorted(member.host for member in live)
        if hosts == self._hosts:
            return
        joined = set(hosts) - set(self._hosts)
        gone = set(self._hosts) - set(hosts)
        self._hosts = hosts
        for upstream, known in self._known.items():
            if known.config.failure_domain != self._domain:
                continue
            if len(joined) > FEW_JOINED or not gone.isdisjoint(known.pollers):
                # Those that wait already keep their place, so that frequent
                # changes of hosts keep none of them waiting for ever.
                self._unranked[upstream] = None
            elif joined and upstream not in self._unranked:
                # A host that joins can only take the place of one of them.
                self._choose_pollers(upstream, [*known.pollers, *joined])

    def on_notices(self, notices: Iterable[LeavingNotice]) -> None:
        """Takes all notices that membership knows."""
        for notice in notices:
            if self._leaving.get(notice.upstream, False) != notice.leaving:
                self._leaving[notice.upstream] = notice.leaving
                self._list(notice.upstream)

    def _list(self, upstream: UpstreamId) -> None:
        known = self._known.get(upstream)
        if known is None:
            return
        event = (
            "listed_leaving"
            if self._leaving.get(upstream, False)
            else "listed_live"
        )
        if known.machine.accepts(event):
            self._send(upstream, event)

    # Polling.

    def polls_due(self, now_s: float) -> list[UpstreamId]:
        """Returns the upstreams to poll now, each counted as polled."""
        due = [
            upstream
            for upstream in self._polled.keys() | self._checked
            if now_s >= self._known[upstream].poll_due_s
        ]
        for upstream in due:
            self._known[upstream].poll_due_s = now_s + POLL_INTERVAL_S
        return due

    def rank_pollers(self) -> None:
        """Brings some of the choices of pollers up to date; call often."""
        for upstream in list(self._unranked)[:RANKED_PER_TICK]:
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
        self, upstream: UpstreamId, report: EngineReport, asked_s: float
    ) -> bool:
        """Takes the answer to an own poll; returns whether it is news.

        Args:
            upstream: Which one.
            report: The answer.
            asked_s: When the poll was sent, as the report may have been made
                at any time since.
        """
        known = self._known.get(upstream)
        if known is None:
            return False
        taken = self._take(
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
            asked_s,
        )
        held = known.report
        if report.boot_id == known.boot_id and (
            held is None
            or held.boot_id != report.boot_id
            or held.sequence < report.sequence
        ):
            # A peer's view may be newer than this report, but only the
            # report has the order ids.
            known.report = report
        return taken

    def on_missed(self, upstream: UpstreamId, now_s: float) -> None:
        """Takes in that an own poll had no answer."""
        known = self._known.get(upstream)
        if known and now_s - known.taken_s >= MISSED_AFTER_S:
            self._doubt(upstream, "missed", now_s)

    def on_connection_lost(self, lost: ConnectionLost, now_s: float) -> None:
        """Takes in that an entry process lost a connection with work on it."""
        known = self._known.get(lost.upstream)
        if known and lost.boot_id not in known.ended_boots:
            self._doubt(lost.upstream, "connection_lost", now_s)
            self._checked.add(lost.upstream)

    def _doubt(self, upstream: UpstreamId, event: str, now_s: float) -> None:
        known = self._known[upstream]
        known.doubted_s = now_s
        known.poll_due_s = min(known.poll_due_s, now_s + DOUBTED_POLL_S)
        before = known.machine.state
        if self._send(upstream, event) is not before:
            self._doubts.add(upstream)

    # Peers.

    def on_view(self, view: UpstreamView, now_s: float) -> bool:
        """Takes a peer's view; returns whether more than the load changed.

        Whether an upstream is leaving is decided by notices alone.
        """
        known = self._known.get(view.upstream)
        if known is None:
            return False
        taken_s = now_s - view.report_age_s
        before = (known.content_hash, known.machine.state)
        if view.boot_id:
            self._take(view.upstream, view, taken_s)
        if (
            view.state is UpstreamState.SUSPECT
            and known.machine.state is UpstreamState.LIVE
            and view.boot_id == known.boot_id
            and known.taken_s - taken_s < MISSED_AFTER_S
        ):
            # The doubt is younger than the report that it came with, and a
            # little newer report may still be older than the doubt.
            known.doubted_s = now_s
            known.poll_due_s = min(known.poll_due_s, now_s + DOUBTED_POLL_S)
            self._send(view.upstream, "missed")
        return before != (known.content_hash, known.machine.state)

    def on_load(self, upstream: UpstreamId, load: Load, now_s: float) -> bool:
        """Takes a load that a peer polled.

        Returns:
            Whether it fits what is known here; otherwise the whole view is
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

    def _take(
        self, upstream: UpstreamId, view: UpstreamView, taken_s: float
    ) -> bool:
        known = self._known[upstream]
        if not known.is_newer(view.boot_id, view.sequence, taken_s):
            return False
        if view.boot_id != known.boot_id:
            if known.boot_id:
                known.ended_boots.append(known.boot_id)
            known.boot_id = view.boot_id
            known.content_hash = 0
            self._news.add(upstream)
        if view.resident != known.resident:
            known.resident = view.resident
            self._news.add(upstream)
            known.content_hash = 0
        if not known.content_hash:
            known.content_hash = content_hash(known.boot_id, known.resident)
        known.sequence = view.sequence
        known.running, known.waiting = view.running, view.waiting
        known.taken_s = max(known.taken_s, taken_s)
        if taken_s <= known.doubted_s:
            self._mark(upstream)
            return True
        self._checked.discard(upstream)
        before = known.machine.state
        if self._send(upstream, "reported") is not before:
            self._news.add(upstream)
        return True

    def _send(self, upstream: UpstreamId, event: str) -> UpstreamState:
        self._mark(upstream)
        return self._known[upstream].machine.send(event)

    def _mark(self, upstream: UpstreamId) -> None:
        self._changes += 1
        # The end of the dictionary is where the last change is.
        known = self._known[upstream] = self._known.pop(upstream)
        known.changed = self._changes

    # What the process asks.

    def state(self, upstream: UpstreamId) -> UpstreamState | None:
        """Returns the state of an upstream, None if it is not configured."""
        known = self._known.get(upstream)
        return known.machine.state if known else None

    def report(self, upstream: UpstreamId) -> EngineReport | None:
        """Returns the newest report that this process polled itself."""
        known = self._known.get(upstream)
        return known.report if known else None

    def domain_of(self, upstream: UpstreamId) -> DomainId | None:
        """Returns the failure domain of an upstream."""
        known = self._known.get(upstream)
        return known.config.failure_domain if known else None

    def pollers(self, upstream: UpstreamId) -> tuple[str, ...]:
        """Returns the hosts that poll an upstream of the own domain."""
        known = self._known.get(upstream)
        return known.pollers if known else ()

    def polled(self) -> list[UpstreamId]:
        """Returns the upstreams that this host polls."""
        return list(self._polled)

    def checked(self) -> list[UpstreamId]:
        """Returns the upstreams that it polls only until a doubt ends."""
        return list(self._checked)

    def domains_without_engines(self) -> set[DomainId]:
        """Returns the other domains all of whose engines are lost or leaving.

        Upstreams that nothing is known of yet count as present, or each start
        would begin with the loads of all domains.
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

    def resident_elsewhere(self) -> frozenset[ArtifactName]:
        """Returns the artifacts on live upstreams of other domains."""
        return frozenset(
            name
            for known in self._known.values()
            if known.config.failure_domain != self._domain
            and known.machine.state is UpstreamState.LIVE
            for name in known.resident
        )

    def view(self, upstream: UpstreamId, now_s: float) -> UpstreamView:
        """Returns what is known of a configured upstream."""
        known = self._known[upstream]
        never = known.taken_s == float("-inf")
        return UpstreamView(
            upstream=upstream,
            state=known.machine.state,
            boot_id=known.boot_id,
            sequence=known.sequence,
            running=known.running,
            waiting=known.waiting,
            resident=known.resident,
            report_age_s=0.0 if never else round(now_s - known.taken_s, 2),
        )

    def load(self, upstream: UpstreamId, now_s: float) -> Load:
        """Returns the short form of what is known of an upstream."""
        known = self._known[upstream]
        return Load(
            known.content_hash,
            known.sequence,
            known.running,
            known.waiting,
            max(0, int(10 * (now_s - known.taken_s))) if known.boot_id else 0,
            known.machine.state is UpstreamState.SUSPECT,
        )

    def take_news(self) -> set[UpstreamId]:
        """Returns the upstreams whose reports changed in more than the load."""
        taken, self._news = self._news, set()
        return taken

    def take_doubts(self) -> set[UpstreamId]:
        """Returns the upstreams that this host itself came to suspect."""
        taken, self._doubts = self._doubts, set()
        return taken

    def fleet_views(
        self, after_change: int, entry_processes: int, now_s: float
    ) -> tuple[list[FleetView], int]:
        """Returns what an entry process has not been told yet.

        Messages get lost, so each entry process should be told all again from
        time to time.

        Args:
            after_change: What the last call for it returned; 0 for all.
            entry_processes: Live entry processes that share the upstreams.
            now_s: The time.

        Returns:
            The messages, at least one, and the number for the next call.
        """
        # In the order of their changes, so that the many upstreams without one
        # are not looked at in each tick.
        newest_first = itertools.takewhile(
            lambda upstream: self._known[upstream].changed > after_change,
            reversed(self._known),
        )
        changed = [self.view(upstream, now_s) for upstream in newest_first]
        parts = [
            tuple(changed[start : start + FLEET_VIEW_UPSTREAMS])
            for start in range(0, len(changed), FLEET_VIEW_UPSTREAMS)
        ]
        messages = [
            FleetView(upstreams=part, entry_processes=max(1, entry_processes))
            for part in parts or [()]
        ]
        return messages, self._changes
