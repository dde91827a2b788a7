"""Base of the HTTP stand-ins: requests, JSON responses, serving by uvicorn."""

import traceback
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, nullcontext
from typing import Any

import anyio
import msgspec
import uvicorn

Handler = Callable[["Call"], Awaitable[None]]


class Call:
    """One request, with methods to answer it.

    Attributes:
        default_headers: Returns headers that each response gets.
    """

    def __init__(self, scope, receive, send):
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query = scope["query_string"].decode()
        self.headers = {
            name.decode(): value.decode() for name, value in scope["headers"]
        }
        self.client: tuple[str, int] = tuple(scope.get("client") or ("", 0))
        self.server: tuple[str, int] = tuple(scope.get("server") or ("", 0))
        self.receive = receive
        self.send = send
        self.started = False
        self.default_headers: Callable[[], dict[str, str]] = dict

    async def body(self) -> bytes:
        """Reads the whole request body."""
        parts = []
        while True:
            message = await self.receive()
            parts.append(message.get("body", b""))
            if not message.get("more_body"):
                return b"".join(parts)

    async def json(self) -> Any:
        """Reads the request body as JSON; an empty body is an empty object."""
        return msgspec.json.decode(await self.body() or b"{}")

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Sends the status and the headers."""
        self.started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.lower().encode(), value.encode())
                    for name, value in (
                        self.default_headers() | headers
                    ).items()
                ],
            }
        )

    async def chunk(self, data: bytes, *, more: bool = True) -> None:
        """Sends a part of the response body."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def answer(
        self,
        document: Any,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a complete response; anything but bytes is encoded as JSON."""
        is_raw = isinstance(document, bytes)
        data = document if is_raw else msgspec.json.encode(document)
        await self.start(
            status,
            {
                "content-type": "application/json",
                "content-length": str(len(data)),
            }
            | (headers or {}),
        )
        await self.chunk(data, more=False)


def asgi_app(handle: Handler):
    """Returns an ASGI application that calls a handler."""

    async def app(scope, receive, send):
        if scope["type"] != "http":
            return
        call = Call(scope, receive, send)
        try:
            await handle(call)
        except ConnectionAbortedError:
            # uvicorn closes the connection if a started response is incomplete;
            # without a start it would answer 500.
            if not call.started:
                await call.start(200, {"content-length": "1"})
        except Exception:
            traceback.print_exc()
            if not call.started:
                await call.answer({}, 500)
            raise

    return app


class _Server(uvicorn.Server):
    """A server that does not handle signals."""

    def capture_signals(self):
        """Installs no signal handlers."""
        return nullcontext()


def serving(handle: Handler, ip: str, port: int):
    """Serves a handler while the context is open."""
    return serving_app(asgi_app(handle), ip, port)


@asynccontextmanager
async def serving_app(app, ip: str, port: int):
    """Serves an ASGI application while the context is open."""
    server = _Server(
        uvicorn.Config(
            app,
            host=ip,
            port=port,
            # uvicorn logs dropped responses as errors.
            log_level="critical",
            access_log=False,
            lifespan="off",
            timeout_graceful_shutdown=1,
        )
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.005)
        yield server
        server.should_exit = True
