"""Copies a run to another engine while it goes on.

The other engine keeps a slot and memory for the copy, so that a run can be
stopped with the certainty that it can go on there. Until then the copy can be
given back.
"""

import functools
import time
from types import TracebackType

import anyio
from loguru import logger

from acaciaspoke.gateway import run_calls
from acaciaspoke.gateway.background_calls import BackgroundCalls
from acaciaspoke.gateway.takeover import Run
from acaciaspoke.platform.engine import CopyOutcome, RunCopyAnswer

_NO_COPY = RunCopyAnswer(CopyOutcome.UNKNOWN)


class RunCopy:
    """A copy of one run at the engine with its KV backup.

    It is freed at the end of the context, unless it is kept.
    """

    def __init__(
        self, run: Run, deadline_s: float, background: BackgroundCalls
    ):
        """Creates an object without a copy.

        Args:
            run: The run.
            deadline_s: When its request must be answered.
            background: Makes the calls, which end after a request that leaves:
                the name of a copy comes with the answer.
        """
        self._run = run
        self._deadline_s = deadline_s
        self._background = background
        self._answer = _NO_COPY
        self._is_needed = True

    def __enter__(self) -> "RunCopy":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._is_needed = False
        if self._answer.handle:
            self._background.start(self._free)

    async def make(self) -> CopyOutcome:
        """Copies the run, which has no copy yet."""
        answered = anyio.Event()
        self._background.start(functools.partial(self._make, answered))
        await answered.wait()
        return self._answer.outcome

    def keep(self) -> None:
        """Leaves the copy to the request that goes on with the run."""
        self._answer = _NO_COPY

    async def _make(self, answered: anyio.Event) -> None:
        started_s = time.monotonic()
        try:
            self._answer = await run_calls.copy(self._run, self._deadline_s)
        finally:
            answered.set()
        logger.info(
            "copy of the run at {} to {}: {}",
            self._run.upstream,
            self._run.destination.upstream,
            self._answer.outcome.value,
            request_id=self._run.request_id,
            took_ms=round((time.monotonic() - started_s) * 1000),
            is_needed=self._is_needed,
        )
        if self._answer.handle and not self._is_needed:
            await self._free()

    async def _free(self) -> None:
        # The copy is to be freed even if the request ends now.
        deadline_s = max(self._deadline_s, time.monotonic())
        await run_calls.free_memory(self._run, self._answer.handle, deadline_s)
