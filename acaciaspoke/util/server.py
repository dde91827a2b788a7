"""Serves an ASGI application with uvicorn in the owner's task group."""

import asyncio
import contextlib
import socket

import anyio
import uvicorn

from acaciaspoke.errors import ListenError
from acaciaspoke.util.http_protocol import HttpProtocol
from acaciaspoke.util.net import split_address

# Longer than the keep-alive timeout of clients and load balancers, so that they
# close idle connections, and no request arrives on a closing one.
KEEPALIVE_TIMEOUT_S = 75

START_CHECK_INTERVAL_S = 0.005

LATE_CONNECTIONS_INTERVAL_S = 0.1

# Connections that wait in the kernel.
LISTEN_BACKLOG = 2048

# asyncio accepts as many connections as its backlog before it calls the
# protocol, which closes some at the limit. 2,048 exhausted the descriptors.
ACCEPTED_AT_ONCE = 8


class ServerError(ListenError):
    """The server cannot listen on its address."""


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to its owner."""

    def capture_signals(self):
        """Installs no signal handlers."""
        return contextlib.nullcontext()

    async def shutdown(self, sockets: list[socket.socket] | None = None):
        """Closes the listeners; waits for responses in progress."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_late_connections)
            await super().shutdown(sockets)
            tasks.cancel_scope.cancel()

    async def _close_late_connections(self) -> None:
        # A connection that was accepted just before its listener closed appears
        # after uvicorn has closed the idle ones.
        while True:
            await anyio.sleep(LATE_CONNECTIONS_INTERVAL_S)
            for connection in list(self.server_state.connections):
                connection.shutdown()


class HttpServer:
    """An HTTP server on one or more addresses."""

    def __init__(
        self,
        app,
        *addresses: str,
        protocol: type[asyncio.Protocol] = HttpProtocol,
    ):
        """Configures the server without listening.

        Args:
            app: The ASGI application.
            addresses: Listening addresses, each ``ip:port``.
            protocol: The HTTP protocol implementation for uvicorn.
        """
        self._addresses = addresses
        self._server = _Server(
            uvicorn.Config(
                app,
                access_log=False,
                backlog=ACCEPTED_AT_ONCE,
                date_header=False,
                http=protocol,
                lifespan="off",
                log_config=None,
                proxy_headers=False,
                server_header=False,
                timeout_keep_alive=KEEPALIVE_TIMEOUT_S,
                ws="none",
            )
        )

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until ``stop``, then until the last response is complete.

        Raises:
            ServerError: If an address cannot be listened on.
        """
        sockets = [_listen(address) for address in self._addresses]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_start, sockets, task_status)
            await self._server.serve(sockets)
            tasks.cancel_scope.cancel()

    async def _report_start(
        self, sockets: list[socket.socket], task_status
    ) -> None:
        while not self._server.started:
            await anyio.sleep(START_CHECK_INTERVAL_S)
        for listener in sockets:
            # uvicorn listens with the number that is accepted at once.
            with contextlib.suppress(OSError):
                listener.listen(LISTEN_BACKLOG)
        task_status.started()

    def stop(self) -> None:
        """Closes the listening socket; requests in flight continue."""
        self._server.should_exit = True


def _listen(address: str) -> socket.socket:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise ServerError(f"{address}: cannot listen on it: {error}") from error
    listener.setblocking(False)
    return listener
