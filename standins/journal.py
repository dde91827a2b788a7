"""The journal of an upstream stand-in: what it ran, on standard output.

A line is out before the stand-in goes on, so that it is kept when the process
is killed.
"""

import time
from typing import NamedTuple

from standins.http import Call


class Run(NamedTuple):
    """A request that an upstream began to run.

    Attributes:
        caller_id: The part of the request id that the caller chose.
        at_s: When, by the monotonic clock, which all processes share.
    """

    caller_id: str
    at_s: float


def record_run(call: Call) -> None:
    """Notes that a request begins to run."""
    caller_id = call.headers.get("x-request-id", "").partition(".")[0]
    if caller_id:
        print(f"ran {caller_id} {time.monotonic()}", flush=True)


def runs(log: str) -> list[Run]:
    """Returns the runs that a log names."""
    return [
        Run(line.split()[1], float(line.split()[2]))
        for line in log.splitlines()
        if line.startswith("ran ")
    ]
