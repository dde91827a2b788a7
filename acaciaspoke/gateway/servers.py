"""The servers of a gateway: for callers and checks, and for other hosts."""

from collections.abc import Callable

import anyio.abc
import msgspec

from acaciaspoke.entry.pool import KEEPALIVE_S
from acaciaspoke.gateway.app import GatewayApp
from acaciaspoke.gateway.forwarded_headers import MAX_ADDED_BYTES
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.protocol import limited_protocol
from acaciaspoke.gateway.settings import GatewaySettings
from acaciaspoke.gateway.types import CallerLimits
from acaciaspoke.util.connections import (
    ConnectionLimiter,
    derive_bounds,
    max_descriptors,
)
from acaciaspoke.util.server import HttpServer


def host_limits(limits: CallerLimits) -> CallerLimits:
    """Returns the limits for requests that other hosts forward.

    These hosts have applied those for callers, add headers, and close idle
    connections first.
    """
    return msgspec.structs.replace(
        limits,
        max_header_bytes=limits.max_header_bytes + MAX_ADDED_BYTES,
        idle_timeout_s=max(limits.idle_timeout_s, 2 * KEEPALIVE_S),
    )


class GatewayServers:
    """Serves one application on all addresses of a host."""

    def __init__(
        self,
        app: GatewayApp,
        settings: GatewaySettings,
        limits: Callable[[], CallerLimits],
        metrics: GatewayMetrics,
    ):
        """Configures the servers without listening.

        Args:
            app: The application.
            settings: The addresses.
            limits: Returns the limits for callers.
            metrics: Count connections at their bounds.
        """
        memory_bytes = settings.memory_mb * 1024 * 1024
        connections = ConnectionLimiter(
            derive_bounds(memory_bytes, max_descriptors()),
            lambda limit: metrics.connection_limits.labels(limit).inc(),
        )
        metrics.connections.set_function(lambda: len(connections))
        metrics.connection_bytes.set_function(lambda: connections.held_bytes)
        self._for_callers = HttpServer(
            app,
            settings.listen,
            settings.ready_listen,
            f"{settings.address}:{settings.metrics_port}",
            protocol=limited_protocol(limits, connections),
        )
        self._for_hosts = HttpServer(
            app,
            f"{settings.address}:{settings.peer_port}",
            protocol=limited_protocol(
                lambda: host_limits(limits()), connections
            ),
        )

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listens; serves in a task group until the end after ``stop``."""
        await tasks.start(self._for_hosts.serve)
        await tasks.start(self._serve_callers)

    async def _serve_callers(self, *, task_status) -> None:
        await self._for_callers.serve(task_status=task_status)
        # Until then this host may be the only one that reaches upstreams.
        self.stop_for_hosts()

    def stop(self) -> None:
        """Closes the listener for callers; requests in progress continue.

        Other hosts are served until the last of these has ended.
        """
        self._for_callers.stop()

    def stop_for_hosts(self) -> None:
        """Closes the listener for hosts; requests in progress continue."""
        self._for_hosts.stop()
