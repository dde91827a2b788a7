"""Client of the platform's metadata store.

It offers the same ``read`` and ``commit`` as the table client in
``acaciaspoke.clients.table``, and also feeds of the changes of a table.
Versions that it returns and accepts are those of
``acaciaspoke.platform.versions``.
"""

import base64
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Self
from urllib.parse import urlencode

import msgspec
from loguru import logger

from acaciaspoke.clients.table import (
    Committed,
    Condition,
    Conflict,
    Delete,
    OutcomeUnknown,
    Put,
    Row,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.platform.versions import (
    MAX_ERA,
    era_of,
    number_of,
    to_version,
)
from acaciaspoke.util.decoding import decode_json
from acaciaspoke.util.http import HttpClient, HttpError, HttpResponse

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
UPSTREAMS_TABLE = "servers"

# One row for each host of the system.
HOSTS_TABLE = "hosts"

# A record for each stream that did not begin at its service's default version,
# and a row for each service with that version.
STREAMS_TABLE = "streams"
DEFAULT_VERSIONS_TABLE = "stream-defaults"

# The store applies the transactions of one part one after another, so frequent
# ones have a part of their own; all others are in the part without a name.
_PARTS = {STREAMS_TABLE: "streams"}

# Rises each time the store is restored from a copy.
_ERA_HEADER = b"store-era"

_PAGE_ROWS = 500

# The store responds to a feed call at the latest after its wait; the response
# may then take as long as that of any other call.
_FEED_MARGIN_S = 1.5


class HistoryGoneError(TableUnavailable):
    """The store no longer has the changes after the version asked for.

    They are gone also if the store was restored from a copy since.
    """


class FeedRow(NamedTuple):
    """A row of a feed; the value is None if the row was removed."""

    key: str
    value: bytes | None
    version: int


class FeedPage(NamedTuple):
    """Rows in the order of their changes, and the version to continue after."""

    rows: list[FeedRow]
    version: int


class _WireRow(msgspec.Struct, kw_only=True):
    key: str
    value: str = ""
    # The version of the transaction that wrote the row.
    ver: int = 0
    removed: bool = False


class _WireRows(msgspec.Struct, kw_only=True, rename="kebab"):
    rows: list[_WireRow] = []
    has_more: bool = False
    ver: int = 0

    def in_era(self, era: int) -> Self:
        """Converts all versions to those outside this folder.

        Raises:
            ValueError: If a version is out of range.
        """
        self.ver = to_version(era, self.ver)
        for row in self.rows:
            # 0 stands for a row without a version.
            row.ver = row.ver and to_version(era, row.ver)
        return self


class StoreClient:
    """Reads, writes and follows rows; an async context manager."""

    def __init__(
        self,
        address: str,
        timeout_s: float,
        on_restored: Callable[[], None] = lambda: None,
    ):
        """Creates a client that has not connected.

        Args:
            address: ``ip:port`` of the store.
            timeout_s: Timeout of calls other than feeds.
            on_restored: Called each time the client learns that the store was
                restored from a copy since it was read.
        """
        self._http = HttpClient(address, timeout_s)
        self._on_restored = on_restored
        # None until the first response.
        self._era: int | None = None
        # The highest version in any response so far.
        self._newest_version = 0

    async def __aenter__(self) -> Self:
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._http.__aexit__(*error)

    @property
    def era(self) -> int:
        """The highest known era; 0 if the store has none."""
        return self._era or 0

    @property
    def was_restored(self) -> bool:
        """Whether the store was ever restored; it begins in era 0 or 1."""
        return self.era > 1

    def record_era(self, era: int) -> None:
        """Records an era that another host knows; 0 if it knows none."""
        if era:
            self._record_era(era)

    def _record_era(self, era: int) -> None:
        known = self._era
        if known is not None and era <= known:
            return
        self._era = era
        self._record_version(to_version(era, 0))
        if known is not None:
            logger.warning(
                "the store was restored from a copy", era=era, earlier_era=known
            )
            self._on_restored()

    async def read(self, key: str) -> Row | None:
        """Returns one of this system's rows, or None.

        Raises:
            TableUnavailable: If there is no response.
        """
        address = _address(key)
        query = {
            "table": address["table"],
            "part": address["part"],
            "from": address["key"],
            "to": address["key"] + "\0",
            "limit": 1,
        }
        found = await self._rows("/rows-get", query)
        return next((_to_row(key, row) for row in found.rows), None)

    async def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Changes rows of this system once, if all conditions hold.

        A condition on a row that was read before a restore does not hold, as
        the restored store may give out the same version again.

        Raises:
            TableUnavailable: If nothing was written.
            OutcomeUnknown: If the response was lost, or if the store was
                restored before it applied the transaction.
        """
        condition_eras = {
            era_of(condition.mod_revision)
            for condition in transaction.conditions
            if condition.mod_revision
        }
        self.record_era(max(condition_eras, default=self.era))
        if condition_eras - {self.era}:
            return Conflict(
                {
                    condition.key: await self.read(condition.key)
                    for condition in transaction.conditions
                }
            )
        # Each transaction that writes gets a higher version than all before.
        oldest_version = self._newest_version + bool(transaction.writes)
        try:
            response = await self._http.request(
                "POST",
                "/rows-tx",
                msgspec.json.encode(_to_body(transaction)),
                {"Content-Type": "application/json"},
            )
        except HttpError as error:
            if error.was_sent:
                raise OutcomeUnknown(str(error)) from error
            raise TableUnavailable(str(error)) from error
        era = self._era_of_response(response)
        if response.status in (200, 412) and era < self.era:
            raise OutcomeUnknown(
                f"a response of era {era}, but {self.era} is known"
            )
        result = _to_result(response, transaction.conditions, era)
        if isinstance(result, Committed):
            if result.revision < oldest_version:
                # The server has repeated its response to an earlier request.
                raise OutcomeUnknown(
                    f"a response of version {_text(result.revision)}, but"
                    f" {_text(oldest_version)} or a later one is due"
                )
            self._record_version(result.revision)
            if condition_eras - {era}:
                raise OutcomeUnknown(
                    "the store was restored before the transaction"
                )
        return result

    async def read_table(self, table: str) -> FeedPage:
        """Returns all rows of a table and the version to follow it from.

        Raises:
            TableUnavailable: If there is no response.
        """
        rows: list[FeedRow] = []
        version = None
        start = ""
        while True:
            query = {
                "table": table,
                "part": _part_of(table),
                "limit": _PAGE_ROWS,
            }
            if start:
                query["from"] = start
            found = await self._rows("/rows-get", query)
            # Changes during the later pages are read again from the feed.
            version = found.ver if version is None else version
            if era_of(found.ver) != era_of(version):
                raise TableUnavailable(
                    f"the store was restored while table {table} was read"
                )
            rows.extend(_to_feed_row(row, found.ver) for row in found.rows)
            if not found.has_more or not found.rows:
                return FeedPage(rows, version)
            start = found.rows[-1].key + "\0"

    async def follow(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Waits for changes of a table after a version.

        Raises:
            HistoryGoneError: If the table has to be read again.
            TableUnavailable: If there is no response.
        """
        self.record_era(era_of(after))
        query = {
            "table": table,
            "after": number_of(after),
            "wait-ms": int(wait_s * 1000),
        }
        if era_of(after) == self.era:
            found = await self._rows(
                "/rows-feed",
                query,
                # The response has the version of the last row in it.
                oldest_version=after,
                timeout_s=wait_s + _FEED_MARGIN_S,
            )
        if era_of(after) != self.era:
            raise HistoryGoneError(
                f"version {_text(after)} of table {table}, but the store is in"
                f" era {self.era}"
            )
        rows = [_to_feed_row(row, found.ver) for row in found.rows]
        return FeedPage(rows, found.ver)

    async def _rows(
        self,
        path: str,
        query: dict,
        oldest_version: int | None = None,
        timeout_s: float | None = None,
    ) -> _WireRows:
        """Returns rows with versions of ``acaciaspoke.platform.versions``."""
        target = f"{path}?{urlencode(query)}"
        if oldest_version is None:
            oldest_version = self._newest_version
        try:
            response = await self._http.request(
                "GET", target, timeout_s=timeout_s
            )
        except HttpError as error:
            raise TableUnavailable(str(error)) from error
        era = self._era_of_response(response)
        if response.status == 410:
            raise HistoryGoneError(target)
        if response.status != 200:
            raise TableUnavailable(f"{path}: status {response.status}")
        try:
            found = decode_json(response.body, _WireRows).in_era(era)
        except (msgspec.MsgspecError, ValueError) as error:
            raise TableUnavailable(f"{path}: {error}") from error
        if era < self.era:
            # The new era may have become known during the call.
            raise TableUnavailable(
                f"{path}: a response of era {era}, but {self.era} is known"
            )
        if found.ver < oldest_version:
            # The server has repeated its response to an earlier request.
            raise TableUnavailable(
                f"{path}: a response of version {_text(found.ver)}, but"
                f" {_text(oldest_version)} is known"
            )
        self._record_version(found.ver)
        return found

    def _era_of_response(self, response: HttpResponse) -> int:
        """Returns and records the era of a response; 0 if it names none."""
        era = _era_in(response)
        if era is not None:
            self._record_era(era)
        return era or 0

    def _record_version(self, version: int) -> None:
        self._newest_version = max(self._newest_version, version)


def _era_in(response: HttpResponse) -> int | None:
    headers = response.headers
    values = (value for name, value in headers if name.lower() == _ERA_HEADER)
    value = next(values, None)
    if value is None:
        return None
    if value.isdigit() and len(value) <= len(str(MAX_ERA)):
        era = int(value)
        if era <= MAX_ERA:
            return era
    logger.warning("a response has an invalid era: {}", value[:20])
    return None


def _text(version: int) -> str:
    return f"{number_of(version)} of era {era_of(version)}"


def _to_body(transaction: Transaction) -> dict[str, Any]:
    return {
        "precondition": [
            {
                **_address(condition.key),
                "ver": number_of(condition.mod_revision),
            }
            for condition in transaction.conditions
        ],
        "put": [
            {**_address(write.key), "value": _encode(write.value)}
            for write in transaction.writes
            if isinstance(write, Put)
        ],
        "remove": [
            _address(write.key)
            for write in transaction.writes
            if isinstance(write, Delete)
        ],
    }


def _to_result(
    response: HttpResponse, conditions: Sequence[Condition], era: int
) -> Committed | Conflict:
    try:
        if response.status == 200:
            number = decode_json(response.body)["ver"]
            return Committed(to_version(era, number))
        if response.status == 412:
            found = decode_json(response.body, _WireRows).in_era(era)
            rows = {row.key: row for row in found.rows if row.ver}
            current = {}
            for condition in conditions:
                row = rows.get(_address(condition.key)["key"])
                current[condition.key] = row and _to_row(condition.key, row)
            return Conflict(current)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
        raise OutcomeUnknown(f"invalid response: {error}") from error
    raise TableUnavailable(f"status {response.status}")


def _address(key: str) -> dict[str, str]:
    # The first part of this system's keys names the table.
    table, _, name = key.partition("/")
    return {"table": table, "part": _part_of(table), "key": name}


def _part_of(table: str) -> str:
    return _PARTS.get(table, "")


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _value_of(row: _WireRow) -> bytes:
    try:
        return base64.b64decode(row.value, validate=True)
    except ValueError as error:
        raise TableUnavailable(f"row {row.key}: {error}") from error


def _to_row(key: str, row: _WireRow) -> Row:
    # The store has no creation revision; this system doesn't use it.
    return Row(key, _value_of(row), row.ver, row.ver)


def _to_feed_row(row: _WireRow, page_version: int) -> FeedRow:
    if row.removed:
        # The platform's pages don't say whether a removal has its own version.
        return FeedRow(row.key, None, row.ver or page_version)
    try:
        value = _value_of(row)
    except TableUnavailable as error:
        # Another writer's row must not make the rest of the page unreadable.
        logger.warning("a value cannot be decoded: {}", error)
        value = b""
    return FeedRow(row.key, value, row.ver)
