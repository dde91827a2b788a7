"""Configurations that change while streams pause, wait or are moved."""

import asyncio

from test.gateway.configuration_changes import changes_of
from test.gateway.kv_engines import refuse
from test.gateway.serving import configuration
from test.gateway.silent_streams import SilentStreamTest
from test.gateway.test_forwarding import LostLinksTest

SILENCE_S = 1.3

# Longer than the time after which runs of silent engines are stopped.
LONG_SILENCE_S = 2.2


class ChangesTest(SilentStreamTest):
    """Applies all changes one after another."""

    def gateways(self):
        return [self.gateway]

    async def change(self, changes) -> None:
        version = self.gateway.app.configuration.version + 1
        self.store.put("op", "config", configuration(version, **changes))
        await self.eventually(
            lambda: all(
                gateway.app.configuration.version == version
                for gateway in self.gateways()
            )
        )

    async def change_often(self) -> None:
        for changes in [*changes_of("/stream/"), {}]:
            await self.change(changes)

    async def begin_all(self) -> None:
        """Has streams flow, and others wait for a slot or an event."""
        self.begin(5)
        self.begin(2, "/resume/x")
        await self.eventually(self.all_have_begun)


class ChangesAmidSilencesTest(ChangesTest):

    async def test_changes_before_a_silence(self):
        await self.begin_all()
        await self.change_often()
        await self.silent.pause(SILENCE_S)
        await self.check_answered()

    async def test_changes_amid_a_silence(self):
        await self.begin_all()
        pausing = asyncio.create_task(self.silent.pause(SILENCE_S))
        self.begin(4)
        await self.eventually(self.all_are_accepted)
        await self.change_often()
        await pausing
        await self.check_answered()

    async def test_changes_after_a_silence(self):
        await self.begin_all()
        pausing = asyncio.create_task(self.silent.pause(SILENCE_S))
        self.begin(4)
        await pausing
        await self.change_often()
        await self.check_answered()

    async def test_changes_while_runs_are_copied_and_stopped(self):
        self.silent.answers_calls = True
        self.silent.at_other = refuse
        await self.begin_all()
        pausing = asyncio.create_task(self.silent.pause(LONG_SILENCE_S))
        while not pausing.done():
            await self.change_often()
        await self.check_answered()
        self.assertTrue(self.silent.stopped)


class ForwardedTest(ChangesTest, LostLinksTest):

    def gateways(self):
        return [self.gateway, *self.others]

    async def test_changes_amid_silences_of_forwarded_streams(self):
        await self.begin_all()
        pausing = asyncio.create_task(self.silent.pause(SILENCE_S))
        self.begin(2)
        await self.eventually(self.all_are_accepted)
        await self.change_often()
        await pausing
        await self.change_often()
        await self.check_answered()
        self.assertGreaterEqual(self.served_for_others(), 7)
