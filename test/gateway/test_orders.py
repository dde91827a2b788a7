"""Tests of acaciaspoke.gateway.orders."""

import unittest
from unittest import mock

from acaciaspoke.gateway.engine_tracker import EngineTracker
from acaciaspoke.gateway.engineview import PlannedOrder
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.orders import OrderSender
from acaciaspoke.ids import FencingToken, HostId, UpstreamId
from acaciaspoke.platform.engine import OrderAction, OrderResult
from test.gateway.builders import artifact, record

OLD, NEW = artifact("m1", "a1"), artifact("m1", "a2")


class AdapterChangeTest(unittest.IsolatedAsyncioTestCase):
    """An adapter replaces another one without waiting for the next plan."""

    def setUp(self):
        self.tracker = EngineTracker(record("u1", "m1"))
        self.tracker.artifacts.add(OLD)
        self.tracker.is_confirmed = self.tracker.is_busy = True
        self.sent_orders: list[tuple[OrderAction, int]] = []
        self.busy: list[bool] = []

    async def _replace_adapter(self, unload_result: OrderResult) -> None:
        async def respond(client, upstream, order, on_notice) -> OrderResult:
            self.sent_orders.append((order.action, order.expected_seq))
            self.busy.append(self.tracker.is_busy)
            if order.action is OrderAction.UNLOAD:
                return unload_result
            return OrderResult.ACCEPTED

        planned = PlannedOrder(
            UpstreamId("u1"), OrderAction.UNLOAD, OLD, "", then_load=NEW
        )
        sender = OrderSender(
            HostId("h1"),
            lambda: FencingToken(1),
            GatewayMetrics(),
            lambda: None,
            lambda *_: None,
        )
        with mock.patch("acaciaspoke.gateway.orders.send_order", respond):
            async with sender:
                await sender.send(self.tracker, planned, 0.1)

    async def test_waited_for_adapter_is_loaded_right_after_the_unload(self):
        # Otherwise only the next plan loads it.
        await self._replace_adapter(OrderResult.HOLDS_ALREADY)
        self.assertEqual(
            [(OrderAction.UNLOAD, 0), (OrderAction.LOAD, 1)], self.sent_orders
        )
        self.assertIn(NEW, self.tracker.artifacts)
        self.assertNotIn(OLD, self.tracker.artifacts)
        self.assertEqual(
            ([True, True], False), (self.busy, self.tracker.is_busy)
        )

    async def test_nothing_is_loaded_unless_the_unload_is_confirmed(self):
        for result in (OrderResult.UNKNOWN, OrderResult.CONFLICT):
            self.sent_orders.clear()
            await self._replace_adapter(result)
            self.assertEqual([(OrderAction.UNLOAD, 0)], self.sent_orders)
