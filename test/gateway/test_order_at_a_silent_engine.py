"""An order that a silent engine takes late is not sent again."""

import asyncio

from test.gateway.kv_engines import EVENTS
from test.gateway.serving import GatewayTest

# Longer than an order's answer is waited for.
SILENCE_S = 1.3


class OrderAtASilentEngineTest(GatewayTest):

    async def test_engines_fall_silent_before_a_load(self):
        awake = asyncio.Event()

        async def stream(arrival):
            await arrival.stream(*EVENTS)

        leader = self.gateway._leader
        await self.eventually(
            lambda: leader.may_send_orders
            and len(leader._order_sender.trackers) == len(self.engines)
            and all(
                tracker.is_confirmed
                for tracker in leader._order_sender.trackers.values()
            )
        )
        for engine in self.engines:
            engine.script, engine.before_control = stream, awake.wait
        asking = [
            asyncio.create_task(
                self.ask(f"/stream/{n}", Acaciaspoke_Model="m2")
            )
            for n in range(3)
        ]
        await asyncio.sleep(SILENCE_S)
        awake.set()
        for answer in await asyncio.gather(*asking):
            self.assertEqual(200, answer.status)
        # The engine's state is queried again, and nothing else is ordered.
        await asyncio.sleep(1.0)
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m2")
        self.assertEqual(200, answer.status)
        orders = [order for engine in self.engines for order in engine.orders]
        self.assertEqual(["m2"], [order["model"] for order in orders])
