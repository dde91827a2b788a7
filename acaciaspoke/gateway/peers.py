"""Sends and receives datagrams between the gateways of a deployment."""

import ipaddress
import time
from collections.abc import Callable, Iterable
from typing import Annotated

import anyio
import msgspec
from loguru import logger

from acaciaspoke.gateway.messages import Message, decode, encode
from acaciaspoke.ids import DomainId, HostId
from acaciaspoke.platform.store import FeedRow
from acaciaspoke.util.decoding import decode_json

# A host that has sent nothing for this time counts as unresponsive.
PEER_MAX_AGE_S = 1.0

# A host without a row in the store is forgotten if it has sent nothing for this
# time.
UNREGISTERED_MAX_AGE_S = 10.0

MAX_PORT = 65535

# Datagrams that wait to be sent. In a longer queue, messages would be outdated
# before they are sent.
MAX_QUEUED_DATAGRAMS = 256

# Anyone who reaches the port can send datagrams under names without end, and a
# decoded datagram takes up to 40 times its size. Hosts without a row are
# therefore few, each counts for as long as its digests are kept, and their
# datagrams are small. Hosts that start have rows after a second or so.
MAX_UNREGISTERED_HOSTS = 64
MAX_UNREGISTERED_BYTES = 8192
UNREGISTERED_RETENTION_S = 60.0

INVALID_LOG_INTERVAL_S = 5.0


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """A host's row in the store, with its address for datagrams.

    Attributes:
        address: IP address.
        link_mbps: Bandwidth of its network link; 0 if unknown.
        takes_forwarded: Whether it serves requests that other hosts forward to
            the same port over TCP. Hosts of earlier releases do not.
        knows_workspaces: Whether it checks API keys, removes them before it
            sends requests to upstreams, and can own the quotas of workspaces.
            Hosts of earlier releases do none of this.
    """

    address: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    failure_domain: DomainId
    link_mbps: float = 0.0
    takes_forwarded: bool = False
    knows_workspaces: bool = False

    def __post_init__(self) -> None:
        # Other text would be resolved as a name, which blocks the process, or
        # end the socket.
        ipaddress.ip_address(self.address)


class Peers:
    """Exchanges datagrams with other hosts; owns the socket.

    Attributes:
        rows: The rows of all registered hosts.
    """

    def __init__(
        self,
        local_host: HostId,
        address: str,
        port: int,
        handle: Callable[[Message], None],
        on_local_row: Callable[[HostRow | None], None] = lambda row: None,
    ):
        """Creates the parts without opening the socket.

        Args:
            local_host: This host.
            address: Its IP address.
            port: Its port for datagrams.
            handle: Handles a received message.
            on_local_row: Called with this host's row each time the whole table
                is read, and with None if the store lacks a valid one.
        """
        self.rows: dict[HostId, HostRow] = {}
        self._local_host = local_host
        self._address = address
        self._port = port
        self._handle = handle
        self._on_local_row = on_local_row
        # Live hosts whose rows the store lacks.
        self._unregistered: set[HostId] = set()
        self._last_seen_s: dict[HostId, float] = {}
        # When each host that never had a row has last sent a message.
        self._rowless_s: dict[HostId, float] = {}
        self._invalid_datagrams = 0
        self._invalid_log_due_s = 0.0
        self._outbox, self._queue = anyio.create_memory_object_stream[
            tuple[bytes, str, int]
        ](MAX_QUEUED_DATAGRAMS)

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
            self._log_invalid(str(error))
            return
        now_s = time.monotonic()
        refusal = self._refusal(message.host, len(data), now_s)
        if refusal is not None:
            self._log_invalid(refusal)
            return
        if message.host not in self._last_seen_s:
            self._last_seen_s = {
                host: self._last_seen_s[host]
                for host in self._heard_of(now_s, UNREGISTERED_MAX_AGE_S)
            }
        self._last_seen_s[message.host] = now_s
        self._handle(message)

    def _refusal(
        self, host: HostId, size_bytes: int, now_s: float
    ) -> str | None:
        """Returns why a datagram is ignored; records hosts without a row."""
        if host in self.rows:
            return None
        if size_bytes > MAX_UNREGISTERED_BYTES:
            return "large datagram of a host without a row"
        if host not in self._rowless_s:
            self._rowless_s = {
                other: seen_s
                for other, seen_s in self._rowless_s.items()
                if now_s - seen_s <= UNREGISTERED_RETENTION_S
                and other not in self.rows
            }
            if len(self._rowless_s) >= MAX_UNREGISTERED_HOSTS:
                return "too many hosts without a row"
        self._rowless_s[host] = now_s
        return None

    def _log_invalid(self, reason: str) -> None:
        self._invalid_datagrams += 1
        now_s = time.monotonic()
        if now_s < self._invalid_log_due_s:
            return
        self._invalid_log_due_s = now_s + INVALID_LOG_INTERVAL_S
        logger.warning(
            "invalid datagram ignored: {}",
            reason,
            times=self._invalid_datagrams,
        )
        self._invalid_datagrams = 0

    def post(self, message: Message, hosts: Iterable[HostId]) -> None:
        """Queues a message to some hosts; drops it if the queue is full."""
        data = encode(message)
        for host in hosts:
            row = self.rows.get(host)
            if row is None or host == self._local_host:
                continue
            try:
                self._outbox.send_nowait((data, row.address, row.port))
            except anyio.WouldBlock:
                logger.debug("queue is full; datagram to {} dropped", host)

    def apply_rows(self, rows: list[FeedRow], is_snapshot: bool) -> None:
        """Applies changes of the hosts' rows.

        A host that has sent messages lately is kept if its row is missing from
        the whole table: a store that was restored from a copy has lost it until
        the host writes it again.
        """
        if is_snapshot:
            present = {HostId(row.key) for row in rows}
            heard_of = self._heard_of(time.monotonic(), UNREGISTERED_MAX_AGE_S)
            self._unregistered = (self.rows.keys() & heard_of) - present
            self.rows = {
                host: self.rows[host] for host in sorted(self._unregistered)
            }
        for row in rows:
            host = HostId(row.key)
            self._unregistered.discard(host)
            if row.value is None:
                self.rows.pop(host, None)
                if host == self._local_host and not is_snapshot:
                    self._on_local_row(None)
                continue
            try:
                decoded = decode_json(row.value, HostRow)
            except msgspec.MsgspecError as error:
                logger.warning(
                    "invalid row of host {} ignored: {}", row.key, error
                )
                continue
            self.rows[host] = decoded
        if is_snapshot:
            self._on_local_row(self.rows.get(self._local_host))

    def live(self, now_s: float) -> list[HostId]:
        """Returns the other hosts that have sent a message lately."""
        return self._heard_of(now_s, PEER_MAX_AGE_S)

    def has_others(self) -> bool:
        """Returns whether other hosts are registered."""
        return bool(self.rows.keys() - {self._local_host})

    def _heard_of(self, now_s: float, max_age_s: float) -> list[HostId]:
        return [
            host
            for host, last_seen_s in self._last_seen_s.items()
            if now_s - last_seen_s <= max_age_s
        ]

    def drop_unregistered(self, now_s: float) -> None:
        """Drops hosts without a row in the store that send nothing any more."""
        if not self._unregistered:
            return
        heard_of = self._heard_of(now_s, UNREGISTERED_MAX_AGE_S)
        for host in self._unregistered.difference(heard_of):
            self._unregistered.discard(host)
            self.rows.pop(host, None)
