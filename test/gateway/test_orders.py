"""Tests of acaciaspoke.gateway.orders."""

import unittest
from unittest import mock

from acaciaspoke.gateway.engine_tracker import EngineTracker
from acaciaspoke.gateway.engineview import PlannedOrder
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.orders import OrderSender
from acaciaspoke.ids import FencingToken, HostId, UpstreamId
from acaciaspoke.platform.engine import Order, OrderAction, OrderResult
from test.gateway.builders import artifact, record

OLD, NEW = artifact("m1", "a1"), artifact("m1", "a2")


class AdapterChangeTest(unittest.IsolatedAsyncioTestCase):
    """Adapters are asked for faster than plans are made."""

    def setUp(self):
        self.tracker = EngineTracker(record("u1", "m1"))
        self.tracker.artifacts.add(OLD)
        self.tracker.is_confirmed = self.tracker.is_busy = True
        self.given: list[tuple[OrderAction, int]] = []
        self.busy: list[bool] = []

    async def _change(self, of_unload: OrderResult) -> None:
        async def answer(client, upstream, order: Order) -> OrderResult:
            self.given.append((order.action, order.expected_seq))
            self.busy.append(self.tracker.is_busy)
            if order.action is OrderAction.UNLOAD:
                return of_unload
            return OrderResult.ACCEPTED

        planned = PlannedOrder(
            UpstreamId("u1"), OrderAction.UNLOAD, OLD, "", then_load=NEW
        )
        sender = OrderSender(
            HostId("h1"),
            lambda: FencingToken(1),
            GatewayMetrics(),
            lambda: None,
        )
        with mock.patch("acaciaspoke.gateway.orders.send_order", answer):
            async with sender:
                await sender.send(self.tracker, planned, 0.1)

    async def test_adapter_that_is_waited_for_follows_at_once(self):
        # It was loaded by the next plan only.
        await self._change(OrderResult.HOLDS_ALREADY)
        self.assertEqual(
            [(OrderAction.UNLOAD, 0), (OrderAction.LOAD, 1)], self.given
        )
        self.assertIn(NEW, self.tracker.artifacts)
        self.assertNotIn(OLD, self.tracker.artifacts)
        self.assertEqual(
            ([True, True], False), (self.busy, self.tracker.is_busy)
        )

    async def test_nothing_is_loaded_in_the_place_of_what_may_be_there(self):
        for result in (OrderResult.UNKNOWN, OrderResult.CONFLICT):
            self.given.clear()
            await self._change(result)
            self.assertEqual([(OrderAction.UNLOAD, 0)], self.given)
