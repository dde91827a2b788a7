"""Serves explanations on the operator's port."""

import time
import uuid
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from loguru import logger

from acaciaspoke.entry.caller import Caller, CallerDisconnectedError
from acaciaspoke.entry.errors import CallerError
from acaciaspoke.gateway.admission import Refusal
from acaciaspoke.gateway.api_keys import fingerprint
from acaciaspoke.gateway.decisions import (
    Assignment,
    Decline,
    DroppedRequest,
    Forward,
)
from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.explain.document import (
    CONTENT_TYPE,
    Decision,
    ExplainError,
    ExplainRequest,
    Explanation,
    QuotaCharge,
)
from acaciaspoke.gateway.explain.trial import TrialResult, try_request
from acaciaspoke.gateway.failures import STATUS, FailureType
from acaciaspoke.gateway.part_suspects import PartSuspects
from acaciaspoke.gateway.quotas.gate import quota_tokens
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import HostId, RequestId, WorkspaceId
from acaciaspoke.platform.headers import (
    ATTEMPT_ID,
    attempt_id_of,
    decode_request,
)
from acaciaspoke.util.http import is_sendable_value

MAX_BODY_BYTES = 64 * 1024

RESUMES_NOTE = (
    "the request goes on with a stream: only upstreams of the version that"
    " began it can run it, and this version was not looked up"
)
QUOTA_NOTE = "no tokens were asked for: the owner of the quota may deny them"


class MalformedError(Exception):
    """The request for an explanation is malformed."""


class _Parsed(NamedTuple):
    """The request to explain, as the gateway reads a caller's request."""

    caller: Caller
    target: bytes
    path: str


def parse(body: bytes) -> _Parsed:
    """Decodes the body of a request for an explanation.

    Raises:
        MalformedError: If it is malformed; the message contains no values.
    """
    try:
        asked = msgspec.json.decode(body, type=ExplainRequest)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedError(f"the body is invalid: {error}") from error
    if not asked.path.startswith("/"):
        raise MalformedError("the path does not begin with /")
    pairs = [("host", asked.host), *asked.headers]
    headers = []
    for number, (name, value) in enumerate(pairs):
        try:
            raw = (name.lower().encode("ascii"), value.encode("latin-1"))
        except UnicodeEncodeError:
            raise MalformedError(f"header {number} is not latin-1") from None
        is_valid = bool(raw[0]) and all(map(is_sendable_value, raw))
        if not is_valid or (number and raw[0] == b"host"):
            raise MalformedError(f"header {number} is invalid")
        headers.append(raw)
    try:
        target = asked.path.encode("ascii")
    except UnicodeEncodeError:
        raise MalformedError("the path is not ASCII") from None
    if not attempt_id_of(headers):
        headers.append((ATTEMPT_ID, f"explain-{uuid.uuid4().hex}".encode()))
    path, _, query = asked.path.partition("?")
    scope = {
        "method": "POST",
        "path": path,
        "query_string": query.encode(),
        "headers": headers,
    }
    request_id: RequestId = attempt_id_of(headers)
    return _Parsed(Caller(scope, None, None, request_id), target, path)


class Explainer:
    """Explains what a gateway would do with requests."""

    def __init__(
        self,
        local_host: HostId,
        app,
        dispatcher: Dispatcher,
        parts: PartSuspects,
        quota_owner: Callable[[WorkspaceId], HostId | None],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an explainer without state of its own.

        Args:
            local_host: This host.
            app: The ``GatewayApp``, which checks requests.
            dispatcher: Decides on requests.
            parts: Tells which parts of prompts are blocked.
            quota_owner: Returns the owner of a workspace's quota, if known.
            clock: Returns the time.
        """
        self._local_host = local_host
        self._app = app
        self._dispatcher = dispatcher
        self._parts = parts
        self._quota_owner = quota_owner
        self._clock = clock

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request for an explanation."""
        caller = Caller(scope, receive, send, RequestId(""))
        try:
            status, document = await self._answer(caller)
            headers = [(b"content-type", CONTENT_TYPE.encode())]
            body = msgspec.json.encode(document)
            await caller.answer(status, headers, body)
        except CallerDisconnectedError:
            return

    async def _answer(self, caller: Caller) -> tuple[int, msgspec.Struct]:
        if caller.method != "POST":
            return 405, ExplainError(error="only POST is allowed")
        try:
            body = await caller.read_body(MAX_BODY_BYTES)
            return 200, self.explain(body)
        except CallerError as error:
            return error.status, ExplainError(error=str(error))
        except MalformedError as error:
            return 400, ExplainError(error=str(error))
        except CallerDisconnectedError:
            raise
        except Exception:
            logger.exception("explanation failed")
            return 500, ExplainError(error="internal error")

    def explain(self, body: bytes) -> Explanation:
        """Returns the explanation of the request that a body describes.

        Raises:
            MalformedError: If the body is malformed.
        """
        # Imported here, as the application imports the path of this package.
        from acaciaspoke.gateway.app import BadRequestError, to_request

        parsed = parse(body)
        configuration = self._app.configuration
        version = configuration.version if configuration else None
        key = _key_of(parsed.caller)
        now_s = self._clock()
        try:
            fields, route, workspace = self._app.check(
                parsed.caller, parsed.path
            )
        except BadRequestError as error:
            failure = error.failure
            return Explanation(
                host=self._local_host,
                version=version,
                route=error.route and error.route.name,
                key_fingerprint=key,
                decision=Decision(
                    outcome="refuse",
                    status=failure.status,
                    reason=failure.message,
                    retry_after_s=failure.retry_after_s,
                ),
            )
        request = to_request(
            parsed.caller, fields, route, parsed.target, b"", now_s
        )
        request.workspace = workspace
        result = try_request(self._dispatcher, request, now_s)
        quota = self._quota(request)
        notes = [QUOTA_NOTE] if quota else []
        if request.continues is not None:
            notes.append(RESUMES_NOTE)
        return Explanation(
            host=self._local_host,
            version=version,
            route=route.name,
            workspace=workspace and workspace.name,
            key_fingerprint=key,
            quota=quota,
            service=request.service,
            artifact=request.artifact and str(request.artifact),
            priority=request.priority,
            admission=result.admission,
            candidates=result.candidates,
            candidate_count=result.candidate_count,
            decision=self._decision(request, result, now_s),
            notes=notes,
        )

    def _quota(self, request: Request) -> QuotaCharge | None:
        workspace = request.workspace
        if workspace is None or workspace.quota is None:
            return None
        quota = workspace.quota
        return QuotaCharge(
            tokens=quota_tokens(request, quota),
            tokens_per_s=quota.tokens_per_s,
            burst_tokens=quota.burst_tokens,
            owner=self._quota_owner(workspace.name),
        )

    def _decision(
        self, request: Request, result: TrialResult, now_s: float
    ) -> Decision:
        part = self._parts.blocked_part(request.shared_parts, now_s)
        if part is not None:
            return Decision(
                outcome="refuse",
                status=STATUS[FailureType.REQUEST_BLOCKED],
                reason=f"prompt part {part} is blocked",
            )
        return to_decision(request, result)


def to_decision(request: Request, result: TrialResult) -> Decision:
    """Returns the decision of a trial as a part of the response."""
    match result.decided:
        case Assignment(upstream=upstream):
            return Decision(outcome="assign", upstream=upstream)
        case Forward(host=host):
            return Decision(outcome="forward", host=host)
        case Refusal() as refusal:
            return _refuse(refusal)
        case DroppedRequest(refusal=refusal):
            return _refuse(refusal)
        case Decline():
            return Decision(outcome="decline")
    reason = request.wait_reason.value if request.wait_reason else ""
    if result.is_yielding:
        reason = "leaves free slots to workspaces within their shares"
    return Decision(outcome="wait", reason=reason)


def _refuse(refusal: Refusal) -> Decision:
    return Decision(
        outcome="refuse",
        status=STATUS[FailureType.OVERLOADED],
        reason=refusal.reason,
        retry_after_s=refusal.retry_after_s,
    )


def _key_of(caller: Caller) -> str:
    """Returns the fingerprint of the API key; empty if there is none."""
    try:
        key = decode_request(caller.header_list).api_key
    except ValueError:
        return ""
    return fingerprint(key) if key else ""
