"""Parsing of network addresses."""

import ipaddress
from typing import NamedTuple


class HostPort(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


def split_address(address: str) -> HostPort:
    """Splits ``ip:port`` or ``[ipv6]:port``.

    Raises:
        ValueError: If the text is not an IP address and a port.
    """
    ip, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"{address!r} is not ip:port")
    ip = ip.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(ip)
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} has no valid port")
    return HostPort(ip, int(port))
