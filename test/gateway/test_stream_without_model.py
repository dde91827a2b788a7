"""Streams of services whose requests name no model."""

import asyncio

from standins.gateway_documents import gateway_route
from test.gateway.serving import GatewayTest, configuration

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 4))


async def _stream_in_pieces(arrival):
    await arrival.stream(end=False)
    for event in (*EVENTS, b""):
        arrival.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await arrival.writer.drain()
        await asyncio.sleep(0.02)


class StreamWithoutModelTest(GatewayTest):
    """Its connection was closed at the second event."""

    async def _check_whole(self, service, workers):
        for worker in workers:
            worker.script = _stream_in_pieces
        route = gateway_route("/plain/", "streaming", service)
        self.store.put("op", "config", configuration(2, routes=[route]))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
        )
        answer = await self.ask("/plain/x")
        self.assertEqual(
            (200, b"".join(EVENTS)), (answer.status, answer.content)
        )

    async def test_at_a_service_without_models(self):
        await self._check_whole("app", self.apps)

    async def test_at_a_service_with_models(self):
        await self._check_whole("llm", self.engines)
