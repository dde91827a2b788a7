"""Names of callers that make a message larger than a datagram."""

import asyncio
import unittest

from acaciaspoke.gateway.process import GatewayProcess
from acaciaspoke.gateway.settings import GatewaySettings
from acaciaspoke.platform.headers import PROMPT_PREFIX, decode_request
from standins.gateway_documents import engine_spec
from test.gateway.serving import (
    LISTEN_PORT,
    PEER_PORT,
    READY_PORT,
    GatewayTest,
    _NoLog,
    configuration,
    next_ip,
)

LONG_NAME = "n" * 15_000


class LongNamesTest(GatewayTest):
    """The leader learned nothing of the demand of the host's other callers."""

    async def start_gateway(self, settings: GatewaySettings) -> None:
        await super().start_gateway(settings)
        self.leader = self.gateway
        await self.eventually(lambda: self.leader._leader.holds_lease)
        ip = next_ip()
        self.address = f"{ip}:{LISTEN_PORT}"
        self.gateway = GatewayProcess(
            GatewaySettings(
                host="h2",
                failure_domain="a",
                address=ip,
                listen=self.address,
                ready_listen=f"{ip}:{READY_PORT}",
                internal_ports=(PEER_PORT, PEER_PORT + 1),
                store=settings.store,
                metrics_port=PEER_PORT + 2,
            ),
            _NoLog(),
        )
        self.tasks.append(asyncio.create_task(self.gateway.run()))
        await self.eventually(
            lambda: self.gateway.is_ready
            and len(self.known()) == 4
            and self.gateway._known_leader.host == "h1"
        )

        # The engines have room for four models.
        engine = engine_spec([f"m{n}" for n in range(1, 10)])
        services = [{"name": "app"}, {"name": "llm", "engine": engine}]
        self.store.put("op", "config", configuration(2, services=services))
        await self.eventually(
            lambda: self.leader.app.configuration.version
            == self.gateway.app.configuration.version
            == 2
        )
        await asyncio.sleep(0.5)

    async def _check_loaded(self, name, expected_status):
        async def script(arrival):
            await arrival.stream(b"id: 1\n\n")

        for engine in self.engines:
            engine.script = script
        others = [
            asyncio.create_task(
                self.ask("/stream/x", Acaciaspoke_Model=f"{name}{number}")
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.2)
        answer = await self.ask(
            "/stream/x",
            Acaciaspoke_Model="m9",
            Acaciaspoke_Time_Remaining_Ms="2000",
        )
        self.assertEqual(200, answer.status)
        for other in others:
            self.assertEqual(expected_status, (await other).status)

    async def test_short_models(self):
        await self._check_loaded("n", 503)

    async def test_long_models(self):
        await self._check_loaded(LONG_NAME, 400)

    async def test_long_adapters(self):
        await self._check_loaded(f"m1/{LONG_NAME}", 400)


class LongPartsTest(unittest.TestCase):

    def test_long_parts_are_distinct_and_fit_into_messages(self):
        parts = [LONG_NAME + "a", LONG_NAME + "b", "c" * 128]
        header = ",".join(f"{part}:9" for part in [*parts, "last:1"])
        fields = decode_request([(PROMPT_PREFIX, header.encode())])
        self.assertEqual(3, len(set(fields.shared_parts)))
        self.assertEqual(parts[2], fields.shared_parts[2])
        self.assertLessEqual(max(map(len, fields.shared_parts)), 128)
