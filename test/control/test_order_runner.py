"""Tests of plans that are executed on engine stand-ins."""

import logging
import random
import unittest
from contextlib import AsyncExitStack

import anyio
import msgspec
from loguru import logger

from acaciaspoke.config.schema import WeightStore as Limits
from acaciaspoke.control.order_runner import OrderRunner
from acaciaspoke.control.orders import Target
from acaciaspoke.control.pacing import Pacer
from acaciaspoke.control.placement import plan
from acaciaspoke.util.metrics import Metrics
from standins.engine import Engine, Faults
from standins.weights import WeightStore
from test.control.fakes import FakeTable, lease_holder, serving_engine
from test.control.test_placement import Domain, fleet_config

MAX_PLANS = 400

# Faults and restarts happen during the first plans.
DISTURBED_PLANS = 40


class OrderRunnerTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        logger.disable("acaciaspoke")
        self.addCleanup(logger.enable, "acaciaspoke")

    async def start(self, stack, *, checks_fencing):
        """Serves one engine per upstream of the domain."""
        config = fleet_config(models=20, adapters=20)
        self.domain = Domain(config)
        self.store = WeightStore(
            model_loads_per_s=1000.0, model_load_s=0.005, adapter_load_s=0.001
        )
        self.engines, upstreams = {}, dict(config.upstreams)
        for name in self.domain.snapshot.reservations:
            engine = Engine(
                memory_bytes=100,
                checks_fencing=checks_fencing,
                weights=self.store,
            )
            upstreams[name], _ = await stack.enter_async_context(
                serving_engine(engine, upstreams[name])
            )
            self.engines[name] = engine
        self.domain.change(
            config=msgspec.structs.replace(config, upstreams=upstreams)
        )

    async def run_plans(self, disturb):
        """Executes plans until two in a row are empty and nothing runs."""
        sender = lease_holder(FakeTable(), 1, answer_timeout_s=1.0)
        pacer = Pacer(
            Limits(model_loads_per_s=1000.0, concurrent_model_loads=4), 0.0
        )
        idle = 0
        async with anyio.create_task_group() as tasks:
            runner = OrderRunner(sender, pacer, tasks, Metrics())
            for number in range(MAX_PLANS):
                snapshot = self.domain.snapshot
                upstreams = snapshot.config.upstreams
                reservations = {
                    name: await sender.reconcile(Target(name, upstreams[name]))
                    for name in snapshot.reservations
                }
                self.domain.change(
                    reservations=reservations, in_flight=pacer.in_flight
                )
                orders = plan(self.domain.snapshot)
                is_busy = orders or pacer.in_flight or number < DISTURBED_PLANS
                idle = 0 if is_busy else idle + 1
                if idle == 2:
                    return
                disturb(number)
                runner.start(orders, upstreams, anyio.current_time())
                await anyio.sleep(0.005)
        self.fail("the orders never end")

    async def check(self, *, checks_fencing):
        generator = random.Random(11)

        def disturb(number):
            if number >= DISTURBED_PLANS:
                return
            engine = generator.choice(list(self.engines.values()))
            engine.faults = generator.choice(
                [
                    Faults(lose_orders=1),
                    Faults(lose_answers=1),
                    Faults(late_orders=1, late_s=0.02),
                ]
            )
            if number in (15, 25):
                engine.restart()

        async with AsyncExitStack() as stack:
            await self.start(stack, checks_fencing=checks_fencing)
            await self.run_plans(disturb)
        config = self.domain.snapshot.config
        self.assertEqual(
            {
                key.name
                for engine in self.engines.values()
                for key in engine.repository.resident
            },
            config.models.keys() | config.adapters.keys(),
        )
        for engine in self.engines.values():
            self.assertEqual(engine.repository.overcommits, 0)

    async def test_all_artifacts_are_loaded_despite_lost_and_late_orders(self):
        """Guards against overcommitted memory and absent artifacts.

        Engines ignore or check fencing tokens, lose or delay orders, lose
        answers and restart.
        """
        for checks_fencing in (False, True):
            with self.subTest(checks_fencing=checks_fencing):
                await self.check(checks_fencing=checks_fencing)
