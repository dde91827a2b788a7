"""Tests of the detection of upstream crashes."""

import socket
import struct
import threading
import unittest

from acaciaspoke.entry.crashes import boot_has_ended

# SO_LINGER value with which closing the socket sends a reset.
NO_LINGER = struct.pack("ii", 1, 0)


def _reset(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    connection.recv(4096)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()


class BootHasEndedTest(unittest.IsolatedAsyncioTestCase):

    def _listener(self) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        return listener

    async def _has_ended(self, listener: socket.socket, accept) -> bool:
        thread = threading.Thread(target=accept)
        address = "{}:{}".format(*listener.getsockname())
        thread.start()
        try:
            return await boot_has_ended(address, "boot-1")
        finally:
            thread.join()

    async def test_connection_reset_by_an_exiting_process(self):
        """Guards against crashes that are not recorded.

        The kernel may close the listening socket of an exited process after
        its connections, so that the first connection is reset.
        """
        listener = self._listener()

        def accept():
            _reset(listener)
            listener.close()

        self.assertTrue(await self._has_ended(listener, accept))

    async def test_resets_of_a_live_process(self):
        """Guards against suspicions because of an unreliable network."""
        listener = self._listener()
        listener.settimeout(5)
        body = b'{"boot_id":"boot-1"}'

        def accept():
            _reset(listener)
            connection, _ = listener.accept()
            connection.recv(4096)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            connection.sendall(head.encode() + body)
            connection.close()

        self.assertFalse(await self._has_ended(listener, accept))

    async def test_unresponsive_process(self):
        """Guards against suspicions because of an unresponsive upstream."""
        listener = self._listener()
        self.assertFalse(await self._has_ended(listener, lambda: None))
