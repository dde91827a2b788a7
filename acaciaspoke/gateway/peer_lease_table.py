"""Reads and writes rows, through other hosts if necessary.

A lease holder that the store rejects, or that can't connect to the store, would
lose the lease, and engines would get no orders until another host may give
them. Each write is a compare-and-put, so it does no harm if it reaches the
store more than once. Records of streams are written the same way, or kept by
the other hosts until the store answers them.
"""

import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import (
    Committed,
    Conflict,
    OutcomeUnknown,
    Row,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.control.lease_calls import LeaseTable
from acaciaspoke.gateway.messages import RowAnswer, RowRequest
from acaciaspoke.gateway.peer_records.messages import RecordKept
from acaciaspoke.ids import HostId
from acaciaspoke.platform.versions import era_of, number_of

# The store usually responds within 10 ms; the rest is for a slow one.
DIRECT_TIMEOUT_S = 0.3

# Covers a datagram to another host, its call to the store, and its response.
PEER_TIMEOUT_S = 0.4

# Covers also another host's call that the store does not answer.
KEPT_TIMEOUT_S = 2 * PEER_TIMEOUT_S

# Once a host keeps a row, how long others may still take to write it.
KEPT_WAIT_S = 0.1

# Hosts asked at the same time, as the store may reject some of them too.
PEERS_PER_REQUEST = 3

MAX_QUEUED_REQUESTS = 16

Post = Callable[[RowRequest | RowAnswer | RecordKept, list[HostId]], None]


class Kept(NamedTuple):
    """The store has no answer yet, but other hosts keep the row for it."""


class _Call:
    """A call that completes with the first answer.

    Attributes:
        key: The row that it reads or writes.
        done: Set with the result.
        kept: Set if another host keeps the row, or with the result.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.done = anyio.Event()
        self.kept = anyio.Event()
        self.result: Committed | Conflict | None = None

    def answer(self, result: Committed | Conflict) -> None:
        """Completes the call, unless an answer came before."""
        if self.result is None:
            self.result = result
            self.done.set()
            self.kept.set()


class _Queued(NamedTuple):
    request: RowRequest
    asked_by: HostId


class PeerLeaseTable:
    """Rows of leases, accessed directly or through another host."""

    def __init__(
        self,
        store: LeaseTable,
        local_host: HostId,
        post: Post,
        choose_peers: Callable[[int], list[HostId]],
        store_era: Callable[[], int] = lambda: 0,
        record_store_era: Callable[[int], None] = lambda era: None,
        on_unwritten: Callable[[str, bytes], bool] = lambda key, value: False,
    ):
        """Creates the table without calling the store.

        Args:
            store: This host's own client.
            local_host: This host.
            post: Sends a message, which may be lost, to hosts.
            choose_peers: Returns up to the given number of responsive hosts.
            store_era: Returns the highest known era of the store.
            record_store_era: Records an era that another host knows.
            on_unwritten: Called with key and value of a row that this host
                could not write for another one; returns whether it keeps it.
        """
        self._store = store
        self._local_host = local_host
        self._post = post
        self._choose_peers = choose_peers
        self._store_era = store_era
        self._record_store_era = record_store_era
        self._on_unwritten = on_unwritten
        self._calls: dict[int, _Call] = {}
        self._numbers = itertools.count(1)
        self._inbox, self._queue = anyio.create_memory_object_stream[_Queued](
            MAX_QUEUED_REQUESTS
        )

    # Calls of this host.

    async def read(self, key: str) -> Row | None:
        """Returns the row, linearizably.

        Raises:
            TableUnavailable: If neither this host nor a peer got a response.
        """

        async def read_direct() -> Conflict:
            return Conflict({key: await self._store.read(key)})

        request = RowRequest(key=key, number=next(self._numbers))
        result = await self._call(read_direct, request)
        if result is None:
            raise TableUnavailable(
                f"reading {key} failed directly and through other hosts"
            )
        return result.rows[key]

    async def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Writes the row once, if its condition holds.

        Raises:
            OutcomeUnknown: If neither this host nor a peer got a response.
        """
        request = self._to_request(transaction)
        result = await self._call(
            lambda: self._store.commit(transaction), request
        )
        if result is None:
            raise OutcomeUnknown(
                f"writing {request.key} failed directly and through other hosts"
            )
        return result

    async def commit_through_peers(
        self, transaction: Transaction
    ) -> Committed | Conflict | Kept:
        """Has other hosts write the row once, or keep it.

        Raises:
            OutcomeUnknown: If no host has answered.
        """
        request = self._to_request(transaction)
        call = self._calls[request.number] = _Call(request.key)
        try:
            peers = self._choose_peers(PEERS_PER_REQUEST)
            logger.info("asking {} for row {}", peers, request.key)
            self._post(request, peers)
            with anyio.move_on_after(KEPT_TIMEOUT_S):
                await call.kept.wait()
                with anyio.move_on_after(KEPT_WAIT_S):
                    await call.done.wait()
        finally:
            del self._calls[request.number]
        if call.result is not None:
            return call.result
        if call.kept.is_set():
            return Kept()
        raise OutcomeUnknown(f"no other host wrote {request.key}, or keeps it")

    def _to_request(self, transaction: Transaction) -> RowRequest:
        (condition,) = transaction.conditions
        (put,) = transaction.writes
        return RowRequest(
            key=put.key,
            number=next(self._numbers),
            value=put.value,
            expected_revision=number_of(condition.mod_revision),
            expected_era=era_of(condition.mod_revision),
        )

    async def _call(
        self,
        call_direct: Callable[[], Awaitable[Committed | Conflict]],
        request: RowRequest,
    ) -> Committed | Conflict | None:
        call = self._calls[request.number] = _Call(request.key)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._call_direct, call_direct, call)
                with anyio.move_on_after(DIRECT_TIMEOUT_S):
                    await call.done.wait()
                if call.result is None:
                    peers = self._choose_peers(PEERS_PER_REQUEST)
                    logger.info("asking {} for row {}", peers, request.key)
                    self._post(request, peers)
                    with anyio.move_on_after(PEER_TIMEOUT_S):
                        await call.done.wait()
                tasks.cancel_scope.cancel()
        finally:
            del self._calls[request.number]
        return call.result

    async def _call_direct(
        self,
        call_direct: Callable[[], Awaitable[Committed | Conflict]],
        call: _Call,
    ) -> None:
        try:
            call.answer(await call_direct())
        except (TableUnavailable, OutcomeUnknown) as error:
            logger.warning("direct call to the store failed: {}", error)

    def handle_answer(self, answer: RowAnswer) -> None:
        """Completes a call with the answer that another host got."""
        call = self._calls.get(answer.number)
        if call is None or answer.asked_by != self._local_host:
            return  # The call has completed already.
        if answer.key != call.key:
            return  # An earlier process of this host had used the number.
        self._record_store_era(answer.era)
        if answer.era < self._store_era():
            return  # The store was restored since.
        if answer.is_committed:
            call.answer(Committed(answer.version))
            return
        row = None
        if answer.revision:
            version = answer.version
            row = Row(answer.key, answer.value, version, version)
        call.answer(Conflict({answer.key: row}))

    def handle_kept(self, message: RecordKept) -> None:
        """Records that another host keeps the row of a call."""
        call = self._calls.get(message.number)
        if (
            call is not None
            and message.asked_by == self._local_host
            and message.key == call.key
        ):
            call.kept.set()

    # Calls for other hosts.

    def enqueue_request(self, request: RowRequest) -> None:
        """Queues a call for another host."""
        try:
            self._inbox.send_nowait(_Queued(request, request.host))
        except anyio.WouldBlock:
            logger.warning("queue is full; request of {} dropped", request.host)

    async def run(self) -> None:
        """Makes the queued calls for other hosts until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for queued in self._queue:
                tasks.start_soon(self._serve, queued)

    async def _serve(self, queued: _Queued) -> None:
        request = queued.request
        try:
            with anyio.fail_after(PEER_TIMEOUT_S):
                answer = await self._answer(request)
        except (TableUnavailable, OutcomeUnknown, TimeoutError) as error:
            logger.info(
                "call to the store for {} failed: {}", queued.asked_by, error
            )
            if request.value is not None and self._on_unwritten(
                request.key, request.value
            ):
                kept = RecordKept(
                    asked_by=queued.asked_by,
                    number=request.number,
                    key=request.key,
                )
                self._post(kept, [queued.asked_by])
            return
        if answer.revision and answer.era != self._store_era():
            return  # The store was restored since.
        answer = msgspec.structs.replace(answer, era=self._store_era())
        self._post(answer, [queued.asked_by])

    async def _answer(self, request: RowRequest) -> RowAnswer:
        if request.value is None:
            return _to_answer(request, await self._store.read(request.key))
        result = await self._store.commit(request.to_transaction())
        if isinstance(result, Committed):
            return RowAnswer(
                asked_by=request.host,
                number=request.number,
                key=request.key,
                is_committed=True,
                revision=number_of(result.revision),
                era=era_of(result.revision),
            )
        return _to_answer(request, result.rows.get(request.key))


def _to_answer(request: RowRequest, row: Row | None) -> RowAnswer:
    version = row.mod_revision if row else 0
    return RowAnswer(
        asked_by=request.host,
        number=request.number,
        key=request.key,
        revision=number_of(version),
        era=era_of(version),
        value=row.value if row else b"",
    )
