"""The entry process: connects its components and runs its tasks."""

import random
import time
import uuid

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import TableClient
from acaciaspoke.config.errors import ConfigLogError
from acaciaspoke.config.rows import apply_pushed
from acaciaspoke.config.schema import Config
from acaciaspoke.entry.app import EntryApp
from acaciaspoke.entry.claims import Claims
from acaciaspoke.entry.crashes import CrashDetector
from acaciaspoke.entry.dispatch import Dispatcher
from acaciaspoke.entry.exchange import Hooks, RequestHandler
from acaciaspoke.ids import BootId, ClaimId
from acaciaspoke.net.mailbox import Mailbox, receive_forever
from acaciaspoke.net.messages import (
    ConfigPush,
    Demand,
    EntryHello,
    FleetView,
    Message,
    SuspicionAck,
    SuspicionNotice,
    Windows,
    WindowsRequest,
)
from acaciaspoke.report.histograms import ServiceWindows
from acaciaspoke.settings import EntrySettings, Settings
from acaciaspoke.util.drain import Drain, stop_on_signals
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.server import HttpServer

HELLO_INTERVAL_S = 1.0

# Interval of reports of demand, including artifacts without a live replica.
DEMAND_INTERVAL_S = 0.25

# Interval of checks for queued requests whose deadline has passed.
EXPIRY_INTERVAL_S = 0.1
CLEAN_UP_INTERVAL_S = 10.0


class EntryProcess:
    """The components of an entry process, and its message handling."""

    def __init__(
        self,
        settings: Settings,
        entry: EntrySettings,
        mailbox: Mailbox,
        table: TableClient,
        metrics: Metrics,
    ):
        self.drain = Drain()
        self._settings = settings
        self._entry = entry
        self._mailbox = mailbox
        self._metrics = metrics
        self._boot = BootId(uuid.uuid4().hex)
        self._dispatcher = Dispatcher(settings.domain_id, random.Random())
        self._windows = ServiceWindows()
        self._window_requests, self._window_inbox = (
            anyio.create_memory_object_stream[WindowsRequest](16)
        )
        self.claims = Claims(
            table,
            metrics,
            owner=f"{settings.host}/{self._boot}",
            new_id=lambda: ClaimId(uuid.uuid4().hex),
            now=time.monotonic,
            wall_now=time.time,
        )
        self._crash_detector = CrashDetector(
            self._dispatcher, self._post, entry.mailbox
        )
        self.request_handler = RequestHandler(
            self._dispatcher,
            self.claims,
            self._windows,
            Hooks(
                self._crash_detector.check,
                self._crash_detector.report_connection_lost,
                self._crash_detector.publish,
            ),
            metrics,
        )
        self.app = EntryApp(
            config=lambda: self._dispatcher.config,
            is_ready=lambda: self.is_ready,
            is_draining=lambda: not self.drain.serving,
            serve=self.request_handler.serve,
            metrics=metrics,
            max_body_bytes=entry.max_body_bytes,
            max_requests=entry.max_requests,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests."""
        return self.drain.serving and self._dispatcher.config is not None

    def handle(self, message: Message) -> None:
        """Handles a message from the control process."""
        now_s = time.monotonic()
        match message:
            case ConfigPush():
                self._apply_config(message)
            case FleetView():
                self._dispatcher.set_fleet(message, now_s)
                self.request_handler.dispatch()
            case SuspicionNotice():
                self._dispatcher.merge_suspicions(message.suspicions, now_s)
                self.request_handler.dispatch()
            case SuspicionAck():
                self._crash_detector.record_acknowledgement(message.sequence)
            case WindowsRequest():
                self._queue_window_request(message)
            case _:
                logger.warning("unexpected message {}", type(message).__name__)

    def _apply_config(self, push: ConfigPush) -> None:
        try:
            config = apply_pushed(self._dispatcher.config or Config(), push)
        except (ConfigLogError, msgspec.DecodeError) as error:
            # A newer release may send fields that this one cannot decode. The
            # current configuration then stays in force.
            self._metrics.count("entry.config_refused")
            logger.error("cannot apply a pushed configuration: {}", error)
            return
        if config.version == Config().version:
            # The sender may not send its snapshot yet; the next hello requests
            # it again.
            logger.info(
                "configuration version {} not received yet", push.version
            )
            return
        if self._dispatcher.set_config(config):
            logger.info("configuration version {} is in force", config.version)
            self._send_hello()
            self.request_handler.dispatch()

    def _queue_window_request(self, request: WindowsRequest) -> None:
        try:
            self._window_requests.send_nowait(request)
        except anyio.WouldBlock:
            self._metrics.count("entry.window_request_dropped")

    async def send_windows(self) -> None:
        """Answers requests for service-level windows."""
        async for request in self._window_inbox:
            now_s = time.monotonic()
            windows = await self._windows.collect(now_s)
            self._mailbox.post(
                request.reply_to,
                Windows(
                    sender=self._entry.mailbox,
                    sequence=request.sequence,
                    windows=windows,
                    trends=tuple(self._windows.trends(now_s)),
                ),
            )

    async def send_hellos(self) -> None:
        """Sends hellos to the control process and records gauges."""
        while True:
            self._send_hello()
            queued = self._dispatcher.queued()
            self._metrics.gauge("entry.queued", sum(queued.values()))
            self._metrics.gauge("entry.in_flight", self._dispatcher.in_flight)
            await anyio.sleep(HELLO_INTERVAL_S)

    def _send_hello(self) -> None:
        config = self._dispatcher.config
        self._post(
            EntryHello(
                address=self._entry.mailbox,
                boot=self._boot,
                config_version=config.version if config else Config().version,
                queued=self._dispatcher.queued(),
                in_flight=self._dispatcher.in_flight,
                draining=not self.drain.serving,
            )
        )

    async def report_demand(self) -> None:
        """Reports demand for artifacts to the control process."""
        while True:
            await anyio.sleep(DEMAND_INTERVAL_S)
            arrivals, cold = self._dispatcher.collect_demand()
            if arrivals or cold:
                self._post(
                    Demand(
                        sender=self._entry.mailbox,
                        arrivals=arrivals,
                        cold=cold,
                        interval_s=DEMAND_INTERVAL_S,
                    )
                )

    async def expire_requests(self) -> None:
        """Drops queued requests whose deadline has passed."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self.request_handler.dispatch()

    async def clean_up(self) -> None:
        """Removes old suspicions and connections to removed upstreams."""
        while True:
            await anyio.sleep(CLEAN_UP_INTERVAL_S)
            self._dispatcher.suspects.expire(time.monotonic())
            if self._dispatcher.config is not None:
                upstreams = self._dispatcher.config.upstreams.values()
                await self.request_handler.close_unused(
                    upstream.address for upstream in upstreams
                )

    def _post(self, message: Message) -> bool:
        return self._mailbox.post(self._settings.control.mailbox, message)


async def run_entry(settings: Settings, index: int) -> None:
    """Runs an entry process until it is stopped and has drained.

    Args:
        settings: The settings of the host.
        index: The index of the entry process among those of the host.

    Raises:
        MailboxError: If the mailbox address is in use.
        ServerError: If the address for callers is in use.
    """
    entry = settings.entry[index]
    metrics = Metrics(settings.statsd)
    platform = settings.platform
    with Mailbox(entry.mailbox, metrics) as mailbox:
        async with TableClient(
            platform.table, platform.timeout_s, metrics
        ) as table:
            process = EntryProcess(settings, entry, mailbox, table, metrics)
            await _run_tasks(process, entry, mailbox)


async def _run_tasks(
    process: EntryProcess, entry: EntrySettings, mailbox: Mailbox
) -> None:
    server = HttpServer(process.app, entry.listen)
    async with anyio.create_task_group() as background:
        await background.start(process.claims.run)
        background.start_soon(stop_on_signals, process.drain)
        background.start_soon(receive_forever, mailbox, process.handle)
        background.start_soon(process.send_hellos)
        background.start_soon(process.report_demand)
        background.start_soon(process.expire_requests)
        background.start_soon(process.clean_up)
        background.start_soon(process.send_windows)
        background.start_soon(
            process.drain.run, entry.drain_notice_s, server.stop
        )
        logger.info("accepting callers on {}", entry.listen)
        await server.serve()
        process.drain.record_idle()
        await _flush_claims(process.claims)
        await process.request_handler.aclose()
        logger.info("stopped")
        background.cancel_scope.cancel()


async def _flush_claims(claims: Claims) -> None:
    # Keys with writes still pending after the timeout stay claimed, which is
    # safe.
    with anyio.move_on_after(FLUSH_TIMEOUT_S):
        while claims.pending_writes:
            await anyio.sleep(0.02)


FLUSH_TIMEOUT_S = 30.0
