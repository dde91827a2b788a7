"""At-most-once claims of idempotency keys.

A claim is a table row that is created before the request is dispatched. No
other process takes over a claimed row: if the owner dies, the key stays claimed
until the row expires, and duplicate requests get the outcome "unknown".

A released row is marked ``released`` and not deleted. A create whose response
was lost may arrive late, and must then conflict with an existing row.

The state machine ``claim`` defines the allowed transitions. It has none from a
release to a dispatch, and there is no await between either event and its
effect, so this process cannot dispatch a claim that it has released.
"""

import itertools
from collections.abc import Callable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import (
    Committed,
    OutcomeUnknown,
    Row,
    TableClient,
    TableUnavailable,
)
from acaciaspoke.entry.batcher import Batcher
from acaciaspoke.entry.claimrows import (
    MAX_STORED_RESPONSE_BYTES,
    RETENTION_S,
    Answer,
    ClaimRow,
    RowState,
    put_row,
    read_row,
    row_key,
)
from acaciaspoke.entry.claimtypes import (
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimState,
    StoreUnavailable,
    outcome_for,
)
from acaciaspoke.ids import AccountId, ClaimId, ServiceId
from acaciaspoke.util.metrics import Metrics

# A claim that could not be sent to the table within this time, or whose result
# is still unknown, is answered with ``StoreUnavailable``.
CLAIM_TIMEOUT_S = 2.0

# Maximum age of a claim at dispatch. If it is older, this process was suspended
# and the caller has disconnected. The limit is far below the retention time, so
# that a suspended owner cannot dispatch after the sweep deleted its row. Not
# covered: a suspension of over 24 h between this check and the first byte sent.
MAX_DISPATCH_AGE_S = 30.0

# Timeout for writing a response or a release while the table is unavailable.
WRITE_TIMEOUT_S = 600.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0

# Limit of pending writes of responses and releases: 32 MiB with responses of
# 16 KiB. Further writes are dropped, and their keys stay claimed.
MAX_PENDING_WRITES = 2048


class _PendingClaim:
    """A claim that is being written, shared by the callers that wait for it."""

    def __init__(self, claim: Claim):
        self.claim = claim
        self.finished = anyio.Event()
        self.first_caller_waits = True
        self.is_store_unavailable = True
        self.found: ClaimRow | None = None


class Claims:
    """Claims keys for the requests of one entry process while ``run`` runs."""

    def __init__(
        self,
        table: TableClient,
        metrics: Metrics,
        *,
        owner: str,
        new_id: Callable[[], ClaimId],
        now: Callable[[], float],
        wall_now: Callable[[], float],
    ):
        """Prepares the task.

        Args:
            table: The client of the table service.
            metrics: Counts claims and table writes.
            owner: The name of this process in its rows.
            new_id: Returns a globally unique id.
            now: Returns the monotonic time that ``anyio.sleep`` uses.
            wall_now: Returns the wall-clock time.
        """
        self._batcher = Batcher(table, metrics)
        self._metrics = metrics
        self._owner = owner
        self._new_id = new_id
        self._now = now
        self._wall_now = wall_now
        self._pending_claims: dict[str, _PendingClaim] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._pending_writes = 0

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves claims until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await self._batcher.run()

    @property
    def pending_writes(self) -> int:
        """Number of pending writes; a graceful stop waits for 0."""
        return self._pending_writes

    async def claim(
        self,
        account: AccountId,
        service: ServiceId,
        idempotency_key: str,
        body_hash: bytes,
    ) -> ClaimOutcome:
        """Claims a key, or returns why it cannot be claimed.

        If this call is cancelled, the claim is released as soon as the table
        has responded.
        """
        key = row_key(account, service, idempotency_key)
        pending = self._pending_claims.get(key)
        if pending is not None:
            await pending.finished.wait()
            if pending.is_store_unavailable:
                return StoreUnavailable()
            return outcome_for(pending.found, body_hash)
        pending = self._start_claim(key, body_hash)
        try:
            await pending.finished.wait()
        except BaseException:
            pending.first_caller_waits = False
            if pending.claim.state is ClaimState.CLAIMED:
                self.release(pending.claim)
            raise
        if pending.claim.state is ClaimState.CLAIMED:
            return Claimed(pending.claim)
        if pending.is_store_unavailable:
            return StoreUnavailable()
        return outcome_for(pending.found, body_hash)

    def begin_dispatch(self, claim: Claim) -> bool:
        """Returns whether the request may be sent; call it just before sending.

        False means that the request must not run: the claim was released
        meanwhile, or it is too old, such as after a suspension of this process,
        and is released now. The wall clock is checked too, because the
        monotonic clock may stop while a virtual machine is suspended.
        """
        if claim.state in (ClaimState.RELEASING, ClaimState.RELEASED):
            return False
        age_s = max(
            self._now() - claim.sent_at_s,
            self._wall_now() - (claim.row.expires_at_s - RETENTION_S),
        )
        if age_s > MAX_DISPATCH_AGE_S:
            self._metrics.count("claims.too_old")
            self.release(claim)
            return False
        claim.send("dispatched")
        return True

    def release(self, claim: Claim) -> None:
        """Releases a claim whose request did not run.

        The request was not sent, or an upstream refused it. The key can be
        claimed again once ``claim.settled`` is set.
        """
        running = claim.state is ClaimState.RUNNING
        claim.send("refused" if running else "release_sent")
        row = msgspec.structs.replace(
            claim.row,
            state=RowState.RELEASED,
            expires_at_s=self._wall_now() + RETENTION_S,
        )
        self._schedule_write(claim, row, "release_written")

    def record_response(self, claim: Claim, answer: Answer) -> None:
        """Stores the response of a request that ran, for its duplicates."""
        claim.send("answered")
        stored = (
            answer if answer.size_bytes <= MAX_STORED_RESPONSE_BYTES else None
        )
        row = msgspec.structs.replace(
            claim.row,
            state=RowState.ANSWERED,
            expires_at_s=self._wall_now() + RETENTION_S,
            answer=stored,
        )
        self._schedule_write(claim, row, "recorded")

    def mark_unknown(self, claim: Claim) -> None:
        """Marks a request as sent, with an unknown outcome."""
        claim.send("lost")
        claim.settled.set()

    def _start_claim(self, key: str, body_hash: bytes) -> _PendingClaim:
        row = ClaimRow(
            claim_id=self._new_id(),
            body_hash=body_hash,
            state=RowState.CLAIMED,
            owner=self._owner,
            expires_at_s=self._wall_now() + RETENTION_S,
        )
        claim = Claim(row, key, self._now())
        claim.send("create_sent")
        pending = self._pending_claims[key] = _PendingClaim(claim)
        self._tasks.start_soon(self._resolve_claim, pending)
        return pending

    async def _resolve_claim(self, pending: _PendingClaim) -> None:
        claim = pending.claim
        try:
            pending.found = await self._create(claim)
            pending.is_store_unavailable = False
            claim.send("created" if claim.owns(pending.found) else "exists")
        except TableUnavailable:
            claim.send("not_written")
        except OutcomeUnknown:
            claim.send("answer_lost")
            self.release(claim)
        finally:
            del self._pending_claims[claim.key]
            pending.finished.set()
        if claim.state is ClaimState.CLAIMED and not pending.first_caller_waits:
            self.release(claim)

    async def _create(self, claim: Claim) -> ClaimRow | None:
        """Creates the row; returns the row that then holds the key.

        After a lost response the same create is sent again. If the first one
        took effect, the second conflicts and returns the row with this claim's
        id. If not, the second create replaces it; a read would not prove that
        the first never takes effect.

        Raises:
            TableUnavailable: The row was not written.
            OutcomeUnknown: The row may have been written, or may be later.
        """
        unknown: OutcomeUnknown | None = None
        for delay_s in _delays_s():
            transaction = put_row(claim.key, claim.mod_revision, claim.row)
            remaining_s = claim.sent_at_s + CLAIM_TIMEOUT_S - self._now()
            try:
                result = await self._batcher.commit(
                    transaction, remaining_s, urgent=True
                )
            except TableUnavailable as error:
                if unknown is None:
                    raise
                logger.debug("claim {}: {}", claim.key, error)
            except OutcomeUnknown as error:
                unknown = error
            else:
                if isinstance(result, Committed):
                    claim.mod_revision = result.revision
                    return claim.row
                row = result.rows.get(claim.key)
                claim.mod_revision = row.mod_revision if row else 0
                found = read_row(row.value) if row else None
                if row and not _is_free(found):
                    return found
                # The key is free, but with an unexpected revision: the create
                # is sent again immediately with that revision.
                delay_s = 0.0
            if self._now() + delay_s >= claim.sent_at_s + CLAIM_TIMEOUT_S:
                raise unknown or TableUnavailable(
                    "the claim was not written in time"
                )
            await anyio.sleep(delay_s)

    def _schedule_write(self, claim: Claim, row: ClaimRow, event: str) -> None:
        if self._pending_writes >= MAX_PENDING_WRITES:
            self._give_up(claim, "too many pending writes to the table")
            return
        self._pending_writes += 1
        self._tasks.start_soon(self._write_until_done, claim, row, event)

    async def _write_until_done(
        self, claim: Claim, row: ClaimRow, event: str
    ) -> None:
        try:
            if await self._write(claim, row):
                claim.send(event)
                claim.settled.set()
            else:
                self._give_up(claim, "the row could not be written")
        finally:
            self._pending_writes -= 1

    async def _write(self, claim: Claim, row: ClaimRow) -> bool:
        """Writes the row; returns False if it was not written in time."""
        deadline_s = self._now() + WRITE_TIMEOUT_S
        for delay_s in _delays_s():
            transaction = put_row(claim.key, claim.mod_revision, row)
            try:
                result = await self._batcher.commit(
                    transaction, WRITE_TIMEOUT_S, urgent=False
                )
            except (TableUnavailable, OutcomeUnknown):
                if self._now() + delay_s >= deadline_s:
                    return False
                await anyio.sleep(delay_s)
                continue
            if isinstance(result, Committed):
                return True
            holder = result.rows.get(claim.key)
            if not self._may_rewrite(claim, row, holder):
                return _has_state(claim, row, holder)
            claim.mod_revision = holder.mod_revision if holder else 0

    def _may_rewrite(
        self, claim: Claim, row: ClaimRow, holder: Row | None
    ) -> bool:
        """Returns whether to write again after a conflict.

        The revision of an abandoned claim is unknown: its create may have
        arrived meanwhile, or the row to replace may have been deleted.
        """
        if holder is None:
            return row.state is RowState.RELEASED
        found = read_row(holder.value)
        return claim.owns(found) and found.state is RowState.CLAIMED

    def _give_up(self, claim: Claim, reason: str) -> None:
        claim.send("gave_up")
        claim.settled.set()
        self._metrics.count("claims.given_up")
        logger.error("key {} stays claimed: {}", claim.key, reason)


def _delays_s():
    """Yields exponential back-off delays up to ``RETRY_MAX_S``."""
    for doublings in itertools.count():
        yield min(RETRY_MIN_S * 2 ** min(doublings, 16), RETRY_MAX_S)


def _is_free(found: ClaimRow | None) -> bool:
    return found is not None and found.state is RowState.RELEASED


def _has_state(claim: Claim, row: ClaimRow, holder: Row | None) -> bool:
    """Returns whether the row has the intended state, from any write.

    An abandoned claim needs no release if another claim holds the key.
    """
    found = read_row(holder.value) if holder else None
    if row.state is RowState.RELEASED:
        return not claim.owns(found) or found.state is RowState.RELEASED
    return claim.owns(found) and found.state is row.state
