"""How an attempt at an upstream ended."""

from enum import Enum

import msgspec

from acaciaspoke.platform.headers import Headers, LoadReport


class Ending(Enum):
    """How an attempt ended.

    ``ANSWERED``: a complete response was sent to the caller. ``NOT_EXECUTED``:
    the upstream declares that it ran nothing. ``MISDIRECTED``: the server is
    not the intended upstream, or does not hold the artifact. ``NOT_SENT``: no
    byte reached the upstream. After all others the request may have run:
    ``BROKEN`` is a lost connection, ``MISMATCHED`` a response that is not a
    valid one to this request, ``FAILED`` an error status, ``UNRECORDED`` a
    stream that may not begin.
    """

    ANSWERED = "answered"
    NOT_EXECUTED = "not_executed"
    MISDIRECTED = "elsewhere"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    MISMATCHED = "foreign"
    FAILED = "failed"
    UNRECORDED = "unrecorded"


# Endings after which the upstream has certainly not run the request.
NOTHING_RAN = frozenset(
    {Ending.NOT_EXECUTED, Ending.MISDIRECTED, Ending.NOT_SENT}
)


class Attempt(msgspec.Struct, kw_only=True):
    """The result of an attempt.

    Attributes:
        status: Status of the upstream's response, if there was one.
        load: The upstream's load, if the response reports it.
        has_invalid_load: Whether it reports one that cannot be decoded.
        is_closed: Whether the upstream closed the connection of a request that
            it had, before the end of its response.
        is_unreachable: Whether the upstream's host had not answered, so that
            its connection was given up; the upstream may still run.
        is_stopped: Whether this host had the upstream stop the run.
        failure: An error of the upstream to forward to the caller.
    """

    ending: Ending
    status: int = 0
    detail: str = ""
    load: LoadReport | None = None
    has_invalid_load: bool = False
    is_closed: bool = False
    is_unreachable: bool = False
    is_stopped: bool = False
    failure: tuple[int, Headers, bytes] | None = None
