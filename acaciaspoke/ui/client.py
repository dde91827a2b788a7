"""Client of the administration API for operator commands."""

import functools
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import anyio
import click
import msgspec

from acaciaspoke.errors import UserError
from acaciaspoke.util.http import HttpClient, HttpError, HttpResponse
from acaciaspoke.util.net import split_address


class Target(NamedTuple):
    """The control process to call.

    Attributes:
        address: ``ip:port`` of its administration API.
        token: The bearer token; empty sends none.
        timeout_s: Timeout of a call.
    """

    address: str
    token: str = ""
    timeout_s: float = 30.0


class CallError(UserError):
    """A call of the administration API failed.

    Attributes:
        kind: The type of the error response; empty if there is none.
        was_sent: Whether the call may have been applied.
    """

    def __init__(self, message: str, kind: str = "", was_sent: bool = False):
        super().__init__(message)
        self.kind = kind
        self.was_sent = was_sent


def with_target(command: Callable) -> Callable:
    """Adds the options that select the control process to a command.

    The command gets the ``Target`` as its first argument.
    """

    @click.option(
        "--admin",
        envvar="ACACIASPOKE_ADMIN",
        required=True,
        metavar="IP:PORT",
        help="Administration API of any control process.",
    )
    @click.option(
        "--token",
        envvar="ACACIASPOKE_ADMIN_TOKEN",
        default="",
        help="Bearer token; better set in the environment.",
    )
    @functools.wraps(command)
    def wrapper(admin: str, token: str, **arguments: Any):
        try:
            split_address(admin)
        except ValueError as error:
            raise UserError(f"--admin: {error}") from error
        return command(Target(admin, token), **arguments)

    return wrapper


def call(
    target: Target,
    method: str,
    path: str,
    query: Mapping[str, Any] | None = None,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
) -> Any:
    """Calls the administration API once and returns the decoded response.

    Raises:
        CallError: If there is no response, or an error response.
    """
    parameters = {
        key: value for key, value in (query or {}).items() if value != ""
    }
    if parameters:
        path = f"{path}?{urllib.parse.urlencode(parameters)}"
    headers = dict(headers or {})
    if target.token:
        headers["authorization"] = f"Bearer {target.token}"

    async def request() -> HttpResponse:
        async with HttpClient(target.address, target.timeout_s) as client:
            return await client.request(method, path, body, headers)

    try:
        answer = anyio.run(request)
        document = msgspec.json.decode(answer.body)
    except HttpError as error:
        message = f"{target.address} does not answer: {error}"
        raise CallError(message, was_sent=error.was_sent) from error
    except msgspec.DecodeError as error:
        message = f"{target.address} answered {answer.status} without JSON"
        raise CallError(message, was_sent=True) from error
    if answer.status >= 400:
        raise _call_error(document)
    return document


def _call_error(document: Any) -> CallError:
    error = document.get("error", {}) if isinstance(document, dict) else {}
    kind = error.get("type", "error")
    fields = "".join(
        f"; {field['path']}: {field['problem']}"
        for field in error.get("fields", ())
    )
    message = f"{kind}: {error.get('message', document)}{fields}"
    was_sent = kind in ("outcome_unknown", "internal")
    return CallError(message, kind, was_sent=was_sent)
