"""Links of a gateway to workers, which can be lost in several ways."""

import ctypes
import socket
import struct
from enum import Enum

from soak.proxy import Proxy

# A socket filter that drops each segment, as a network without a path does.
# Its numbers are those of Linux; they are not in the module ``socket``.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)


class LinkFault(Enum):
    """What happens to connections when links are lost."""

    HANG = "all hang"
    RESET_HANG = "established ones are reset, new ones hang"
    REFUSE = "established ones live on, new ones are refused"
    RESET_REFUSE = "established ones are reset, new ones are refused"


class Link(Proxy):
    """A proxy between one gateway and one worker."""

    def lose(self, how: LinkFault) -> None:
        """Loses the link until ``regain`` is called."""
        if how in (LinkFault.REFUSE, LinkFault.RESET_REFUSE):
            self.refuse()
        else:
            _drop_received(self._server.sockets[0])
        if how in (LinkFault.RESET_HANG, LinkFault.RESET_REFUSE):
            self.reset()
        if how is LinkFault.HANG:
            for writer in self._accepted:
                if not writer.transport.is_closing():
                    _drop_received(writer.get_extra_info("socket"))
            self.cut(both_ways=True)

    async def regain(self) -> None:
        """Forwards all connections again."""
        if not self.is_listening:
            await self.listen()
        _keep_received(self._server.sockets[0])
        for writer in self._accepted:
            if not writer.transport.is_closing():
                _keep_received(writer.get_extra_info("socket"))
        self.heal()


def _drop_received(raw) -> None:
    program = ctypes.create_string_buffer(_RETURN_NOTHING)
    filter_ = struct.pack("HP", 1, ctypes.addressof(program))
    raw.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_)


def _keep_received(raw) -> None:
    try:
        raw.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
    except FileNotFoundError:
        pass  # It has no filter.
