"""Which reports go to which peers, within a budget of bytes.

Each host would get each report from each other one: at 300 hosts and 786
upstreams a domain far more than the traffic a host may cause. The first of an
upstream's pollers passes it on, in full only when more than its load changed,
and everything waits for a token bucket.
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

# Sent; as much again is received. With the gossip of 300 members (about
# 10 KB/s both ways) this stays inside 27 KB/s.
BYTES_PER_S = 6000.0
BURST_BYTES = 64_000.0

EXCHANGE_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 1.0
FOREIGN_INTERVAL_S = 5.0

# Repairs what lost messages left out and no load can show: other domains get
# no loads. Relaying to a whole domain costs far more than telling one host.
FOREIGN_REFRESH_S = 30.0
RELAY_REFRESH_S = 120.0

VIEWS_PER_MESSAGE = 32


class ReportSpread:
    """What this host still has to tell which peers.

    ``tick`` must be called several times a second.
    """

    def __init__(self, me: Member, upstreams: Upstreams, rng: random.Random):
        self._me = me
        self._upstreams = upstreams
        self._rng = rng
        self._peers: dict[HostId, Address] = {}
        self._boots: dict[HostId, BootId] = {}
        # Dictionaries stand for ordered sets: first come, first served. The
        # value tells whether to send it although another host polls first.
        self._pending: dict[HostId, dict[UpstreamId, bool]] = {}
        self._relayed: dict[HostId, dict[UpstreamId, bool]] = {}
        self._abroad: dict[UpstreamId, None] = {}
        self._budget = BURST_BYTES
        self._tick_s: float | None = None
        self._exchange_due_s = 0.0
        self._load_due_s = 0.0
        self._abroad_due_s = 0.0
        self._refresh_due_s: float | None = None
        self._relayed_s: dict[UpstreamId, float] = {}

    def set_members(self, live: Iterable[Member]) -> None:
        """Takes the live members; tells new ones what this host passes on."""
        members = {
            member.host: member
            for member in live
            if member.host != self._me.host
        }
        self._peers = {host: item.address for host, item in members.items()}
        for pending in (self._pending, self._relayed):
            for host in pending.keys() - members.keys():
                del pending[host]
        for host, member in members.items():
            if self._boots.get(host) != member.boot:
                queue = self._pending.setdefault(host, {})
                for upstream in self._own():
                    queue.setdefault(upstream, False)
        self._boots = {host: item.boot for host, item in members.items()}

    def on_reports(self, reports: UpstreamReports, now_s: float) -> None:
        """Takes a peer's views; passes on what came from another domain."""
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
                    self._relayed.setdefault(host, {})[view.upstream] = True

    def on_loads(self, loads: UpstreamLoads, now_s: float) -> list[Outgoing]:
        """Takes the loads that a peer polled; asks for what was missed."""
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
            upstreams=tuple(missed[:VIEWS_PER_MESSAGE]),
        )
        return self._pay([address], pull)

    def on_pull(self, pull: UpstreamPull, now_s: float) -> list[Outgoing]:
        """Answers a peer that missed a change."""
        if self._budget <= 0:
            return []  # It asks again after the next load.
        return self._pay([pull.reply_to], self._reports(pull.upstreams, now_s))

    def tick(
        self, foreign_contacts: Iterable[Member], now_s: float
    ) -> list[Outgoing]:
        """Returns what is due and inside the budget."""
        if self._tick_s is None:
            self._tick_s = now_s
        earned = (now_s - self._tick_s) * BYTES_PER_S
        self._budget = min(self._budget + earned, BURST_BYTES)
        self._tick_s = now_s
        self._collect(now_s)
        outgoing = self._send_views(self._pending, now_s)
        if now_s >= self._exchange_due_s:
            self._exchange_due_s = now_s + EXCHANGE_INTERVAL_S
            outgoing += self._exchange(now_s)
        if now_s >= self._load_due_s and self._budget > 0:
            outgoing += self._send_loads(now_s)
        if now_s >= self._abroad_due_s and self._budget > 0:
            self._abroad_due_s = now_s + FOREIGN_INTERVAL_S
            outgoing += self._send_abroad(foreign_contacts, now_s)
        return outgoing + self._send_views(self._relayed, now_s)

    def _own(self) -> list[UpstreamId]:
        return [
            upstream
            for upstream in self._upstreams.polled()
            if self._upstreams.pollers(upstream)[0] == self._me.host
        ]

    def _collect(self, now_s: float) -> None:
        """Notes for each peer what changed.

        A doubt goes to everyone from whoever has it; news go to everyone from
        the first poller, which hears of them from the other ones.
        """
        own = set(self._own())
        news = self._upstreams.take_news()
        doubts = self._upstreams.take_doubts()
        to_all = doubts | (news & own)
        if self._refresh_due_s is None:
            self._refresh_due_s = now_s + FOREIGN_REFRESH_S
        if now_s >= self._refresh_due_s:
            self._refresh_due_s = now_s + FOREIGN_REFRESH_S
            self._abroad.update(dict.fromkeys(sorted(own)))
        for upstream in sorted(to_all):
            if self._upstreams.domain_of(upstream) == self._me.failure_domain:
                self._abroad[upstream] = None
            for host in self._peers:
                queue = self._pending.setdefault(host, {})
                queue[upstream] = queue.get(upstream) or upstream in doubts
        for upstream in sorted(news - to_all):
            pollers = self._upstreams.pollers(upstream)
            if self._me.host in pollers and pollers[0] in self._peers:
                self._pending.setdefault(pollers[0], {})[upstream] = True

    def _send_views(
        self, queues: dict[HostId, dict[UpstreamId, bool]], now_s: float
    ) -> list[Outgoing]:
        if not queues or self._budget <= 0:
            return []
        outgoing = []
        own = set(self._own())
        hosts = list(queues)
        self._rng.shuffle(hosts)
        for host in hosts:
            if self._budget <= 0:
                break
            # While the members were still becoming known, this host was the
            # first poller of many upstreams that others pass on by now.
            queue = {
                upstream: always
                for upstream, always in queues.pop(host).items()
                if always or upstream in own
            }
            taken = list(queue)[:VIEWS_PER_MESSAGE]
            for upstream in taken:
                del queue[upstream]
            if queue:
                queues[host] = queue
            if taken:
                message = self._reports(taken, now_s)
                outgoing += self._pay([self._peers[host]], message)
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

    def _exchange(self, now_s: float) -> list[Outgoing]:
        """Tells the other pollers of each upstream that it still answers."""
        shared: dict[HostId, list[UpstreamId]] = {}
        for upstream in self._upstreams.polled():
            for host in self._upstreams.pollers(upstream):
                if host in self._peers:
                    shared.setdefault(HostId(host), []).append(upstream)
        outgoing = []
        for host, upstreams in shared.items():
            message = self._loads(upstreams, now_s)
            outgoing += self._pay([self._peers[host]], message)
        return outgoing

    def _send_loads(self, now_s: float) -> list[Outgoing]:
        """Sends the loads to all; next when the budget has earned them."""
        own = self._own()
        self._load_due_s = now_s + LOAD_INTERVAL_S
        if not own or not self._peers:
            return []
        before = self._budget
        outgoing = self._pay(self._peers.values(), self._loads(own, now_s))
        cost_s = (before - self._budget) / BYTES_PER_S
        self._load_due_s = now_s + max(LOAD_INTERVAL_S, cost_s)
        return outgoing

    def _send_abroad(
        self, contacts: Iterable[Member], now_s: float
    ) -> list[Outgoing]:
        """Passes changes to one host of each other domain, which relays."""
        taken = list(self._abroad)[:VIEWS_PER_MESSAGE]
        addresses = [contact.address for contact in contacts]
        if not taken or not addresses:
            return []
        for upstream in taken:
            del self._abroad[upstream]
        return self._pay(addresses, self._reports(taken, now_s))

    def _pay(
        self, addresses: Iterable[Address], message: Message
    ) -> list[Outgoing]:
        outgoing = [Outgoing(address, message) for address in addresses]
        self._budget -= len(encode(message)) * len(outgoing)
        return outgoing
