"""Parses callers' requests and builds the calls to upstreams."""

import hashlib
import re
import time
import unicodedata
import uuid
from typing import Annotated, Any, NamedTuple
from urllib.parse import quote, unquote

import msgspec
import xxhash

from acaciaspoke.config.schema import Config, Rank, Service, ServiceKind
from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.errors import CallerError, ErrorType
from acaciaspoke.entry.relay import UpstreamCall, end_to_end_headers
from acaciaspoke.entry.request import Request
from acaciaspoke.ids import (
    AccountId,
    AdapterId,
    ArtifactName,
    Fingerprint,
    ModelId,
    RankId,
    RequestId,
    ServiceId,
)

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/v1/services/"

# The account of all callers while no accounts are configured.
ANONYMOUS = AccountId("anonymous")

MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_WORK_KIND_CHARS = 64

# Length of the prompt prefix that engines are likely to have cached.
PREFIX_BYTES = 2048

_CALLER_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
# U+FFFD replaces bytes that are not UTF-8 and could not be forwarded.
_UNSAFE_PATH_CHARACTERS = re.compile(r"[\x00-\x1f\x7f\ufffd\ud800-\udfff]")
# Not percent-encoded, since services may distinguish ":" from "%3A". ";" is not
# included, as segment parameters are not compared.
_SAFE_PATH_CHARACTERS = "/:@!$&'()*+,="
_NAME_CONTINUES = re.compile(r"[\w~-]")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")
_DROPPED_HEADERS = frozenset(
    [
        b"authorization",
        b"expect",
        b"host",
        b"idempotency-key",
        b"x-deadline-ms",
        b"x-rank",
        b"x-work-kind",
        # Some frameworks read the method or the path from these, which could
        # disguise a non-idempotent call.
        b"x-http-method",
        b"x-http-method-override",
        b"x-method-override",
        b"x-original-url",
        b"x-rewrite-url",
    ]
)


class ParsedRequest(NamedTuple):
    """A parsed request of a caller.

    Attributes:
        idempotency_key: Empty if the request needs none.
        document: The body for an engine; the priority is added at dispatch.
    """

    request: Request
    call: UpstreamCall
    service: Service
    idempotency_key: str = ""
    document: dict[str, msgspec.Raw] | None = None

    def upstream_call(self, level: int, deadline_ms: int) -> UpstreamCall:
        """Returns the call with its priority and remaining time."""
        body = self.call.body
        if self.document is not None:
            body = msgspec.json.encode(self.document | {"priority": level})
        deadline = (b"x-deadline-ms", str(max(1, deadline_ms)).encode())
        return msgspec.structs.replace(
            self.call, headers=[*self.call.headers, deadline], body=body
        )


def new_request_id(caller_id: str) -> RequestId:
    """Returns a unique id, prefixed with the caller's id if that is valid.

    The caller's id alone is not enough: two callers may send the same one, and
    responses are matched by id.
    """
    unique = uuid.uuid4().hex
    if _CALLER_REQUEST_ID.fullmatch(caller_id):
        return RequestId(f"{caller_id}.{unique}")
    return RequestId(unique)


def authenticate(caller: Caller, config: Config) -> AccountId:
    """Returns the account whose bearer key the caller sent.

    Raises:
        CallerError: If accounts are configured and none has this key.
    """
    if not config.accounts:
        return ANONYMOUS
    scheme, _, key = caller.header("authorization").partition(" ")
    digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
    if scheme.lower() == "bearer":
        for account_id, account in config.accounts.items():
            if account.key_sha256 == digest:
                return account_id
    raise CallerError(
        ErrorType.UNAUTHENTICATED, "the bearer key belongs to no account"
    )


def parse_chat(caller: Caller, body: bytes, config: Config) -> ParsedRequest:
    """Parses a chat-completions request.

    Raises:
        CallerError: If it is malformed or names an unknown model or rank.
    """
    fields, document = _chat_document(body)
    name = ArtifactName(fields.model)
    service_id = service_of_artifact(config, name)
    rank_id, _ = _rank(caller, config)
    prefix = name.encode() + b"\0" + bytes(fields.messages[0])[:PREFIX_BYTES]
    request = _request(
        caller,
        config,
        body,
        service_id,
        rank_id,
        artifact=name,
        prefix_hash=xxhash.xxh64_intdigest(prefix),
        stream=fields.stream,
    )
    call = UpstreamCall(
        request_id=caller.request_id,
        method=b"POST",
        target=CHAT_PATH.encode(),
        headers=[(b"content-type", b"application/json")],
        body=b"",
        stream=request.stream,
    )
    service = config.services[service_id]
    return ParsedRequest(request, call, service, document=document)


class _ChatFields(msgspec.Struct):
    """The body fields that are validated here; the engine checks the rest."""

    model: str
    messages: Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]
    stream: bool = False


_decode_fields = msgspec.json.Decoder(_ChatFields).decode
_decode_document = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode


def _chat_document(body: bytes) -> tuple[_ChatFields, dict[str, msgspec.Raw]]:
    # Values are kept in raw form: decoding and encoding changes numbers, and
    # deeply nested values would fail only after admission.
    try:
        return _decode_fields(body), _decode_document(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _bad_request(f"the body: {error}") from error


def service_of_artifact(config: Config, name: ArtifactName) -> ServiceId:
    """Returns the service that runs a model or an adapter.

    Raises:
        CallerError: If there is no such model or adapter.
    """
    adapter = config.adapters.get(AdapterId(name))
    model_id = adapter.model if adapter else ModelId(name)
    model = config.models.get(model_id)
    if model is None:
        raise CallerError(ErrorType.NOT_FOUND, f"there is no model {name!r}")
    return model.service


def parse_service(caller: Caller, body: bytes, config: Config) -> ParsedRequest:
    """Parses a request for a plain service.

    Raises:
        CallerError: If it is malformed, names an unknown service or rank, or
            lacks a required idempotency key.
    """
    rest = caller.path.removeprefix(SERVICES_PREFIX)
    name, _, subpath = rest.partition("/")
    path = "/" + subpath
    service = config.services.get(ServiceId(name))
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise CallerError(ErrorType.NOT_FOUND, f"there is no service {name!r}")
    # Other spellings of a path could disguise a non-idempotent call.
    *inner_segments, last_segment = _normalized(path).split("/")[1:]
    if "" in inner_segments or not {".", ".."}.isdisjoint(
        [*inner_segments, last_segment]
    ):
        raise _bad_request("the path has empty or relative segments")
    if _UNSAFE_PATH_CHARACTERS.search(path):
        raise _bad_request("the path has characters that are not text")
    if caller.method in ("CONNECT", "TRACE"):
        raise CallerError(
            ErrorType.METHOD_NOT_ALLOWED, f"services take no {caller.method}"
        )
    rank_id, _ = _rank(caller, config)
    idempotent = not is_non_idempotent(service, caller.method, path)
    target = quote(path, safe=_SAFE_PATH_CHARACTERS).encode()
    if caller.query:
        target += b"?" + caller.query
    request = _request(
        caller,
        config,
        caller.method.encode() + b" " + target + b"\0" + body,
        ServiceId(name),
        rank_id,
        idempotent=idempotent,
    )
    key = "" if idempotent else _idempotency_key(caller)
    headers = [
        (name, value)
        for name, value in end_to_end_headers(caller.header_list)
        if name not in _DROPPED_HEADERS
    ]
    if key:
        headers.append((b"idempotency-key", key.encode()))
    call = UpstreamCall(
        request_id=caller.request_id,
        method=caller.method.encode(),
        target=target,
        headers=headers,
        body=body,
        stream=False,
    )
    return ParsedRequest(request, call, service, key)


def is_non_idempotent(service: Service, method: str, path: str) -> bool:
    """Returns whether the service declares a call as non-idempotent.

    Services differ in which paths they treat as equal. Letter case, Unicode
    forms and segment parameters (``;v=1``) are ignored. A suffix that does not
    continue the last name (``.json``, ``:now``) also matches. A false match is
    harmless: the call then needs a key.
    """
    actual = _comparable_path(path)
    for declared in service.non_idempotent:
        declared_method, _, prefix = declared.partition(" ")
        prefix = _comparable_path(prefix).rstrip("/")
        rest = actual.removeprefix(prefix)
        matches = actual.startswith(prefix) and not _NAME_CONTINUES.match(rest)
        if declared_method.upper() == method.upper() and matches:
            return True
    return False


def _comparable_path(path: str) -> str:
    parts = _normalized(path).casefold().split("/")
    return "/".join(part.partition(";")[0].strip() for part in parts)


def _normalized(path: str) -> str:
    # Some services decode a path twice, or accept backslashes as separators.
    return unicodedata.normalize("NFKC", unquote(path)).replace("\\", "/")


def _idempotency_key(caller: Caller) -> str:
    names = [name for name, _ in caller.header_list]
    if names.count(b"idempotency-key") > 1:
        raise _bad_request("Idempotency-Key: given more than once")
    key = caller.header("idempotency-key").strip()
    if not key:
        raise _bad_request("this call needs an Idempotency-Key header")
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise _bad_request(
            "Idempotency-Key: must be 1 to 128 printable characters"
        )
    return key


def _rank(caller: Caller, config: Config) -> tuple[RankId, Rank]:
    name = caller.header("x-rank")
    if name:
        rank = config.ranks.get(RankId(name))
        if rank is None:
            known = ", ".join(sorted(config.ranks))
            raise _bad_request(f"X-Rank: {name!r} is none of {known}")
        return RankId(name), rank
    if not config.ranks:
        raise CallerError(
            ErrorType.NOT_READY, "no ranks are configured", retry_after_s=5
        )
    # Work without a rank must not delay work with one.
    return max(config.ranks.items(), key=lambda item: item[1].level)


def _deadline_s(caller: Caller, rank: Rank, now_s: float) -> float:
    text = caller.header("x-deadline-ms")
    if not text:
        return now_s + rank.default_deadline_s
    if not (text.isascii() and text.isdigit()):
        raise _bad_request(
            "X-Deadline-Ms: must be a whole number of milliseconds"
        )
    if len(text) > 9 or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise _bad_request(
            f"X-Deadline-Ms: must be from 1 to {MAX_DEADLINE_MS}"
        )
    return now_s + int(text) / 1000


def _request(
    caller: Caller,
    config: Config,
    content: bytes,
    service: ServiceId,
    rank: RankId,
    **fields: Any,
) -> Request:
    now_s = time.monotonic()
    account = authenticate(caller, config)
    kind = caller.header("x-work-kind")
    if len(kind) > MAX_WORK_KIND_CHARS:
        raise _bad_request(
            f"X-Work-Kind: longer than {MAX_WORK_KIND_CHARS} characters"
        )
    digest = hashlib.sha256(content).hexdigest()
    identity = f"{account}\0{service}\0{digest}".encode()
    return Request(
        request_id=caller.request_id,
        account=account,
        service=service,
        rank=rank,
        work_kind=kind or fields.get("artifact") or service,
        body_hash=digest,
        fingerprint=Fingerprint(xxhash.xxh3_128_hexdigest(identity)),
        deadline_s=_deadline_s(caller, config.ranks[rank], now_s),
        arrived_s=now_s,
        **fields,
    )


def _bad_request(message: str) -> CallerError:
    return CallerError(ErrorType.BAD_REQUEST, message)
