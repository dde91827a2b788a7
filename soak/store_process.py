"""A metadata store whose rows give each gateway its own paths to workers.

The arguments are the store's ``ip:port`` and the ports of the gateways. A call
to one of these ports sees this port in place of ``WORKER_PORT`` in all rows.
"""

import base64
import sys
from contextlib import AsyncExitStack
from typing import Any

import anyio
import msgspec

from standins.http import Call, serving
from standins.metastore import MetaStore

# The port of workers in the rows that they write.
WORKER_PORT = 7401


def replace_port(document: dict[str, Any], old: int, new: int) -> None:
    """Replaces a port in the values of all rows of a request or response."""
    for row in [*document.get("rows", ()), *document.get("put", ())]:
        if "value" in row:
            value = base64.b64decode(row["value"])
            value = value.replace(b':%d"' % old, b':%d"' % new)
            row["value"] = base64.b64encode(value).decode()


class PathStore(MetaStore):
    """A store with a port for each gateway."""

    def __init__(self, gateway_ports: frozenset[int]):
        """Creates an empty store."""
        super().__init__()
        self._gateway_ports = gateway_ports

    async def respond(self, call: Call, body: bytes) -> tuple:
        """Applies a request, with the ports that its gateway knows."""
        port = call.server[1]
        is_of_gateway = port in self._gateway_ports
        if is_of_gateway and call.path == "/rows-tx":
            request = msgspec.json.decode(body)
            replace_port(request, port, WORKER_PORT)
            body = msgspec.json.encode(request)
        document, *status = await super().respond(call, body)
        if is_of_gateway:
            replace_port(document, WORKER_PORT, port)
        return document, *status


async def _main(address: str, *ports: str) -> None:
    ip, _, port = address.rpartition(":")
    gateway_ports = frozenset(map(int, ports))
    store = PathStore(gateway_ports)
    async with AsyncExitStack() as stack:
        for one in (int(port), *gateway_ports):
            await stack.enter_async_context(serving(store.handle, ip, one))
        await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(_main, *sys.argv[1:], backend_options={"use_uvloop": True})
