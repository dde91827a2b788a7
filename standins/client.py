"""A small blocking HTTP client for the demo, tests and benchmarks."""

import http.client
from collections.abc import Mapping
from typing import NamedTuple

TIMEOUT_S = 30.0


class Answer(NamedTuple):
    """A whole answer, or one whose connection broke before its end."""

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
    """Sends a request on a new connection; returns None without an answer."""
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
