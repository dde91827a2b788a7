"""Streams from a gateway, with engines of several versions."""

import asyncio
import itertools
from typing import NamedTuple

import httpcore

from standins.worker import Arrival, Worker
from test.gateway.serving import GatewayTest

EVENTS = tuple(b"id: %d\ndata: x\n\n" % number for number in range(1, 4))

# Requests of which several are lost are blocked.
_bodies = map(b"body %d".__mod__, itertools.count())


class Received(NamedTuple):
    """What a caller got.

    Attributes:
        is_complete: Whether the response looks complete.
    """

    status: int
    body: bytes
    is_complete: bool


async def go_on(arrival: Arrival) -> None:
    """Sends the events after the last one that the caller has."""
    last = int(arrival.headers.get("last-event-id", 0))
    await arrival.stream(*EVENTS[last:])


async def break_off(arrival: Arrival) -> None:
    """Sends the next event and breaks off."""
    last = int(arrival.headers.get("last-event-id", 0))
    await arrival.stream(EVENTS[last], end=False)
    await asyncio.sleep(0.05)
    arrival.reset()


class StreamTest(GatewayTest):
    """Reads streams; can change the versions of the engines."""

    async def set_version(self, engine: Worker, version: str) -> None:
        """Changes the version in an engine's row; waits until it is known."""
        engine.version = version
        self.store.put("servers", engine.name, engine.row())
        await self.eventually(lambda: self.versions()[engine.name] == version)

    def versions(self) -> dict[str, str]:
        """Returns the versions of the upstreams that the gateway knows."""
        fleet = self.gateway._dispatcher.fleet
        return {
            name: upstream.record.version
            for name, upstream in fleet.upstreams.items()
        }

    async def read(self, path: str = "/resume/x", **headers: str) -> Received:
        """Sends a request and reads its stream as far as it goes."""
        received = bytearray()
        async with httpcore.AsyncConnectionPool() as pool:
            async with pool.stream(
                "POST",
                f"http://{self.address}{path}",
                headers=self.headers(Acaciaspoke_Model="m1", **headers),
                content=next(_bodies),
                extensions={"target": path.encode()},
            ) as response:
                try:
                    async for data in response.aiter_stream():
                        received += data
                except httpcore.RemoteProtocolError:
                    return Received(response.status, bytes(received), False)
        return Received(response.status, bytes(received), True)
