"""Tests of acaciaspoke.gateway.events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from acaciaspoke.gateway.events import EventSplitter, InvalidEventError

STREAM = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: id: 9\n\n"


class EventSplitterTest(unittest.TestCase):

    def test_events_before_an_invalid_one_are_not_passed_over(self):
        # A resumed stream lacked the events that came in one read with a
        # repeated one.
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: x\n\n")
        with self.assertRaises(InvalidEventError):
            splitter.feed(b"id: 2\ndata: y\n\nid: 1\ndata: x\n\n")
        self.assertEqual(b"1", splitter.last_id)

    def test_ids_that_are_too_long_to_convert(self):
        # The stream was cut by an exception.
        splitter = EventSplitter()
        first, second = b"8" * 5000, b"9" * 5000
        splitter.feed(b"id: %s\n\nid: %s\n\n" % (first, second))
        self.assertEqual(second, splitter.last_id)
        with self.assertRaises(InvalidEventError):
            splitter.feed(b"id: %s\n\n" % first)

    @given(st.integers(0), st.integers(0), st.integers(0, 3))
    def test_numeric_ids_increase(self, first, second, zeros):
        splitter = EventSplitter()
        splitter.feed(b"id: %s%d\n\n" % (b"0" * zeros, first))
        try:
            splitter.feed(b"id: %d\n\n" % second)
            is_accepted = True
        except InvalidEventError:
            is_accepted = False
        self.assertEqual(second > first, is_accepted)

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
