"""Client of the platform's table service (etcd v3 JSON gateway API)."""

import base64
import time
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple, Self

import msgspec

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.util.http import HttpClient, HttpError, HttpResponse
from acaciaspoke.util.metrics import Metrics

# HTTP statuses that the service returns before it applies anything. Others,
# such as 503 and 504, can also mean that it does not know a write's outcome.
NOT_APPLIED_STATUSES = frozenset({400, 401, 403, 404, 429})


class TableError(AcaciaspokeError):
    """Base class of the errors of the table client."""


class TableUnavailable(TableError):  # noqa: N818 - reads as a statement
    """A request failed, and it is certain that nothing was written."""


class OutcomeUnknown(TableError):  # noqa: N818 - reads as a statement
    """A write failed, but it may have been applied."""


class Row(NamedTuple):
    """One row.

    Attributes:
        mod_revision: The table's revision at the last write of the row.
        create_revision: The table's revision at the row's creation.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


class Condition(NamedTuple):
    """Requires that the row has this ``mod_revision``; 0 means no row."""

    key: str
    mod_revision: int = 0


class Put(NamedTuple):
    """Writes a row."""

    key: str
    value: bytes


class Delete(NamedTuple):
    """Deletes a row if it exists."""

    key: str


class Transaction(NamedTuple):
    """Writes that are applied atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Put | Delete, ...]


class Committed(NamedTuple):
    """The writes were applied.

    Attributes:
        revision: The ``mod_revision`` of the rows that were put.
    """

    revision: int


class Conflict(NamedTuple):
    """A condition did not hold, so nothing was written.

    Attributes:
        rows: The current row of each compared key; None if it does not exist.
    """

    rows: dict[str, Row | None]


class TableClient:
    """Reads and writes rows; an async context manager.

    It never retries, because only the code that calls it knows whether a write
    may be repeated after its response was lost.
    """

    def __init__(self, address: str, timeout_s: float, metrics: Metrics):
        self._http = HttpClient(address, timeout_s)
        self._metrics = metrics

    async def __aenter__(self) -> Self:
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._http.__aexit__(*error)

    async def read(self, key: str, stale_ok: bool = False) -> Row | None:
        """Returns the row of ``key``, or None if it does not exist.

        Args:
            key: The row's key.
            stale_ok: Accept an older state in exchange for a cheaper read.

        Raises:
            TableUnavailable: If the read failed.
        """
        request = {"key": _encode_base64(key), "serializable": stale_ok}
        return next(iter(await self._range(request)), None)

    async def scan(
        self,
        prefix: str,
        limit: int = 0,
        start_after: str = "",
        stale_ok: bool = False,
    ) -> list[Row]:
        """Returns the rows whose keys start with ``prefix``, in key order.

        Args:
            prefix: Prefix of the keys; not empty.
            limit: The largest number of rows; 0 for all.
            start_after: Skip the keys up to and including this one.
            stale_ok: Accept an older state in exchange for a cheaper read.

        Raises:
            TableUnavailable: If the read failed.
        """
        first = max(prefix, start_after + "\0") if start_after else prefix
        request = {
            "key": _encode_base64(first),
            "range_end": _encode_base64(_range_end(prefix)),
            "limit": str(limit),
            "serializable": stale_ok,
        }
        return await self._range(request)

    async def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Sends the transaction once; it is applied if all conditions hold.

        Raises:
            TableUnavailable: If it is certain that nothing was written.
            OutcomeUnknown: If the write may have been applied.
        """
        answer = await self._write(_encode_transaction(transaction))
        return _decode_outcome(transaction, answer, _revision(answer))

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[Committed | Conflict]:
        """Commits independent transactions in one request.

        All conditions are checked against the state before the request.

        Raises:
            ValueError: If two of them write the same key, which the table
                service rejects.
            TableUnavailable: If it is certain that nothing was written.
            OutcomeUnknown: If the writes may have been applied.
        """
        if not transactions:
            return []
        keys = [w.key for item in transactions for w in item.writes]
        if len(set(keys)) < len(keys):
            raise ValueError("two transactions write the same key")
        nested = [{"request_txn": _encode_transaction(t)} for t in transactions]
        answer = await self._write({"success": nested})
        revision = _revision(answer)
        parts = answer.get("responses", [])
        if len(parts) != len(transactions):
            raise OutcomeUnknown("the table answered with too few parts")
        return [
            _decode_outcome(item, part["response_txn"], revision)
            for item, part in zip(transactions, parts, strict=True)
        ]

    async def _range(self, request: dict[str, Any]) -> list[Row]:
        try:
            answer = await self._post("/v3/kv/range", request, "read")
            if answer.status == 200:
                return list(_decode_rows(msgspec.json.decode(answer.body)))
            problem = _error_text(answer)
        except (HttpError, msgspec.DecodeError) as error:
            problem = str(error)
        self._metrics.count("table.read_failed")
        raise TableUnavailable(problem)

    async def _write(self, request: dict[str, Any]) -> dict[str, Any]:
        try:
            answer = await self._post("/v3/kv/txn", request, "write")
            if answer.status == 200:
                return msgspec.json.decode(answer.body)
            problem, not_applied = (
                _error_text(answer),
                answer.status in NOT_APPLIED_STATUSES,
            )
        except HttpError as error:
            problem, not_applied = str(error), not error.was_sent
        except msgspec.DecodeError as error:
            problem, not_applied = str(error), False
        if not_applied:
            self._metrics.count("table.write_failed")
            raise TableUnavailable(problem)
        self._metrics.count("table.write_unknown")
        raise OutcomeUnknown(problem)

    async def _post(
        self, path: str, request: dict[str, Any], kind: str
    ) -> HttpResponse:
        start_s = time.monotonic()
        body = msgspec.json.encode(request)
        answer = await self._http.request("POST", path, body)
        elapsed_ms = (time.monotonic() - start_s) * 1000
        self._metrics.timing_ms(f"table.{kind}_ms", elapsed_ms)
        return answer


def _encode_base64(data: str | bytes) -> str:
    data = data.encode() if isinstance(data, str) else data
    return base64.b64encode(data).decode()


def _range_end(prefix: str) -> bytes:
    # Keys are UTF-8, which never contains the byte 0xff, so the last byte can
    # always be incremented.
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    return {
        "compare": [
            {
                "target": "MOD",
                "result": "EQUAL",
                "key": _encode_base64(condition.key),
                "mod_revision": str(condition.mod_revision),
            }
            for condition in transaction.conditions
        ],
        "success": [_write_operation(write) for write in transaction.writes],
        "failure": [
            {"request_range": {"key": _encode_base64(condition.key)}}
            for condition in transaction.conditions
        ],
    }


def _write_operation(write: Put | Delete) -> dict[str, Any]:
    if isinstance(write, Delete):
        return {"request_delete_range": {"key": _encode_base64(write.key)}}
    return {
        "request_put": {
            "key": _encode_base64(write.key),
            "value": _encode_base64(write.value),
        }
    }


def _revision(answer: dict[str, Any]) -> int:
    return int(answer.get("header", {}).get("revision", 0))


def _decode_outcome(
    transaction: Transaction, answer: dict[str, Any], revision: int
) -> Committed | Conflict:
    # The JSON gateway omits fields that have their default value.
    if answer.get("succeeded"):
        return Committed(revision)
    rows_by_key = {
        row.key: row
        for part in answer.get("responses", [])
        for row in _decode_rows(part.get("response_range", {}))
    }
    keys = [condition.key for condition in transaction.conditions]
    return Conflict({key: rows_by_key.get(key) for key in keys})


def _decode_rows(answer: dict[str, Any]) -> Iterator[Row]:
    for item in answer.get("kvs", []):
        yield Row(
            base64.b64decode(item["key"]).decode(),
            base64.b64decode(item.get("value", "")),
            int(item["mod_revision"]),
            int(item["create_revision"]),
        )


def _error_text(answer: HttpResponse) -> str:
    text = answer.body[:200].decode(errors="replace")
    return f"the table service answered {answer.status}: {text}"
