"""SIGHUP to a gateway process that has just started."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

import httpcore
import msgspec

from test.gateway.serving import READY_PORT, TIMEOUT_S, GatewayTest


class HangupAtStartTest(GatewayTest):

    async def start_gateway(self, settings):
        # The process waits in the open call for the other end of the pipe.
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "gateway.json"
        os.mkfifo(self.path)
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "acaciaspoke", "gateway"),
            *("--settings", str(self.path)),
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self._end_process)
        self.settings = settings

    async def _end_process(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def _is_ready(self):
        url = f"http://{self.settings.address}:{READY_PORT}/ready"
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                return (await pool.request("GET", url)).status == 200
        except httpcore.ConnectError:
            return False

    async def test_process_goes_on(self):
        # It ended, as it handled the signal only once it served.
        pipe = await asyncio.to_thread(self.path.open, "wb")
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        self.assertIsNone(self.process.returncode)
        with pipe:
            pipe.write(msgspec.json.encode(self.settings))
        async with asyncio.timeout(2 * TIMEOUT_S):
            while not await self._is_ready():
                self.assertIsNone(self.process.returncode)
                await asyncio.sleep(0.1)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(0, await self.process.wait())
