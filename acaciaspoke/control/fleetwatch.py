"""Watches the upstreams, and notifies peers and entry processes."""

import functools
import random
import time
from collections.abc import Callable, Iterable

import anyio
import msgspec

from acaciaspoke.clients.hosts import HostsClient
from acaciaspoke.config.schema import Config
from acaciaspoke.control.hostlist import HostListWatch
from acaciaspoke.control.membership import Membership
from acaciaspoke.control.polling import (
    HOST_LIST_INTERVAL_S,
    Poller,
    fetch_host_list,
)
from acaciaspoke.control.reports import ReportDistributor
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.ids import Address
from acaciaspoke.net.messages import (
    ConnectionLost,
    Message,
    Outgoing,
    UpstreamLoads,
    UpstreamPull,
    UpstreamReports,
)
from acaciaspoke.net.records import UpstreamView
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.rendezvous import choose
from acaciaspoke.util.tasks import run_logging_errors

POLL_CHECK_INTERVAL_S = 0.2

# Messages to entry processes may be dropped, so all views are sent again
# periodically.
REFRESH_INTERVAL_S = 5.0

# Longer than a tick, as comparing hundreds of members with the last list takes
# some time.
MEMBERS_INTERVAL_S = 1.0

# Hosts per failure domain that fetch the platform's host list.
HOST_LIST_READERS = 3


class _SentState(msgspec.Struct):
    """What was last sent to an entry process.

    Attributes:
        change: The number of the last change sent.
        refreshed_s: When all views were last sent.
    """

    change: int = 0
    refreshed_s: float = float("-inf")


class FleetWatch:
    """The upstreams as this host sees them, and the tasks that update them.

    Attributes:
        upstreams: The state of the upstreams.
    """

    def __init__(
        self,
        membership: Membership,
        hosts: HostsClient | None,
        send: Callable[[Iterable[Outgoing]], None],
        metrics: Metrics,
        rng: random.Random,
    ):
        me = membership.me
        self.upstreams = Upstreams(me.host, me.failure_domain, rng)
        self._membership = membership
        self._hosts = hosts
        self._send = send
        self._config = Config()
        self._list_watch = HostListWatch()
        self._distributor = ReportDistributor(me, self.upstreams, rng)
        self._metrics = metrics
        self._poller = Poller(self.upstreams, metrics)
        self._sent: dict[Address, _SentState] = {}
        self._members_due_s = float("-inf")

    def set_config(self, config: Config, now_s: float) -> None:
        """Applies a new configuration version."""
        self._config = config
        self.upstreams.set_config(config.upstreams, now_s)

    def handle(self, message: Message, now_s: float) -> bool:
        """Handles a message about upstreams; returns whether it was one."""
        match message:
            case UpstreamReports():
                self._distributor.on_reports(message, now_s)
            case UpstreamLoads():
                self._send(self._distributor.on_loads(message, now_s))
            case UpstreamPull():
                self._send(self._distributor.on_pull(message, now_s))
            case ConnectionLost():
                self.upstreams.on_connection_lost(message, now_s)
            case _:
                return False
        return True

    def tick(self, entries: Iterable[Address], now_s: float) -> None:
        """Runs the periodic work; has to be called several times a second."""
        if now_s >= self._members_due_s:
            self._members_due_s = now_s + MEMBERS_INTERVAL_S
            live = self._membership.live()
            self.upstreams.set_members(live)
            self._distributor.set_members(live)
        self.upstreams.rank_pollers()
        self.upstreams.on_notices(self._membership.notices())
        contacts = self._membership.foreign_contacts()
        self._send(self._distributor.tick(contacts, now_s))
        self._send_views(entries, now_s)

    def _send_views(self, entries: Iterable[Address], now_s: float) -> None:
        entries = list(entries)
        self._sent = {
            address: self._sent.get(address, _SentState())
            for address in entries
        }
        count = self._membership.entry_processes()
        for address, sent in self._sent.items():
            if now_s - sent.refreshed_s >= REFRESH_INTERVAL_S:
                sent.change, sent.refreshed_s = 0, now_s
            views, sent.change = self.upstreams.fleet_views(
                sent.change, count, now_s
            )
            if views[0].upstreams:
                self._send(Outgoing(address, view) for view in views)

    def on_entry_restarted(self, entry: Address) -> None:
        """Sends all views again to an entry process that restarted."""
        self._sent.pop(entry, None)

    def views(self, now_s: float) -> list[UpstreamView]:
        """Returns the views of the configured upstreams."""
        return [
            self.upstreams.view(upstream, now_s)
            for upstream in self._config.upstreams
        ]

    async def poll(self) -> None:
        """Polls upstreams until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now_s = time.monotonic()
                for upstream in self.upstreams.polls_due(now_s):
                    address = self._config.upstreams[upstream].address
                    step = functools.partial(
                        self._poller.poll, upstream, address
                    )
                    tasks.start_soon(run_logging_errors, step, self._metrics)
                await self._poller.close_unused(
                    self._config.upstreams[upstream].address
                    for upstream in (
                        *self.upstreams.polled(),
                        *self.upstreams.rechecked(),
                    )
                )
                await anyio.sleep(POLL_CHECK_INTERVAL_S)

    async def watch_host_list(self) -> None:
        """Fetches the platform's host list until cancelled."""
        while self._hosts is not None:
            if self._reads_host_list():
                entries = await fetch_host_list(self._hosts)
                if entries is not None:
                    self._membership.record_leaving_notices(
                        self._list_watch.on_list(
                            entries,
                            self._config.upstreams,
                            self._membership.notices(),
                            time.monotonic(),
                        )
                    )
            await anyio.sleep(HOST_LIST_INTERVAL_S)

    def _reads_host_list(self) -> bool:
        hosts = [member.host for member in self._membership.live()]
        return self._membership.me.host in choose(
            "hosts", hosts, HOST_LIST_READERS
        )
