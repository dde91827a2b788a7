"""Exchanges loads between hosts, directly or through aggregators."""

import time
from collections.abc import Callable, Iterable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.gateway.aggregate import (
    CANDIDATES_PER_DOMAIN,
    MEMBER_MAX_AGE_S,
    AggregatorChoice,
    LoadAggregator,
    rank_aggregators,
)
from acaciaspoke.gateway.message_base import is_superseded
from acaciaspoke.gateway.messages import (
    DomainLoads,
    LoadDigest,
    LoadSummary,
    Message,
    ReadProgress,
    SendBatch,
    SendNotice,
)
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.ids import DomainId, HostId, UpstreamId

# Up to this many hosts exchange loads without aggregators: 16 hosts with 10
# requests a second each make 300 datagrams a second and host.
MAX_DIRECT_HOSTS = 16

# An aggregator batches notices for this time; it is below the 0.1 s for which
# each prompt counts as prefill load.
BATCH_INTERVAL_S = 0.04

SUMMARY_INTERVAL_S = 0.1

# Sender of a summary, which covers all other hosts.
_ALL_OTHERS = HostId("*")


class LoadExchange:
    """Sends this host's loads and applies those of other hosts.

    Attributes:
        aggregator: The host that aggregates loads for this one, if any.
    """

    def __init__(
        self,
        local_host: HostId,
        domain: DomainId,
        peers: Peers,
        post: Callable[[Message, Iterable[HostId]], Message],
        apply_digest: Callable[[LoadDigest, float], None],
        apply_send: Callable[[SendNotice, float], None],
        get_read_progress: Callable[[], ReadProgress | None] = lambda: None,
        record_read_progress: Callable[[ReadProgress], None] = lambda _: None,
        prefill_tokens_per_s: Callable[[UpstreamId], float] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an exchange that has sent nothing.

        Args:
            local_host: This host.
            domain: Its failure domain.
            peers: Sends messages to other hosts.
            post: Sends a message with this host's name, boot and sequence
                number; returns it.
            apply_digest: Applies the loads of one other host, or of all.
            apply_send: Applies a notice of one other host, or of all.
            get_read_progress: Returns how current this host's upstreams table
                is.
            record_read_progress: Records how current another host's is.
            prefill_tokens_per_s: Returns the prefill rate of an engine.
            clock: Returns the time.
        """
        self._local_host = local_host
        self._peers = peers
        self._post = post
        self._apply_digest = apply_digest
        self._apply_send = apply_send
        self._get_read_progress = get_read_progress
        self._record_read_progress = record_read_progress
        self._choice = AggregatorChoice(local_host, domain)
        self._domain = domain
        self._aggregator = LoadAggregator(prefill_tokens_per_s)
        self._unresponsive: tuple[HostId, ...] = ()
        self._last_summary_s = float("-inf")
        self._summaries_due_s = 0.0
        self._last_forwarded: Message | None = None
        self._clock = clock
        self.aggregator: HostId | None = None

    @property
    def is_direct(self) -> bool:
        """Whether hosts exchange loads without aggregators."""
        return len(self._peers.rows) <= MAX_DIRECT_HOSTS

    def send(self, message: LoadDigest | SendNotice) -> None:
        """Sends this host's loads, or a notice, to the other hosts."""
        if self.is_direct:
            self._post(message, self._peers.rows)
            return
        now_s = self._clock()
        links_mbps = self._links_of(self._domain)
        chosen = self._choice.choose(links_mbps, now_s)
        if chosen != self.aggregator:
            logger.info(
                "loads are aggregated by {}",
                chosen,
                before=self.aggregator,
                hosts=len(self._peers.rows),
            )
        self.aggregator = chosen
        message = self._post(message, [self.aggregator])
        if self.aggregator == self._local_host:
            self._apply_from_member(message, now_s)

    def handle(self, message: Message, now_s: float) -> None:
        """Handles a message of another host."""
        match message:
            case DomainLoads():
                self._aggregator.apply_domain_loads(message, now_s)
                self._apply_read_progress(message.rows_read)
            case LoadSummary():
                self._apply_summary(message, now_s)
            case SendBatch(is_summary=False):
                self._aggregator.apply_batch(message, now_s)
            case SendBatch():
                self._apply_batch(message, now_s)
            case LoadDigest() if self.is_direct:
                self._apply_digest(message, now_s)
            case SendNotice() if self.is_direct:
                self._apply_send(message, now_s)
            case LoadDigest() | SendNotice():
                self._apply_from_member(message, now_s)

    def broadcast(self, message: Message) -> Message:
        """Sends a message to all hosts; returns it as it was sent.

        In a large deployment it goes through the aggregators, as one slow link
        can't carry it to every host.
        """
        if self.is_direct:
            return self._post(message, self._peers.rows)
        aggregators = self._other_aggregators(self._clock())
        if self.aggregator is not None:
            aggregators.add(self.aggregator)
        message = self._post(message, aggregators)
        self.forward(message)
        return message

    def forward(self, message: Message) -> None:
        """Forwards a broadcast to this aggregator's members, once."""
        if self._last_forwarded and is_superseded(
            message, self._last_forwarded
        ):
            return
        self._last_forwarded = message
        members = self._aggregator.members(self._clock())
        others = [host for host in members if host != message.host]
        self._peers.post(message, others)

    def live(self, now_s: float) -> list[HostId]:
        """Returns the other hosts that are known to be responsive."""
        if now_s - self._last_summary_s > MEMBER_MAX_AGE_S:
            return self._peers.live(now_s)
        excluded = {*self._unresponsive, self._local_host}
        return [host for host in self._peers.rows if host not in excluded]

    def live_links_mbps(self, now_s: float) -> dict[HostId, float]:
        """Returns the link bandwidth of each responsive other host."""
        rows = self._peers.rows
        return {
            host: rows[host].link_mbps if host in rows else 0.0
            for host in self.live(now_s)
        }

    @property
    def is_reader(self) -> bool:
        """Whether this host is its own aggregator or has none.

        Such a host reads the upstreams table, and relays it to its members.
        """
        return self.aggregator in (None, self._local_host)

    def members(self) -> list[HostId]:
        """Returns the other hosts that use this one as their aggregator."""
        members = self._aggregator.members(self._clock())
        return [host for host in members if host != self._local_host]

    async def run(self) -> None:
        """Sends summaries and batches as an aggregator until cancelled."""
        while True:
            members = self._aggregator.members(self._clock())
            await anyio.sleep(
                BATCH_INTERVAL_S if members else SUMMARY_INTERVAL_S
            )
            self.step()

    def step(self) -> None:
        """Sends the pending notices, and the summaries if they are due."""
        now_s = self._clock()
        if not self._aggregator.members(now_s):
            self._aggregator.take_pending()
            return
        # Batches go first, as the summaries include the pending notices.
        self._send_batches(now_s)
        if now_s >= self._summaries_due_s:
            self._summaries_due_s = now_s + SUMMARY_INTERVAL_S
            self._send_summaries(now_s)

    def _apply_from_member(
        self, message: LoadDigest | SendNotice, now_s: float
    ) -> None:
        if isinstance(message, LoadDigest):
            self._aggregator.apply_digest(message, now_s)
        else:
            self._aggregator.apply_send(message, now_s)

    def _apply_summary(self, summary: LoadSummary, now_s: float) -> None:
        self._choice.record_summary(summary.host, now_s)
        self._unresponsive = summary.silent
        self._last_summary_s = now_s
        self._apply_read_progress(summary.rows_read)
        summary = msgspec.structs.replace(summary, host=_ALL_OTHERS)
        self._apply_digest(summary, now_s)

    def _apply_read_progress(self, progress: ReadProgress | None) -> None:
        if progress is not None:
            self._record_read_progress(progress)

    def _apply_batch(self, batch: SendBatch, now_s: float) -> None:
        batch = msgspec.structs.replace(batch, host=_ALL_OTHERS)
        for notice in batch.notices():
            self._apply_send(notice, now_s)

    # As an aggregator.

    def _send_batches(self, now_s: float) -> None:
        from_members, from_domains = self._aggregator.take_pending()
        if from_members:
            batch = SendBatch(sends=_to_sends(from_members), is_summary=False)
            self._post(batch, self._other_aggregators(now_s))
        if not from_members and not from_domains:
            return
        members = self._aggregator.members(now_s)
        senders = {notice.host for notice in from_members}
        rest = [host for host in members if host not in senders]
        self._post_batch([*from_members, *from_domains], rest, now_s)
        for sender in senders.intersection(members):
            received = [
                notice for notice in from_members if notice.host != sender
            ]
            self._post_batch([*received, *from_domains], [sender], now_s)

    def _post_batch(
        self, notices: list[SendNotice], hosts: list[HostId], now_s: float
    ) -> None:
        if not notices:
            return
        batch = SendBatch(sends=_to_sends(notices), is_summary=True)
        batch = self._post(batch, hosts)
        if self._local_host in hosts:
            self._apply_batch(batch, now_s)

    def _send_summaries(self, now_s: float) -> None:
        progress = self._get_read_progress()
        loads = self._aggregator.domain_loads(now_s, progress)
        self._post(loads, self._other_aggregators(now_s))
        for host, summary in self._aggregator.summaries(
            self._peers.rows, now_s, progress
        ):
            summary = self._post(summary, [host])
            if host == self._local_host:
                self._apply_summary(summary, now_s)

    def _other_aggregators(self, now_s: float) -> set[HostId]:
        hosts = {
            host
            for host, last_seen_s in self._aggregator.aggregators_seen_s.items()
            if now_s - last_seen_s <= MEMBER_MAX_AGE_S
        }
        domains = {row.failure_domain for row in self._peers.rows.values()}
        for domain in domains:
            links_mbps = self._links_of(domain)
            hosts.update(
                rank_aggregators(domain, links_mbps, CANDIDATES_PER_DOMAIN)
            )
        return hosts - {self._local_host}

    def _links_of(self, domain: DomainId) -> dict[HostId, float]:
        return {
            host: row.link_mbps
            for host, row in self._peers.rows.items()
            if row.failure_domain == domain
        }


def _to_sends(notices: Iterable[SendNotice]) -> tuple:
    return tuple((notice.upstream, notice.prompt_tokens) for notice in notices)
