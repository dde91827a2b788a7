"""Input of a connection that waits until it may be parsed."""

from collections.abc import Iterable

from uvicorn.protocols.http.flow_control import FlowControl

# The shortest request has 16 bytes, and a part is parsed as a whole: as many
# requests as this allows may exceed the bound of a connection.
PART_BYTES = 1024

# What a queued request and a header occupy beside their bytes: 2.5 KB and 130
# bytes by ``tracemalloc`` in Python 3.11, rounded up.
REQUEST_BYTES = 4096
HEADER_BYTES = 160


def request_cost_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns about how much memory a request without its body occupies."""
    return REQUEST_BYTES + sum(
        HEADER_BYTES + len(name) + len(value) for name, value in headers
    )


class RequestInput:
    """Received bytes that are not parsed yet."""

    def __init__(self):
        self._data = b""
        self._start = 0

    def __len__(self) -> int:
        return len(self._data) - self._start

    def add(self, data: bytes) -> None:
        """Appends received bytes."""
        self._data = self._data[self._start :] + data if self else data
        self._start = 0

    def take(self, body_bytes: int) -> bytes:
        """Removes and returns the next part.

        Args:
            body_bytes: How many of the next bytes certainly belong to the body
                that is being read.
        """
        start, self._start = self._start, self._start + max(
            PART_BYTES, body_bytes
        )
        part = self._data[start : self._start]
        if self._start >= len(self._data):
            self.clear()
        return part

    def clear(self) -> None:
        """Discards everything."""
        self._data = b""
        self._start = 0


class HeldFlow(FlowControl):
    """uvicorn's flow control; reading stays paused while input is held."""

    def __init__(self, transport):
        super().__init__(transport)
        self._is_held = False

    def hold(self) -> None:
        """Pauses reading until ``release``."""
        self._is_held = True
        self.pause_reading()

    def release(self) -> None:
        """Resumes reading if it was held."""
        if self._is_held:
            self._is_held = False
            self.resume_reading()

    @property
    def is_held(self) -> bool:
        """Whether reading is paused until ``release``."""
        return self._is_held

    def resume_reading(self) -> None:
        """Resumes reading, unless input is held."""
        if not self._is_held:
            super().resume_reading()
