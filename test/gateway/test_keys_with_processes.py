"""API keys at gateways as processes: versions, a lost and an old store."""

import asyncio
import time
from pathlib import Path

import httpcore
import msgspec

from acaciaspoke.gateway.api_keys import fingerprint
from soak.proxy import Proxy
from test.gateway.process_serving import GatewayProcessTest
from test.gateway.serving import (
    LISTEN_PORT,
    READY_PORT,
    STANDIN_PORT,
    next_ip,
)
from test.gateway.workspace_documents import (
    KEY,
    OTHER_KEY,
    UNKNOWN_KEY,
    entry,
    keyed_configuration,
)

WAIT_S = 20.0


class KeysWithProcessesTest(GatewayProcessTest):
    """Two gateways as processes; the second one reaches the store by a proxy.

    Attributes:
        logs: The files to which the gateways log.
    """

    log_level = "debug"

    async def asyncSetUp(self):
        self.logs = []
        await super().asyncSetUp()
        proxy_address = f"{next_ip()}:{STANDIN_PORT}"
        self.proxy = await self.enterAsyncContext(
            Proxy(proxy_address, self.settings.store)
        )
        self.first, ip = self.address, next_ip()
        self.second = f"{ip}:{LISTEN_PORT}"
        self.second_settings = msgspec.structs.replace(
            self.settings,
            host="h2",
            address=ip,
            listen=self.second,
            ready_listen=f"{ip}:{READY_PORT}",
            store=proxy_address,
        )
        await self.start_gateway(self.second_settings)

    async def start_gateway(self, settings):
        if settings.host not in self._hosts():
            self.store.put("op", "config", keyed_configuration(2, entry()))
        self.settings = settings
        await super().start_gateway(settings)
        self.logs.append(self.log)

    def _hosts(self) -> set[str]:
        return {key for table, _, key in self.store.rows if table == "hosts"}

    def tearDown(self):
        for log in self.logs:
            text = Path(log.name).read_text()
            for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
                self.assertNotIn(key, text)
            self.assertNotIn("Traceback", text)

    async def status(self, address, key=None, path="/unsafe/x") -> int:
        self.address = address
        headers = {"Acaciaspoke_Key": key} if key else {}
        return (await self.ask(path, **headers)).status

    async def until(self, address, key, status) -> list[int]:
        """Asks until a status is answered; returns the ones before."""
        deadline_s = time.monotonic() + WAIT_S
        seen = []
        while (found := await self.status(address, key)) != status:
            seen.append(found)
            self.assertLess(time.monotonic(), deadline_s, seen)
            await asyncio.sleep(0.05)
        return seen

    async def _is_listening(self) -> bool:
        try:
            await self.status(self.second)
        except httpcore.ConnectError:
            return False
        return True

    async def test_keys_are_added_and_removed(self):
        for address in (self.first, self.second):
            self.assertEqual(200, await self.status(address, KEY))
            await self.until(address, UNKNOWN_KEY, 401)
            self.assertEqual(401, await self.status(address))
            self.assertEqual(200, await self.status(address, None, "/public/x"))
        self.store.put(
            "op", "config", keyed_configuration(3, entry("alpha", OTHER_KEY))
        )
        for address in (self.first, self.second):
            await self.until(address, OTHER_KEY, 200)
            self.assertEqual(401, await self.status(address, KEY))
        for app in self.apps:
            for arrival in app.arrivals:
                self.assertNotIn("acaciaspoke-key", arrival.headers)
        digits = fingerprint(UNKNOWN_KEY.encode())
        # Lines are written in batches, by a thread.
        await self.eventually(lambda: digits in self.read_log())

    async def test_host_that_lost_the_store_gets_keys_from_another(self):
        """It answered 401 for a key that all other hosts knew."""
        await self.until(self.second, UNKNOWN_KEY, 401)
        self.proxy.refuse()
        self.proxy.reset()
        self.store.put(
            "op", "config", keyed_configuration(3, entry("alpha", OTHER_KEY))
        )
        await self.until(self.first, OTHER_KEY, 200)
        seen = await self.until(self.second, OTHER_KEY, 200)
        # The first host announces its version ten times a second, and is asked
        # for it some tenths of a second later.
        self.assertIn(503, seen)
        self.assertNotIn(401, seen[seen.index(503) :])
        await self.until(self.second, KEY, 401)
        # A host that it can reach confirms its configuration.
        self.assertEqual(401, await self.status(self.second, UNKNOWN_KEY))

    async def test_old_copy_of_the_store_reverts_nothing(self):
        copy = self.store.copy()
        self.store.put(
            "op", "config", keyed_configuration(3, entry("alpha", OTHER_KEY))
        )
        for address in (self.first, self.second):
            await self.until(address, OTHER_KEY, 200)
        self.store.restore(copy)
        for _ in range(20):
            for address in (self.first, self.second):
                self.assertEqual(200, await self.status(address, OTHER_KEY))
                self.assertNotEqual(200, await self.status(address, KEY))
            await asyncio.sleep(0.05)

    async def test_restart_with_an_old_copy_of_the_store(self):
        """A host that starts gets the newer version from another one."""
        copy = self.store.copy()
        self.store.put(
            "op", "config", keyed_configuration(3, entry("alpha", OTHER_KEY))
        )
        for address in (self.first, self.second):
            await self.until(address, OTHER_KEY, 200)
        self.process.kill()
        await self.process.wait()
        self.store.restore(copy)
        starting = asyncio.create_task(self.start_gateway(self.second_settings))
        while not await self._is_listening():
            await asyncio.sleep(0.01)
        seen = await self.until(self.second, OTHER_KEY, 200)
        self.assertLessEqual(set(seen), {503})
        await starting
        await self.until(self.second, KEY, 401)

    async def test_restart_without_the_store(self):
        """A host without a configuration does not know whose key is valid."""
        self.process.kill()
        await self.process.wait()
        self.proxy.refuse()
        self.proxy.reset()
        starting = asyncio.create_task(self.start_gateway(self.second_settings))
        try:
            while not await self._is_listening():
                await asyncio.sleep(0.05)
            self.assertEqual(503, await self.status(self.second, KEY))
            self.assertEqual(503, await self.status(self.second, UNKNOWN_KEY))
            await self.proxy.listen()
            await self.until(self.second, KEY, 200)
            await self.until(self.second, UNKNOWN_KEY, 401)
        finally:
            await starting
