"""Datagrams between the gateways of a deployment."""

import time
from collections.abc import Callable, Iterable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.gateway.messages import Message, decode, encode
from acaciaspoke.ids import DomainId, HostId
from acaciaspoke.platform.store import FeedRow

# A host that has sent nothing for so long counts as away.
PEER_MAX_AGE_S = 1.0

# What one host keeps to send; older messages say nothing new by then.
MAX_QUEUED = 256


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """A host's row in the store: where its datagrams go.

    Attributes:
        link_mbps: What its network link carries; 0 if that is not known.
    """

    address: str
    port: int
    failure_domain: DomainId
    link_mbps: float = 0.0


class Peers:
    """The other hosts; owns the socket.

    Attributes:
        rows: Where the other hosts are.
    """

    def __init__(
        self,
        own: HostId,
        address: str,
        port: int,
        handle: Callable[[Message], None],
    ):
        self.rows: dict[HostId, HostRow] = {}
        self._own = own
        self._address = address
        self._port = port
        self._handle = handle
        self._heard: dict[HostId, float] = {}
        self._outbox, self._queue = anyio.create_memory_object_stream[
            tuple[bytes, str, int]
        ](MAX_QUEUED)

    async def run(self) -> None:
        """Sends and receives until cancelled."""
        async with await anyio.create_udp_socket(
            local_host=self._address, local_port=self._port
        ) as udp:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send, udp)
                async for data, _ in udp:
                    self._receive(data)

    async def _send(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, ip, port in self._queue:
            try:
                await udp.sendto(data, ip, port)
            except OSError as error:
                logger.debug("datagram to {} not sent: {}", ip, error)

    def _receive(self, data: bytes) -> None:
        try:
            message = decode(data)
        except msgspec.MsgspecError as error:
            logger.warning("unreadable datagram: {}", error)
            return
        self._heard[message.host] = time.monotonic()
        self._handle(message)

    def post(self, message: Message, hosts: Iterable[HostId]) -> None:
        """Sends a message to some hosts, if there is room to queue it."""
        data = encode(message)
        for host in hosts:
            row = self.rows.get(host)
            if row is None or host == self._own:
                continue
            try:
                self._outbox.send_nowait((data, row.address, row.port))
            except anyio.WouldBlock:
                logger.debug("no room for a datagram to {}", host)

    def take_rows(self, rows: list[FeedRow], is_snapshot: bool) -> None:
        """Takes in where the other hosts are."""
        if is_snapshot:
            self.rows.clear()
        for row in rows:
            if row.value is None:
                self.rows.pop(HostId(row.key), None)
                continue
            try:
                found = msgspec.json.decode(row.value, type=HostRow)
            except msgspec.MsgspecError as error:
                logger.warning("row of host {} ignored: {}", row.key, error)
                continue
            self.rows[HostId(row.key)] = found

    def live(self, now_s: float) -> list[HostId]:
        """Returns the other hosts that were heard lately."""
        return [
            host
            for host, heard_s in self._heard.items()
            if now_s - heard_s <= PEER_MAX_AGE_S
        ]
