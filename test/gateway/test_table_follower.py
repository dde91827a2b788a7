"""Tests of acaciaspoke.gateway.table_follower."""

import unittest

from acaciaspoke.gateway.table_follower import (
    FEED_WAIT_S,
    LAG_GRACE_S,
    MAX_UNSCALED_HOSTS,
    PAUSES_S,
    ConfigurationLag,
    feed_wait_s,
    pause_s,
)
from acaciaspoke.platform.store import OPERATOR_TABLE, UPSTREAMS_TABLE


class BehindWatchTest(unittest.TestCase):
    """The store turns some hosts away while the configuration changes."""

    def test_other_hosts_that_lag_do_not_hide_a_newer_version(self):
        # Once, each digest of a host that lagged as well began the wait anew,
        # and a version came into force 2.7 s late.
        watch = ConfigurationLag()
        watch.record_local_version(3)
        self.assertFalse(watch.observe(35, 0.0))
        self.assertFalse(watch.observe(3, 0.1))
        self.assertFalse(watch.observe(35, 0.2))
        self.assertFalse(watch.observe(3, 0.3))
        self.assertTrue(watch.observe(37, LAG_GRACE_S + 0.01))

    def test_reading_again_is_not_asked_for_all_the_time(self):
        watch = ConfigurationLag()
        watch.observe(2, 0.0)
        self.assertTrue(watch.observe(2, 1.0))
        self.assertFalse(watch.observe(2, 1.1))

    def test_host_that_caught_up_is_not_behind(self):
        watch = ConfigurationLag()
        watch.observe(2, 0.0)
        watch.record_local_version(2)
        self.assertFalse(watch.observe(2, 1.0))
        self.assertFalse(watch.observe(3, 1.1))
        self.assertTrue(watch.observe(3, 1.5))

    def test_host_with_a_slow_link_can_read_on(self):
        # A host that needed half a second to read what it had missed was told
        # to begin anew every 0.3 s, and used an old configuration for 20 s.
        watch = ConfigurationLag()
        watch.observe(2, 0.0)
        told_s = [n / 10 for n in range(1, 60) if watch.observe(2, n / 10)]
        gaps_s = [b - a for a, b in zip(told_s, told_s[1:], strict=False)]
        self.assertLessEqual(told_s[0], LAG_GRACE_S + 0.11)
        self.assertEqual(sorted(gaps_s), gaps_s)
        self.assertGreater(max(gaps_s), 2.0)

    def test_waits_are_short_again_for_the_next_change(self):
        watch = ConfigurationLag()
        watch.observe(2, 0.0)
        for n in range(60):
            watch.observe(2, n / 10)
        watch.record_local_version(2)
        watch.observe(3, 10.0)
        self.assertTrue(watch.observe(3, 10.01 + LAG_GRACE_S))


class PauseTest(unittest.TestCase):
    """Many hosts follow rows that change with each order to an engine."""

    def test_more_hosts_read_less_often(self):
        few = pause_s(UPSTREAMS_TABLE, MAX_UNSCALED_HOSTS, 3.0)
        many = pause_s(UPSTREAMS_TABLE, 64, 3.0)
        self.assertEqual(PAUSES_S[UPSTREAMS_TABLE], few)
        self.assertGreater(many, 2 * few)

    def test_draining_upstream_is_seen_in_time(self):
        self.assertLess(pause_s(UPSTREAMS_TABLE, 2000, 3.0), 2.0)

    def test_configuration_is_read_at_once(self):
        few = pause_s(OPERATOR_TABLE, 3, 3.0)
        self.assertEqual(few, pause_s(OPERATOR_TABLE, 2000, 3.0))

    def test_calls_without_news_are_fewer_with_many_hosts(self):
        few = feed_wait_s(OPERATOR_TABLE, MAX_UNSCALED_HOSTS)
        self.assertEqual(FEED_WAIT_S, few)
        self.assertGreater(feed_wait_s(OPERATOR_TABLE, 64), 2 * few)
