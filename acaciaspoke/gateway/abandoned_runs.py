"""Stops runs that were given up without their engine's word.

A run at an engine to which this host could not connect may work on, beside the
engine that its stream goes on at. It is stopped once the engine can be reached.
"""

import functools
import time
from typing import NamedTuple

import anyio
from loguru import logger

from acaciaspoke.gateway import run_calls
from acaciaspoke.gateway.background_calls import BackgroundCalls
from acaciaspoke.gateway.takeover import ENDED, RETRY_INTERVAL_S, Run
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.engine import RunStop, StopOutcome

# Outcomes that do not tell whether a run goes on.
_NOT_CONNECTED = frozenset({StopOutcome.REFUSED, StopOutcome.UNREACHABLE})

# Two engines may work on a run for 0.4 s while this host reaches the former.
_CONNECT_TIMEOUT_S = 0.2


class _Engine(NamedTuple):
    upstream: UpstreamId
    address: str


class _AbandonedRun(NamedTuple):
    run: Run
    deadline_s: float


class AbandonedRuns:
    """The runs of this host that may go on at engines it could not reach."""

    def __init__(self, background: BackgroundCalls) -> None:
        self._background = background
        self._waiting: dict[_Engine, list[_AbandonedRun]] = {}

    def add(self, run: Run, stop: RunStop, deadline_s: float) -> None:
        """Has a run stopped whose stream goes on elsewhere.

        Args:
            run: The run.
            stop: How it ended; one that has ended for certain is left alone.
            deadline_s: When the request must be answered.
        """
        if stop.outcome not in _NOT_CONNECTED:
            return
        engine = _Engine(run.upstream, run.address)
        if engine not in self._waiting:
            self._waiting[engine] = []
            self._background.start(functools.partial(self._stop_all, engine))
        self._waiting[engine].append(_AbandonedRun(run, deadline_s))

    async def _stop_all(self, engine: _Engine) -> None:
        is_reached = False
        try:
            is_reached = await self._wait_until_reached(engine)
        finally:
            abandoned = self._waiting.pop(engine)
        for one in abandoned if is_reached else ():
            self._background.start(functools.partial(_stop, one))

    async def _wait_until_reached(self, engine: _Engine) -> bool:
        """Returns whether the process of the runs can be reached in time."""
        while True:
            until_s = max(one.deadline_s for one in self._waiting[engine])
            if time.monotonic() >= until_s:
                return False
            outcome = await run_calls.check(
                *engine, until_s, connect_timeout_s=_CONNECT_TIMEOUT_S
            )
            if outcome not in _NOT_CONNECTED:
                return outcome is not StopOutcome.OTHER_PROCESS
            await anyio.sleep(RETRY_INTERVAL_S)


async def _stop(abandoned: _AbandonedRun) -> None:
    run, deadline_s = abandoned
    stop = RunStop(StopOutcome.UNKNOWN)
    with anyio.move_on_after(deadline_s - time.monotonic()):
        while stop.outcome not in ENDED:
            stop = await run_calls.stop(run, deadline_s)
            if stop.outcome not in ENDED:
                await anyio.sleep(RETRY_INTERVAL_S)
    logger.info(
        "abandoned run at {} ended: {}",
        run.upstream,
        stop.outcome.value,
        request_id=run.request_id,
        destination=run.destination.upstream,
    )
    if stop.handle:
        await run_calls.free_memory(run, stop.handle, deadline_s)
