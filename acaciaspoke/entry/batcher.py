"""Batches transactions into shared writes to the table.

The table service accepts several hundred writes per second for the whole fleet,
so one write per claim would exhaust it.
"""

import collections

import anyio

from acaciaspoke.clients.table import (
    Committed,
    Conflict,
    OutcomeUnknown,
    TableClient,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.util.metrics import Metrics

BATCH_SIZE = 64
BATCH_DELAY_S = 0.005

# Batches sent and not yet answered. More than one, so that a slow write does
# not delay the next; few, so that calls do not accumulate during an outage.
MAX_BATCHES_IN_FLIGHT = 4


class _Item:
    """A transaction that waits for a batch."""

    def __init__(self, transaction: Transaction):
        self.transaction = transaction
        self.is_sent = False
        self.is_withdrawn = False
        self.finished = anyio.Event()
        self.result: Committed | Conflict | None = None
        self.error: TableUnavailable | OutcomeUnknown | None = None

    @property
    def keys(self) -> frozenset[str]:
        """The keys that the transaction writes."""
        return frozenset(write.key for write in self.transaction.writes)

    def fail(self, error: TableUnavailable | OutcomeUnknown) -> None:
        """Ends the item with an error."""
        self.error = error
        self.finished.set()


class Batcher:
    """Commits transactions in batches while ``run`` runs.

    Urgent transactions go first: while the table is slow, background writes of
    responses and releases must not delay new claims.
    """

    def __init__(self, table: TableClient, metrics: Metrics):
        self._table = table
        self._metrics = metrics
        self._urgent: collections.deque[_Item] = collections.deque()
        self._background: collections.deque[_Item] = collections.deque()
        self._has_items = anyio.Event()
        self._batch_is_full = anyio.Event()
        self._slots = anyio.CapacityLimiter(MAX_BATCHES_IN_FLIGHT)

    async def commit(
        self, transaction: Transaction, send_timeout_s: float, *, urgent: bool
    ) -> Committed | Conflict:
        """Commits one transaction as part of a batch.

        Raises:
            TableUnavailable: Nothing was written, possibly because the
                transaction could not be sent within ``send_timeout_s``.
            OutcomeUnknown: The transaction may take effect, possibly later.
        """
        item = _Item(transaction)
        (self._urgent if urgent else self._background).append(item)
        self._signal()
        with anyio.move_on_after(send_timeout_s):
            await item.finished.wait()
        if not item.is_sent:
            item.is_withdrawn = True
            raise TableUnavailable("the transaction was not sent in time")
        await item.finished.wait()
        if item.error is not None:
            raise item.error
        return item.result

    def _signal(self) -> None:
        waiting = len(self._urgent) + len(self._background)
        if waiting:
            self._has_items.set()
        if waiting >= BATCH_SIZE:
            self._batch_is_full.set()

    async def run(self) -> None:
        """Sends batches until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._has_items, self._batch_is_full = (
                    anyio.Event(),
                    anyio.Event(),
                )
                self._signal()
                await self._has_items.wait()
                with anyio.move_on_after(BATCH_DELAY_S):
                    await self._batch_is_full.wait()
                slot = object()
                await self._slots.acquire_on_behalf_of(slot)
                batch = self._next_batch()
                tasks.start_soon(self._send, batch, slot)

    def _next_batch(self) -> list[_Item]:
        """Removes and returns the next batch, with each key at most once.

        The table refuses a write that puts a key twice, so a second item with
        the same key waits for the next batch.
        """
        batch: list[_Item] = []
        keys: set[str] = set()
        for items in (self._urgent, self._background):
            later = []
            while items and len(batch) < BATCH_SIZE:
                item = items.popleft()
                if keys & item.keys:
                    later.append(item)
                elif not item.is_withdrawn:
                    item.is_sent = True
                    keys |= item.keys
                    batch.append(item)
            items.extendleft(reversed(later))
        return batch

    async def _send(self, batch: list[_Item], slot: object) -> None:
        error = OutcomeUnknown("the process stopped during the write")
        try:
            if batch:
                self._metrics.count("claims.table_writes")
                results = await self._table.commit_each(
                    [item.transaction for item in batch]
                )
                for item, result in zip(batch, results, strict=True):
                    item.result = result
                    item.finished.set()
        except (TableUnavailable, OutcomeUnknown) as caught:
            error = caught
        finally:
            self._slots.release_on_behalf_of(slot)
            for item in batch:
                if not item.finished.is_set():
                    item.fail(error)
