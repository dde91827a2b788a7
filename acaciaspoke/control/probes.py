"""Probes whose answers are awaited."""

import msgspec

from acaciaspoke.ids import Address, HostId


class Probe(msgspec.Struct):
    """A probe of this process that has not been answered."""

    host: HostId
    sent_s: float
    indirect: bool = False


class Relay(msgspec.Struct, frozen=True):
    """A probe sent in the place of another member."""

    address: Address
    sequence: int
    sent_s: float
