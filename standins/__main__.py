"""Runs one stand-in: ``python -m standins KIND IP:PORT [NAME=VALUE ...]``."""

import sys

import anyio

from standins.engine import Engine
from standins.hosts import Hosts
from standins.http import serving
from standins.metastore import MetaStore
from standins.objects import Objects
from standins.plain import PlainService
from standins.table import Table

KINDS = {
    "engine": Engine,
    "hosts": Hosts,
    "metastore": MetaStore,
    "objects": Objects,
    "plain": PlainService,
    "table": Table,
}


async def _serve(kind: str, address: str, options: dict) -> None:
    standin = KINDS[kind](**options)
    ip, _, port = address.rpartition(":")
    async with serving(standin.handle, ip, int(port)):
        await anyio.sleep_forever()


def _option(text: str) -> tuple[str, float | str]:
    name, _, value = text.partition("=")
    try:
        number = float(value)
    except ValueError:
        return name, value
    return name, int(number) if number.is_integer() else number


def main() -> None:
    """Runs the stand-in named by the arguments until it is terminated."""
    kind, address, *options = sys.argv[1:]
    anyio.run(
        _serve,
        kind,
        address,
        dict(map(_option, options)),
        backend_options={"use_uvloop": True},
    )


if __name__ == "__main__":
    main()
