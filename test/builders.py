"""Builders of test data, in alphabetical order."""

import socket
from contextlib import asynccontextmanager

from acaciaspoke.clients.objects import ObjectsClient
from acaciaspoke.clients.table import TableClient
from acaciaspoke.config.patch import apply_patch
from acaciaspoke.config.schema import Config
from acaciaspoke.config.store import ConfigStore
from acaciaspoke.control.admin import Operations
from acaciaspoke.util.metrics import Metrics
from standins.http import serving
from standins.objects import Objects
from standins.table import Table


def admin_operations(**changes) -> Operations:
    """Returns fake operations of an administration API at version 1."""

    async def unused(*_, **__):
        raise AssertionError("not called in this test")

    async def config(_):
        return small_config()

    async def ready():
        return ""

    operations = Operations(*[unused] * len(Operations._fields))
    return operations._replace(config=config, not_ready=ready, **changes)


@asynccontextmanager
async def config_log(objects: Objects | None = None):
    """Serves a table and an object store.

    Yields the table stand-in and a function that opens a ConfigStore, as
    another host would, on the table client or a wrapper of it.
    """
    objects = objects or Objects()
    async with (
        table_service(timeout_s=0.5) as (table, client),
        stand_in(
            objects, lambda a: ObjectsClient(a, "bucket", 0.5, Metrics())
        ) as objects_client,
    ):

        def open_store(wrap=lambda table: table) -> ConfigStore:
            table = wrap(client)
            return ConfigStore(table, objects_client, Metrics(), lambda: 1.0)

        yield table, open_store


def next_address() -> str:
    """Returns a free loopback address.

    The kernel chooses the port, so that concurrent test runs do not collide.
    """
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def small_config() -> Config:
    """Returns version 1 of a configuration with one entry of every kind."""
    document = {
        "ranks": {"gold": {"level": 0}, "base": {"level": 1}},
        "services": {"engines": {"kind": "engine"}, "bank": {"kind": "plain"}},
        "models": {"m1": {"service": "engines", "memory_bytes": 60}},
        "adapters": {"a1": {"model": "m1", "memory_bytes": 1}},
        "upstreams": {
            "u1": {
                "service": "engines",
                "failure_domain": "d1",
                "address": "10.0.0.1:8000",
                "memory_bytes": 100,
            },
        },
        "accounts": {"shared": {"key_sha256": "0" * 64}},
    }
    return apply_patch(Config(), document)


@asynccontextmanager
async def stand_in(handler, make_client):
    """Serves a stand-in; yields a client for its address."""
    address = next_address()
    ip, port = address.split(":")
    async with (
        serving(handler.handle, ip, int(port)),
        make_client(address) as client,
    ):
        yield client


@asynccontextmanager
async def table_service(timeout_s: float = 2.0):
    """Serves a table stand-in; yields it and a client."""
    table = Table()
    async with stand_in(
        table, lambda address: TableClient(address, timeout_s, Metrics())
    ) as client:
        yield table, client
