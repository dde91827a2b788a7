"""Fakes of the table and of the lease, and engines served on loopback."""

import itertools
import socket
import types
from contextlib import asynccontextmanager

import msgspec

from acaciaspoke.control.orders import OrderSender
from acaciaspoke.control.reservation_rows import ReservationRows, WriteOutcome
from standins.http import serving


class FakeTable:
    """A table of rows with revisions and with faulty writes on demand.

    Attributes:
        before_write: Called before each write.
        outcomes: What the next writes return instead of their outcome.
        drops: Whether these writes are not executed.
    """

    def __init__(self):
        self.rows = {}
        self.revisions = itertools.count(1)
        self.before_write = lambda: None
        self.outcomes = []
        self.drops = False

    def put(self, key, value):
        self.rows[key] = types.SimpleNamespace(
            value=value, mod_revision=next(self.revisions)
        )

    async def read(self, key):
        return self.rows.get(key)

    async def replace(self, key, value, mod_revisions):
        self.before_write()
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome is not None and self.drops:
            return outcome
        for other, revision in mod_revisions.items():
            row = self.rows.get(other)
            if (row.mod_revision if row else 0) != revision:
                return WriteOutcome.CONFLICT
        self.put(key, value)
        return outcome or WriteOutcome.COMMITTED


def lease_holder(table, epoch, answer_timeout_s):
    """Makes a new lease holder; returns its order sender."""
    table.put("lease/d", b"")
    lease = types.SimpleNamespace(
        key="lease/d",
        mod_revision=table.rows["lease/d"].mod_revision,
        epoch=epoch,
    )
    ids = (f"{epoch}-{number}" for number in itertools.count(1))
    return OrderSender(
        ReservationRows(table, lambda: lease, lambda: next(ids)),
        lambda: next(ids),
        answer_timeout_s=answer_timeout_s,
    )


@asynccontextmanager
async def serving_engine(engine, upstream):
    """Serves an engine; yields its upstream with address, and the server."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    async with serving(engine.handle, "127.0.0.1", port) as server:
        changes = {
            "address": f"127.0.0.1:{port}",
            "checks_fencing": engine.repository.checks_fencing,
        }
        yield msgspec.structs.replace(upstream, **changes), server
