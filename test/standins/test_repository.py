"""Tests of the stand-ins for an engine's memory and the weight store."""

import asyncio
import unittest

from standins.repository import RefusedError, Repository
from standins.weights import WeightStore


def load(repository, name, memory_bytes, token=0, base=None):
    repository.load(
        name,
        {
            "memory_bytes": memory_bytes,
            "fencing_token": token,
            "base_model": base,
        },
    )


class RepositoryTest(unittest.TestCase):

    def test_counts_overcommits_and_applies_them(self):
        """Guards against a stand-in that hides overcommits from tests."""
        repository = Repository(memory_bytes=10)
        load(repository, "m1", 8)
        load(repository, "m1", 8)
        self.assertEqual(repository.overcommits, 0)
        load(repository, "m2", 3)
        self.assertEqual(repository.overcommits, 1)
        self.assertEqual(repository.used_bytes, 11)

    def test_old_token_is_refused_only_if_fencing_is_checked(self):
        checks = Repository(memory_bytes=10, checks_fencing=True)
        ignores = Repository(memory_bytes=10)
        for repository in (checks, ignores):
            repository.fence(5)
        with self.assertRaises(RefusedError):
            load(checks, "m1", 1, token=4)
        load(ignores, "m1", 1, token=4)

    def test_adapter_needs_its_base_model(self):
        repository = Repository(memory_bytes=10)
        with self.assertRaises(RefusedError):
            load(repository, "a1", 1, base="m1")
        load(repository, "m1", 1)
        load(repository, "a1", 1, base="m1")
        with self.assertRaises(RefusedError):
            repository.unload("m1", {})


class WeightStoreTest(unittest.TestCase):

    def test_adapters_slow_down_beyond_the_transit_limit(self):
        """Guards against a stand-in that does not slow down excess loads."""
        waits = []

        async def sleep(delay_s):
            waits.append(delay_s)
            await asyncio.sleep(0)

        store = WeightStore(
            adapters_in_transit=2,
            adapter_load_s=1.0,
            sleep=sleep,
            clock=lambda: 0.0,
        )

        async def load_four():
            await asyncio.gather(*(store.load_adapter() for _ in range(4)))

        asyncio.run(load_four())
        self.assertEqual(waits, [1.0, 1.0, 1.5, 2.0])
        self.assertEqual(store.max_adapters_in_transit, 4)
