"""Ends requests within the grace time of a stop."""

import time
from collections.abc import Callable

import anyio

from acaciaspoke.gateway.estimates import Estimates
from acaciaspoke.util.drain import Drain

# Share of the stop's grace time in which queued requests may still start; the
# rest is left for running them.
START_SHARE = 0.3

# Share of the stop's grace time after which requests without an answer get one;
# the rest is left for sending the answers and for ending the process.
ANSWER_SHARE = 0.94


async def limit_stop(
    drain: Drain,
    estimates: Estimates,
    grace_s: float,
    end_unanswered: Callable[[], None],
) -> None:
    """Waits for a stop, and ends all requests within its grace time.

    Args:
        drain: The state of the stop.
        estimates: Get the times until which requests may start and take.
        grace_s: Time between SIGTERM and the end of the process.
        end_unanswered: Answers all requests that have no answer.
    """
    await drain.wait_for_request()
    now_s = time.monotonic()
    estimates.last_start_s = now_s + START_SHARE * grace_s
    estimates.stop_end_s = now_s + ANSWER_SHARE * grace_s
    await anyio.sleep(ANSWER_SHARE * grace_s)
    end_unanswered()
