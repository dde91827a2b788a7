"""What upstreams say in their responses about requests to come."""

import math
import re
import time
from collections.abc import Callable, Collection, Iterable
from email.utils import parsedate_to_datetime
from typing import NamedTuple

# Says that the upstream is about to leave.
SERVER_LEAVING = b"server-leaving"
# Requests a second that an upstream takes from all hosts together.
SERVER_LIMIT = b"server-limit"
# Refusals a second for want of room beyond which an upstream's process ends.
SERVER_BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"
# Requests that run and wait at an upstream, its slots and, on some platforms,
# how long work takes there now as a percentage of the usual time.
SERVER_LOAD = b"acaciaspoke-server-load"
_WORK_TIME_INDEX = 3
_MAX_WORK_TIME_DIGITS = 6

_DECIMAL = re.compile(rb"\+?([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,3})?")


class UpstreamNotice(NamedTuple):
    """What an upstream says in a response about requests to come.

    Attributes:
        is_leaving: Whether it is about to leave.
        pause_s: For how long it wants no requests from this host; None if it
            does not say.
        has_invalid_pause: Whether it names a pause that cannot be decoded.
        limit_per_s: How many requests a second it takes from all hosts
            together; None if it does not say.
        has_invalid_limit: Whether it names a limit that cannot be decoded.
        is_unlimited: Whether the lack of a limit shows that there is none.
        brittle_refusals_per_s: How many refusals a second for want of room it
            survives; None if it does not say that it is brittle.
        has_invalid_brittle: Whether it says so with a number that cannot be
            decoded.
        is_robust: Whether the lack of this number shows that it is not brittle.
        work_time_percent: How long work takes there now, as a share of the
            usual time; None if it does not say.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    has_invalid_pause: bool = False
    limit_per_s: float | None = None
    has_invalid_limit: bool = False
    is_unlimited: bool = False
    brittle_refusals_per_s: float | None = None
    has_invalid_brittle: bool = False
    is_robust: bool = False
    work_time_percent: int | None = None


def decode_notice(
    headers: Iterable[tuple[bytes, bytes]],
    clock: Callable[[], float] = time.time,
) -> UpstreamNotice:
    """Decodes what an upstream says about requests to come.

    Args:
        headers: The headers of its response.
        clock: Returns the Unix time, from which a date counts.
    """
    pairs = [(name.lower(), value.strip()) for name, value in headers]
    found = dict(pairs)
    limits = {value for name, value in pairs if name == SERVER_LIMIT}
    limit_per_s = _decode_rate(limits)
    refusals = {value for name, value in pairs if name == SERVER_BRITTLE}
    refusals_per_s = _decode_rate(refusals)
    retry_after = found.get(RETRY_AFTER)
    pause_s = None
    if retry_after is not None:
        pause_s = _decode_retry_after(retry_after, clock)
    return UpstreamNotice(
        is_leaving=found.get(SERVER_LEAVING) == b"1",
        pause_s=pause_s,
        has_invalid_pause=retry_after is not None and pause_s is None,
        limit_per_s=limit_per_s,
        has_invalid_limit=bool(limits) and limit_per_s is None,
        brittle_refusals_per_s=refusals_per_s,
        has_invalid_brittle=bool(refusals) and refusals_per_s is None,
        work_time_percent=_decode_work_time(found.get(SERVER_LOAD, b"")),
    )


def _decode_work_time(load: bytes) -> int | None:
    figures = load.split(b",")
    text = b"".join(figures[_WORK_TIME_INDEX : _WORK_TIME_INDEX + 1]).strip()
    if not text.isdigit() or len(text) > _MAX_WORK_TIME_DIGITS:
        return None
    return int(text) or None


def _decode_rate(values: Collection[bytes]) -> float | None:
    """Returns the only value as a rate; None if it is invalid or ambiguous."""
    if len(values) != 1:
        return None
    [value] = values
    if not _DECIMAL.fullmatch(value):
        return None
    rate_per_s = float(value)
    return rate_per_s if math.isfinite(rate_per_s) else None


def _decode_retry_after(
    value: bytes, clock: Callable[[], float]
) -> float | None:
    """Returns a delay, given in seconds or as an HTTP date; None if invalid."""
    text = value.decode("latin-1")
    try:
        delay_s = float(text)
    except ValueError:
        try:
            delay_s = parsedate_to_datetime(text).timestamp() - clock()
        except (ValueError, OverflowError):
            return None
        # A date that has passed, perhaps by another clock, names no pause.
        delay_s = max(0.0, delay_s)
    return delay_s if math.isfinite(delay_s) and delay_s >= 0 else None
