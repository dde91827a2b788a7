"""Headers of requests that hosts forward to each other, and of the responses.

They are read only on the port for traffic between hosts, and are sent to
nobody else.
"""

from collections.abc import Iterable
from typing import NamedTuple

from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import HostId
from acaciaspoke.platform.headers import (
    Headers,
    encode_forwarded_request,
    is_count,
)

_FORWARDED_BY = b"x-forwarded-by-host"
# Time since the request's arrival at the first host.
_AGE_MS = b"x-request-age-ms"
# Upstreams that may have run the request already.
_STARTS = b"x-request-starts"
# In a response: the host has not tried to serve the request. Upstreams cannot
# say this.
DECLINED = b"x-request-declined"

_INTERNAL = frozenset({_FORWARDED_BY, _AGE_MS, _STARTS, DECLINED})

# More than these headers take.
MAX_ADDED_BYTES = 1024


class ForwardedFields(NamedTuple):
    """What the first host says of a request.

    Attributes:
        host: The first host.
        age_s: Time since the request's arrival there.
        starts: Number of upstreams that may have run it.
    """

    host: HostId
    age_s: float
    starts: int


def encode_forwarded(
    headers: Iterable[tuple[bytes, bytes]],
    request: Request,
    host: HostId,
    now_s: float,
    last_event_id: bytes | None,
) -> Headers:
    """Returns the headers of a request for another host.

    Args:
        headers: The caller's headers.
        request: The request.
        host: This host.
        now_s: The current time.
        last_event_id: The last event that the caller has, if any.
    """
    encoded = [
        pair
        for pair in encode_forwarded_request(
            headers, request, now_s, last_event_id
        )
        if pair[0] not in _INTERNAL
    ]
    age_ms = max(0, int((now_s - request.arrived_s) * 1000))
    encoded += [
        (_FORWARDED_BY, host.encode("latin-1", "replace")),
        (_AGE_MS, str(age_ms).encode()),
        (_STARTS, str(request.starts).encode()),
    ]
    return encoded


def decode_forwarded(headers: Iterable[tuple[bytes, bytes]]) -> ForwardedFields:
    """Decodes what the first host says; figures that are invalid count as 0."""
    found = dict(headers)
    return ForwardedFields(
        HostId(found.get(_FORWARDED_BY, b"").decode("latin-1")),
        _to_count(found.get(_AGE_MS, b"")) / 1000,
        _to_count(found.get(_STARTS, b"")),
    )


def without_forwarded(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers that the caller sent."""
    return [pair for pair in headers if pair[0] not in _INTERNAL]


def decline_header() -> tuple[bytes, bytes]:
    """Returns the header of a response that declines a request."""
    return DECLINED, b"1"


def has_declined(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Returns whether a host has declined to serve a request."""
    return any(name.lower() == DECLINED for name, _ in headers)


def _to_count(text: bytes) -> int:
    return int(text) if is_count(text) else 0
