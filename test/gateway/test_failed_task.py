"""A background task of a gateway fails; requests are answered all the same."""

import asyncio
from unittest import mock

from acaciaspoke.gateway import supervision
from test.gateway.serving import GatewayTest


class FailedTaskTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        pause = mock.patch.object(supervision, "RESTART_PAUSE_S", 0.05)
        pause.start()
        self.addCleanup(pause.stop)

    def _fail_once(self, part, name):
        """Lets a method of a part raise once; returns whether it has."""
        has_failed = asyncio.Event()
        method = getattr(part, name)

        def fail(*args, **kwargs):
            if not has_failed.is_set():
                has_failed.set()
                raise KeyError("a fault of a test")
            return method(*args, **kwargs)

        patch = mock.patch.object(part, name, fail)
        patch.start()
        self.addCleanup(patch.stop)
        return has_failed

    async def test_requests_are_answered_after_a_task_has_failed(self):
        gateway = self.gateway
        for part, name in (
            (gateway._dispatcher.versions, "observe"),
            (gateway._registry, "drop_lapsed"),
            (gateway._leader.lease, "step"),
            (gateway._replica_waits, "update"),
        ):
            with self.subTest(part=type(part).__name__):
                has_failed = self._fail_once(part, name)
                running = asyncio.create_task(self.ask("/safe/x", "GET", b""))
                await asyncio.wait_for(has_failed.wait(), 5.0)
                self.assertEqual(200, (await running).status)
                answer = await self.ask("/unsafe/x")
                self.assertEqual(200, answer.status)
                self.assertFalse(self.tasks[-1].done())

    async def test_task_goes_on_after_it_has_failed(self):
        has_failed = self._fail_once(self.gateway._registry, "drop_lapsed")
        await asyncio.wait_for(has_failed.wait(), 5.0)
        self.store.put(
            "servers", "app1", self.apps[0].row(state="draining", seq=2)
        )
        await self.eventually(lambda: "app1" not in self.known())
        exposition = self.gateway.metrics.exposition()
        self.assertIn(b"acaciaspoke_faults_total 1.0", exposition)
