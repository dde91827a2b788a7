"""A small base for the HTTP stand-ins: routes, JSON and serving by uvicorn."""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, nullcontext
from typing import Any

import anyio
import msgspec
import uvicorn

Handler = Callable[["Call"], Awaitable[None]]


class Call:
    """One request and the means to answer it."""

    def __init__(self, scope, receive, send):
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query = scope["query_string"].decode()
        self.headers = {
            name.decode(): value.decode() for name, value in scope["headers"]
        }
        self.client: tuple[str, int] = tuple(scope.get("client") or ("", 0))
        self.receive = receive
        self.send = send

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
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.lower().encode(), value.encode())
                    for name, value in headers.items()
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
        """Sends a whole JSON answer."""
        data = msgspec.json.encode(document)
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
    """Makes an ASGI application of one handler."""

    async def app(scope, receive, send):
        if scope["type"] == "http":
            await handle(Call(scope, receive, send))

    return app


class _Server(uvicorn.Server):
    """A server that leaves signal handling to its owner."""

    def capture_signals(self):
        """Installs no signal handlers."""
        return nullcontext()


@asynccontextmanager
async def serving(handle: Handler, ip: str, port: int):
    """Serves a handler while the context is open."""
    server = _Server(
        uvicorn.Config(
            asgi_app(handle),
            host=ip,
            port=port,
            log_level="error",
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
