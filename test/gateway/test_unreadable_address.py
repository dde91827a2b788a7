"""An entry with an address that cannot be read affects nothing else."""

import asyncio
from unittest import mock

from acaciaspoke.platform.engine import fetch_report
from acaciaspoke.platform.store import HOSTS_TABLE
from standins.worker import Worker
from test.gateway.serving import GatewayTest

ADDRESSES = (
    *("[127.0.0.1:9", "127.0.0.1]:9", "[127.0.0.1]:9", "::1:9", "[::1:9"),
    *("[fe80::1%?]:9", "[fe80::1%a\r\nb: c]:9", "", "127.0.0.1", "x:9"),
)


class UnreadableAddressTest(GatewayTest):

    def _put_copies(self, worker: Worker) -> None:
        for number, address in enumerate(ADDRESSES):
            row = {**worker.row(), "address": address}
            self.store.put("servers", f"foreign{number}", row)

    async def _wait_until_read(self, name: str, service: str) -> None:
        # Rows are applied in the order of their versions.
        await self.worker(name, service, {"m1": []} if service == "llm" else {})
        await self.eventually(lambda: name in self.known())

    async def test_engine_entry_does_not_end_the_leading_process(self):
        # The report of the engine was requested from a URL that is no URL.
        await self.eventually(lambda: self.gateway._leader.may_send_orders)
        self._put_copies(self.engines[0])
        await self._wait_until_read("llm3", "llm")
        trackers = self.gateway._leader._order_sender.trackers
        await self.eventually(
            lambda: "llm3" in trackers and trackers["llm3"].is_confirmed
        )
        self.assertFalse(self.tasks[-1].done())
        self.assertFalse([name for name in trackers if "foreign" in name])

    async def test_entry_gets_no_requests(self):
        self._put_copies(self.apps[0])
        await self._wait_until_read("app3", "app")
        answers = await asyncio.gather(
            *(self.ask("/unsafe/x") for _ in range(20))
        )
        self.assertEqual({200}, {answer.status for answer in answers})

    async def test_error_in_the_call_of_one_engine_is_contained(self):
        async def fail_for_one(client, on_notice):
            if client is sender._clients.get("llm1"):
                raise ValueError("an error that no layer maps")
            return await fetch_report(client, on_notice)

        sender = self.gateway._leader._order_sender
        with mock.patch(
            "acaciaspoke.gateway.orders.fetch_report", fail_for_one
        ):
            await self.eventually(
                lambda: "llm2" in sender.trackers
                and sender.trackers["llm2"].is_confirmed
            )
            await self.eventually(
                lambda: self.gateway.metrics.faults._value.get() > 1
            )
        self.assertFalse(self.tasks[-1].done())
        await self.eventually(lambda: sender.trackers["llm1"].is_confirmed)

    async def test_host_entry_does_not_end_the_process(self):
        # A datagram to an address with a null character closed the socket.
        row = {"port": 7380, "failure_domain": "a"}
        addresses = ("a\0b", "\xe9", "", "a.example", "[::1]", "127.0.0.1:9")
        for number, address in enumerate(addresses):
            document = {**row, "address": address}
            self.store.put(HOSTS_TABLE, f"foreign{number}", document)
        self.store.put(HOSTS_TABLE, "h2", {**row, "address": "127.0.0.9"})
        rows = self.gateway._peers.rows
        await self.eventually(lambda: "h2" in rows)
        await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertFalse([name for name in rows if "foreign" in name])
        self.assertFalse(self.tasks[-1].done())
