"""The gateway process: creates its parts and runs their tasks."""

import functools
import random
import time
import uuid
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import anyio
import msgspec
from loguru import logger

from acaciaspoke import __version__
from acaciaspoke.gateway.app import GatewayApp
from acaciaspoke.gateway.bodies import MEMORY_SHARE, BodyMemory
from acaciaspoke.gateway.configuration_relay import ConfigurationRelay
from acaciaspoke.gateway.digests import DigestSender
from acaciaspoke.gateway.dispatch import Assignment, Dispatcher
from acaciaspoke.gateway.exchange import RequestHandler
from acaciaspoke.gateway.explain.handler import Explainer
from acaciaspoke.gateway.followers import make_followers
from acaciaspoke.gateway.forwarding import Forwarder, ForwardingHosts
from acaciaspoke.gateway.known_leader import KnownLeader
from acaciaspoke.gateway.leader import Leader
from acaciaspoke.gateway.leader_eligibility import LeaderEligibility
from acaciaspoke.gateway.link_prober import LinkProber
from acaciaspoke.gateway.load_reports import waiting_by_model
from acaciaspoke.gateway.loadexchange import LoadExchange
from acaciaspoke.gateway.message_router import MessageRouter
from acaciaspoke.gateway.messages import (
    Message,
    PlacementNotice,
    SendNotice,
)
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.peer_lease_table import PeerLeaseTable
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.gateway.quotas import QuotaGate
from acaciaspoke.gateway.registration import Registration
from acaciaspoke.gateway.registry import UpstreamRegistry
from acaciaspoke.gateway.reload import log_reloads
from acaciaspoke.gateway.replica_waits import MAX_GAP_S, ReplicaWaits
from acaciaspoke.gateway.retry_budget import RetryBudget
from acaciaspoke.gateway.rowrelay import RowRelay
from acaciaspoke.gateway.rows import (
    configuration_applier,
    confirmed_by_store,
    upstream_applier,
)
from acaciaspoke.gateway.servers import GatewayServers
from acaciaspoke.gateway.settings import GatewaySettings
from acaciaspoke.gateway.sharing import make_sharing
from acaciaspoke.gateway.stop_limit import limit_stop
from acaciaspoke.gateway.stream_store import StreamStore
from acaciaspoke.gateway.supervision import run_supervised
from acaciaspoke.gateway.table_follower import ConfigurationLag
from acaciaspoke.gateway.types import CallerLimits, Configuration
from acaciaspoke.gateway.upkeep import Upkeep
from acaciaspoke.ids import BootId, HostId
from acaciaspoke.platform.store import (
    HOSTS_TABLE,
    OPERATOR_TABLE,
    UPSTREAMS_TABLE,
    StoreClient,
)
from acaciaspoke.platform.workspaces import without_plain_keys
from acaciaspoke.util.drain import Drain, stop_on_signals
from acaciaspoke.util.log import LogWriter
from acaciaspoke.util.net import split_address

STORE_TIMEOUT_S = 1.0

# Hosts that are asked at once for a newer configuration.
MAX_ASKED_HOSTS = 3

# The balancer checks each second and stops sending after two failures.
DRAIN_NOTICE_S = 2.3

# How long the end of the process waits for calls that free copies of runs.
LAST_CALLS_S = 1.0


class GatewayProcess:
    """Creates the parts of a gateway, and runs them."""

    def __init__(
        self,
        settings: GatewaySettings,
        log_writer: LogWriter,
        settings_path: Path | None = None,
    ):
        self.drain = Drain()
        self._settings_path = settings_path
        self.metrics = GatewayMetrics()
        self._settings = settings
        self._boot = BootId(uuid.uuid4().hex[:12])
        self._sequence = 0
        self._started_s = time.monotonic()
        self._store = StoreClient(
            settings.store, STORE_TIMEOUT_S, self._on_store_restored
        )
        self._registration = Registration(settings, self._store)
        self._peers = Peers(
            settings.host_id,
            settings.address,
            settings.peer_port,
            lambda message: self._router.handle(message),
            self._registration.record_row,
        )
        self._dispatcher = Dispatcher(
            settings.domain_id,
            self._new_budget,
            store_era=lambda: self._store.era,
            view_age_s=lambda: self._row_relay.view_age_s(),
            choose_host=lambda request, now_s: self._forwarding_hosts.choose(
                request, now_s
            ),
        )
        self._forwarder = Forwarder(
            settings.host_id, lambda: self._peers.rows, self.metrics
        )
        self._forwarding_hosts = ForwardingHosts(
            settings.host_id,
            settings.domain_id,
            lambda: self._peers.rows,
            lambda now_s: self._loads.live(now_s),
            self._dispatcher.fleet.peer_loads.detached_hosts,
            self._dispatcher.fleet.peer_loads.stopping_hosts,
            lambda: bool(
                self.app.configuration and self.app.configuration.workspaces
            ),
        )
        self._streams = StreamStore(
            self._store,
            self._dispatcher.versions,
            self.metrics,
            is_leader=lambda: self._leader.holds_lease,
            commit_through_peers=lambda transaction: (
                self._peer_lease_table.commit_through_peers(transaction)
            ),
            has_other_hosts=self._peers.has_others,
        )
        self._registry = UpstreamRegistry(
            self._dispatcher.fleet,
            settings.drain_ms / 1000,
            settings.heartbeat_ms / 1000,
        )
        memory_bytes = settings.memory_mb * 1024 * 1024
        self._request_handler = RequestHandler(
            self._dispatcher,
            self.metrics,
            BodyMemory(int(MEMORY_SHARE * memory_bytes)),
            self._on_load_needed,
            self._on_sent,
            self._streams,
            self._forwarder,
            suspect_links=lambda: self._link_prober.suspect(),
            quotas=QuotaGate(
                lambda *ask: self._sharing.quotas.ask(*ask),
                lambda *tokens: self._sharing.quotas.give_back(*tokens),
                random.random,
            ),
        )
        self._link_prober = LinkProber(
            self._dispatcher.fleet.links,
            self._dispatcher.fleet.addresses,
            self._dispatcher.fleet.received_s,
            self._dispatcher.fleet.reachability.unconfirmed,
            self.metrics,
            self._on_links_changed,
            self._dispatcher.fleet.forget_failures,
        )
        self._configuration_lag = ConfigurationLag()
        apply_configuration = configuration_applier(
            lambda: self.app.configuration, self._activate
        )
        self._configuration_relay = ConfigurationRelay(
            settings.host_id, apply_configuration, self._post
        )
        self._known_leader = KnownLeader()
        self._peer_lease_table = PeerLeaseTable(
            self._store,
            settings.host_id,
            self._post,
            self._choose_peers,
            lambda: self._store.era,
            self._store.record_era,
            self._streams.adopt,
        )
        self._replica_waits = ReplicaWaits(
            self._dispatcher.fleet,
            lambda: waiting_by_model(self._dispatcher.waiting_requests),
            self._knows_replicas,
        )
        self._leader = Leader(
            settings,
            self._boot,
            self._peer_lease_table,
            self._dispatcher.fleet,
            self.metrics,
            self._broadcast_notice,
            repeats_changes=lambda: self._loads.is_direct,
            store_era=lambda: self._store.era,
            unserved_times_s=self._replica_waits.times_s,
        )
        self._loads = LoadExchange(
            settings.host_id,
            settings.domain_id,
            self._peers,
            self._post,
            lambda digest, now_s: self._router.apply_digest(digest, now_s),
            self._dispatcher.fleet.peer_loads.apply_send,
            prefill_tokens_per_s=self._dispatcher.fleet.prefill_tokens_per_s,
            get_read_progress=lambda: self._row_relay.progress(),
            record_read_progress=lambda progress: (
                self._router.record_read_progress(progress)
            ),
        )
        self._eligibility = LeaderEligibility(
            settings,
            self._dispatcher.fleet,
            self._peers,
            self._loads,
            self._known_leader,
            lease_holder=lambda: self._leader.lease.holder,
            is_ready=lambda: self.is_ready,
        )
        self._sharing = make_sharing(
            settings,
            self._boot,
            self._dispatcher,
            self.metrics,
            self._post,
            self._peers,
            self._loads,
            self._request_handler.dispatch,
        )
        self._upkeep = Upkeep(
            self._dispatcher,
            self._request_handler,
            self._registry,
            self._peers,
            self._link_prober,
            self._forwarder,
            self._eligibility.is_own_loss,
            self.metrics,
            log_writer,
        )
        self._row_relay = RowRelay(
            settings.drain_ms / 1000,
            follower=lambda: self._followers[UPSTREAMS_TABLE],
            is_reader=lambda: self._loads.is_reader,
            members=self._loads.members,
            post=self._post,
        )
        self._router = MessageRouter(
            settings.host,
            dispatcher=self._dispatcher,
            request_handler=self._request_handler,
            leader=self._leader,
            known_leader=self._known_leader,
            loads=self._loads,
            limits=self._sharing.limits,
            places=self._sharing.places,
            quotas=self._sharing.quotas,
            row_relay=self._row_relay,
            configuration_relay=self._configuration_relay,
            peer_lease_table=self._peer_lease_table,
            configuration_lag=self._configuration_lag,
            record_store_era=self._store.record_era,
            on_lag=self._request_configuration,
        )
        self._digests = DigestSender(
            settings.host_id,
            self._boot,
            self._next_sequence,
            self._dispatcher,
            self._request_handler.crash_guard.requests,
            self._request_handler.crash_guard.parts,
            self._leader,
            lambda: self._known_leader.host,
            lambda: self.app.configuration,
            self._peers,
            self._loads,
            lambda: self.is_detached,
            lambda: not self.drain.serving,
        )
        self._followers = make_followers(
            self._store,
            {
                OPERATOR_TABLE: confirmed_by_store(
                    apply_configuration, self._configuration_lag.record_read
                ),
                UPSTREAMS_TABLE: upstream_applier(
                    self._registry, self._on_upstreams_changed
                ),
                HOSTS_TABLE: self._peers.apply_rows,
            },
            self._on_store_failure,
            self.metrics,
            self._row_relay,
            drain_s=settings.drain_ms / 1000,
            count_hosts=lambda: len(self._peers.rows),
            is_reader=lambda: self._loads.is_reader,
        )
        self.app = GatewayApp(
            self._request_handler,
            self.metrics,
            ready_port=split_address(settings.ready_listen).port,
            metrics_port=settings.metrics_port,
            internal_port=settings.peer_port,
            is_ready=lambda: self.is_ready,
            is_draining=lambda: not self.drain.serving,
            is_detached=lambda: self.is_detached,
            before_exposition=lambda: self.metrics.set_slowdowns(
                self._dispatcher.fleet.slowdowns.mean_factors()
            ),
            may_be_outdated=lambda: self._configuration_lag.may_be_outdated(
                time.monotonic(), self._started_s, len(self._peers.rows)
            ),
        )
        self.app.explain = Explainer(
            settings.host_id,
            self.app,
            self._dispatcher,
            self._request_handler.crash_guard.parts,
            self._sharing.quotas.owner,
        )
        self._servers = GatewayServers(
            self.app, settings, self.limits, self.metrics
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests to this host."""
        return self.drain.serving and self.app.configuration is not None

    @property
    def is_detached(self) -> bool:
        """Whether this host serves no requests for other hosts."""
        return (
            self.app.configuration is None
            or self._dispatcher.fleet.links.is_cut_off(time.monotonic())
        )

    def limits(self) -> CallerLimits:
        """Returns the limits in force."""
        configuration = self.app.configuration
        return configuration.limits if configuration else CallerLimits()

    def _new_budget(self) -> RetryBudget:
        settings = self._settings
        return RetryBudget(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            lambda: max(len(self._peers.rows), 1),
        )

    def _activate(self, configuration: Configuration, value: bytes) -> None:
        self._configuration_relay.record(without_plain_keys(value))
        self._dispatcher.set_configuration(configuration)
        self._leader.set_configuration(configuration)
        self._sharing.quotas.set_configuration(configuration)
        self.app.set_configuration(configuration)
        self._configuration_lag.record_local_version(configuration.version)
        self.metrics.configuration.set(configuration.version)

    def _on_links_changed(self) -> None:
        if self._dispatcher.fleet.links.is_cut_off(time.monotonic()):
            self._request_handler.attempts.lost_attempts.end_silent()
        self._request_handler.dispatch()

    def _on_upstreams_changed(self) -> None:
        self._leader.wake()
        self._request_handler.dispatch()

    # Messages.

    def _request_configuration(self, host: HostId) -> None:
        """Reads the configuration again, as a host has a newer one."""
        follower = self._followers[OPERATOR_TABLE]
        follower.reread()
        if self._store.was_restored or follower.is_lost:
            # A sum of loads does not tell whose configuration is newer.
            self._configuration_relay.request(
                [host]
                if host in self._peers.rows
                else self._choose_peers(MAX_ASKED_HOSTS)
            )

    def _knows_replicas(self, now_s: float) -> bool:
        """Returns whether other hosts or the store tell of new replicas."""
        progress = self._row_relay.progress()
        is_read = progress is not None and progress.age_s <= MAX_GAP_S
        return is_read or bool(self._dispatcher.fleet.peer_loads.fresh(now_s))

    def _broadcast_notice(self, notice: PlacementNotice) -> None:
        notice = self._loads.broadcast(notice)
        self._router.apply_notice(notice, time.monotonic())

    def _post(self, message: Message, hosts: Iterable[HostId]) -> Message:
        """Sends a message with host, boot and sequence; returns it as sent."""
        message = msgspec.structs.replace(
            message,
            host=self._settings.host_id,
            boot=self._boot,
            sequence=self._next_sequence(),
        )
        self._peers.post(message, hosts)
        return message

    def _on_sent(self, assignment: Assignment) -> None:
        notice = SendNotice(
            upstream=assignment.upstream,
            prompt_tokens=assignment.request.uncached_tokens,
        )
        self._loads.send(notice)

    def _choose_peers(self, count: int) -> list[HostId]:
        live = self._loads.live(time.monotonic())
        return random.sample(live, min(count, len(live)))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _on_load_needed(self) -> None:
        self._digests.request_demand_digest()

    # Tasks.

    def _others_can_lead(self, now_s: float) -> bool:
        """Returns whether another host has links to upstreams and goes on."""
        return self._eligibility.others_can_lead(now_s)

    def _on_store_restored(self) -> None:
        """Discards what depends on versions of the store before the restore."""
        self.metrics.store_era.set(self._store.era)
        self._registry.record_store_failure(time.monotonic())
        self._registry.record_restore()
        self._leader.lease.on_table_restored()
        for follower in self._followers.values():
            follower.reread()
        self._streams.on_restored()

    def _on_store_failure(self) -> None:
        self._registry.record_store_failure(time.monotonic())

    def _end_unanswered(self) -> None:
        """Answers all open requests, as the process has to end now."""
        self.app.end_unanswered()
        self._servers.stop_for_hosts()

    async def run(self) -> None:
        """Serves until SIGTERM, then until the last request has ended."""
        async with self._store, anyio.create_task_group() as tasks:
            tasks.start_soon(stop_on_signals, self.drain)
            for name, run in self._background().items():
                tasks.start_soon(run_supervised, run, name, self.metrics)
            async with anyio.create_task_group() as serving:
                await self._servers.start(serving)
                logger.info("started", role="gateway", version=__version__)
                await self.drain.run(DRAIN_NOTICE_S, self._servers.stop)
            await self._leader.release_lease()
            await self._registration.remove()
            with anyio.move_on_after(LAST_CALLS_S):
                await self._request_handler.attempts.background.finish()
            self.drain.record_idle()
            logger.info("stopped")
            tasks.cancel_scope.cancel()

    def _background(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the tasks that run as long as the process, by name."""
        followers = {
            f"follower of {table}": follower.run
            for table, follower in self._followers.items()
        }
        return {
            **followers,
            "registration": self._registration.run,
            "peers": self._peers.run,
            "calls for peers": self._peer_lease_table.run,
            "digests": self._digests.run,
            "loads": self._loads.run,
            "limits": self._sharing.limits.run,
            "places": self._sharing.places.run,
            "quotas": self._sharing.quotas.run,
            "links": self._link_prober.run,
            "replica waits": self._replica_waits.run,
            "streams": self._streams.run,
            "background calls": self._request_handler.attempts.background.run,
            "upkeep": self._upkeep.run,
            "stop limit": functools.partial(
                limit_stop,
                self.drain,
                self._dispatcher.estimates,
                self._settings.stop_grace_s,
                self._end_unanswered,
            ),
            "reloads": functools.partial(
                log_reloads, self._settings, self._settings_path
            ),
            "planning": self._leader.run,
            "lease": self._keep_lease,
        }

    async def _keep_lease(self) -> None:
        await self._leader.keep_lease(
            self._eligibility.is_lease_candidate,
            self._eligibility.should_hand_over_lease,
        )


async def run_gateway(
    settings: GatewaySettings, log_writer: LogWriter, settings_path: Path
) -> None:
    """Runs a gateway process."""
    await GatewayProcess(settings, log_writer, settings_path).run()
