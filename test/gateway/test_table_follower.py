"""Tests of acaciaspoke.gateway.table_follower."""

import unittest

import anyio

from acaciaspoke.clients.table import TableUnavailable
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.table_follower import (
    FEED_WAIT_S,
    LAG_GRACE_S,
    MAX_RETRY_S,
    MAX_UNSCALED_HOSTS,
    PAUSES_S,
    RETRY_S,
    ConfigurationLag,
    TableFollower,
    feed_wait_s,
    pause_s,
    retry_pause_s,
)
from acaciaspoke.platform.store import (
    OPERATOR_TABLE,
    UPSTREAMS_TABLE,
    FeedPage,
)
from test.virtualtime import run


class ConfigurationLagTest(unittest.TestCase):
    """The store rejects some hosts while the configuration changes."""

    def test_other_hosts_that_lag_do_not_hide_a_newer_version(self):
        # When digests of hosts that lag as well reset the wait, a version came
        # into force 2.7 s late.
        lag = ConfigurationLag()
        lag.record_local_version(3)
        self.assertFalse(lag.observe(35, 0.0))
        self.assertFalse(lag.observe(3, 0.1))
        self.assertFalse(lag.observe(35, 0.2))
        self.assertFalse(lag.observe(3, 0.3))
        self.assertTrue(lag.observe(37, LAG_GRACE_S + 0.01))

    def test_lag_does_not_ask_for_another_reading_at_once(self):
        lag = ConfigurationLag()
        lag.observe(2, 0.0)
        self.assertTrue(lag.observe(2, 1.0))
        self.assertFalse(lag.observe(2, 1.1))

    def test_host_with_the_newest_version_does_not_lag(self):
        lag = ConfigurationLag()
        lag.observe(2, 0.0)
        lag.record_local_version(2)
        self.assertFalse(lag.observe(2, 1.0))
        self.assertFalse(lag.observe(3, 1.1))
        self.assertTrue(lag.observe(3, 1.5))

    def test_host_with_a_slow_link_has_time_to_read(self):
        # A host that needed 0.5 s to read the table started again every 0.3 s,
        # and used an old configuration for 20 s.
        lag = ConfigurationLag()
        lag.observe(2, 0.0)
        reread_s = [n / 10 for n in range(1, 60) if lag.observe(2, n / 10)]
        gaps_s = [b - a for a, b in zip(reread_s, reread_s[1:], strict=False)]
        self.assertLessEqual(reread_s[0], LAG_GRACE_S + 0.11)
        self.assertEqual(sorted(gaps_s), gaps_s)
        self.assertGreater(max(gaps_s), 2.0)

    def test_wait_is_short_again_after_an_update(self):
        lag = ConfigurationLag()
        lag.observe(2, 0.0)
        for n in range(60):
            lag.observe(2, n / 10)
        lag.record_local_version(2)
        lag.observe(3, 10.0)
        self.assertTrue(lag.observe(3, 10.01 + LAG_GRACE_S))


class _RejectingStore:
    """Answers the first call, and turns away later ones until a time."""

    def __init__(self, until_s: float):
        self.calls_s = []
        self._until_s = until_s

    async def read_table(self, table):
        return FeedPage([], 1)

    async def follow(self, table, after, wait_s):
        self.calls_s.append(anyio.current_time())
        if anyio.current_time() < self._until_s:
            raise TableUnavailable("status 503")
        await anyio.sleep(wait_s)
        return FeedPage([], after)


class RejectedHostTest(unittest.TestCase):
    """The store turns some hosts away for seconds; each call is billed."""

    def _calls_s(self, hosts: int, until_s: float, end_s: float) -> list[float]:
        store = _RejectingStore(until_s)

        def retry_s(failures):
            return retry_pause_s(OPERATOR_TABLE, hosts, failures)

        async def follow():
            follower = TableFollower(
                store,
                OPERATOR_TABLE,
                apply=lambda *_: None,
                on_failure=lambda: None,
                on_recovery=lambda: None,
                metrics=GatewayMetrics(),
                pause_s=lambda: 0.1,
                wait_s=lambda: 3.0,
                retry_s=retry_s,
            )
            with anyio.move_on_after(end_s):
                await follower.run()

        run(follow)
        return store.calls_s

    def test_calls_of_many_hosts_become_rarer(self):
        # Each retried the two tables 66 to 70 times in vain within 9 s.
        self.assertLessEqual(len(self._calls_s(90, 9.0, 9.0)), 11)
        self.assertGreaterEqual(len(self._calls_s(9, 9.0, 9.0)), 35)

    def test_host_reads_soon_after_it_is_served_again(self):
        calls_s = self._calls_s(90, 5.0, 6.5)
        self.assertLessEqual(calls_s[-1], 5.0 + MAX_RETRY_S)

    def test_retries_are_frequent_again_after_a_response(self):
        self.assertEqual(RETRY_S, retry_pause_s(OPERATOR_TABLE, 90, 1))
        self.assertEqual(MAX_RETRY_S, retry_pause_s(OPERATOR_TABLE, 90, 2000))

    def test_rows_of_upstreams_are_asked_for_as_before(self):
        # They tell which upstreams leave.
        self.assertEqual(RETRY_S, retry_pause_s(UPSTREAMS_TABLE, 90, 9))


class PauseTest(unittest.TestCase):
    """Many hosts follow rows that change with each order to an engine."""

    def test_pause_grows_with_the_number_of_hosts(self):
        few = pause_s(UPSTREAMS_TABLE, MAX_UNSCALED_HOSTS, 3.0)
        many = pause_s(UPSTREAMS_TABLE, 64, 3.0)
        self.assertEqual(PAUSES_S[UPSTREAMS_TABLE], few)
        self.assertGreater(many, 2 * few)

    def test_pause_is_shorter_than_the_time_to_drain(self):
        self.assertLess(pause_s(UPSTREAMS_TABLE, 2000, 3.0), 2.0)

    def test_pause_for_the_configuration_does_not_grow(self):
        few = pause_s(OPERATOR_TABLE, 3, 3.0)
        self.assertEqual(few, pause_s(OPERATOR_TABLE, 2000, 3.0))

    def test_calls_wait_longer_with_many_hosts(self):
        few = feed_wait_s(OPERATOR_TABLE, MAX_UNSCALED_HOSTS)
        self.assertEqual(FEED_WAIT_S, few)
        self.assertGreater(feed_wait_s(OPERATOR_TABLE, 64), 2 * few)
