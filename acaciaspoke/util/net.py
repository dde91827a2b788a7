"""Network addresses and the state of sockets."""

import asyncio
import ipaddress
import re
import select
import socket
import struct
from typing import NamedTuple

# Characters of a scope id that need no encoding in a URL (RFC 6874).
_SCOPE_ID = re.compile(r"[A-Za-z0-9._~-]+")


# In Linux's ``struct tcp_info``: the state of an established connection, and
# offset and format of ``tcpi_last_ack_recv``, in milliseconds.
_ESTABLISHED = 1
_LAST_ACK_OFFSET = 56
_LAST_ACK_FORMAT = "=I"


class HostPort(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


def split_address(address: str) -> HostPort:
    """Splits ``ipv4:port`` or ``[ipv6]:port``.

    An address that this accepts can be the host and port of a URL as it is.

    Raises:
        ValueError: If the text is not an IP address and a port.
    """
    ip, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"{address!r} is not ip:port")
    is_bracketed = ip.startswith("[") and ip.endswith("]")
    if is_bracketed:
        ip = ip[1:-1]
    if (ipaddress.ip_address(ip).version == 6) is not is_bracketed:
        raise ValueError(f"{address!r}: only IPv6 addresses are in brackets")
    _, has_scope, scope_id = ip.partition("%")
    if has_scope and not _SCOPE_ID.fullmatch(scope_id):
        raise ValueError(f"{address!r} has an invalid scope id")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} has no valid port")
    return HostPort(ip, int(port))


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Returns whether data or the end of the stream waits in the socket."""
    raw = transport.get_extra_info("socket")
    if raw is None or raw.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def acknowledgement_age_s(raw: socket.socket) -> float | None:
    """Returns how long ago the peer of a connection acknowledged anything.

    The peer's kernel does so, also of keep-alive probes, while its process
    stands still.

    Returns:
        The time in seconds; None if it is not known.
    """
    size_bytes = _LAST_ACK_OFFSET + struct.calcsize(_LAST_ACK_FORMAT)
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size_bytes)
        (age_ms,) = struct.unpack_from(_LAST_ACK_FORMAT, info, _LAST_ACK_OFFSET)
    except (OSError, struct.error):
        return None
    # Without an established state the other fields tell nothing.
    return age_ms / 1000 if info[0] == _ESTABLISHED else None
