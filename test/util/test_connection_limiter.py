"""Which connections are closed at a bound of the process."""

import unittest

from loguru import logger

from acaciaspoke.util.connections import (
    ConnectionBounds,
    ConnectionLimiter,
    Limit,
    derive_bounds,
)
from acaciaspoke.util.connections.limiter import PROGRESS_BYTES, PROGRESS_S

KIB = 1024


class _Connection:

    def __init__(self, queued=0, is_idle=False, is_receiving=False):
        self._queued_bytes = queued
        self._is_idle = is_idle
        self._is_receiving = is_receiving
        self.ending = None

    def queued_bytes(self):
        return self._queued_bytes

    def is_idle(self):
        return self._is_idle

    def is_receiving(self):
        return self._is_receiving

    def refuse_for_memory(self):
        self.ending = "refused"
        self._is_receiving = False

    def abort(self):
        self.ending = "aborted"


class ConnectionLimiterTest(unittest.TestCase):

    def setUp(self):
        self.limits = []
        self.now_s = 0.0
        self.limiter = ConnectionLimiter(
            ConnectionBounds(process_bytes=100 * KIB, max_connections=2),
            self.limits.append,
            clock=lambda: self.now_s,
        )

    def _add(self, held_bytes=0, **options):
        connection = _Connection(**options)
        self.limiter.add(connection)
        self.limiter.update(connection, held_bytes)
        return connection

    def test_largest_queue_is_closed_first(self):
        small = self._add(50 * KIB, queued=50 * KIB)
        large = self._add(60 * KIB, queued=60 * KIB)
        self.assertEqual(
            (None, "aborted", 50 * KIB, [Limit.MEMORY]),
            (small.ending, large.ending, self.limiter.held_bytes, self.limits),
        )

    def test_request_that_is_read_is_refused_before_a_running_one(self):
        running = self._add(90 * KIB)
        receiving = self._add(20 * KIB, is_receiving=True)
        self.assertEqual(
            (None, "refused", 90 * KIB),
            (running.ending, receiving.ending, self.limiter.held_bytes),
        )

    def test_running_requests_go_on(self):
        both = [self._add(90 * KIB), self._add(90 * KIB)]
        self.assertEqual([None, None], [each.ending for each in both])

    def test_stream_with_little_unread_output_goes_on(self):
        # It was closed first when many bodies arrived.
        stream = self._add(KIB, queued=KIB)
        receiving = self._add(100 * KIB, is_receiving=True)
        self.assertEqual((None, "refused"), (stream.ending, receiving.ending))

    def test_stalled_request_is_refused_before_a_larger_one(self):
        # Stalled bodies kept the memory, and each larger upload was refused.
        stalled = self._add(40 * KIB, is_receiving=True)
        self.now_s = PROGRESS_S
        upload = self._add(70 * KIB, is_receiving=True)
        self.assertEqual(("refused", None), (stalled.ending, upload.ending))

    def test_request_that_grows_slowly_is_refused_first(self):
        # A byte now and then does not count as progress.
        slow = self._add(40 * KIB, is_receiving=True)
        steady = self._add(45 * KIB, is_receiving=True)
        self.now_s = PROGRESS_S
        self.limiter.update(slow, 40 * KIB + 1)
        self.limiter.update(steady, 45 * KIB + PROGRESS_BYTES)
        self.assertEqual(("refused", None), (slow.ending, steady.ending))

    def test_stalled_requests_stay_below_the_bound(self):
        stalled = self._add(60 * KIB, is_receiving=True)
        self.now_s = 20 * PROGRESS_S
        small = self._add(20 * KIB, is_receiving=True)
        self.assertEqual((None, None), (stalled.ending, small.ending))

    def test_running_request_is_not_stalled(self):
        running = self._add(40 * KIB)
        self.now_s = PROGRESS_S
        upload = self._add(70 * KIB, is_receiving=True)
        self.assertEqual((None, "refused"), (running.ending, upload.ending))

    def test_longest_unused_connection_is_closed_first(self):
        first = self._add(is_idle=True)
        second = self._add(is_idle=True)
        self.limiter.touch(first)
        self._add()
        self.assertEqual((None, "aborted"), (first.ending, second.ending))

    def test_idle_connection_is_closed_before_a_slow_sender(self):
        slow = self._add(is_receiving=True)
        idle = self._add(is_idle=True)
        self._add()
        self.assertEqual((None, "aborted"), (slow.ending, idle.ending))

    def test_newest_is_closed_if_all_others_run(self):
        running = [self._add(), self._add()]
        newest = self._add()
        self.assertEqual("aborted", newest.ending)
        self.assertEqual([None, None], [each.ending for each in running])
        self.assertEqual(2, len(self.limiter))

    def test_log_line_is_limited_in_rate(self):
        # Each line is a warning, which the limit of the log does not drop.
        lines = []
        self.addCleanup(logger.remove, logger.add(lines.append))
        logger.enable("acaciaspoke")
        self.addCleanup(logger.disable, "acaciaspoke")
        for _ in range(3):
            self.limiter.record(Limit.TRAILERS)
        self.assertEqual(3 * [Limit.TRAILERS], self.limits)
        self.assertEqual(1, len(lines))

    def test_closed_connection_holds_nothing(self):
        connection = self._add(90 * KIB)
        self.limiter.remove(connection)
        self.limiter.update(connection, 95 * KIB)
        self.limiter.remove(connection)
        self.assertEqual((0, 0), (self.limiter.held_bytes, len(self.limiter)))

    def test_smallest_host_keeps_descriptors_and_room_for_bodies(self):
        bounds = derive_bounds(160 << 20, 1638)
        self.assertEqual(819, bounds.max_connections)
        self.assertEqual(16, bounds.process_bytes // (4 << 20))
