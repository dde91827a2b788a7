"""Splits a stream of server-sent events into complete events."""

# A partial event is buffered up to this size; a longer one is an error.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLargeError(Exception):
    """An event exceeds ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Returns complete events and buffers a partial one at the end.

    Attributes:
        last_id: The last event id among the complete events, if any.
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self._partial = bytearray()

    @property
    def has_partial(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds received data and returns the events that are complete.

        Raises:
            EventTooLargeError: If an event exceeds ``MAX_EVENT_BYTES``.
        """
        # The part that was searched before holds no end of an event, except
        # the beginning of one.
        start = max(0, len(self._partial) - 2)
        self._partial += data
        end = max(
            self._partial.rfind(b"\n\n", start) + 2,
            self._partial.rfind(b"\n\r\n", start) + 3,
        )
        if end < 3:
            end = 0
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"event is longer than {MAX_EVENT_BYTES} bytes"
            )
        self._record_id(complete)
        return complete

    def take_partial(self) -> bytes:
        """Returns and clears the partial event."""
        partial = bytes(self._partial)
        self._partial.clear()
        return partial

    def drop_partial(self) -> None:
        """Discards the partial event of a stream that broke off."""
        self._partial.clear()

    def _record_id(self, complete: bytes) -> None:
        start = -1
        position = complete.rfind(b"id:")
        while position >= 0:
            if position == 0 or complete[position - 1 : position] == b"\n":
                start = position
                break
            position = complete.rfind(b"id:", 0, position)
        if start >= 0:
            line = complete[start + 3 :].split(b"\n", 1)[0]
            self.last_id = line.strip()
