"""A host that stands still for a moment is no trouble for requests at it."""

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

import httpcore
import msgspec

from test.gateway.kv_engines import EVENTS, send_rest
from test.gateway.serving import (
    LISTEN_PORT,
    READY_PORT,
    TIMEOUT_S,
    GatewayTest,
    next_ip,
)
from test.gateway.test_forwarding import _LostLinks

SILENCE_S = 1.3

# Requests of each route that run then, and as many that come meanwhile.
REQUESTS = 3

# Headers of requests, by route.
HEADERS = {
    "stream": {"Acaciaspoke_Model": "m1"},
    "resume": {"Acaciaspoke_Model": "m1"},
    "safe": {},
    "unsafe": {},
}


class HostStandsStillTest(GatewayTest):
    """The first host has lost its links; the second one serves for it."""

    async def start_gateway(self, settings):
        await super().start_gateway(settings)
        ip = next_ip()
        settings = msgspec.structs.replace(
            settings,
            host="h2",
            address=ip,
            listen=f"{ip}:{LISTEN_PORT}",
            ready_listen=f"{ip}:{READY_PORT}",
        )
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "gateway.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.other = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "acaciaspoke", "gateway"),
            *("--settings", str(path)),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self._end_other)
        await self.eventually(
            lambda: self.gateway._loads.live(time.monotonic())
            and len(self.gateway._peers.rows) == 2
        )
        await self._wait_until_other_serves(settings.listen)
        for worker in (*self.apps, *self.engines):
            worker.arrivals.clear()
        self.gateway._dispatcher.fleet.links = _LostLinks()

    async def _wait_until_other_serves(self, address):
        """Waits until it knows the upstreams of both services."""
        async with (
            asyncio.timeout(TIMEOUT_S),
            httpcore.AsyncConnectionPool() as pool,
        ):
            for route in ("safe", "stream"):
                url, status = f"http://{address}/{route}/x", None
                while status != 200:
                    await asyncio.sleep(0.1)
                    headers = self.headers(**HEADERS[route])
                    answer = await pool.request("POST", url, headers=headers)
                    status = answer.status

    async def _end_other(self):
        self.other.kill()
        await self.other.wait()

    async def worker(self, name, service, models=None):
        new_worker = await super().worker(name, service, models)
        new_worker.script = self._stream if models else self._answer
        return new_worker

    async def _stream(self, arrival):
        await arrival.stream(*EVENTS[:2], end=False)
        await asyncio.sleep(0.5)
        await send_rest(arrival, 2)

    async def _answer(self, arrival):
        await asyncio.sleep(0.5)
        await arrival.answer()

    def _ask_all(self):
        return [
            asyncio.create_task(self.ask(f"/{route}/{n}", **headers))
            for route, headers in HEADERS.items()
            for n in range(REQUESTS)
        ]

    async def test_running_and_new_requests(self):
        asking = self._ask_all()
        await asyncio.sleep(0.2)
        self.other.send_signal(signal.SIGSTOP)
        try:
            asking += self._ask_all()
            await asyncio.sleep(SILENCE_S / 2)
            asking += self._ask_all()
            await asyncio.sleep(SILENCE_S / 2)
        finally:
            self.other.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*asking)
        self.assertEqual([200] * len(asking), [a.status for a in answers])
        workers = (*self.engines, *self.apps)
        arrivals = [arrival for each in workers for arrival in each.arrivals]
        self.assertEqual(len(asking), len(arrivals))
