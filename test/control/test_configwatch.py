"""Tests of the configuration watch on a simulated, lossy network."""

import random
import unittest

import msgspec

from acaciaspoke.config.schema import Account, Config
from acaciaspoke.control import configwatch
from acaciaspoke.control.configwatch import ConfigWatch, pollers
from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import (
    AccountId,
    Address,
    BootId,
    ConfigVersion,
    DomainId,
    HostId,
)
from acaciaspoke.net.messages import ConfigPull, ConfigPush
from acaciaspoke.net.records import Member, PatchRow
from test.fakes import FakeNetwork


def apply(config: Config, row: PatchRow) -> Config:
    """Fakes the patch module: adds an account named by the patch."""
    if not row.merge_patch:
        raise AcaciaspokeError("empty patch")
    added = {AccountId(row.merge_patch): Account(key_sha256="0" * 64)}
    return msgspec.structs.replace(config, accounts=config.accounts | added)


def rows(first: int, last: int, text: str = "") -> list[PatchRow]:
    return [
        PatchRow(
            version=ConfigVersion(version),
            patch_id=f"p{version}",
            author="operator",
            merge_patch=text or f"account{version}",
        )
        for version in range(first, last + 1)
    ]


def member(index: int, version: int = 0) -> Member:
    return Member(
        host=HostId(f"h{index}"),
        boot=BootId("b"),
        failure_domain=DomainId("a"),
        address=Address(f"tcp://h{index}"),
        admin_address="127.0.0.1:1",
        config_version=ConfigVersion(version),
    )


def make(index: int = 0, now_s: float = 0.0) -> ConfigWatch:
    this = member(index)
    rng = random.Random(index)
    return ConfigWatch(this.host, this.address, apply, rng, now_s)


class Domain:
    """Watches that exchange messages; each gets one peer's probe a second."""

    def __init__(self, count: int, **network):
        self.net = FakeNetwork(1, **network)
        self.live = [member(index) for index in range(count)]
        self.watches = [make(index, self.net.now_s) for index in range(count)]
        self.sent_at = dict.fromkeys(range(count), self.net.now_s)
        for index in range(count):
            self.add(index)

    def add(self, index: int):
        watch = self.watches[index]

        def handle(message, now_s):
            if isinstance(message, ConfigPull):
                return watch.on_pull(message, now_s)
            return watch.on_push(message, self.live, now_s)

        def tick(now_s):
            watch.tick(now_s)
            if now_s - self.sent_at[index] < 1:
                return []
            self.sent_at[index] = now_s
            peer = self.net.rng.randrange(len(self.watches))
            probe = member(peer, self.watches[peer].version)
            return watch.on_peer_version(probe, now_s)

        self.net.add(member(index).address, handle, tick)

    def versions(self) -> set[int]:
        return {watch.version for watch in self.watches}


class ConfigWatchTest(unittest.TestCase):

    def test_pollers_are_few_and_agreed_on(self):
        """Guards against all hosts of a domain polling the table."""
        live = [member(index) for index in range(50)]
        chosen = pollers(live)
        self.assertEqual(len(chosen), 3)
        self.assertEqual(chosen, pollers(reversed(live)))
        remaining = [item for item in live if item.host != chosen[0]]
        self.assertEqual(pollers(remaining)[:2], chosen[1:])

    def test_other_hosts_poll_slowly(self):
        """Guards against a stale domain whose pollers are all cut off."""
        live = [member(index) for index in range(10)]
        watch = make(next(i for i in range(10) if f"h{i}" not in pollers(live)))
        watch.on_head(ConfigVersion(0), linearizable=True)
        times = [now for now in range(60) if watch.poll_due(live, float(now))]
        self.assertGreaterEqual(len(times), 5)
        self.assertLessEqual(len(times), 7)

    def test_stale_read_changes_nothing(self):
        """Guards against a version that reverts after a stale read."""
        watch = make()
        watch.on_rows(rows(1, 5), [])
        self.assertEqual(list(watch.on_head(ConfigVersion(3), False)), [])
        watch.on_rows(rows(2, 3), [])
        watch.restore(Config(version=ConfigVersion(4)))
        push = ConfigPush(snapshot='{"version": 2}', patches=tuple(rows(3, 3)))
        watch.on_push(push, [], 0.0)
        self.assertEqual(watch.version, 5)
        self.assertEqual(len(watch.config.accounts), 5)

    def test_gap_is_not_skipped(self):
        """Guards against a version in force that lacks a patch."""
        watch = make()
        watch.on_rows([*rows(1, 2), *rows(4, 5)], [])
        self.assertEqual(watch.version, 2)

    def test_patch_that_does_not_apply(self):
        """Guards against an invalid push that ends the process."""
        watch = make()
        bad = msgspec.structs.replace(rows(1, 1)[0], merge_patch="")
        watch.on_push(ConfigPush(patches=(bad,), snapshot="{"), [], 0.0)
        self.assertEqual(watch.version, 0)
        watch.on_rows(rows(1, 1), [])
        self.assertEqual(watch.version, 1)

    def test_ready_after_linearizable_read(self):
        """Guards against serving a stale version after a restart."""
        watch = make()
        watch.on_head(ConfigVersion(2), linearizable=False)
        self.assertFalse(watch.ready)
        watch.on_head(ConfigVersion(3), linearizable=True)
        watch.on_rows(rows(1, 2), [])
        self.assertFalse(watch.ready)
        watch.on_rows(rows(3, 3), [])
        self.assertTrue(watch.ready)

    def test_ready_from_peers_requires_the_highest_version(self):
        """Guards against adopting the version of the first peer to respond."""
        domain = Domain(6)
        for index, watch in enumerate(domain.watches[1:]):
            watch.on_rows(rows(1, 3 + index), [])
        watch = domain.watches[0]
        pulls = watch.on_table_unavailable(domain.live, domain.net.now_s)
        domain.net.send(member(0).address, pulls)
        while not watch.ready:
            domain.net.run(0.01)
        self.assertEqual(watch.version, 7)

    def test_not_ready_from_peers_without_a_version(self):
        """Guards against hosts that confirm an empty configuration."""
        domain = Domain(3)
        for _ in range(10):
            for index, watch in enumerate(domain.watches):
                now_s = domain.net.now_s
                pulls = watch.on_table_unavailable(domain.live, now_s)
                domain.net.send(member(index).address, pulls)
            domain.net.run(1)
        self.assertFalse(any(watch.ready for watch in domain.watches))

    def test_change_reaches_everyone(self):
        """Guards against hosts left on an old version by lost pushes."""
        domain = Domain(60, loss=0.2, repeats=0.2)
        poller = domain.watches[0]
        for version in range(1, 6):
            pushes = poller.on_rows(rows(version, version), domain.live)
            domain.net.send(member(0).address, pushes)
        domain.net.run(10)
        self.assertEqual(domain.versions(), {5})

    def test_host_far_behind_gets_bounded_pushes(self):
        """Guards against a single message with the whole history."""
        domain = Domain(2)
        text = "x" * (configwatch.MAX_PATCH_BYTES_PER_PUSH // 3)
        domain.watches[0].on_rows(rows(1, 20, text), [])
        pull = ConfigPull(
            reply_to=member(1).address, after_version=ConfigVersion(0)
        )
        [(_, push)] = domain.watches[0].on_pull(pull, 0.0)
        self.assertEqual(len(push.patches), 3)
        domain.net.run(10)
        self.assertEqual(domain.versions(), {20})

    def test_host_behind_the_retained_rows_gets_a_snapshot(self):
        """Guards against a host that its peers can no longer update."""
        domain = Domain(2)
        last = configwatch.MAX_RETAINED_ROWS + 10
        domain.watches[0].on_rows(rows(1, last), [])
        domain.net.run(10)
        self.assertEqual(domain.versions(), {last})
        self.assertEqual(domain.watches[0].config, domain.watches[1].config)
