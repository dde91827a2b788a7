"""Graceful shutdown of a process, as in ``charts/drain.yaml``.

Readiness fails first, so that the load balancer sends no more requests. After a
notice period the listening socket is closed, requests in flight finish, and the
process stops.
"""

import signal
from collections.abc import Callable
from enum import Enum

import anyio
from loguru import logger

from acaciaspoke.util.chart import StateMachine


class DrainState(Enum):
    """Phases of a graceful shutdown."""

    SERVING = "serving"
    ANNOUNCING = "announcing"
    DRAINING = "draining"
    STOPPED = "stopped"


class Drain:
    """The state of a graceful shutdown."""

    def __init__(self) -> None:
        self._machine: StateMachine[DrainState] = StateMachine(
            "drain", DrainState
        )
        self._requested = anyio.Event()

    @property
    def state(self) -> DrainState:
        """The current state."""
        return self._machine.state

    @property
    def serving(self) -> bool:
        """Whether no stop has been requested."""
        return self.state is DrainState.SERVING

    def request_stop(self) -> None:
        """Starts the shutdown; has no effect if it has started."""
        self._machine.send("stop_requested")
        self._requested.set()

    async def wait_for_request(self) -> None:
        """Waits until a stop is requested."""
        await self._requested.wait()

    async def run(self, notice_s: float, stop_accepting: Callable) -> None:
        """Waits for a stop request and the notice period, then stops accepting.

        Args:
            notice_s: Time between the stop request and ``stop_accepting``.
            stop_accepting: Closes the listening socket.
        """
        await self._requested.wait()
        logger.info("stopping; not ready, listener closes in {} s", notice_s)
        await anyio.sleep(notice_s)
        self._machine.send("notice_over")
        stop_accepting()

    def record_idle(self) -> None:
        """Records that no request is in flight anymore."""
        self._machine.send("idle")


async def stop_on_signals(drain: Drain) -> None:
    """Requests a stop on SIGTERM and SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info("received {}", signal.Signals(number).name)
            drain.request_stop()
