"""The graceful stop of a process, on ``charts/drain.yaml``.

Readiness fails first, so that the balancer sends no more; after a notice time
the listening socket closes; requests in flight end; then the process stops.
"""

import signal
from collections.abc import Callable
from enum import Enum

import anyio
from loguru import logger

from acaciaspoke.util.chart import StateMachine


class DrainState(Enum):
    """How far a stop has come."""

    SERVING = "serving"
    ANNOUNCING = "announcing"
    DRAINING = "draining"
    STOPPED = "stopped"


class Drain:
    """The state of a graceful stop."""

    def __init__(self) -> None:
        self._machine: StateMachine[DrainState] = StateMachine(
            "drain", DrainState
        )
        self._requested = anyio.Event()

    @property
    def state(self) -> DrainState:
        """The present state."""
        return self._machine.state

    @property
    def serving(self) -> bool:
        """Whether no stop was requested."""
        return self.state is DrainState.SERVING

    def request_stop(self) -> None:
        """Begins the stop; has no effect on one that has begun."""
        self._machine.send("stop_requested")
        self._requested.set()

    async def wait_for_request(self) -> None:
        """Waits until a stop is requested."""
        await self._requested.wait()

    async def run(self, notice_s: float, stop_accepting: Callable) -> None:
        """Waits for a stop request and announces the stop.

        Args:
            notice_s: Time between the announcement and ``stop_accepting``.
            stop_accepting: Closes the listening socket.
        """
        await self._requested.wait()
        logger.info("stopping; not ready from now on, for {} s", notice_s)
        await anyio.sleep(notice_s)
        self._machine.send("notice_over")
        stop_accepting()

    def record_idle(self) -> None:
        """Records that no request is in flight any more."""
        self._machine.send("idle")


async def stop_on_signals(drain: Drain) -> None:
    """Requests a stop at each SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info("received {}", signal.Signals(number).name)
            drain.request_stop()
