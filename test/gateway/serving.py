"""Runs a gateway and stand-ins in one event loop on loopback addresses."""

import asyncio
import itertools
import logging
import os
import socket
import time
import unittest
from collections.abc import Callable

import anyio
import httpcore

from acaciaspoke.gateway.process import GatewayProcess
from acaciaspoke.gateway.settings import GatewaySettings
from standins.gateway_documents import engine_spec, gateway_route
from standins.http import serving
from standins.metastore import MetaStore
from standins.worker import Worker

# Generous, as the machine may be busy.
TIMEOUT_S = 10.0

# Outside the range of ephemeral ports.
LISTEN_PORT = 7300
READY_PORT = 7301
PEER_PORT = 7380
STANDIN_PORT = 7400

_hosts = itertools.count(1)


def next_ip() -> str:
    """Returns a loopback address that no other test or test run uses."""
    high, low = divmod(os.getpid() % 62_500, 250)
    while True:
        ip = f"127.{high + 1}.{low + 1}.{next(_hosts) % 250 + 1}"
        if _is_free(ip):
            return ip


def _is_free(ip: str) -> bool:
    # The server of a cancelled gateway of an earlier test may still listen.
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, LISTEN_PORT))
        except OSError:
            return False
    return True


_request_ids = map("q{}".format, itertools.count())


def configuration(version: int = 1, **changes) -> dict:
    """Returns the operator's configuration for the tests."""
    engine = engine_spec(("m1", "m2"), backups=True, handle_s=5.0)
    return {
        "version": version,
        "routes": [
            gateway_route("/stream/", "streaming", "llm"),
            gateway_route("/resume/", "streaming", "llm", resumable=True),
            gateway_route("/safe/", "safe", "app"),
            gateway_route("/unsafe/", "unsafe", "app"),
            gateway_route("/short/", "unsafe", "app", **{"timeout-ms": 300}),
        ],
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        **changes,
    }


class _NoLog:
    dropped = 0


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    """Starts a store, two workers of each service and a gateway.

    Attributes:
        stop_grace_s: Time between a stop request and the end of the process.
    """

    stop_grace_s = 8

    async def asyncSetUp(self):
        # uvicorn logs responses that a test aborts on purpose.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        self.store = MetaStore()
        store = f"{next_ip()}:{STANDIN_PORT}"
        self.tasks = [asyncio.create_task(self._serve_store(store))]
        self.store.put("op", "config", configuration())
        self.apps = [await self.worker(f"app{n}", "app") for n in (1, 2)]
        self.engines = [
            await self.worker(f"llm{n}", "llm", {"m1": []}) for n in (1, 2)
        ]
        gateway_ip = next_ip()
        self.address = f"{gateway_ip}:{LISTEN_PORT}"
        settings = GatewaySettings(
            host="h1",
            failure_domain="a",
            address=gateway_ip,
            listen=self.address,
            ready_listen=f"{gateway_ip}:{READY_PORT}",
            internal_ports=(PEER_PORT, PEER_PORT + 1),
            store=store,
            metrics_port=PEER_PORT + 2,
            stop_grace_s=self.stop_grace_s,
        )
        await self.start_gateway(settings)

    async def start_gateway(self, settings: GatewaySettings) -> None:
        """Starts the gateway and waits until it is ready."""
        self.gateway = GatewayProcess(settings, _NoLog())
        self.tasks.append(asyncio.create_task(self.gateway.run()))
        await self.eventually(
            lambda: self.gateway.is_ready and len(self.known()) == 4
        )

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve_store(self, address: str) -> None:
        ip, port = address.split(":")
        async with serving(self.store.handle, ip, int(port)):
            await asyncio.Event().wait()

    def known(self) -> set[str]:
        """Returns the upstreams that may get new work."""
        fleet = self.gateway._dispatcher.fleet
        return {
            name
            for name, upstream in fleet.upstreams.items()
            if not upstream.is_draining
        }

    async def worker(self, name, service, models=None) -> Worker:
        """Starts and registers a worker."""
        address = f"{next_ip()}:{STANDIN_PORT}"
        new_worker = Worker(name, service, address, models)
        await self.enterAsyncContext(new_worker.serving())
        self.store.put("servers", name, new_worker.row())
        return new_worker

    async def eventually(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "took too long")
            await anyio.sleep(0.01)

    async def ask(
        self, path: str, method: str = "POST", body: bytes = b"x", **headers
    ) -> httpcore.Response:
        """Sends a request and reads the whole response."""
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f"http://{self.address}{path}",
                headers=self.headers(**headers),
                content=body,
                extensions={"target": path.encode()},
            )

    def headers(self, **changes) -> dict[str, str]:
        """Returns the headers of a request."""
        return {
            "Host": "a.example",
            "Acaciaspoke-Attempt-Id": next(_request_ids),
            "Acaciaspoke-Time-Remaining-Ms": "5000",
            **{name.replace("_", "-"): text for name, text in changes.items()},
        }
