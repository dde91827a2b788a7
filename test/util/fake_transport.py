"""A transport without a socket, for tests of protocols."""

import asyncio


class FakeTransport(asyncio.Transport):
    """Keeps what is written.

    Attributes:
        written: What the protocol has sent.
        is_reading: Whether the protocol takes input.
    """

    def __init__(self):
        super().__init__()
        self.written = bytearray()
        self.is_reading = True
        self._is_closing = False

    def get_extra_info(self, name, default=None):
        """Returns nothing, as there is no socket."""
        return default

    def is_closing(self):
        """Returns whether the connection was closed."""
        return self._is_closing

    def close(self):
        """Closes the connection."""
        self._is_closing = True

    def abort(self):
        """Closes the connection."""
        self._is_closing = True

    def write(self, data):
        """Keeps data."""
        self.written += data

    def write_eof(self):
        """Does nothing."""

    def get_write_buffer_size(self):
        """Returns 0, as everything counts as read."""
        return 0

    def pause_reading(self):
        """Takes no more input."""
        self.is_reading = False

    def resume_reading(self):
        """Takes input again."""
        self.is_reading = True
