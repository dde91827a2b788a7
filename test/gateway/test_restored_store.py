"""The store comes back from a copy and has lost what was written since."""

import time
from unittest import mock

import anyio
import msgspec

from acaciaspoke.clients.table import TableUnavailable
from acaciaspoke.gateway import loadexchange
from acaciaspoke.gateway.peers import PEER_MAX_AGE_S
from acaciaspoke.platform.store import OPERATOR_TABLE
from standins.faults import Faults
from test.gateway.restored_store import (
    CONFIGURATION_ROW,
    LEASE_ROW,
    RestoredStoreTest,
    changed_routes,
    host_row,
)
from test.gateway.serving import configuration, next_ip

# A host counts as unresponsive after one second without messages.
OBSERVED_S = 1.5

# Missing records are back within about two seconds.
MISSING_S = 1.5


class ConfigurationTest(RestoredStoreTest):

    async def test_configuration_written_after_the_restore_is_in_force(self):
        copy = self.store.copy()
        await self.put_configuration(configuration(2))
        await self.restore(copy)
        await self.put_configuration(changed_routes(3))
        self.assertEqual([200, 404], await self.statuses("/added/", "/short/"))

    async def test_configuration_written_again_and_changed_is_in_force(self):
        copy = self.store.copy()
        await self.put_configuration(configuration(2))
        await self.restore(copy)
        self.store.write_again()
        await self.put_configuration(changed_routes(3))
        self.assertEqual([200, 404], await self.statuses("/added/", "/short/"))

    async def _check_newest_stays(self, copy):
        await self.put_configuration(changed_routes(5))
        await self.restore(copy)
        await self.all_follow()
        self.assertEqual(5, self.version_in_force())
        self.assertEqual([200, 404], await self.statuses("/added/", "/short/"))
        self.store.put("op", "config", configuration(4))
        await self.all_follow()
        self.assertEqual(5, self.version_in_force())
        await self.put_configuration(configuration(6))
        self.assertEqual([404, 200], await self.statuses("/added/", "/safe/"))

    async def test_configuration_does_not_come_back_older(self):
        await self._check_newest_stays(self.store.copy())

    async def test_configuration_that_the_copy_lacks_stays_in_force(self):
        copy = self.store.copy()
        del copy.rows[CONFIGURATION_ROW]
        await self._check_newest_stays(copy)

    async def test_host_that_starts_with_the_copy_gets_the_newest(self):
        copy = self.store.copy()
        await self.put_configuration(changed_routes(5))
        await self.restore(copy)
        await self.start_host("h2")
        await self.eventually(lambda: self.version_in_force() == 5)
        self.assertEqual([200, 404], await self.statuses("/added/", "/short/"))

    async def test_host_with_an_aggregator_gets_the_newest(self):
        # It asked the sender of the sum of all loads, which is no host.
        with mock.patch.object(loadexchange, "MAX_DIRECT_HOSTS", 0):
            copy = self.store.copy()
            await self.put_configuration(changed_routes(5))
            await self.restore(copy)
            await self.start_host("h2")
            await self.eventually(lambda: self.version_in_force() == 5)

    async def test_host_that_cannot_read_a_restored_store_gets_the_newest(self):
        async def fail(*_, **__):
            raise TableUnavailable("cut off")

        await self.restore(self.store.copy())
        host = await self.start_host("h2")
        host._store._rows = fail
        host._followers[OPERATOR_TABLE].restart()
        await self.put_configuration(changed_routes(5))
        self.assertEqual([200, 404], await self.statuses("/added/", "/short/"))


class UpstreamTest(RestoredStoreTest):

    async def _check_gets_nothing(self, worker):
        worker.arrivals.clear()
        self.assertNotIn(worker.name, self.known())
        self.assertEqual([200] * 6, await self.statuses(*["/safe/x"] * 6))
        self.assertEqual([], worker.arrivals)

    async def test_upstream_that_drains_after_the_restore_gets_nothing(self):
        copy = self.store.copy()
        await self.worker("app3", "app")
        await self.eventually(lambda: "app3" in self.known())
        await self.restore(copy)
        self.store.put("servers", "app1", self.apps[0].row(state="draining"))
        await self.eventually(lambda: "app1" not in self.known())
        await self._check_gets_nothing(self.apps[0])

    async def test_upstream_that_is_added_after_the_restore_is_used(self):
        copy = self.store.copy()
        await self.restore(copy)
        added = await self.worker("app3", "app")
        await self.eventually(lambda: "app3" in self.known())
        self.assertEqual([200] * 6, await self.statuses(*["/safe/x"] * 6))
        self.assertNotEqual([], added.arrivals)

    async def test_draining_upstream_is_not_ready_again(self):
        copy = self.store.copy()
        self.store.put("servers", "app1", self.apps[0].row(state="draining"))
        await self.eventually(lambda: "app1" not in self.known())
        await self.restore(copy)
        await self.all_follow()
        await self._check_gets_nothing(self.apps[0])
        self.store.write_again()
        self.store.remove("servers", "app1")
        await self.worker("app3", "app")
        await self.eventually(lambda: "app3" in self.known())
        await self._check_gets_nothing(self.apps[0])

    async def test_restarted_upstream_that_had_drained_is_used(self):
        """The drain was that of the process before."""
        copy = self.store.copy()
        self.store.put("servers", "app1", self.apps[0].row(state="draining"))
        await self.eventually(lambda: "app1" not in self.known())
        await self.restore(copy)
        self.store.put("servers", "app1", self.apps[0].row(born=2))
        await self.eventually(lambda: "app1" in self.known())

    async def test_upstream_that_was_removed_gets_nothing(self):
        copy = self.store.copy()
        self.store.remove("servers", "app1")
        await self.eventually(lambda: "app1" not in self.known())
        await self.restore(copy)
        await self.all_follow()
        await self._check_gets_nothing(self.apps[0])

    async def test_removed_upstream_that_registers_again_is_used(self):
        copy = self.store.copy()
        self.store.remove("servers", "app1")
        await self.eventually(lambda: "app1" not in self.known())
        await self.restore(copy)
        await self.all_follow()
        self.store.put("servers", "app1", self.apps[0].row(seq=9, slots=5))
        await self.eventually(lambda: "app1" in self.known())

    async def test_record_of_the_process_before_is_not_used(self):
        copy = self.store.copy()
        holders = self.gateway._dispatcher.fleet.upstreams
        self.engines[0].born = 2
        self.engines[0].models = {}
        self.store.put("servers", "llm1", self.engines[0].row())
        await self.eventually(lambda: holders["llm1"].record.started_ms == 2)
        await self.restore(copy)
        await self.all_follow()
        self.assertEqual(2, holders["llm1"].record.started_ms)
        self.assertEqual(frozenset(), holders["llm1"].record.artifacts)

    async def _observe(self, name, for_s):
        deadline_s = time.monotonic() + for_s
        while time.monotonic() < deadline_s:
            self.assertIn(name, self.known())
            self.assertEqual([200] * 3, await self.statuses(*["/safe/x"] * 3))

    async def test_upstream_that_the_copy_lacks_goes_on_serving(self):
        copy = self.store.copy()
        added = await self.worker("app3", "app")
        await self.eventually(lambda: "app3" in self.known())
        await self.restore(copy)
        await self._observe("app3", MISSING_S)
        self.store.write_again()
        await self.all_follow()
        added.arrivals.clear()
        # Longer than upstreams without a record are kept.
        await self._observe("app3", self.gateway._settings.drain_ms / 1000)
        self.assertNotEqual([], added.arrivals)

    async def test_upstream_whose_record_does_not_return_gets_nothing(self):
        copy = self.store.copy()
        added = await self.worker("app3", "app")
        await self.eventually(lambda: "app3" in self.known())
        await self.restore(copy)
        await self.eventually(lambda: "app3" not in self.known())
        await self._check_gets_nothing(added)

    async def test_change_is_not_missed_if_the_version_exists_again(self):
        copy = self.store.copy()
        await self.lose_versions()
        newest = self.store.version
        self.store.restore(copy)
        # The follower asks again after versions that are higher by now.
        self.store.put("servers", "app1", self.apps[0].row(state="draining"))
        while self.store.version <= newest:
            self.store.put("servers", "app2", self.apps[1].row())
        await self.eventually(lambda: "app1" not in self.known())
        await self._check_gets_nothing(self.apps[0])


class HostTest(RestoredStoreTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.copy = self.store.copy()
        self.first = self.gateway
        self.second = await self.start_host("h2")
        await self.eventually(self._exchange_messages)

    def _exchange_messages(self):
        now_s = time.monotonic()
        return "h2" in self.first._peers.live(
            now_s
        ) and "h1" in self.second._peers.live(now_s)

    async def test_lost_row_of_a_host_is_written_again(self):
        row = self.store.rows[host_row("h2")][0]
        await self.restore(self.copy)
        self.assertNotIn(host_row("h2"), self.store.rows)
        await self.eventually(lambda: host_row("h2") in self.store.rows)
        self.assertEqual(row, self.store.rows[host_row("h2")][0])

    async def test_outdated_row_of_a_host_is_written_again(self):
        """The copy has the row that an earlier process of the host wrote."""
        row, version = self.store.rows[host_row("h2")]
        outdated = msgspec.json.decode(row) | {"address": next_ip()}
        value = msgspec.json.encode(outdated)
        self.copy.rows[host_row("h2")] = (value, version)
        await self.restore(self.copy)
        await self.eventually(lambda: self.store.rows[host_row("h2")][0] == row)

    async def test_hosts_exchange_messages_while_a_row_is_missing(self):
        await self.restore(self.copy)
        # The row cannot be written yet.
        self.store.set_faults(Faults(drop_requests=1_000_000))
        await self.eventually(
            lambda: self.store.count_followers("hosts") >= len(self.gateways)
        )
        # Messages of before would be too old at the end.
        await anyio.sleep(PEER_MAX_AGE_S + OBSERVED_S)
        await self.eventually(self._exchange_messages)
        self.assertNotIn(host_row("h2"), self.store.rows)
        self.store.set_faults(Faults())
        await self.eventually(lambda: host_row("h2") in self.store.rows)

    async def test_host_that_starts_after_the_restore_is_discovered(self):
        await self.restore(self.copy)
        third = await self.start_host("h3")
        for gateway in (self.first, self.second):
            await self.eventually(
                lambda gateway=gateway: "h3"
                in gateway._peers.live(time.monotonic())
            )
        await self.eventually(
            lambda: {"h1", "h2"} <= set(third._peers.live(time.monotonic()))
        )


class LeaseTest(RestoredStoreTest):
    """Fencing tokens of two holders must not be the same."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.copy = self.store.copy()
        await self.raise_epoch(6)

    async def _check_holder(self):
        epoch, token = self.epoch(), self.next_token()
        await self.restore(self.copy)
        await self.eventually(
            lambda: self.epoch() > epoch and self.gateway._leader.holds_lease
        )
        self.assertGreater(self.next_token(), token)

    async def test_holder_whose_row_was_lost_gets_a_later_epoch(self):
        del self.copy.rows[LEASE_ROW]
        await self._check_holder()

    async def test_holder_whose_row_is_older_gets_a_later_epoch(self):
        await self._check_holder()

    async def _check_new_host(self):
        epoch = self.epoch()
        await self.end_host()
        await self.restore(self.copy)
        await self.start_host("h2")
        leader = self.gateway._leader
        await self.eventually(lambda: leader.holds_lease)
        self.assertGreater(self.epoch(), epoch)
        # The former holder may not know yet that it has lost the lease.
        self.assertFalse(leader.may_send_orders)

    async def test_new_host_gets_a_later_epoch_if_the_row_was_lost(self):
        del self.copy.rows[LEASE_ROW]
        await self._check_new_host()

    async def test_new_host_gets_a_later_epoch_if_the_row_is_older(self):
        await self._check_new_host()


class SecondRestoreTest(RestoredStoreTest):

    async def _check_follows(self, version):
        self.store.put("servers", "app1", self.apps[0].row(state="draining"))
        await self.put_configuration(configuration(version))
        await self.eventually(lambda: "app1" not in self.known())
        await self.eventually(lambda: host_row("h1") in self.store.rows)
        await self.eventually(lambda: self.gateway._leader.holds_lease)

    async def test_second_restore_before_the_first_was_noticed(self):
        copy = self.store.copy()
        del copy.rows[host_row("h1")], copy.rows[LEASE_ROW]
        epoch = self.epoch()
        await self.put_configuration(configuration(2))
        await self.lose_versions()
        self.store.restore(copy)
        self.store.put("op", "config", configuration(3))
        self.store.restore(copy)
        await self._check_follows(4)
        self.assertGreater(self.epoch(), epoch)

    async def test_second_restore_soon_after_the_first(self):
        copy = self.store.copy()
        del copy.rows[host_row("h1")], copy.rows[LEASE_ROW]
        for version in (2, 3):
            epoch = self.epoch()
            await self.put_configuration(configuration(version))
            await self.restore(copy)
            await self.all_follow()
            await self.eventually(lambda epoch=epoch: self.epoch() > epoch)
        await self._check_follows(4)
