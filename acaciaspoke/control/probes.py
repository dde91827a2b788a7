"""Records of outstanding probes."""

import msgspec

from acaciaspoke.ids import Address, HostId


class Probe(msgspec.Struct):
    """A probe of this process that has not been acked."""

    host: HostId
    sent_s: float
    indirect: bool = False


class Relay(msgspec.Struct, frozen=True):
    """An indirect probe sent on behalf of another member."""

    address: Address
    sequence: int
    sent_s: float
