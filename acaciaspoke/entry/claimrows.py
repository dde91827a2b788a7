"""Table rows of idempotency claims, and the sweep of expired rows."""

import hashlib
import urllib.parse
from enum import Enum

import msgspec

from acaciaspoke.clients.table import (
    Committed,
    Condition,
    Delete,
    Put,
    Row,
    TableClient,
    Transaction,
)
from acaciaspoke.ids import AccountId, ClaimId, ServiceId

PREFIX = "claim/"

RETENTION_S = 24 * 3600.0

# The sweep deletes a row only this long after its expiry. The clocks of the
# claiming and the sweeping host may therefore differ by up to ten minutes
# without a claim being deleted before its retention time has passed.
CLOCK_TOLERANCE_S = 600.0

# Rows that one sweep step reads and deletes in one write. With a response of
# 16 KiB in each row, a page is at most about 1 MiB.
SWEEP_ROWS = 64

# Limit of a stored response with its headers; larger ones are not stored.
MAX_STORED_RESPONSE_BYTES = 16 * 1024


class RowState(Enum):
    """The state of a claim in its row."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A stored response of an upstream, for replay."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Size in the table, without encoding overhead."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body)


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a claim's row.

    Attributes:
        claim_id: Distinguishes the claimant's own write from any other.
        body_hash: Hash of the method, the path and the body.
        owner: The claiming process, for operators.
        expires_at_s: Wall-clock time of the claiming host plus the retention.
        answer: The stored response; None if it was too large.
    """

    claim_id: ClaimId
    body_hash: bytes
    state: RowState
    owner: str
    expires_at_s: float
    answer: Answer | None = None


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(ClaimRow).decode


def row_key(account: AccountId, service: ServiceId, key: str) -> str:
    """Returns the table key of an idempotency key.

    The hash is cryptographic because callers choose the keys, and a collision
    would give a caller the response to a different request.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=20).hexdigest()
    account, service = (
        urllib.parse.quote(part, safe="") for part in (account, service)
    )
    return f"{PREFIX}{account}/{service}/{digest}"


def hash_body(method: str, path: str, body: bytes) -> bytes:
    """Returns the hash that identifies a request under its key."""
    digest = hashlib.blake2b(f"{method} {path}\n".encode(), digest_size=20)
    digest.update(body)
    return digest.digest()


def put_row(key: str, mod_revision: int, row: ClaimRow) -> Transaction:
    """Returns a write that is conditional on the row's revision."""
    return Transaction(
        (Condition(key, mod_revision),), (Put(key, _encode(row)),)
    )


def read_row(value: bytes) -> ClaimRow | None:
    """Decodes a row; returns None if this version cannot decode it."""
    try:
        return _decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


class SweepStep(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a sweep step.

    Attributes:
        next_key: The key after which the next step starts; empty at the end.
        scanned: Number of rows read.
    """

    next_key: str
    scanned: int
    deleted: int


async def sweep_step(
    table: TableClient, start_after: str, wall_now_s: float
) -> SweepStep:
    """Reads one page of claims and deletes the expired ones in one write.

    The lease holder of a failure domain calls this repeatedly with the returned
    key, at a rate of its choice. Concurrent sweeps are safe, as a row is
    deleted only while it has the revision that was read. The clocks of the
    hosts may differ by ``CLOCK_TOLERANCE_S``; if the sweeping host's clock is
    further ahead, the excess shortens the retention. Rows that this version
    cannot decode are left in place.

    Args:
        table: The table's client; it reads one page and makes at most one
            write.
        start_after: The key after which to start; empty for the first claim.
        wall_now_s: The wall-clock time of this host.

    Raises:
        TableUnavailable: If nothing was deleted.
        OutcomeUnknown: If rows may have been deleted; the step may be repeated.
    """
    rows = await table.scan(PREFIX, SWEEP_ROWS, start_after)
    expired = [row for row in rows if _is_expired(row, wall_now_s)]
    deleted = 0
    if expired:
        results = await table.commit_each(
            [
                Transaction(
                    (Condition(row.key, row.mod_revision),),
                    (Delete(row.key),),
                )
                for row in expired
            ]
        )
        deleted = sum(isinstance(result, Committed) for result in results)
    more = len(rows) == SWEEP_ROWS
    return SweepStep(
        next_key=rows[-1].key if more else "",
        scanned=len(rows),
        deleted=deleted,
    )


def _is_expired(row: Row, wall_now_s: float) -> bool:
    claim = read_row(row.value)
    return (
        claim is not None
        and wall_now_s > claim.expires_at_s + CLOCK_TOLERANCE_S
    )
