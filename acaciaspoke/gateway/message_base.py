"""What all messages between gateways have in common."""

from typing import Annotated

import msgspec

from acaciaspoke.ids import BootId, HostId
from acaciaspoke.platform.versions import MAX_ERA, NUMBER_BITS

Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << NUMBER_BITS)]
# Far more than the requests that wait at a host.
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]
# Seconds of a monotonic clock; not-a-number is not within the bounds.
Time = Annotated[float, msgspec.Meta(ge=0.0, lt=1e12)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Epoch = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]


class BaseMessage(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True
):
    """Common options, and the sender, which is set when a message is sent.

    Attributes:
        host: The host of the sender.
        boot: The boot of the sender's process.
        sequence: Increases with each message of a boot.
    """

    host: HostId = HostId("")
    boot: BootId = BootId("")
    sequence: int = 0


def is_superseded(message: BaseMessage, known: BaseMessage) -> bool:
    """Returns whether a known message of the same boot is as new or newer."""
    return known.boot == message.boot and known.sequence >= message.sequence
