"""A stand-in for a platform's metadata store: rows, transactions, feeds."""

import base64
import time
from typing import Any
from urllib.parse import parse_qs

import anyio
import msgspec

from standins.faults import FaultyHandler
from standins.http import Call

PAGE_ROWS = 500

RowKey = tuple[str, str, str]


class MetaStore(FaultyHandler):
    """Rows in memory, with one version for each transaction.

    Attributes:
        rows: Value and version of each row, by table, part and key.
        version: Version of the newest transaction.
        writes: Number of transactions received.
    """

    def __init__(self):
        super().__init__()
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.version = 0
        self.writes = 0
        self._history: list[tuple[int, RowKey, bytes | None]] = []
        self._discarded_version = 0
        self._changed = anyio.Event()

    def put(self, table: str, key: str, document: Any) -> None:
        """Writes a row as the operator or an upstream does."""
        is_raw = isinstance(document, bytes)
        value = document if is_raw else msgspec.json.encode(document)
        self._write({(table, "", key): value})

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._write({(table, "", key): None})

    def discard_history(self) -> None:
        """Discards old versions; feeds from them get 410 and must restart."""
        self._discarded_version = self.version
        self._history.clear()

    def _write(self, changes: dict[RowKey, bytes | None]) -> None:
        self.version += 1
        for key, value in changes.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, key, value))
        self._changed.set()
        self._changed = anyio.Event()

    async def respond(self, call: Call, body: bytes) -> tuple:
        """Applies a request and returns the arguments of ``call.answer``."""
        query = {name: found[0] for name, found in parse_qs(call.query).items()}
        match call.path:
            case "/rows-get":
                return (self._get(query),)
            case "/rows-feed":
                return await self._feed(query)
            case "/rows-tx":
                return self._transact(msgspec.json.decode(body))
        return {}, 404

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        limit = int(query.get("limit", PAGE_ROWS))
        end = query.get("to")
        found = sorted(
            (key, row)
            for key, row in self.rows.items()
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= query.get("from", "")
            and (end is None or key[2] < end)
        )
        rows = [_row_document(key, *row) for key, row in found[:limit]]
        return self._with_version(rows=rows, **{"has-more": len(found) > limit})

    async def _feed(self, query: dict[str, str]) -> tuple:
        after = int(query["after"])
        if after < self._discarded_version:
            return {}, 410
        with anyio.move_on_after(int(query["wait-ms"]) / 1000):
            while not (rows := self._since(query["table"], after)):
                await self._changed.wait()
        return (self._with_version(rows=rows),)

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            _row_document(key, value, version)
            for version, key, value in self._history
            if version > after and key[0] == table
        ]

    def _transact(self, request: dict[str, Any]) -> tuple:
        self.writes += 1
        conditions = request.get("precondition", [])
        conditions_met = [
            self.rows.get(_key(row), (b"", 0))[1] == row["ver"]
            for row in conditions
        ]
        if not all(conditions_met):
            rows = [
                _row_document(_key(row), *self.rows[_key(row)])
                for row in conditions
                if _key(row) in self.rows
            ]
            return self._with_version(rows=rows), 412
        changes: dict[RowKey, bytes | None] = {
            _key(row): base64.b64decode(row["value"])
            for row in request.get("put", [])
        }
        changes |= {_key(row): None for row in request.get("remove", [])}
        self._write(changes)
        return (self._with_version(),)

    def _with_version(self, **fields) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {**fields, "ver": self.version, "now-ms": now_ms}


def _key(row: dict[str, Any]) -> RowKey:
    return row["table"], row.get("part", ""), row["key"]


def _row_document(
    key: RowKey, value: bytes | None, version: int
) -> dict[str, Any]:
    table, part, name = key
    row = {"table": table, "part": part, "key": name, "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(value).decode()}
