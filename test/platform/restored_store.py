"""Stores that come back from a copy, for tests of the store's client."""

import asyncio
import json
import re
from contextlib import asynccontextmanager
from typing import NamedTuple

from acaciaspoke.platform.store import StoreClient
from standins.http import serving
from standins.metastore import MetaStore
from test.builders import next_address


@asynccontextmanager
async def store_with_eras(timeout_s: float = 5.0, **options):
    """Yields a stand-in of a store with eras, and its client."""
    standin = MetaStore()
    address = next_address()
    ip, port = address.split(":")
    async with serving(standin.handle, ip, int(port)):
        async with StoreClient(address, timeout_s, **options) as store:
            yield standin, store


class Scripted(NamedTuple):
    """A scripted response; no header if the era is None."""

    era: int | str | None
    version: int
    status: int = 200

    def encode(self) -> bytes:
        """Returns the response as sent."""
        body = json.dumps({"ver": self.version, "rows": []}).encode()
        lines = [f"HTTP/1.1 {self.status} X", f"content-length: {len(body)}"]
        if self.era is not None:
            lines.append(f"store-era: {self.era}")
        return "\r\n".join([*lines, "", ""]).encode() + body


@asynccontextmanager
async def scripted_store(*responses: Scripted, **options):
    """Yields a client of a server that sends these responses in turn."""
    remaining = list(responses)

    async def serve(reader, writer) -> None:
        try:
            while remaining:
                head = await reader.readuntil(b"\r\n\r\n")
                match = re.search(rb"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(match[1]) if match else 0)
                writer.write(remaining.pop(0).encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    address = next_address()
    ip, port = address.split(":")
    server = await asyncio.start_server(serve, ip, int(port))
    async with server, StoreClient(address, 2.0, **options) as store:
        yield store
