"""A stand-in for the table service (etcd v3 JSON gateway API)."""

import base64
import bisect
from typing import Any, NamedTuple

import msgspec

from standins.faults import Faults, FaultyHandler
from standins.http import Call


class _Row(NamedTuple):
    value: bytes
    create_revision: int
    mod_revision: int
    version: int


_ABSENT = _Row(b"", 0, 0, 0)


class Table(FaultyHandler):
    """Rows in memory."""

    def __init__(self):
        super().__init__()
        self.rows: dict[bytes, _Row] = {}
        self.revision = 1
        self.writes = 0
        self._keys: list[bytes] = []
        self._stale_state: tuple[dict[bytes, _Row], list[bytes]] = ({}, [])

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults; saves the state for stale reads."""
        if faults.stale and not self.faults.stale:
            self._stale_state = (dict(self.rows), list(self._keys))
        super().set_faults(faults)

    def is_droppable(self, call: Call, body: bytes) -> bool:
        """Returns whether the drop faults apply to a request."""
        if call.path != "/v3/kv/txn":
            return not self.faults.writes_only
        prefix = self.faults.only_keys.encode()
        keys = _written_keys(msgspec.json.decode(body or b"{}"))
        return not prefix or any(
            base64.b64decode(key).startswith(prefix) for key in keys
        )

    async def respond(self, call: Call, body: bytes) -> tuple:
        """Applies a request and returns the arguments of ``call.answer``."""
        request = msgspec.json.decode(body or b"{}")
        if call.path == "/v3/kv/range":
            return (self._range(request),)
        if call.path != "/v3/kv/txn":
            return {"message": "no such path", "code": 5}, 404
        keys = list(_written_keys(request))
        if len(set(keys)) < len(keys):
            return {"message": "duplicate key given in txn", "code": 3}, 400
        self.writes += 1
        # All comparisons, nested ones too, use the state before the write.
        branch = self._evaluate(request)
        changes = _has_writes(branch)
        self.revision += changes
        return (self._apply(branch),)

    def _evaluate(self, request: dict[str, Any]) -> tuple[bool, list]:
        succeeded = all(map(self._is_met, request.get("compare", [])))
        operations = request.get("success" if succeeded else "failure", [])
        chosen = [
            self._evaluate(item["request_txn"])
            if "request_txn" in item
            else item
            for item in operations
        ]
        return succeeded, chosen

    def _is_met(self, compare: dict[str, Any]) -> bool:
        row = self.rows.get(base64.b64decode(compare["key"]), _ABSENT)
        target = compare["target"]
        field = {"MOD": "mod_revision", "CREATE": "create_revision"}.get(
            target, target.lower()
        )
        actual = getattr(row, field)
        expected = compare.get(field, 0)
        expected = (
            base64.b64decode(expected) if target == "VALUE" else int(expected)
        )
        return {
            "EQUAL": actual == expected,
            "NOT_EQUAL": actual != expected,
            "GREATER": actual > expected,
            "LESS": actual < expected,
        }[compare.get("result", "EQUAL")]

    def _apply(self, branch: tuple[bool, list]) -> dict[str, Any]:
        succeeded, operations = branch
        answer: dict[str, Any] = {"header": {"revision": str(self.revision)}}
        if succeeded:
            answer["succeeded"] = True
        if operations:
            answer["responses"] = [self._apply_one(item) for item in operations]
        return answer

    def _apply_one(self, item) -> dict[str, Any]:
        if isinstance(item, tuple):
            return {"response_txn": self._apply(item)}
        if "request_range" in item:
            return {"response_range": self._range(item["request_range"])}
        if "request_put" in item:
            put = item["request_put"]
            self.put(
                base64.b64decode(put["key"]),
                base64.b64decode(put.get("value", "")),
            )
            return {"response_put": {}}
        self.delete(base64.b64decode(item["request_delete_range"]["key"]))
        return {"response_delete_range": {}}

    def put(self, key: bytes, value: bytes) -> None:
        """Writes a row at the current revision."""
        row = self.rows.get(key)
        if row is None:
            bisect.insort(self._keys, key)
            row = _ABSENT._replace(create_revision=self.revision)
        self.rows[key] = row._replace(
            value=value, mod_revision=self.revision, version=row.version + 1
        )

    def delete(self, key: bytes) -> None:
        """Deletes a row if it exists."""
        if self.rows.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]

    def _range(self, request: dict[str, Any]) -> dict[str, Any]:
        rows, keys = self.rows, self._keys
        if self.faults.stale and request.get("serializable"):
            rows, keys = self._stale_state
        key = base64.b64decode(request["key"])
        end = base64.b64decode(request.get("range_end", "")) or key + b"\0"
        found = keys[
            bisect.bisect_left(keys, key) : bisect.bisect_left(keys, end)
        ]
        limit = int(request.get("limit", 0)) or len(found)
        answer: dict[str, Any] = {"header": {"revision": str(self.revision)}}
        if found:
            answer["count"] = str(len(found))
            answer["kvs"] = [_kv(k, rows[k]) for k in found[:limit]]
        if len(found) > limit:
            answer["more"] = True
        return answer


def _kv(key: bytes, row: _Row) -> dict[str, str]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(row.value).decode(),
        "create_revision": str(row.create_revision),
        "mod_revision": str(row.mod_revision),
        "version": str(row.version),
    }


def _written_keys(request: dict[str, Any]):
    for item in request.get("success", []):
        if "request_txn" in item:
            yield from _written_keys(item["request_txn"])
        for kind in ("request_put", "request_delete_range"):
            if kind in item:
                yield item[kind]["key"]


def _has_writes(branch: tuple[bool, list]) -> bool:
    return any(
        _has_writes(item)
        if isinstance(item, tuple)
        else "request_range" not in item
        for item in branch[1]
    )
