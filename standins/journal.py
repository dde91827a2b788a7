"""The journal of an upstream stand-in: its runs, on standard output.

Each line is flushed before the run continues, so that it survives a kill of the
process.
"""

import time
from typing import NamedTuple

from standins.http import Call


class Run(NamedTuple):
    """A request that an upstream began to run.

    Attributes:
        caller_id: The part of the request id that the caller chose.
        at_s: Time of the monotonic clock, which all processes share.
    """

    caller_id: str
    at_s: float


def record_run(call: Call) -> None:
    """Records that a request begins to run."""
    caller_id = call.headers.get("x-request-id", "").partition(".")[0]
    if caller_id:
        print(f"ran {caller_id} {time.monotonic()}", flush=True)


def runs(log: str) -> list[Run]:
    """Returns the runs recorded in a log."""
    return [
        Run(line.split()[1], float(line.split()[2]))
        for line in log.splitlines()
        if line.startswith("ran ")
    ]
