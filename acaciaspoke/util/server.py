"""Serves an ASGI application by uvicorn inside the owner's task group."""

import contextlib

import anyio
import uvicorn

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.util.net import split_address

# Longer than the keep-alive time of clients and balancers, so that it is they
# who close idle connections and no request meets a closing one.
KEEPALIVE_S = 75

START_CHECK_S = 0.005


class ServerError(AcaciaspokeError):
    """The server could not listen on its address."""


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the process that owns it."""

    def capture_signals(self):
        """Installs no signal handlers."""
        return contextlib.nullcontext()


class HttpServer:
    """One listening address and its connections."""

    def __init__(self, app, address: str):
        host, port = split_address(address)
        self._address = address
        self._server = _Server(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                access_log=False,
                http="httptools",
                lifespan="off",
                log_config=None,
                proxy_headers=False,
                server_header=False,
                timeout_keep_alive=KEEPALIVE_S,
                ws="none",
            )
        )

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until ``stop``, then until the last answer is complete.

        Raises:
            ServerError: If the address cannot be listened on.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_start, task_status)
            try:
                await self._server.serve()
            except SystemExit as error:
                raise ServerError(
                    f"{self._address}: cannot listen on it"
                ) from error
            tasks.cancel_scope.cancel()

    async def _report_start(self, task_status) -> None:
        while not self._server.started:
            await anyio.sleep(START_CHECK_S)
        task_status.started()

    def stop(self) -> None:
        """Closes the listening socket; requests in flight go on."""
        self._server.should_exit = True
