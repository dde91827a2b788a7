"""The control process: connects its parts and dispatches messages to them."""

import random
import time
import uuid
from collections.abc import Iterable

import msgspec
from loguru import logger

from acaciaspoke.clients.hosts import HostsClient
from acaciaspoke.clients.objects import ObjectsClient
from acaciaspoke.clients.table import TableClient
from acaciaspoke.config.rows import apply_row
from acaciaspoke.config.store import ConfigStore
from acaciaspoke.control.admin import admin_app
from acaciaspoke.control.burn import BurnCollector
from acaciaspoke.control.configtask import ConfigTask
from acaciaspoke.control.configwatch import ConfigWatch
from acaciaspoke.control.demand import DemandSum
from acaciaspoke.control.domain_query import DomainCollector
from acaciaspoke.control.entry_processes import EntryProcesses
from acaciaspoke.control.fleetwatch import FleetWatch
from acaciaspoke.control.leasetask import LeaseTask
from acaciaspoke.control.membership import Membership
from acaciaspoke.control.operations import AdminOperations
from acaciaspoke.control.planning import DomainPlanner
from acaciaspoke.control.sweep import sweep_claims
from acaciaspoke.entry.suspects import merge_suspicions
from acaciaspoke.ids import Address, BootId, ConfigVersion, HostId
from acaciaspoke.net.mailbox import Mailbox
from acaciaspoke.net.messages import (
    Ack,
    ConfigPull,
    ConfigPush,
    Demand,
    DomainAnswer,
    DomainRequest,
    EntryHello,
    HostEntries,
    Message,
    Outgoing,
    Ping,
    PingRequest,
    SuspicionAck,
    SuspicionNotice,
    Windows,
    WindowsRequest,
)
from acaciaspoke.net.records import Member
from acaciaspoke.settings import Settings
from acaciaspoke.util.drain import Drain
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.tasks import run_periodically

# Below the timeout of a direct probe. A shorter interval would cost an idle
# host more CPU time than all its messages.
TICK_INTERVAL_S = 0.2


class ControlProcess:
    """The parts of a control process and their message handling."""

    def __init__(
        self,
        settings: Settings,
        mailbox: Mailbox,
        table: TableClient,
        objects: ObjectsClient | None,
        hosts: HostsClient | None,
        metrics: Metrics,
    ):
        now_s = time.monotonic()
        rng = random.Random()
        self.drain = Drain()
        self._settings = settings
        self._mailbox = mailbox
        self._table = table
        store = ConfigStore(table, objects, metrics)
        self._store = store
        self._metrics = metrics
        self._entries = EntryProcesses()
        self._demand_sum = DemandSum()
        self._distributed_version = ConfigVersion(0)
        me = Member(
            host=settings.host_id,
            boot=BootId(uuid.uuid4().hex),
            failure_domain=settings.domain_id,
            address=settings.control.mailbox,
            admin_address=settings.control.listen,
        )
        self._membership = Membership(
            me, settings.control.seeds, rng, merge_suspicions, now_s
        )
        self._watch = ConfigWatch(
            settings.host_id, settings.control.mailbox, apply_row, rng, now_s
        )
        self.config_task = ConfigTask(
            store,
            self._watch,
            self._membership,
            self.send,
            self._on_config_changed,
        )
        self.fleet = FleetWatch(
            self._membership, hosts, self.send, metrics, rng
        )
        self.lease_task = LeaseTask(
            self._membership, table, settings.control.lease_s, rng
        )
        self.planner = DomainPlanner(
            settings.domain_id,
            self.lease_task.lease,
            table,
            self.fleet.upstreams,
            lambda: self._membership.live_domains(time.monotonic()),
            metrics,
        )
        self._burn = BurnCollector(mailbox, settings.control.mailbox)
        self._domains = DomainCollector(mailbox, settings.control.mailbox)
        operations = AdminOperations(
            store=store,
            watch=self._watch,
            config_task=self.config_task,
            membership=self._membership,
            fleet=self.fleet,
            entries=self._entries,
            burn=self._burn,
            domains=self._domains,
            local_answer=lambda: self._domain_answer(0),
            drain=self.drain,
        )
        self.app = admin_app(
            operations.functions(), settings.control.admin_token_sha256
        )

    def send(self, outgoing: Iterable[Outgoing]) -> None:
        """Posts the messages that a decision module returned."""
        for item in outgoing:
            self._mailbox.post(item.address, item.message)

    def handle(self, message: Message) -> None:
        """Handles a message from a peer or an entry process."""
        now_s = time.monotonic()
        match message:
            case Ping():
                self.send(self._membership.on_ping(message, now_s))
                self.send(self._watch.on_peer_version(message.sender, now_s))
            case Ack():
                self.send(self._membership.on_ack(message, now_s))
                self.send(self._watch.on_peer_version(message.sender, now_s))
            case PingRequest():
                self.send(self._membership.on_ping_request(message, now_s))
            case ConfigPull():
                self.send(self._watch.on_pull(message, now_s))
            case ConfigPush():
                live = self._membership.live()
                self.send(self._watch.on_push(message, live, now_s))
                self._on_config_changed()
            case EntryHello():
                self._handle_hello(message, now_s)
            case SuspicionNotice():
                self._handle_suspicions(message, now_s)
            case Demand():
                self._handle_demand(message, now_s)
            case WindowsRequest():
                self._burn.forward(
                    message,
                    self._settings.host_id,
                    self._entries.addresses(),
                )
            case DomainRequest():
                answer = self._domain_answer(message.sequence)
                self._mailbox.post(message.reply_to, answer)
            case DomainAnswer():
                self._domains.record_answer(message)
            case HostEntries():
                self._burn.record_entries(message)
            case Windows():
                self._burn.record_windows(message)
            case _:
                if not self.fleet.handle(message, now_s):
                    logger.warning(
                        "unexpected message {}", type(message).__name__
                    )

    def _handle_hello(self, hello: EntryHello, now_s: float) -> None:
        if self._entries.record_hello(hello, now_s):
            logger.info("entry process {} has started", hello.address)
            self.fleet.on_entry_restarted(hello.address)
            self._send_suspicions([hello.address], now_s)
        if hello.config_version < self._watch.version:
            self._send_missing_config(hello)
        self._announce_entries()

    def _announce_entries(self) -> None:
        self._membership.set_entry_processes(self._entries.count())
        # A version counts as in force on a host when all its processes have it.
        self._membership.set_config_version(
            self._entries.lowest_version(self._watch.version)
        )

    def _send_missing_config(self, hello: EntryHello) -> None:
        pull = ConfigPull(
            reply_to=hello.address, after_version=hello.config_version
        )
        self.send(self._watch.on_pull(pull, time.monotonic()))

    def _on_config_changed(self) -> None:
        """Distributes the version in force if it has changed."""
        if self._watch.version == self._distributed_version:
            return
        self._distributed_version = self._watch.version
        logger.info("configuration version {} is in force", self._watch.version)
        self._metrics.gauge("control.config_version", self._watch.version)
        self._store.adopt_config(self._watch.config)
        self._membership.set_upstreams(self._watch.config.upstreams)
        self.fleet.set_config(self._watch.config, time.monotonic())
        self.planner.set_config(self._watch.config)
        for hello in self._entries.hellos():
            self._send_missing_config(hello)

    def _domain_answer(self, sequence: int) -> DomainAnswer:
        lease = self.lease_task.lease
        return DomainAnswer(
            failure_domain=self._settings.domain_id,
            sequence=sequence,
            members=tuple(self._membership.known()),
            lease_holder=lease.holder or HostId(""),
            lease_epoch=lease.highest_known_epoch,
        )

    def _handle_demand(self, demand: Demand, now_s: float) -> None:
        """Applies demand to the plan as the lease holder, else aggregates it.

        Demand of local entry processes is added up; demand of another failure
        domain is forwarded to the lease holder.
        """
        lease = self.lease_task.lease
        if lease.is_held(now_s):
            self.planner.record_demand(demand)
            if not demand.is_foreign and not self.planner.has_engines():
                self._forward_to_foreign_domains(demand)
        elif demand.sender in self._entries.addresses():
            self._demand_sum.add(demand)
        elif demand.is_foreign:
            self._forward_to_lease_holder(demand)

    def _forward_to_foreign_domains(self, demand: Demand) -> None:
        # The mark keeps two domains without engines from sending it back and
        # forth.
        foreign = msgspec.structs.replace(demand, is_foreign=True)
        for contact in self._membership.foreign_contacts():
            self._mailbox.post(contact.address, foreign)

    def _forward_to_lease_holder(self, demand: Demand) -> None:
        for member in self._membership.live():
            if member.host == self.lease_task.lease.holder:
                self._mailbox.post(member.address, demand)

    def _forward_demand(self, now_s: float) -> None:
        """Forwards the aggregated demand to the lease holder."""
        demand = self._demand_sum.collect(self._settings.control.mailbox, now_s)
        if demand is None:
            return
        if self.lease_task.lease.is_held(now_s):
            self._handle_demand(demand, now_s)
        else:
            self._forward_to_lease_holder(demand)

    def _handle_suspicions(self, notice: SuspicionNotice, now_s: float) -> None:
        self._membership.record_suspicions(notice.suspicions, now_s)
        self._send_suspicions(self._entries.addresses(), now_s)
        if not notice.reply_to:
            return
        # Crashes are rare and suspicions are urgent, so they are sent to every
        # host at once; gossip repeats them.
        forwarded = SuspicionNotice(suspicions=notice.suspicions)
        local_mailbox = self._settings.control.mailbox
        for member in self._membership.live():
            if member.address != local_mailbox:
                self._mailbox.post(member.address, forwarded)
        ack = SuspicionAck(sequence=notice.sequence)
        self._mailbox.post(notice.reply_to, ack)

    def _send_suspicions(
        self, addresses: Iterable[Address], now_s: float
    ) -> None:
        suspicions = tuple(self._membership.suspicions(now_s))
        if suspicions:
            for address in addresses:
                notice = SuspicionNotice(suspicions=suspicions)
                self._mailbox.post(address, notice)

    async def tick(self) -> None:
        """Runs the periodic work until cancelled."""
        await run_periodically(self._tick, TICK_INTERVAL_S, self._metrics)

    def _tick(self) -> None:
        now_s = time.monotonic()
        self.send(self._membership.tick(now_s))
        self._entries.expire(now_s)
        self._announce_entries()
        self.fleet.tick(self._entries.addresses(), now_s)
        self._forward_demand(now_s)

    async def sweep(self) -> None:
        """Deletes expired claims while this host holds the lease."""

        def is_holder() -> bool:
            return self.lease_task.lease.is_held(time.monotonic())

        await sweep_claims(self._table, is_holder, self._metrics)

    def leave(self) -> None:
        """Announces that this process stops."""
        self.send(self._membership.leave())
