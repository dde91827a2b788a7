"""Runs gateways and a store that comes back from a copy."""

import asyncio

import anyio
import msgspec

from acaciaspoke.gateway.process import GatewayProcess
from acaciaspoke.platform.store import (
    HOSTS_TABLE,
    OPERATOR_TABLE,
    UPSTREAMS_TABLE,
)
from acaciaspoke.util.clock import boot_time_s
from standins.faults import Faults
from standins.gateway_documents import gateway_route
from standins.metastore import EXTERNAL_TABLES, StoreCopy
from test.gateway.serving import (
    LISTEN_PORT,
    READY_PORT,
    GatewayTest,
    configuration,
    next_ip,
)

CONFIGURATION_ROW = (OPERATOR_TABLE, "", "config")
LEASE_ROW = ("lease", "", "engines")
TABLES = (OPERATOR_TABLE, UPSTREAMS_TABLE, HOSTS_TABLE)

AWAY_S = 0.3

# Rows written again before a restore, so that versions of before are not
# reached soon after it.
LOST_VERSIONS = 100

# Requests that are sent together go to all upstreams.
ANSWER_S = 0.1

# A deployment in which an upstream whose record is missing is kept for longer.
LONG_DRAIN_MS = 3000


def host_row(name: str) -> tuple[str, str, str]:
    """Returns the key of a host's row."""
    return HOSTS_TABLE, "", name


def changed_routes(version: int) -> dict:
    """Returns a configuration that adds a route and removes another."""
    kept = [
        route
        for route in configuration()["routes"]
        if route["prefix"] != "/short/"
    ]
    added = gateway_route("/added/", "safe", "app")
    return configuration(version, routes=[*kept, added])


async def _answer_slowly(arrival) -> None:
    await anyio.sleep(ANSWER_S)
    await arrival.answer()


class RestoredStoreTest(GatewayTest):
    """Starts a gateway that holds the lease and has written its row.

    Attributes:
        gateways: The running gateways, by the name of their host.
    """

    async def asyncSetUp(self):
        self.gateways: dict[str, GatewayProcess] = {}
        await super().asyncSetUp()
        await self.eventually(lambda: self.gateway._leader.holds_lease)
        await self.all_follow()

    async def start_gateway(self, settings):
        settings = msgspec.structs.replace(settings, drain_ms=LONG_DRAIN_MS)
        await super().start_gateway(settings)
        self.gateways[settings.host] = self.gateway

    async def worker(self, name, service, models=None):
        """Starts and registers a worker, which answers after a while."""
        new_worker = await super().worker(name, service, models)
        new_worker.script = _answer_slowly
        return new_worker

    async def start_host(self, name: str) -> GatewayProcess:
        """Starts the gateway of another host; requests go to it from now on."""
        ip = next_ip()
        self.address = f"{ip}:{LISTEN_PORT}"
        settings = msgspec.structs.replace(
            self.gateway._settings,
            host=name,
            address=ip,
            listen=self.address,
            ready_listen=f"{ip}:{READY_PORT}",
        )
        await self.start_gateway(settings)
        await self.all_follow()
        return self.gateway

    async def end_host(self) -> None:
        """Ends the gateway that started last, without a stop."""
        del self.gateways[self.gateway._settings.host]
        task = self.tasks.pop()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def all_follow(self) -> None:
        """Waits until all gateways have read and follow the current era."""
        await self.eventually(
            lambda: all(
                self.store.count_followers(table) >= len(self.gateways)
                for table in TABLES
            )
            and all(host_row(name) in self.store.rows for name in self.gateways)
        )

    async def lose_versions(self) -> None:
        """Lets all hosts follow versions that a restore will lose.

        Rows of hosts stay as they are, since hosts pause after each change of
        them.
        """
        unchanged = [
            (key, row[0])
            for key, row in self.store.rows.items()
            if key[0] in EXTERNAL_TABLES
        ]
        for number in range(LOST_VERSIONS):
            (table, _, name), value = unchanged[number % len(unchanged)]
            self.store.put(table, name, value)
        await self.all_follow()

    async def restore(self, copy: StoreCopy) -> None:
        """Restores the store after it was away for a moment."""
        await self.lose_versions()
        self.store.set_faults(Faults(away=True))
        await anyio.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.set_faults(Faults())

    def version_in_force(self) -> int:
        """Returns the version of the configuration that is in force."""
        return self.gateway.app.configuration.version

    async def put_configuration(self, document: dict) -> None:
        """Writes a configuration and waits until it is in force."""
        self.store.put("op", "config", document)
        await self.eventually(
            lambda: self.version_in_force() == document["version"]
        )

    async def statuses(self, *paths: str) -> list[int]:
        """Returns the statuses of requests that are sent together."""
        answers = await asyncio.gather(
            *(self.ask(path, "GET") for path in paths)
        )
        return [answer.status for answer in answers]

    async def raise_epoch(self, epoch: int) -> None:
        """Lets the lease be acquired again, in an epoch after the given one."""
        row = {"holder": "", "boot": "", "epoch": epoch}
        self.store.put("lease", "engines", row)
        await self.eventually(
            lambda: self.gateway._leader.holds_lease and self.epoch() > epoch
        )

    def epoch(self) -> int:
        """Returns the epoch in which the gateway holds or held the lease."""
        return self.gateway._leader.lease.epoch

    def next_token(self) -> int:
        """Returns the next fencing token of the lease."""
        return self.gateway._leader.lease.next_token(boot_time_s())
