"""The message of a host that keeps a record for another one."""

from acaciaspoke.gateway.message_base import BaseMessage
from acaciaspoke.ids import HostId


class RecordKept(BaseMessage, kw_only=True):
    """Tells that the sender keeps a record that it could not write.

    Hosts of earlier releases keep records too, but neither send nor read this.

    Attributes:
        asked_by: The host that sent the ``RowRequest``.
        number: The number of the request.
        key: The key of the record.
    """

    asked_by: HostId
    number: int
    key: str
