"""Carries loads between hosts, directly or through aggregators."""

import time
from collections.abc import Callable, Iterable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.gateway.aggregate import (
    CANDIDATES,
    MEMBER_MAX_AGE_S,
    AggregatorChoice,
    LoadAggregator,
    rank_aggregators,
)
from acaciaspoke.gateway.messages import (
    DomainLoads,
    LoadDigest,
    LoadSummary,
    Message,
    RowsRead,
    SendBatch,
    SendNotice,
    is_overtaken,
)
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.ids import DomainId, HostId

# Up to so many hosts tell each other directly: 16 hosts with 10 requests a
# second each make 300 datagrams a second and host.
MAX_DIRECT_HOSTS = 16

# Notices are collected for so long by an aggregator; a prompt counts as being
# read for 0.1 s.
BATCH_INTERVAL_S = 0.04

SUMMARY_INTERVAL_S = 0.1

# Stands for all other hosts as the sender of a summary.
_OTHERS = HostId("*")


class LoadExchange:
    """Sends this host's loads and takes in those of the others.

    Attributes:
        aggregator: The host that adds up the loads for this one, if any.
    """

    def __init__(
        self,
        own: HostId,
        domain: DomainId,
        peers: Peers,
        post: Callable[[Message, Iterable[HostId]], Message],
        take_digest: Callable[[LoadDigest, float], None],
        take_send: Callable[[SendNotice, float], None],
        tell_rows_read: Callable[[], RowsRead | None] = lambda: None,
        take_rows_read: Callable[[RowsRead], None] = lambda _: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Prepares to send.

        Args:
            own: This host.
            domain: Its failure domain.
            peers: Knows the hosts.
            post: Sends a message with this run's name and number; returns it.
            take_digest: Takes in the loads of another host, or of all.
            take_send: Takes in what another host, or one of all, sends.
            tell_rows_read: Returns what this host knows of the upstreams'
                table.
            take_rows_read: Takes in what another host knows of it.
            clock: Tells the time.
        """
        self._own = own
        self._peers = peers
        self._post = post
        self._take_digest = take_digest
        self._take_send = take_send
        self._tell_rows_read = tell_rows_read
        self._take_rows_read = take_rows_read
        self._choice = AggregatorChoice(own, domain)
        self._domain = domain
        self._aggregator = LoadAggregator()
        self._silent: tuple[HostId, ...] = ()
        self._summary_s = float("-inf")
        self._sums_due_s = 0.0
        self._passed_on: Message | None = None
        self._clock = clock
        self.aggregator: HostId | None = None

    @property
    def is_direct(self) -> bool:
        """Whether hosts tell each other without an aggregator."""
        return len(self._peers.rows) <= MAX_DIRECT_HOSTS

    def send(self, message: LoadDigest | SendNotice) -> None:
        """Tells the other hosts what this one has, or sends now."""
        if self.is_direct:
            self._post(message, self._peers.rows)
            return
        now_s = self._clock()
        links_mbps = self._links_of(self._domain)
        chosen = self._choice.choose(links_mbps, now_s)
        if chosen != self.aggregator:
            logger.info(
                "loads are added up by {}",
                chosen,
                before=self.aggregator,
                hosts=len(self._peers.rows),
            )
        self.aggregator = chosen
        message = self._post(message, [self.aggregator])
        if self.aggregator == self._own:
            self._take_from_member(message, now_s)

    def take(self, message: Message, now_s: float) -> None:
        """Takes in a message of another host."""
        match message:
            case DomainLoads():
                self._aggregator.take_domain(message, now_s)
                self._note_rows_read(message.rows_read)
            case LoadSummary():
                self._take_summary(message, now_s)
            case SendBatch(is_summary=False):
                self._aggregator.take_batch(message, now_s)
            case SendBatch():
                self._take_batch(message, now_s)
            case LoadDigest() if self.is_direct:
                self._take_digest(message, now_s)
            case SendNotice() if self.is_direct:
                self._take_send(message, now_s)
            case LoadDigest() | SendNotice():
                self._take_from_member(message, now_s)

    def broadcast(self, message: Message) -> Message:
        """Sends a message to all hosts; returns it as it was sent.

        Of many hosts one sends it to the aggregators, as a slow link could not
        carry it to all.
        """
        if self.is_direct:
            return self._post(message, self._peers.rows)
        aggregators = self._other_aggregators(self._clock())
        if self.aggregator is not None:
            aggregators.add(self.aggregator)
        message = self._post(message, aggregators)
        self.pass_on(message)
        return message

    def pass_on(self, message: Message) -> None:
        """Sends members, once, what a host tells all."""
        if self._passed_on and is_overtaken(message, self._passed_on):
            return
        self._passed_on = message
        members = self._aggregator.members(self._clock())
        others = [host for host in members if host != message.host]
        self._peers.post(message, others)

    def live(self, now_s: float) -> list[HostId]:
        """Returns the other hosts that are alive, as far as is known."""
        if now_s - self._summary_s > MEMBER_MAX_AGE_S:
            return self._peers.live(now_s)
        silent = {*self._silent, self._own}
        return [host for host in self._peers.rows if host not in silent]

    def live_links_mbps(self, now_s: float) -> dict[HostId, float]:
        """Returns the other hosts that are alive, with their links."""
        rows = self._peers.rows
        return {
            host: rows[host].link_mbps if host in rows else 0.0
            for host in self.live(now_s)
        }

    @property
    def is_reader(self) -> bool:
        """Whether this host has no other one as its aggregator."""
        return self.aggregator in (None, self._own)

    def members(self) -> list[HostId]:
        """Returns the other hosts that have this one as aggregator."""
        members = self._aggregator.members(self._clock())
        return [host for host in members if host != self._own]

    async def run(self) -> None:
        """Sends sums and notices as an aggregator until cancelled."""
        while True:
            is_aggregator = self._aggregator.members(self._clock())
            await anyio.sleep(
                BATCH_INTERVAL_S if is_aggregator else SUMMARY_INTERVAL_S
            )
            self.step()

    def step(self) -> None:
        """Sends what members have sent since, and the sums if they are due."""
        now_s = self._clock()
        if not self._aggregator.members(now_s):
            self._aggregator.take_pending()
            return
        # First, as the sums include what is still to be told.
        self._send_batches(now_s)
        if now_s >= self._sums_due_s:
            self._sums_due_s = now_s + SUMMARY_INTERVAL_S
            self._send_sums(now_s)

    def _take_from_member(
        self, message: LoadDigest | SendNotice, now_s: float
    ) -> None:
        if isinstance(message, LoadDigest):
            self._aggregator.take_digest(message, now_s)
        else:
            self._aggregator.take_send(message, now_s)

    def _take_summary(self, summary: LoadSummary, now_s: float) -> None:
        self._choice.heard(summary.host, now_s)
        self._silent = summary.silent
        self._summary_s = now_s
        self._note_rows_read(summary.rows_read)
        summary = msgspec.structs.replace(summary, host=_OTHERS)
        self._take_digest(summary, now_s)

    def _note_rows_read(self, read: RowsRead | None) -> None:
        if read is not None:
            self._take_rows_read(read)

    def _take_batch(self, batch: SendBatch, now_s: float) -> None:
        batch = msgspec.structs.replace(batch, host=_OTHERS)
        for notice in batch.notices():
            self._take_send(notice, now_s)

    # As an aggregator.

    def _send_batches(self, now_s: float) -> None:
        own, others = self._aggregator.take_pending()
        if own:
            batch = SendBatch(sends=_sends(own), is_summary=False)
            self._post(batch, self._other_aggregators(now_s))
        if not own and not others:
            return
        members = self._aggregator.members(now_s)
        senders = {notice.host for notice in own}
        rest = [host for host in members if host not in senders]
        self._post_batch([*own, *others], rest, now_s)
        for sender in senders.intersection(members):
            heard = [notice for notice in own if notice.host != sender]
            self._post_batch([*heard, *others], [sender], now_s)

    def _post_batch(
        self, notices: list[SendNotice], hosts: list[HostId], now_s: float
    ) -> None:
        if not notices:
            return
        batch = SendBatch(sends=_sends(notices), is_summary=True)
        batch = self._post(batch, hosts)
        if self._own in hosts:
            self._take_batch(batch, now_s)

    def _send_sums(self, now_s: float) -> None:
        read = self._tell_rows_read()
        loads = self._aggregator.domain_loads(now_s, read)
        self._post(loads, self._other_aggregators(now_s))
        for host, summary in self._aggregator.summaries(
            self._peers.rows, now_s, read
        ):
            summary = self._post(summary, [host])
            if host == self._own:
                self._take_summary(summary, now_s)

    def _other_aggregators(self, now_s: float) -> set[HostId]:
        found = {
            host
            for host, heard_s in self._aggregator.peers.items()
            if now_s - heard_s <= MEMBER_MAX_AGE_S
        }
        domains = {row.failure_domain for row in self._peers.rows.values()}
        for domain in domains:
            links_mbps = self._links_of(domain)
            found.update(rank_aggregators(domain, links_mbps, CANDIDATES))
        return found - {self._own}

    def _links_of(self, domain: DomainId) -> dict[HostId, float]:
        return {
            host: row.link_mbps
            for host, row in self._peers.rows.items()
            if row.failure_domain == domain
        }


def _sends(notices: Iterable[SendNotice]) -> tuple:
    return tuple((one.upstream, one.prompt_tokens) for one in notices)
