"""The administration API as an ASGI application.

The functions that do the work are passed in, so that this module only turns
requests into calls and results into JSON.
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

# The table's write limit is 1.5 MiB, and a patch grows when it is escaped as
# a JSON text and encoded as base64.
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
        """Returns the version that the patch made."""


class Operations(NamedTuple):
    """What the administration API calls.

    Attributes:
        config: Returns a version; without a number, the one in force.
        submit: Commits a patch.
        history: Returns at most so many patches before a version (without
            one, the last ones), newest first.
        host_versions: Returns the version in force at each live host.
        status: Returns a document about this host and what it knows.
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
    """Which hosts have a version in force."""

    version: ConfigVersion
    complete: bool
    hosts_with: list[HostId]
    hosts_without: list[HostId]


class ApiError(AcaciaspokeError):
    """An error answer."""

    def __init__(self, status: int, kind: str, message: str, **details: Any):
        super().__init__(message)
        self.status = status
        self.document = {"error": {"type": kind, "message": message} | details}


class _Request(NamedTuple):
    query: Mapping[str, str]
    headers: Mapping[str, str]
    receive: Callable[[], Awaitable[Mapping[str, Any]]]


class _Answer(NamedTuple):
    document: Any
    status: int = 200


_Handler = Callable[[_Request], Awaitable[_Answer]]


def admin_app(operations: Operations, token_sha256: str = ""):
    """Makes the ASGI application.

    Args:
        operations: What it calls.
        token_sha256: Hex digest of the operators' bearer token; empty accepts
            everyone.
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
            handler = _find(routes, scope["method"], scope["path"])
            answer = await handler(request)
        except Exception as error:
            answer = _error_answer(error)
        await _send(send, answer)

    return app


def _routes(operations: Operations) -> dict[str, dict[str, _Handler]]:
    async def status(_: _Request) -> _Answer:
        return _Answer(await operations.status())

    async def burn(_: _Request) -> _Answer:
        return _Answer(await operations.burn())

    async def healthz(_: _Request) -> _Answer:
        return _Answer({"ok": True})

    async def readyz(_: _Request) -> _Answer:
        if reason := await operations.not_ready():
            raise ApiError(503, "not_ready", reason)
        return _Answer({"ok": True})

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


def _find(
    routes: dict[str, dict[str, _Handler]], method: str, path: str
) -> _Handler:
    if path not in routes:
        raise ApiError(404, "not_found", f"there is no {path}")
    if method not in routes[path]:
        raise ApiError(405, "method_not_allowed", f"{path} has no {method}")
    return routes[path][method]


def _get_config(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Answer:
        version = None
        if "version" in request.query:
            version = ConfigVersion(_whole(request, "version"))
        return _Answer(await operations.config(version))

    return handle


def _patch_config(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Answer:
        base_version = ConfigVersion(_whole(request, "base_version"))
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
        return _Answer(submitted._asdict())

    return handle


def _get_history(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Answer:
        limit = min(_whole(request, "limit", 50), MAX_HISTORY)
        before = None
        if "before" in request.query:
            before = ConfigVersion(_whole(request, "before"))
        return _Answer({"patches": await operations.history(limit, before)})

    return handle


def _wait(operations: Operations) -> _Handler:
    async def handle(request: _Request) -> _Answer:
        version = ConfigVersion(_whole(request, "version"))
        timeout_s = min(_number(request, "timeout_s", 12.0), MAX_WAIT_S)
        result = await _hosts_at(operations, version)
        with anyio.move_on_after(timeout_s):
            while not result.complete:
                await anyio.sleep(WAIT_POLL_S)
                result = await _hosts_at(operations, version)
        return _Answer(result)

    return handle


async def _hosts_at(
    operations: Operations, version: ConfigVersion
) -> WaitResult:
    versions = await operations.host_versions()
    without = sorted(host for host, have in versions.items() if have < version)
    return WaitResult(
        version=version,
        complete=not without,
        hosts_with=sorted(versions.keys() - set(without)),
        hosts_without=without,
    )


def _check_token(authorization: str, token_sha256: str) -> None:
    if not token_sha256:
        return
    scheme, _, token = authorization.partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1")).hexdigest()
    # A comparison that stops at the first difference would tell by its
    # duration how much of the digest is right.
    is_right = hmac.compare_digest(digest, token_sha256)
    if scheme.lower() != "bearer" or not is_right:
        raise ApiError(401, "unauthorized", "a valid bearer token is needed")


def _number(request: _Request, name: str, default: float | None) -> float:
    text = request.query.get(name, default)
    try:
        number = float(text)
    except (TypeError, ValueError):
        number = -1.0
    if not 0 <= number < float("inf"):
        problem = f"{name} must be a number of at least 0"
        raise ApiError(400, "invalid_request", problem)
    return number


def _whole(request: _Request, name: str, default: int | None = None) -> int:
    text = str(request.query.get(name, default))
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        problem = f"{name} must be a whole number of at least 0"
        raise ApiError(400, "invalid_request", problem)
    return int(text)


def _header(request: _Request, name: str, form: re.Pattern[str]) -> str:
    value = request.headers.get(name, "")
    if not form.fullmatch(value):
        problem = f"the header {name} must match {form.pattern}"
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


def _error_answer(error: Exception) -> _Answer:
    api_error = _api_error(error)
    if api_error.status == 500:
        logger.opt(exception=error).error("an administration call failed")
    return _Answer(api_error.document, api_error.status)


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


async def _send(send, answer: _Answer) -> None:
    body = msgspec.json.encode(answer.document)
    headers = {
        b"content-type": b"application/json",
        b"content-length": str(len(body)).encode(),
    }
    if answer.status == 401:
        headers[b"www-authenticate"] = b"Bearer"
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": list(headers.items()),
        }
    )
    await send({"type": "http.response.body", "body": body})
