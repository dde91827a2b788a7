"""Calls to upstreams that go on after the request that began them."""

import math
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

Call = Callable[[], Awaitable[None]]


class BackgroundCalls:
    """Runs calls in tasks of its own."""

    def __init__(self) -> None:
        self._open_count = 0
        self._ended = anyio.Event()
        self._send, self._receive = anyio.create_memory_object_stream[Call](
            math.inf
        )

    def start(self, call: Call) -> None:
        """Starts a call; its errors are logged."""
        self._open_count += 1
        self._send.send_nowait(call)

    async def run(self) -> None:
        """Runs calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            # The stream would be closed for a later task.
            while True:
                tasks.start_soon(self._run, await self._receive.receive())

    async def finish(self) -> None:
        """Waits until all calls have ended."""
        while self._open_count:
            await self._ended.wait()

    async def _run(self, call: Call) -> None:
        try:
            await call()
        except Exception:
            logger.exception("a call to an upstream failed")
        finally:
            self._open_count -= 1
            self._ended.set()
            self._ended = anyio.Event()
