"""Distributes upstream reports to peers within a byte budget.

Sending each report from each poller to each host would exceed the traffic that
a host may cause, at 300 hosts and 786 upstreams in a domain. Only the first
poller of an upstream forwards its reports, in full only when more than the load
changed, and a token bucket limits all messages.
"""

import random
from collections.abc import Iterable

from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.ids import Address, BootId, HostId, UpstreamId
from acaciaspoke.net.messages import (
    Message,
    Outgoing,
    UpstreamLoads,
    UpstreamPull,
    UpstreamReports,
    encode,
)
from acaciaspoke.net.records import Member

# Limits sending; about as much is received. With the gossip of 300 members
# (about 10 KB/s in both directions) the total stays below 27 KB/s.
MAX_SENT_BYTES_PER_S = 6000.0
MAX_BURST_BYTES = 64_000.0

LOAD_EXCHANGE_INTERVAL_S = 1.0
LOAD_BROADCAST_INTERVAL_S = 1.0
FOREIGN_REPORT_INTERVAL_S = 5.0

# Repairs lost messages to other domains: these get no loads, whose hashes would
# reveal a missed change. Relaying to a whole domain costs far more than sending
# to one host.
FOREIGN_REFRESH_S = 30.0
RELAY_REFRESH_S = 120.0

MAX_VIEWS_PER_MESSAGE = 32


class ReportDistributor:
    """Queues the reports that this host still has to send to its peers.

    ``tick`` must be called several times a second.
    """

    def __init__(self, me: Member, upstreams: Upstreams, rng: random.Random):
        self._me = me
        self._upstreams = upstreams
        self._rng = rng
        self._peers: dict[HostId, Address] = {}
        self._peer_boots: dict[HostId, BootId] = {}
        # Dictionaries used as ordered sets, for FIFO order. A true value means
        # that the report is sent even if another host is the first poller.
        self._pending_queues: dict[HostId, dict[UpstreamId, bool]] = {}
        self._relay_queues: dict[HostId, dict[UpstreamId, bool]] = {}
        self._foreign_queue: dict[UpstreamId, None] = {}
        self._budget_bytes = MAX_BURST_BYTES
        self._tick_s: float | None = None
        self._exchange_due_s = 0.0
        self._broadcast_due_s = 0.0
        self._foreign_due_s = 0.0
        self._refresh_due_s: float | None = None
        self._relayed_s: dict[UpstreamId, float] = {}

    def set_members(self, live: Iterable[Member]) -> None:
        """Sets the live members; queues the forwarded reports for new ones."""
        members = {
            member.host: member
            for member in live
            if member.host != self._me.host
        }
        self._peers = {host: item.address for host, item in members.items()}
        for pending in (self._pending_queues, self._relay_queues):
            for host in pending.keys() - members.keys():
                del pending[host]
        for host, member in members.items():
            if self._peer_boots.get(host) != member.boot:
                queue = self._pending_queues.setdefault(host, {})
                for upstream in self._forwarded_upstreams():
                    queue.setdefault(upstream, False)
        self._peer_boots = {host: item.boot for host, item in members.items()}

    def on_reports(self, reports: UpstreamReports, now_s: float) -> None:
        """Applies a peer's views; relays those from another domain."""
        for view in reports.upstreams:
            changed = self._upstreams.on_view(view, now_s)
            domain = self._upstreams.domain_of(view.upstream)
            if (
                domain in (None, self._me.failure_domain)
                or reports.sender in self._peers
            ):
                continue
            last_s = self._relayed_s.get(view.upstream, float("-inf"))
            if changed or now_s - last_s >= RELAY_REFRESH_S:
                self._relayed_s[view.upstream] = now_s
                for host in self._peers:
                    self._relay_queues.setdefault(host, {})[
                        view.upstream
                    ] = True

    def on_loads(self, loads: UpstreamLoads, now_s: float) -> list[Outgoing]:
        """Applies the loads that a peer polled; pulls missed reports."""
        missed = [
            upstream
            for upstream, load in loads.loads.items()
            if not self._upstreams.on_load(upstream, load, now_s)
        ]
        address = self._peers.get(loads.sender)
        if not missed or address is None:
            return []
        pull = UpstreamPull(
            reply_to=self._me.address,
            upstreams=tuple(missed[:MAX_VIEWS_PER_MESSAGE]),
        )
        return self._send([address], pull)

    def on_pull(self, pull: UpstreamPull, now_s: float) -> list[Outgoing]:
        """Responds to a peer that missed a change."""
        if self._budget_bytes <= 0:
            return []  # The peer pulls again after the next load.
        return self._send([pull.reply_to], self._reports(pull.upstreams, now_s))

    def tick(
        self, foreign_contacts: Iterable[Member], now_s: float
    ) -> list[Outgoing]:
        """Returns the messages that are due and within the budget."""
        if self._tick_s is None:
            self._tick_s = now_s
        refill_bytes = (now_s - self._tick_s) * MAX_SENT_BYTES_PER_S
        self._budget_bytes = min(
            self._budget_bytes + refill_bytes, MAX_BURST_BYTES
        )
        self._tick_s = now_s
        self._queue_changes(now_s)
        outgoing = self._send_views(self._pending_queues, now_s)
        if now_s >= self._exchange_due_s:
            self._exchange_due_s = now_s + LOAD_EXCHANGE_INTERVAL_S
            outgoing += self._exchange_loads(now_s)
        if now_s >= self._broadcast_due_s and self._budget_bytes > 0:
            outgoing += self._broadcast_loads(now_s)
        if now_s >= self._foreign_due_s and self._budget_bytes > 0:
            self._foreign_due_s = now_s + FOREIGN_REPORT_INTERVAL_S
            outgoing += self._send_foreign(foreign_contacts, now_s)
        return outgoing + self._send_views(self._relay_queues, now_s)

    def _forwarded_upstreams(self) -> list[UpstreamId]:
        """Returns the upstreams of which this host is the first poller."""
        return [
            upstream
            for upstream in self._upstreams.polled()
            if self._upstreams.pollers(upstream)[0] == self._me.host
        ]

    def _queue_changes(self, now_s: float) -> None:
        """Queues changed reports for each peer.

        Any host sends its suspicion of an upstream to all peers. Other changes
        are sent to all peers by the first poller, which receives them from the
        other pollers.
        """
        forwarded = set(self._forwarded_upstreams())
        updates = self._upstreams.collect_updates()
        suspected = self._upstreams.collect_suspicions()
        for_all_peers = suspected | (updates & forwarded)
        if self._refresh_due_s is None:
            self._refresh_due_s = now_s + FOREIGN_REFRESH_S
        if now_s >= self._refresh_due_s:
            self._refresh_due_s = now_s + FOREIGN_REFRESH_S
            self._foreign_queue.update(dict.fromkeys(sorted(forwarded)))
        for upstream in sorted(for_all_peers):
            if self._upstreams.domain_of(upstream) == self._me.failure_domain:
                self._foreign_queue[upstream] = None
            for host in self._peers:
                queue = self._pending_queues.setdefault(host, {})
                queue[upstream] = queue.get(upstream) or upstream in suspected
        for upstream in sorted(updates - for_all_peers):
            pollers = self._upstreams.pollers(upstream)
            if self._me.host in pollers and pollers[0] in self._peers:
                self._pending_queues.setdefault(pollers[0], {})[upstream] = True

    def _send_views(
        self, queues: dict[HostId, dict[UpstreamId, bool]], now_s: float
    ) -> list[Outgoing]:
        if not queues or self._budget_bytes <= 0:
            return []
        outgoing = []
        forwarded = set(self._forwarded_upstreams())
        hosts = list(queues)
        self._rng.shuffle(hosts)
        for host in hosts:
            if self._budget_bytes <= 0:
                break
            # While this host was discovering members, it was the first poller
            # of many upstreams that other hosts forward by now.
            queue = {
                upstream: forced
                for upstream, forced in queues.pop(host).items()
                if forced or upstream in forwarded
            }
            batch = list(queue)[:MAX_VIEWS_PER_MESSAGE]
            for upstream in batch:
                del queue[upstream]
            if queue:
                queues[host] = queue
            if batch:
                message = self._reports(batch, now_s)
                outgoing += self._send([self._peers[host]], message)
        return outgoing

    def _reports(
        self, upstreams: Iterable[UpstreamId], now_s: float
    ) -> UpstreamReports:
        return UpstreamReports(
            sender=self._me.host,
            upstreams=tuple(
                self._upstreams.view(upstream, now_s)
                for upstream in upstreams
                if self._upstreams.domain_of(upstream) is not None
            ),
        )

    def _loads(
        self, upstreams: Iterable[UpstreamId], now_s: float
    ) -> UpstreamLoads:
        loads = {
            upstream: self._upstreams.load(upstream, now_s)
            for upstream in upstreams
        }
        return UpstreamLoads(sender=self._me.host, loads=loads)

    def _exchange_loads(self, now_s: float) -> list[Outgoing]:
        """Sends the loads of each upstream to its other pollers.

        This confirms that the upstream still responds.
        """
        shared: dict[HostId, list[UpstreamId]] = {}
        for upstream in self._upstreams.polled():
            for host in self._upstreams.pollers(upstream):
                if host in self._peers:
                    shared.setdefault(HostId(host), []).append(upstream)
        outgoing = []
        for host, upstreams in shared.items():
            message = self._loads(upstreams, now_s)
            outgoing += self._send([self._peers[host]], message)
        return outgoing

    def _broadcast_loads(self, now_s: float) -> list[Outgoing]:
        """Sends the loads to all peers.

        The next send waits until the token bucket has regained their cost.
        """
        forwarded = self._forwarded_upstreams()
        self._broadcast_due_s = now_s + LOAD_BROADCAST_INTERVAL_S
        if not forwarded or not self._peers:
            return []
        budget_before_bytes = self._budget_bytes
        outgoing = self._send(
            self._peers.values(), self._loads(forwarded, now_s)
        )
        cost_s = (
            budget_before_bytes - self._budget_bytes
        ) / MAX_SENT_BYTES_PER_S
        self._broadcast_due_s = now_s + max(LOAD_BROADCAST_INTERVAL_S, cost_s)
        return outgoing

    def _send_foreign(
        self, contacts: Iterable[Member], now_s: float
    ) -> list[Outgoing]:
        """Sends changes to one host of each other domain, which relays them."""
        batch = list(self._foreign_queue)[:MAX_VIEWS_PER_MESSAGE]
        addresses = [contact.address for contact in contacts]
        if not batch or not addresses:
            return []
        for upstream in batch:
            del self._foreign_queue[upstream]
        return self._send(addresses, self._reports(batch, now_s))

    def _send(
        self, addresses: Iterable[Address], message: Message
    ) -> list[Outgoing]:
        outgoing = [Outgoing(address, message) for address in addresses]
        self._budget_bytes -= len(encode(message)) * len(outgoing)
        return outgoing
