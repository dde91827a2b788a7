"""Tests of acaciaspoke.gateway.events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from acaciaspoke.gateway.events import EventSplitter

STREAM = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: id: 9\n\n"


class EventSplitterTest(unittest.TestCase):

    def test_partial_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(b"", splitter.feed(b"id: 1\ndata"))
        self.assertEqual(
            b"id: 1\ndata: x\n\n", splitter.feed(b": x\n\nid: 2\n")
        )
        self.assertEqual(b"1", splitter.last_id)

    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_any_division_of_the_stream_gives_the_same_events(self, cuts):
        splitter = EventSplitter()
        points = [0, *sorted(cuts), len(STREAM)]
        complete = b"".join(
            splitter.feed(STREAM[start:end])
            for start, end in zip(points, points[1:], strict=False)
        )
        self.assertEqual(STREAM, complete)
        self.assertEqual(b"3", splitter.last_id)
        self.assertEqual(0, splitter.partial_bytes)
