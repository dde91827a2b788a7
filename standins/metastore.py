"""A stand-in for a platform's metadata store: rows, transactions, feeds."""

import base64
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import anyio
import msgspec

from standins.faults import Faults, FaultyHandler
from standins.http import Call

PAGE_ROWS = 500

ERA_HEADER = "Store-Era"

# Tables that the operator and the upstreams write; after a restore they write
# their rows again.
EXTERNAL_TABLES = frozenset({"op", "servers"})

RowKey = tuple[str, str, str]
Change = tuple[int, RowKey, bytes | None]


class StoreCopy(NamedTuple):
    """A copy of the store's state.

    Attributes:
        rows: Value and version of each row, by table, part and key.
        version: Version of the newest transaction.
        history: Changes in the order of their versions.
        discarded_version: The newest version whose changes were discarded.
    """

    rows: dict[RowKey, tuple[bytes, int]]
    version: int
    history: tuple[Change, ...]
    discarded_version: int


class MetaStore(FaultyHandler):
    """Rows in memory, with one version for each transaction.

    Attributes:
        era: Incremented at each restore; in a header of all responses.
        rows: Value and version of each row, by table, part and key.
        version: Version of the newest transaction.
        writes: Number of transactions received.
    """

    def __init__(self, has_eras: bool = True):
        """Creates an empty store.

        Args:
            has_eras: Whether responses have the header; older platforms have
                none.
        """
        super().__init__()
        self.era = 1
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.version = 0
        self.writes = 0
        self._has_eras = has_eras
        self._history: list[Change] = []
        self._discarded_version = 0
        self._changed = anyio.Event()
        # Table and version of each feed of this era that waits for a change.
        self._waiting: Counter[tuple[str, int]] = Counter()
        # Rows of other writers that the last restores lost.
        self._lost: dict[RowKey, bytes | None] = {}
        # Copies that were made over HTTP.
        self._copies: list[StoreCopy] = []

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

    def copy(self) -> StoreCopy:
        """Returns a copy of the state."""
        return StoreCopy(
            dict(self.rows),
            self.version,
            tuple(self._history),
            self._discarded_version,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Begins a new era with the state of a copy; ends all feeds.

        The rows that the operator and the upstreams have written since the copy
        can be written again with ``write_again``.
        """
        self._lost |= self._external_changes_since(copy)
        self.era += 1
        self.rows = dict(copy.rows)
        self.version = copy.version
        self._history = list(copy.history)
        self._discarded_version = copy.discarded_version
        self._waiting = Counter()
        self._notify_feeds()

    def write_again(self, keys: Iterable[str] | None = None) -> None:
        """Writes rows of the operator and the upstreams that a restore lost.

        Args:
            keys: Keys of the rows to write, also if they were removed; None
                writes all.
        """
        chosen = None if keys is None else frozenset(keys)
        for key, value in list(self._lost.items()):
            if chosen is None or key[2] in chosen:
                self._write({key: value})

    def count_followers(self, table: str) -> int:
        """Returns how many waiting feeds have got all changes of a table."""
        return sum(
            count
            for (followed, after), count in self._waiting.items()
            if followed == table and count and not self._since(table, after)
        )

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults; all feeds end if the store is to be away."""
        super().set_faults(faults)
        if faults.away:
            self._notify_feeds()

    def response_headers(self) -> dict[str, str]:
        """Returns the header with the era."""
        return {ERA_HEADER: str(self.era)} if self._has_eras else {}

    def _external_changes_since(
        self, copy: StoreCopy
    ) -> dict[RowKey, bytes | None]:
        """Returns the last changes of rows that differ from the copy."""
        changed = {
            key: value
            for key, (value, version) in self.rows.items()
            if copy.rows.get(key) != (value, version)
        }
        removed = dict.fromkeys(copy.rows.keys() - self.rows.keys())
        return {
            key: value
            for key, value in (changed | removed).items()
            if key[0] in EXTERNAL_TABLES
        }

    def _write(self, changes: dict[RowKey, bytes | None]) -> None:
        self.version += 1
        for key, value in changes.items():
            self._lost.pop(key, None)
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, key, value))
        self._notify_feeds()

    def _notify_feeds(self) -> None:
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
            case "/standin/copy":
                self._copies.append(self.copy())
                return ({"copy": len(self._copies) - 1},)
            case "/standin/restore":
                number = msgspec.json.decode(body)["copy"]
                self.restore(self._copies[number])
                return ({},)
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
        table, after = query["table"], int(query["after"])
        if not self._discarded_version <= after <= self.version:
            return {}, 410
        era, waiting = self.era, self._waiting
        waiting[table, after] += 1
        try:
            with anyio.move_on_after(int(query["wait-ms"]) / 1000):
                while not (rows := self._since(table, after)):
                    await self._changed.wait()
                    if self.era != era or self.faults.away:
                        break
        finally:
            waiting[table, after] -= 1
        if self.era != era or self.faults.away:
            raise ConnectionAbortedError("the store was away during the feed")
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
