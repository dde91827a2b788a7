"""A connection on which tests write requests byte by byte."""

import asyncio
from typing import NamedTuple

from test.gateway.serving import GatewayTest


class RawAnswer(NamedTuple):
    """An answer as it was read.

    Attributes:
        head: Status line and headers, in lower case.
    """

    status: int
    head: bytes
    body: bytes


class RawConnectionTest(GatewayTest):
    """Opens a connection to the gateway; the upstreams return the body.

    Attributes:
        work_s: Time that an upstream takes for an answer.
    """

    work_s = 0.0

    async def asyncSetUp(self):
        await super().asyncSetUp()

        async def echo(arrival):
            if self.work_s:
                await asyncio.sleep(self.work_s)
            await arrival.answer(body=arrival.body)

        for app in self.apps:
            app.script = echo
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )

    async def asyncTearDown(self):
        self.writer.close()
        await super().asyncTearDown()

    def head(self, path: str, *lines: str, method: str = "POST") -> bytes:
        """Returns the head of a request with further header lines."""
        headers = [f"{name}: {text}" for name, text in self.headers().items()]
        first = f"{method} {path} HTTP/1.1"
        return "\r\n".join([first, *headers, *lines, "", ""]).encode()

    async def answer(self) -> RawAnswer:
        """Reads an answer that tells the length of its body."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
        body = await self.reader.readexactly(int(length))
        return RawAnswer(int(head.split(b" ")[1]), head, body)
