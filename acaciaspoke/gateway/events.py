"""Splits a stream of server-sent events into complete events."""

import re

# A partial event is buffered up to this size; a longer one is an error.
MAX_EVENT_BYTES = 1024 * 1024


# Lines of events: a field with its value, a comment, or the empty last line.
_EVENTS = re.compile(rb"(?:(?:[\w-]*:[^\r\n]*)?\r?\n)*")
_IDS = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventTooLargeError(Exception):
    """An event exceeds ``MAX_EVENT_BYTES``."""


class InvalidEventError(Exception):
    """A stream contains something else than events in their order."""


class EventSplitter:
    """Returns complete events and buffers a partial one at the end.

    Attributes:
        last_id: The last event id among the complete events, if any.
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self._partial = bytearray()

    @property
    def partial_bytes(self) -> int:
        """Size of the partial event that is buffered."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds received data and returns the events that are complete.

        Raises:
            EventTooLargeError: If an event exceeds ``MAX_EVENT_BYTES``.
            InvalidEventError: If the data is not a series of events with
                increasing ids, for instance an error that a faulty upstream
                has written into the stream.
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
        if not _EVENTS.fullmatch(complete):
            raise InvalidEventError("the stream has lines that are no fields")
        self._record_ids(complete)
        return complete

    def drop_partial(self) -> None:
        """Discards the partial event of a stream that broke off."""
        self._partial.clear()

    def _record_ids(self, complete: bytes) -> None:
        last_id = self.last_id
        for event_id in _IDS.findall(complete):
            if not _follows(event_id, last_id):
                raise InvalidEventError(
                    f"event {event_id!r} follows {last_id!r}"
                )
            last_id = event_id
        # Not before all are valid: the caller gets none of them otherwise, and
        # a resumed stream goes on after this id.
        self.last_id = last_id


def _follows(event_id: bytes, last_id: bytes | None) -> bool:
    """Returns whether an id may follow another; numeric ids increase."""
    if not last_id or not (event_id.isdigit() and last_id.isdigit()):
        return True
    return _magnitude(event_id) > _magnitude(last_id)


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    """Returns a key that orders numbers, also those too long to convert."""
    significant = digits.lstrip(b"0")
    return len(significant), significant
