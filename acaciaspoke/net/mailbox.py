"""Mailboxes for messages between processes.

A mailbox listens on one pynng Pull socket and opens a Push socket for each
peer on its first message. Sending never blocks, so that a slow or failed
process cannot hold up the sender.
"""

import itertools
from collections.abc import Callable

import anyio
import cachetools
import pynng
from loguru import logger

from acaciaspoke.errors import ListenError
from acaciaspoke.ids import Address
from acaciaspoke.net.messages import Message, MessageError, decode, encode
from acaciaspoke.util.metrics import Metrics

SEND_QUEUE_MESSAGES = 128
RECEIVE_QUEUE_MESSAGES = 1024
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

# Limits the open sockets of a host with very many peers.
MAX_PUSH_SOCKETS = 512

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000


class MailboxError(ListenError):
    """The mailbox could not listen on its address."""


class _PushSockets(cachetools.LRUCache):
    """An LRU cache of Push sockets by address; closes evicted sockets."""

    def popitem(self):
        address, socket = super().popitem()
        socket.close()
        return address, socket


class Mailbox:
    """Sends and receives messages; a context manager that owns the sockets."""

    def __init__(self, address: Address, metrics: Metrics):
        self.address = address
        self.metrics = metrics
        self._pull_socket: pynng.Pull0 | None = None
        self._push_sockets: cachetools.LRUCache[Address, pynng.Push0] = (
            _PushSockets(MAX_PUSH_SOCKETS)
        )

    def __enter__(self) -> "Mailbox":
        """Starts listening.

        Raises:
            MailboxError: If the address is in use or invalid.
        """
        self._pull_socket = pynng.Pull0(recv_buffer_size=RECEIVE_QUEUE_MESSAGES)
        self._pull_socket.recv_max_size = MAX_MESSAGE_BYTES
        try:
            self._pull_socket.listen(self.address)
        except pynng.NNGException as error:
            self._pull_socket.close()
            raise MailboxError(f"{self.address}: {error}") from error
        return self

    def __exit__(self, *_exc_info) -> None:
        for socket in itertools.chain(
            [self._pull_socket], self._push_sockets.values()
        ):
            socket.close()
        self._push_sockets.clear()

    async def receive(self) -> Message:
        """Waits for the next message; drops undecodable data."""
        while True:
            data = await self._pull_socket.arecv()
            self.metrics.count("mailbox.received_bytes", len(data))
            try:
                return decode(data)
            except MessageError as error:
                self.metrics.count("mailbox.undecodable")
                logger.warning("dropped an undecodable message: {}", error)

    def post(self, address: Address, message: Message) -> bool:
        """Queues a message; returns False if it was dropped instead.

        True does not guarantee delivery.
        """
        data = encode(message)
        try:
            self._socket_for(address).send(data, block=False)
        except pynng.NNGException:
            self.metrics.count("mailbox.dropped")
            return False
        self.metrics.count("mailbox.sent_bytes", len(data))
        return True

    def _socket_for(self, address: Address) -> pynng.Push0:
        socket = self._push_sockets.get(address)
        if socket is None:
            socket = pynng.Push0(send_buffer_size=SEND_QUEUE_MESSAGES)
            socket.reconnect_time_min = RECONNECT_MIN_MS
            socket.reconnect_time_max = RECONNECT_MAX_MS
            socket.dial(address, block=False)
            self._push_sockets[address] = socket
        return socket


async def receive_forever(
    mailbox: Mailbox, handle: Callable[[Message], None]
) -> None:
    """Passes each message to ``handle`` until cancelled.

    A message on which ``handle`` fails is logged and dropped, so that it does
    not end every process that receives it.
    """
    while True:
        message = await mailbox.receive()
        try:
            handle(message)
        except Exception:
            mailbox.metrics.count("mailbox.failed")
            logger.exception("handling {} failed", type(message).__name__)
        await anyio.lowlevel.checkpoint()
