"""Runs a control process."""

import contextlib

import anyio
from loguru import logger

from acaciaspoke.clients.hosts import HostsClient
from acaciaspoke.clients.objects import ObjectsClient
from acaciaspoke.clients.table import TableClient
from acaciaspoke.control.process import ControlProcess
from acaciaspoke.net.mailbox import Mailbox, receive_forever
from acaciaspoke.settings import Settings
from acaciaspoke.util.drain import stop_on_signals
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.server import HttpServer

# Longest wait at a stop for the results of orders. Orders that take longer stay
# recorded as unresolved, and the next lease holder resolves them.
ORDER_RESULT_TIMEOUT_S = 20.0

# Time for the leave announcement to reach some peers.
LEAVE_ANNOUNCEMENT_S = 0.5


async def run_control(settings: Settings) -> None:
    """Runs the control process until a stop is requested.

    Raises:
        MailboxError: If the mailbox address is in use.
        ServerError: If the address of the administration API is in use.
    """
    metrics = Metrics(settings.statsd)
    platform = settings.platform
    async with contextlib.AsyncExitStack() as stack:
        mailbox = stack.enter_context(
            Mailbox(settings.control.mailbox, metrics)
        )
        table = await stack.enter_async_context(
            TableClient(platform.table, platform.timeout_s, metrics)
        )
        objects = hosts = None
        if platform.objects:
            objects = await stack.enter_async_context(
                ObjectsClient(
                    platform.objects,
                    platform.bucket,
                    platform.timeout_s,
                    metrics,
                )
            )
        if platform.hosts:
            hosts = await stack.enter_async_context(
                HostsClient(platform.hosts, platform.timeout_s, metrics)
            )
        process = ControlProcess(
            settings, mailbox, table, objects, hosts, metrics
        )
        await _run_tasks(process, settings, mailbox)


async def _run_tasks(
    process: ControlProcess, settings: Settings, mailbox: Mailbox
) -> None:
    server = HttpServer(process.app, settings.control.listen)
    async with anyio.create_task_group() as background:
        background.start_soon(stop_on_signals, process.drain)
        background.start_soon(receive_forever, mailbox, process.handle)
        background.start_soon(process.tick)
        background.start_soon(process.fleet.poll)
        background.start_soon(process.fleet.watch_host_list)
        background.start_soon(process.config_task.run)
        background.start_soon(process.lease_task.run)
        background.start_soon(process.planner.run)
        background.start_soon(process.sweep)
        background.start_soon(process.drain.run, 0.0, server.stop)
        logger.info("administration API on {}", settings.control.listen)
        await server.serve()
        process.drain.record_idle()
        await process.planner.stop(ORDER_RESULT_TIMEOUT_S)
        await process.lease_task.release()
        process.leave()
        await anyio.sleep(LEAVE_ANNOUNCEMENT_S)
        logger.info("stopped")
        background.cancel_scope.cancel()
