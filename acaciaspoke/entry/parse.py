"""Turns what a caller sent into a request and the call to an upstream."""

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
from acaciaspoke.entry.relay import UpstreamCall, relayed_headers
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

# The account of all callers while the configuration names no account.
ANONYMOUS = AccountId("anonymous")

MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_WORK_KIND_CHARS = 64

# The prompt's start that engines are likely to have in their prefix cache.
PREFIX_BYTES = 2048

_CALLER_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
# U+FFFD stands for bytes that are no UTF-8 and could not be passed on.
_UNSAFE_IN_PATH = re.compile(r"[\x00-\x1f\x7f\ufffd\ud800-\udfff]")
# Left as they are, since services may tell ":" from "%3A". ";" is not among
# them: parameters of segments are not compared.
_SAFE_IN_PATH = "/:@!$&'()*+,="
_GOES_ON = re.compile(r"[\w~-]")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")
_DROPPED_FROM_CALLER = frozenset(
    [
        b"authorization",
        b"expect",
        b"host",
        b"idempotency-key",
        b"x-deadline-ms",
        b"x-rank",
        b"x-work-kind",
        # Some frameworks take the method or the path from these instead,
        # which could hide a call that may run only once.
        b"x-http-method",
        b"x-http-method-override",
        b"x-method-override",
        b"x-original-url",
        b"x-rewrite-url",
    ]
)


class Parsed(NamedTuple):
    """What a caller asked for.

    Attributes:
        idempotency_key: Empty if the request needs none.
        document: The body for an engine, which gets a priority at dispatch.
    """

    request: Request
    call: UpstreamCall
    service: Service
    idempotency_key: str = ""
    document: dict[str, msgspec.Raw] | None = None

    def call_at(self, level: int, deadline_ms: int) -> UpstreamCall:
        """Returns the call with its priority and what is left of its time."""
        body = self.call.body
        if self.document is not None:
            body = msgspec.json.encode(self.document | {"priority": level})
        deadline = (b"x-deadline-ms", str(max(1, deadline_ms)).encode())
        return msgspec.structs.replace(
            self.call, headers=[*self.call.headers, deadline], body=body
        )


def new_request_id(caller_id: str) -> RequestId:
    """Makes a unique id that starts with the caller's own, if it has one.

    The caller's id alone would not do: two callers can send the same one, and
    answers are told apart by it.
    """
    unique = uuid.uuid4().hex
    if _CALLER_REQUEST_ID.fullmatch(caller_id):
        return RequestId(f"{caller_id}.{unique}")
    return RequestId(unique)


def account_of(caller: Caller, config: Config) -> AccountId:
    """Returns the account whose bearer key the caller sent.

    Raises:
        CallerError: If there are accounts and the key is none of theirs.
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


def parse_chat(caller: Caller, body: bytes, config: Config) -> Parsed:
    """Reads a chat-completions request.

    Raises:
        CallerError: If it is malformed or names an unknown model or rank.
    """
    fields, document = _chat_document(body)
    name = ArtifactName(fields.model)
    service_id = service_of_artifact(config, name)
    rank_id, _ = _rank(caller, config)
    start = name.encode() + b"\0" + bytes(fields.messages[0])[:PREFIX_BYTES]
    request = _request(
        caller,
        config,
        body,
        service_id,
        rank_id,
        artifact=name,
        prefix_hash=xxhash.xxh64_intdigest(start),
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
    return Parsed(request, call, service, document=document)


class _ChatFields(msgspec.Struct):
    """What is read of the body; the rest is for the engine to judge."""

    model: str
    messages: Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]
    stream: bool = False


_decode_fields = msgspec.json.Decoder(_ChatFields).decode
_decode_document = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode


def _chat_document(body: bytes) -> tuple[_ChatFields, dict[str, msgspec.Raw]]:
    # Values stay as the caller wrote them: decoded and encoded again, numbers
    # change, and what is nested deeply fails after it was admitted.
    try:
        return _decode_fields(body), _decode_document(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _bad(f"the body: {error}") from error


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


def parse_service(caller: Caller, body: bytes, config: Config) -> Parsed:
    """Reads a request for a plain service.

    Raises:
        CallerError: If it is malformed, names an unknown service or rank, or
            lacks the idempotency key that it needs.
    """
    rest = caller.path.removeprefix(SERVICES_PREFIX)
    name, _, inner = rest.partition("/")
    path = "/" + inner
    service = config.services.get(ServiceId(name))
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise CallerError(ErrorType.NOT_FOUND, f"there is no service {name!r}")
    # Other spellings of a path could hide a call that may run only once.
    *inner_parts, last_part = _alike(path).split("/")[1:]
    if "" in inner_parts or not {".", ".."}.isdisjoint(
        [*inner_parts, last_part]
    ):
        raise _bad("the path has empty or relative segments")
    if _UNSAFE_IN_PATH.search(path):
        raise _bad("the path has characters that are not text")
    if caller.method in ("CONNECT", "TRACE"):
        raise CallerError(
            ErrorType.METHOD_NOT_ALLOWED, f"services take no {caller.method}"
        )
    rank_id, _ = _rank(caller, config)
    idempotent = not is_non_idempotent(service, caller.method, path)
    target = quote(path, safe=_SAFE_IN_PATH).encode()
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
        for name, value in relayed_headers(caller.header_list)
        if name not in _DROPPED_FROM_CALLER
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
    return Parsed(request, call, service, key)


def is_non_idempotent(service: Service, method: str, path: str) -> bool:
    """Tells whether the service declares that a call may run only once.

    Services differ in what they take for the same path. Letter case, forms of
    characters and parameters of segments (``;v=1``) are ignored, and a suffix
    that does not go on with the last name (``.json``, ``:now``) is taken for
    a part of the call. A call too many that needs a key does no harm.
    """
    plain = _plain_path(path)
    for declared in service.non_idempotent:
        declared_method, _, prefix = declared.partition(" ")
        prefix = _plain_path(prefix).rstrip("/")
        rest = plain.removeprefix(prefix)
        below = plain.startswith(prefix) and not _GOES_ON.match(rest)
        if declared_method.upper() == method.upper() and below:
            return True
    return False


def _plain_path(path: str) -> str:
    parts = _alike(path).casefold().split("/")
    return "/".join(part.partition(";")[0].strip() for part in parts)


def _alike(path: str) -> str:
    # Some services decode a path twice, or take both kinds of slash.
    return unicodedata.normalize("NFKC", unquote(path)).replace("\\", "/")


def _idempotency_key(caller: Caller) -> str:
    names = [name for name, _ in caller.header_list]
    if names.count(b"idempotency-key") > 1:
        raise _bad("Idempotency-Key: given more than once")
    key = caller.header("idempotency-key").strip()
    if not key:
        raise _bad("this call needs an Idempotency-Key header")
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise _bad("Idempotency-Key: must be 1 to 128 printable characters")
    return key


def _rank(caller: Caller, config: Config) -> tuple[RankId, Rank]:
    name = caller.header("x-rank")
    if name:
        rank = config.ranks.get(RankId(name))
        if rank is None:
            known = ", ".join(sorted(config.ranks))
            raise _bad(f"X-Rank: {name!r} is none of {known}")
        return RankId(name), rank
    if not config.ranks:
        raise CallerError(
            ErrorType.NOT_READY, "no ranks are configured", retry_after_s=5
        )
    # Work that does not say otherwise must not hold up work that does.
    return max(config.ranks.items(), key=lambda item: item[1].level)


def _deadline_s(caller: Caller, rank: Rank, now_s: float) -> float:
    text = caller.header("x-deadline-ms")
    if not text:
        return now_s + rank.default_deadline_s
    if not (text.isascii() and text.isdigit()):
        raise _bad("X-Deadline-Ms: must be a whole number of milliseconds")
    if len(text) > 9 or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise _bad(f"X-Deadline-Ms: must be from 1 to {MAX_DEADLINE_MS}")
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
    account = account_of(caller, config)
    kind = caller.header("x-work-kind")
    if len(kind) > MAX_WORK_KIND_CHARS:
        raise _bad(f"X-Work-Kind: longer than {MAX_WORK_KIND_CHARS} characters")
    digest = hashlib.sha256(content).hexdigest()
    whole = f"{account}\0{service}\0{digest}".encode()
    return Request(
        request_id=caller.request_id,
        account=account,
        service=service,
        rank=rank,
        work_kind=kind or fields.get("artifact") or service,
        body_hash=digest,
        fingerprint=Fingerprint(xxhash.xxh3_128_hexdigest(whole)),
        deadline_s=_deadline_s(caller, config.ranks[rank], now_s),
        arrived_s=now_s,
        **fields,
    )


def _bad(message: str) -> CallerError:
    return CallerError(ErrorType.BAD_REQUEST, message)
