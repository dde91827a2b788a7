"""The administration API as an ASGI application.

The operations are passed in; this module only maps requests to calls and
results to JSON.
"""

import hashlib
import hmac
import re
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, Protocol

import anyio
import msgspec
from loguru import logger

from acaciaspoke.config.errors import (
    ConfigConflict,
    ConfigLogError,
    ConfigOutcomeUnknown,
    ConfigUnavailable,
    UnknownVersion,
)
from acaciaspoke.config.rows import LogRow
from acaciaspoke.config.schema import Config
from acaciaspoke.config.store import Submitted
from acaciaspoke.errors import AcaciaspokeError, FieldError
from acaciaspoke.ids import ConfigVersion, HostId, PatchId

# The table accepts writes of up to 1.5 MiB, and a patch grows when it is
# escaped as JSON text and encoded as base64.
MAX_PATCH_BYTES = 512 * 1024
MAX_HISTORY = 1000
MAX_WAIT_S = 300.0
WAIT_POLL_S = 0.2

_PATCH_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_AUTHOR = re.compile(r"[!-~]([ -~]{0,126}[!-~])?")


class Submit(Protocol):
    """Commits a patch, as ``ConfigStore.submit`` does."""

    async def __call__(
        self,
        patch: object,
        *,
        base_version: ConfigVersion,
        patch_id: PatchId,
        author: str,
    ) -> Submitted:
        """Returns the version that the patch created."""


class Operations(NamedTuple):
    """Functions that the administration API calls.

    Attributes:
        config: Returns the given version, or the one in force for None.
        submit: Commits a patch.
        history: Returns up to the given number of patches before a version
            (the latest for None), newest first.
        host_versions: Returns the version in force of each live host.
        status: Returns the status document of this host.
        burn: Returns the burn report.
        not_ready: Returns why this process is not ready; empty if it is.
    """

    config: Callable[[ConfigVersion | None], Awaitable[Config]]
    submit: Submit
    history: Callable[[int, ConfigVersion | None], Awaitable[list[LogRow]]]
    host_versions: Callable[[], Awaitable[Mapping[HostId, ConfigVersion]]]
    status: Callable[[], Awaitable[Any]]
    burn: Callable[[], Awaitable[Any]]
    not_ready: Callable[[], Awaitable[str]]


class WaitResult(msgspec.Struct, frozen=True, kw_only=True):
    """The hosts on which a version is in force, and the others."""

    version: ConfigVersion
    complete: bool
    hosts_with: list[HostId]
    hosts_without: list[HostId]


class ApiError(AcaciaspokeError):
    """An error response."""

    def __init__(self, status: int, kind: str, message: str, **details: Any):
        super().__init__(message)
        self.status = status
        self.document = {"error": {"type": kind, "message": message} | details}


class _Request(NamedTuple):
    query: Mapping[str, str]
    headers: Mapping[str, str]
    receive: Callable[[], Awaitable[Mapping[str, Any]]]


class _Response(NamedTuple):
    document: Any
    status: int = 200


_Handler = Callable[[_Request], Awaitable[_Response]]


def admin_app(operations: Operations, token_sha256: str = ""):
    """Returns the ASGI application.

    Args:
        operations: The functions that it calls.
        token_sha256: Hex digest of the operators' bearer token; empty disables
            authentication.
    """
    routes = _routes(operations)

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        query = urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
        request = _Request(dict(query), headers, receive)
        try:
            if scope["path"] not in ("/healthz", "/readyz"):
                _check_token(headers.get("authorization", ""), token_sha256)
            handler = _find_handler(routes, scope["method"], scope["path"])
            response = await handler(request)
        except Exception as error:
            response = _error_response(error)
        await _send(send, response)

    return app


def _routes(operations: Operations) -> dict[str, dict[str, _Handler]]:
    async def status(_: _Request) -> _Response:
        return _Response(await operations.status())

    async def burn(_: _Request) -> _Response:
        return _Response(await operations.burn())

    async def healthz(_: _Request) -> _Response:
        return _Response({"ok": True})

    async def readyz(_: _Request) -> _Response:
        if reason := await operations.not_ready():
            raise ApiError(503, "not_ready", reason)
        return _Response({"ok": True})

    return {
        "/v1/config": {
            "GET": _get_config(operations),
            "PATCH": _patch_config(operations),
        },
        "/v1/config/history": {"GET": _get_history(operations)},
        "/v1/config/wait": {"GET": _wait(operations)},
        "/v1/status": {"GET": status},
        "/v1/burn": {"GET": burn},
        "/healthz": {"GET": healthz},
        "/readyz": {"GET": readyz},
    }


def _find_handler(
    routes: dict[str, dict[str, _Handler]], method: str, path: str
) -> _Handler:
    if path not in routes:
        raise ApiError(404, "not_found", f"there is no {path}")
    if method not in routes[path]:
        raise ApiError(405, "method_not_allowed", f"{path} has no {method}")
    return routes[path][method]


def _get_config(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Response:
        version = None
        if "version" in request.query:
            version = ConfigVersion(_non_negative_int(request, "version"))
        return _Response(await operations.config(version))

    return handle


def _patch_config(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Response:
        base_version = ConfigVersion(_non_negative_int(request, "base_version"))
        patch_id = _header(request, "x-patch-id", _PATCH_ID)
        author = _header(request, "x-author", _AUTHOR)
        body = await _body(request)
        try:
            patch = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            problem = f"the patch is not JSON: {error}"
            raise ApiError(400, "invalid_request", problem) from error
        submitted = await operations.submit(
            patch,
            base_version=base_version,
            patch_id=PatchId(patch_id),
            author=author,
        )
        logger.info(
            "patch {} of {} is version {}", patch_id, author, submitted.version
        )
        return _Response(submitted._asdict())

    return handle


def _get_history(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Response:
        limit = min(_non_negative_int(request, "limit", 50), MAX_HISTORY)
        before = None
        if "before" in request.query:
            before = ConfigVersion(_non_negative_int(request, "before"))
        return _Response({"patches": await operations.history(limit, before)})

    return handle


def _wait(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Response:
        version = ConfigVersion(_non_negative_int(request, "version"))
        timeout_s = min(
            _non_negative_float(request, "timeout_s", 12.0), MAX_WAIT_S
        )
        result = await _hosts_with_version(operations, version)
        with anyio.move_on_after(timeout_s):
            while not result.complete:
                await anyio.sleep(WAIT_POLL_S)
                result = await _hosts_with_version(operations, version)
        return _Response(result)

    return handle


async def _hosts_with_version(
    operations: Operations, version: ConfigVersion
) -> WaitResult:
    versions = await operations.host_versions()
    lagging = sorted(
        host for host, active in versions.items() if active < version
    )
    return WaitResult(
        version=version,
        complete=not lagging,
        hosts_with=sorted(versions.keys() - set(lagging)),
        hosts_without=lagging,
    )


def _check_token(authorization: str, token_sha256: str) -> None:
    if not token_sha256:
        return
    scheme, _, token = authorization.partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1")).hexdigest()
    # Compares in constant time, so that the duration does not leak how much of
    # the digest matches.
    is_match = hmac.compare_digest(digest, token_sha256)
    if scheme.lower() != "bearer" or not is_match:
        raise ApiError(401, "unauthorized", "a valid bearer token is needed")


def _non_negative_float(
    request: _Request, name: str, default: float | None
) -> float:
    text = request.query.get(name, default)
    try:
        number = float(text)
    except (TypeError, ValueError):
        number = -1.0
    if not 0 <= number < float("inf"):
        problem = f"{name} must be a number of at least 0"
        raise ApiError(400, "invalid_request", problem)
    return number


def _non_negative_int(
    request: _Request, name: str, default: int | None = None
) -> int:
    text = str(request.query.get(name, default))
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        problem = f"{name} must be a whole number of at least 0"
        raise ApiError(400, "invalid_request", problem)
    return int(text)


def _header(request: _Request, name: str, allowed: re.Pattern[str]) -> str:
    value = request.headers.get(name, "")
    if not allowed.fullmatch(value):
        problem = f"the header {name} must match {allowed.pattern}"
        raise ApiError(400, "invalid_request", problem)
    return value


async def _body(request: _Request) -> bytes:
    body = b""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            raise ApiError(400, "invalid_request", "the body has no end")
        body += message.get("body", b"")
        if len(body) > MAX_PATCH_BYTES:
            problem = f"a patch has at most {MAX_PATCH_BYTES} bytes"
            raise ApiError(413, "too_large", problem)
        if not message.get("more_body"):
            return body


def _error_response(error: Exception) -> _Response:
    api_error = _api_error(error)
    if api_error.status == 500:
        logger.opt(exception=error).error("administration API request failed")
    return _Response(api_error.document, api_error.status)


def _api_error(error: Exception) -> ApiError:
    match error:
        case ApiError():
            return error
        case ExceptionGroup() if error.split(FieldError)[1] is None:
            fields = [
                {"path": problem.path, "problem": problem.problem}
                for problem in error.exceptions
            ]
            message = "the result of the patch is not valid"
            return ApiError(422, "invalid_patch", message, fields=fields)
        case ConfigConflict():
            return ApiError(
                409,
                "version_conflict",
                str(error),
                current_version=error.current,
            )
        case UnknownVersion():
            return ApiError(404, "unknown_version", str(error))
        case ConfigUnavailable():
            return ApiError(503, "unavailable", str(error))
        case ConfigOutcomeUnknown():
            return ApiError(504, "outcome_unknown", str(error))
        case ConfigLogError():
            return ApiError(500, "log_error", str(error))
    return ApiError(500, "internal", "internal error; see the log")


async def _send(send, response: _Response) -> None:
    body = msgspec.json.encode(response.document)
    headers = {
        b"content-type": b"application/json",
        b"content-length": str(len(body)).encode(),
    }
    if response.status == 401:
        headers[b"www-authenticate"] = b"Bearer"
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": list(headers.items()),
        }
    )
    await send({"type": "http.response.body", "body": body})
