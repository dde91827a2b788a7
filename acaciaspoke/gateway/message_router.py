"""Delivers the messages of other hosts to the parts of a gateway."""

import time
from collections.abc import Callable

from loguru import logger

from acaciaspoke.gateway.configuration_relay import ConfigurationRelay
from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.exchange import RequestHandler
from acaciaspoke.gateway.known_leader import KnownLeader
from acaciaspoke.gateway.leader import Leader
from acaciaspoke.gateway.limit_exchange import LimitExchange
from acaciaspoke.gateway.loadexchange import LoadExchange
from acaciaspoke.gateway.messages import (
    DemandDigest,
    LimitGrant,
    LimitRequest,
    LoadDigest,
    Message,
    PlaceGrant,
    PlacementNotice,
    PlaceReport,
    QuotaAnswer,
    QuotaAsk,
    QuotaSettlement,
    ReadProgress,
    RowAnswer,
    RowChanges,
    RowRequest,
    SendBatch,
    SendNotice,
)
from acaciaspoke.gateway.peer_lease_table import PeerLeaseTable
from acaciaspoke.gateway.peer_records.messages import RecordKept
from acaciaspoke.gateway.place_exchange import PlaceExchange
from acaciaspoke.gateway.quotas import QuotaExchange
from acaciaspoke.gateway.rowrelay import RowRelay
from acaciaspoke.gateway.table_follower import ConfigurationLag
from acaciaspoke.gateway.upstream_notices import (
    log_brittle_change,
    log_change,
)
from acaciaspoke.ids import HostId
from acaciaspoke.platform.versions import era_of


class MessageRouter:
    """Knows which part each message is for."""

    def __init__(
        self,
        host: str,
        *,
        dispatcher: Dispatcher,
        request_handler: RequestHandler,
        leader: Leader,
        known_leader: KnownLeader,
        loads: LoadExchange,
        limits: LimitExchange,
        places: PlaceExchange,
        quotas: QuotaExchange,
        row_relay: RowRelay,
        configuration_relay: ConfigurationRelay,
        peer_lease_table: PeerLeaseTable,
        configuration_lag: ConfigurationLag,
        record_store_era: Callable[[int], None],
        on_lag: Callable[[HostId], None],
    ):
        """Creates a router.

        Args:
            host: The name of this host.
            dispatcher: Gets loads and placements.
            request_handler: Gets the crashes that other hosts have seen.
            leader: Gets demand, and the row of the lease from its holder.
            known_leader: Tells which notices count.
            loads: Gets loads, and forwards notices.
            limits: Gets asks and tokens for limited upstreams.
            places: Gets reports and grants of places at brittle upstreams.
            quotas: Gets asks and answers about quotas of workspaces.
            row_relay: Gets changes of the upstreams' table.
            configuration_relay: Passes configurations on.
            peer_lease_table: Calls the store for other hosts.
            configuration_lag: Finds that this host's configuration is old.
            record_store_era: Called with each era that another host knows.
            on_lag: Called with a host whose configuration is newer.
        """
        self._host = host
        self._dispatcher = dispatcher
        self._request_handler = request_handler
        self._leader = leader
        self._known_leader = known_leader
        self._loads = loads
        self._limits = limits
        self._places = places
        self._quotas = quotas
        self._row_relay = row_relay
        self._configuration_relay = configuration_relay
        self._peer_lease_table = peer_lease_table
        self._configuration_lag = configuration_lag
        self._record_store_era = record_store_era
        self._on_lag = on_lag

    def handle(self, message: Message) -> None:
        """Delivers one message."""
        now_s = time.monotonic()
        match message:
            case LoadDigest() | SendNotice() | SendBatch():
                self._loads.handle(message, now_s)
            case LimitRequest() | LimitGrant():
                self._limits.handle(message)
            case PlaceReport() | PlaceGrant():
                self._places.handle(message)
            case QuotaAsk() | QuotaAnswer() | QuotaSettlement():
                self._quotas.handle(message)
            case RowChanges():
                self._row_relay.apply(message)
            case DemandDigest():
                self._leader.apply_demand(message)
            case PlacementNotice():
                self._loads.forward(message)
                self.apply_notice(message, now_s)
            case RowRequest():
                if not self._configuration_relay.handle_request(message):
                    self._peer_lease_table.enqueue_request(message)
            case RowAnswer():
                if not self._configuration_relay.handle_answer(message):
                    self._peer_lease_table.handle_answer(message)
            case RecordKept():
                self._peer_lease_table.handle_kept(message)

    def apply_digest(self, digest: LoadDigest, now_s: float) -> None:
        """Applies the loads and the crashes that a host reports."""
        self._dispatcher.fleet.peer_loads.apply_digest(digest, now_s)
        for change in self._dispatcher.fleet.limits.apply_reports(
            digest.limits, now_s
        ):
            log_change(change, f"host {digest.host}")
        for change in self._dispatcher.fleet.brittle.named.apply_reports(
            digest.brittle, now_s
        ):
            log_brittle_change(change, f"host {digest.host}")
        self._dispatcher.fleet.slowdowns.apply_reports(digest.slowdowns, now_s)
        self._dispatcher.fleet.holdings.apply_reports(
            digest.held_parts, self._dispatcher.fleet.upstreams, now_s
        )
        self._request_handler.crash_guard.requests.apply_counts(
            digest.host, digest.crashes, now_s
        )
        self._request_handler.crash_guard.parts.apply_evidence(
            digest.host, digest.suspected_parts, now_s
        )
        if self._configuration_lag.observe(digest.configuration, now_s):
            logger.info(
                "host {} has configuration {}; reading it again",
                digest.host,
                digest.configuration,
            )
            self._on_lag(digest.host)
        self._request_handler.dispatch()

    def record_read_progress(self, progress: ReadProgress) -> None:
        """Records how current the upstreams' table of a host is."""
        self._record_store_era(era_of(progress.newest_version))
        self._row_relay.record_peer_read(progress)

    def apply_notice(self, notice: PlacementNotice, now_s: float) -> None:
        """Applies a notice of the leader, also of this host."""
        self._record_store_era(notice.lease_era)
        if not self._known_leader.observe(notice, now_s):
            return
        if notice.host != self._host:
            self._leader.observe_notice(notice)
        self._dispatcher.fleet.apply_notice(notice, now_s)
        self._request_handler.dispatch()
