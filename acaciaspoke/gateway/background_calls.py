"""Calls to upstreams that go on after the request that began them."""

import math
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

Call = Callable[[], Awaitable[None]]


class BackgroundCalls:
    """Runs calls in tasks of its own."""

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[Call](
            math.inf
        )

    def start(self, call: Call) -> None:
        """Starts a call; its errors are logged."""
        self._send.send_nowait(call)

    async def run(self) -> None:
        """Runs calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            # The stream would be closed for a later task.
            while True:
                tasks.start_soon(_run, await self._receive.receive())


async def _run(call: Call) -> None:
    try:
        await call()
    except Exception:
        logger.exception("a call to an upstream failed")
