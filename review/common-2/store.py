"""A stand-in for the platform's metadata store, with a port for each host."""

import asyncio
import base64
import json
import time
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from http1 import Server

PAGE_ROWS = 500

# "4 ms an answer" (SYSTEM.md).
ANSWER_S = 0.004


class Away(Enum):
    """How the store turns a host away (PROTOCOL.md, the metadata store)."""

    BUSY = "503"
    RESET = "reset"
    SILENT = "silent"


class Store:
    """Rows in memory, with one version for each transaction."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.rows = {}
        self.history = []
        self.oldest = 0
        # The hosts that are turned away, and how.
        self.away = {}
        # Returns a row's value as a host gets it.
        self.view = lambda host, table, key, value: value
        self._changed = asyncio.Event()
        self._servers = []

    async def listen(self, address, host):
        """Serves a host at an address of its own."""

        async def handle(call):
            await self._handle(call, host)

        self._servers.append(await Server(address, handle).start())

    def close(self):
        """Stops serving."""
        for server in self._servers:
            server.close()

    def turn_away(self, host, how):
        """Turns a host away, or serves it again if there is no way."""
        if how is None:
            self.away.pop(host, None)
        else:
            self.away[host] = how
        self._notify()

    # What the operator and the workers write.

    def put(self, table, key, document):
        """Writes a row."""
        value = json.dumps(document).encode()
        self._write({(table, "", key): value})

    def remove(self, table, key):
        """Removes a row."""
        if (table, "", key) in self.rows:
            self._write({(table, "", key): None})

    def document(self, table, key):
        """Returns the document in a row; None if there is none."""
        found = self.rows.get((table, "", key))
        return found and json.loads(found[0])

    def table(self, table):
        """Returns the documents of a table by part and key."""
        return {
            key[1:]: json.loads(value)
            for key, (value, _) in self.rows.items()
            if key[0] == table
        }

    def copy(self):
        """Returns a copy of the state."""
        return dict(self.rows), self.version, list(self.history), self.oldest

    def restore(self, copy):
        """Goes on from a copy."""
        rows, self.version, history, self.oldest = copy
        self.rows, self.history = dict(rows), list(history)
        self.era += 1
        self._notify()

    def _write(self, changes):
        self.version += 1
        for key, value in changes.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value, self.version
            self.history.append((self.version, key, value))
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls.

    async def _handle(self, call, host):
        era = self.era
        if not await self._turns_away(call, host):
            await asyncio.sleep(ANSWER_S)
            status, document = await self._respond(call, host)
            if await self._turns_away(call, host):
                return
            if era != self.era:
                call.reset()
                return
            headers = {"Content-Type": "application/json"}
            headers["Store-Era"] = str(self.era)
            body = json.dumps(document).encode()
            await call.answer(status, body, headers)

    async def _turns_away(self, call, host):
        how = self.away.get(host)
        if how is Away.BUSY:
            await call.answer(503, b"{}", {"Store-Era": str(self.era)})
        elif how is Away.RESET:
            call.reset()
        elif how is Away.SILENT:
            # A connection on which an answer is lost delivers nothing more.
            call.keeps_connection = False
            await asyncio.sleep(60)
        return how is not None

    async def _respond(self, call, host):
        parts = urlsplit(call.target)
        query = {name: all_[0] for name, all_ in parse_qs(parts.query).items()}
        if parts.path == "/rows-get":
            return 200, self._get(query, host)
        if parts.path == "/rows-feed":
            return await self._feed(query, host)
        if parts.path == "/rows-tx":
            return self._transact(json.loads(call.body))
        return 404, {}

    def _get(self, query, host):
        limit = int(query.get("limit", PAGE_ROWS))
        begin, end = query.get("from", ""), query.get("to")
        found = sorted(
            (key, row)
            for key, row in self.rows.items()
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= begin
            and (end is None or key[2] < end)
        )
        rows = [
            self._row(host, key, value, version)
            for key, (value, version) in found[:limit]
        ]
        return self._stamped(rows=rows, **{"has-more": len(found) > limit})

    async def _feed(self, query, host):
        table, after = query["table"], int(query["after"])
        if not self.oldest <= after <= self.version:
            return 410, {}
        era, end_s = self.era, time.monotonic() + int(query["wait-ms"]) / 1000
        while era == self.era and host not in self.away:
            rows = [
                self._row(host, key, value, version)
                for version, key, value in self.history
                if version > after and key[0] == table
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._stamped(rows=rows)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return 503, {}

    def _row(self, host, key, value, version):
        if value is not None:
            value = self.view(host, key[0], key[2], value)
        return _row(key, value, version)

    def _transact(self, request):
        conditions = request.get("precondition", [])
        if any(
            self.rows.get(_key(row), (b"", 0))[1] != row["ver"]
            for row in conditions
        ):
            rows = [
                _row(_key(row), *self.rows[_key(row)])
                for row in conditions
                if _key(row) in self.rows
            ]
            return 412, self._stamped(rows=rows)
        changes = {
            _key(row): base64.b64decode(row["value"])
            for row in request.get("put", [])
        }
        changes |= {_key(row): None for row in request.get("remove", [])}
        self._write(changes)
        return 200, self._stamped()

    def _stamped(self, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {**fields, "ver": self.version, "now-ms": now_ms}


def _key(row):
    return row["table"], row.get("part", ""), row["key"]


def _row(key, value, version):
    table, part, name = key
    row = {"table": table, "part": part, "key": name, "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(value).decode()}
