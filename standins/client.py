"""A small blocking HTTP client for the demo, tests and benchmarks."""

import base64
import http.client
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

TIMEOUT_S = 30.0


class Answer(NamedTuple):
    """A response; not ``complete`` if its connection broke before the end."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    complete: bool = True


def request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Answer | None:
    """Sends a request on a new connection; returns None without a response."""
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
    except (OSError, http.client.HTTPException):
        connection.close()
        return None
    found = {name.lower(): value for name, value in response.getheaders()}
    try:
        return Answer(response.status, found, response.read())
    except http.client.IncompleteRead as error:
        return Answer(response.status, found, error.partial, complete=False)
    except (OSError, http.client.HTTPException):
        return Answer(response.status, found, b"", complete=False)
    finally:
        connection.close()


def encode_row(table: str, key: str, document: Any) -> bytes:
    """Returns a request body that writes a row of a metadata store."""
    value = base64.b64encode(json.dumps(document).encode()).decode()
    row = {"table": table, "part": "", "key": key, "value": value}
    return json.dumps({"put": [row]}).encode()


def decode_row(row: Mapping[str, Any]) -> Any:
    """Returns the document of a row that a metadata store returned."""
    return json.loads(base64.b64decode(row["value"]))
