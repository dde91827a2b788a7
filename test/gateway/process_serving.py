"""Runs a gateway as a process of its own, beside stand-ins in the test's."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import httpcore
import msgspec

from test.gateway.serving import READY_PORT, GatewayTest

START_TIMEOUT_S = 20.0


class GatewayProcessTest(GatewayTest):
    """Starts the gateway as a process.

    Attributes:
        process: The gateway.
        log_level: Lowest level that it logs.
        source_folder: The folder whose code it runs; None for the tree of the
            tests.
    """

    log_level = "info"
    source_folder: Path | None = None

    async def start_gateway(self, settings):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "gateway.json"
        settings = msgspec.structs.replace(settings, log_level=self.log_level)
        path.write_bytes(msgspec.json.encode(settings))
        self.log = self.enterContext((folder / "log").open("w+"))
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "acaciaspoke", "gateway"),
            *("--settings", str(path)),
            stdout=self.log,
            stderr=self.log,
            cwd=self.source_folder,
        )
        self.addAsyncCleanup(self._end_process, self.process)
        url = f"http://{settings.address}:{READY_PORT}/ready"
        await self._wait_for_200("GET", url)

    async def _end_process(self, process):
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def _wait_for_200(self, method, url):
        deadline_s = time.monotonic() + START_TIMEOUT_S
        status = None
        while status != 200:
            self.assertLess(time.monotonic(), deadline_s, "is not ready")
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    status = (await pool.request(method, url)).status
            except httpcore.ConnectError:
                status = None
            await asyncio.sleep(0.1)

    def read_log(self) -> str:
        """Returns what the gateway has logged."""
        # The gateway shares the position in the file, so it is opened again.
        return Path(self.log.name).read_text()
