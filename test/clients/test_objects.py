"""Tests of the object store's client against the stand-in."""

import unittest

from acaciaspoke.clients.objects import ObjectsClient, ObjectsUnavailable
from acaciaspoke.util.metrics import Metrics
from standins.faults import Faults
from standins.objects import Objects
from test.builders import stand_in


class ObjectsTest(unittest.IsolatedAsyncioTestCase):

    async def test_gets_what_was_put(self):
        objects = Objects()
        async with stand_in(
            objects, lambda address: ObjectsClient(address, "b", 2.0, Metrics())
        ) as client:
            self.assertIsNone(await client.get("config/a b"))
            await client.put("config/a b", b"\x00data")
            self.assertEqual(await client.get("config/a b"), b"\x00data")

    async def test_reports_a_lost_response(self):
        """Guards against a put that counts as done without a response."""
        objects = Objects()
        async with stand_in(
            objects, lambda address: ObjectsClient(address, "b", 2.0, Metrics())
        ) as client:
            objects.set_faults(Faults(drop_answers=1))
            with self.assertRaises(ObjectsUnavailable):
                await client.put("a", b"data")
            objects.set_faults(Faults(refuse=True))
            with self.assertRaises(ObjectsUnavailable):
                await client.get("a")
