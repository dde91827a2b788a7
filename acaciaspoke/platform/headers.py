"""Headers of requests and responses on the platform."""

from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import quote_from_bytes

import xxhash

from acaciaspoke.gateway.types import Artifact, PromptPart, Request
from acaciaspoke.ids import (
    AdapterId,
    ModelId,
    PartId,
    RequestId,
    UpstreamId,
)
from acaciaspoke.platform.notices import (
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    UpstreamNotice,
    decode_notice,
)
from acaciaspoke.util.http import is_sendable_value

Headers = list[tuple[bytes, bytes]]

ATTEMPT_ID = b"acaciaspoke-attempt-id"
TIME_REMAINING_MS = b"acaciaspoke-time-remaining-ms"
MODEL = b"acaciaspoke-model"
# Two counts: prompt tokens, and the maximum of output tokens.
TOKEN_COUNT = b"acaciaspoke-token-count"
PROMPT_PREFIX = b"acaciaspoke-prompt-prefix"
EXPECT_INSTANCE = b"acaciaspoke-expect-instance"
# The signature of an upstream's response.
RESPONSE_SEAL = b"acaciaspoke-response-seal"
NOT_EXECUTED = b"acaciaspoke-not-executed"
# Priority at the engine, from 0 (most urgent) to LEAST_URGENT.
REQUEST_URGENCY = b"acaciaspoke-request-urgency"
# The API key of the caller's workspace, which no upstream gets.
API_KEY = b"acaciaspoke-key"
# The name of the workspace.
WORKSPACE = b"acaciaspoke-tenant"
LAST_EVENT_ID = b"last-event-id"
# Id of the caller's request that brought the first event of a stream with which
# this request goes on.
RESUMES = b"resumes"
# Address of the engine that gets the KV backup of the run.
KV_BACKUP = b"acaciaspoke-kv-backup"
# Address of an engine, and the id or handle of the run's memory there.
KV_FROM = b"kv-from"

# Headers that only this system sets; those of a caller are dropped.
_RESERVED_HEADERS = frozenset(
    [
        EXPECT_INSTANCE,
        TIME_REMAINING_MS,
        REQUEST_URGENCY,
        NOT_EXECUTED,
        SERVER_LOAD,
        SERVER_LEAVING,
        SERVER_BRITTLE,
        SERVER_LIMIT,
        RESPONSE_SEAL,
        b"acaciaspoke-expect-version",
        b"acaciaspoke-hold",
        b"acaciaspoke-instance-id",
        KV_BACKUP,
        KV_FROM,
        b"acaciaspoke-pin-ms",
        b"kv-fetch",
        WORKSPACE,
    ]
)

# Headers of a caller that upstreams do not get; other hosts check the key too.
_HIDDEN_FROM_UPSTREAMS = _RESERVED_HEADERS | {API_KEY}

# RFC 9110, section 7.6.1, and headers that the HTTP libraries write.
_HOP_BY_HOP_HEADERS = frozenset(
    [
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)

LEAST_URGENT = 9

# Tokens of one prompt or output; more are an error of the caller. Messages
# between hosts carry integers of 64 bits, and sums of these.
MAX_TOKENS = 2**31 - 1

# Length of a name of a caller that is part of messages between hosts; some
# hundred must fit into a datagram.
MAX_NAME_LENGTH = 128

# Parts of a prompt that are kept; a longer list is truncated.
MAX_SHARED_PARTS = 32

# Figures of a load report that each upstream states.
_LOAD_COUNTS = 3

# Python converts longer texts to integers slowly, or not at all.
_MAX_DIGITS = 18


class RequestFields(NamedTuple):
    """Properties of a request, from a caller's headers.

    Attributes:
        remaining_s: How long the caller waits; None if unknown.
        affinity: The last part of the prompt, which identifies the session.
        shared_parts: The other parts, which requests may share.
        continues: The caller's earlier request that brought the first event of
            the stream with which this one goes on; empty if it names none.
        has_last_event: Whether it goes on after an event of a stream.
        api_key: The key of the caller's workspace; empty if it sent none.
        states_tokens: Whether the numbers of tokens are stated.
        prompt_parts: The first parts of the prompt, with their sizes; empty if
            none is stated.
    """

    attempt_id: str
    remaining_s: float | None
    artifact: Artifact | None
    prompt_tokens: int
    output_tokens: int
    affinity: str
    shared_parts: tuple[PartId, ...] = ()
    continues: RequestId = RequestId("")
    has_last_event: bool = False
    api_key: bytes = b""
    states_tokens: bool = False
    prompt_parts: tuple[PromptPart, ...] = ()


class LoadReport(NamedTuple):
    """The load that an upstream reports with its responses.

    Attributes:
        work_time_percent: How long work takes at this moment, as a share of
            the usual time; 100 if the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    work_time_percent: int = 100


class ResponseFields(NamedTuple):
    """Properties of an upstream's response, from its headers.

    Attributes:
        attempt_id: Id of the request that it belongs to; empty if missing.
        is_signed: Whether it has the upstream's signature.
        not_executed: Whether the upstream declares that it ran nothing.
        is_encoded: Whether the body has a content coding.
        load: The upstream's load; None if it is missing or invalid.
        has_invalid_load: Whether there is a load that cannot be decoded.
        notice: What the upstream says about requests to come.
    """

    attempt_id: str
    is_signed: bool
    not_executed: bool
    is_encoded: bool
    load: LoadReport | None
    has_invalid_load: bool = False
    notice: UpstreamNotice = UpstreamNotice()


def attempt_id_of(headers: Iterable[tuple[bytes, bytes]]) -> RequestId:
    """Returns the id of a request; empty if it has none."""
    found = dict(headers).get(ATTEMPT_ID, b"")
    return RequestId(found.decode("latin-1").strip())


def decode_request(headers: Iterable[tuple[bytes, bytes]]) -> RequestFields:
    """Decodes a caller's headers, whose names are in lower case.

    Raises:
        ValueError: If the time is not a number, the token counts are not
            numbers from 0 to ``MAX_TOKENS``, or the model or the adapter is
            longer than ``MAX_NAME_LENGTH``.
    """
    headers = list(headers)
    found = dict(headers)
    text = {
        name: found.get(name, b"").decode("latin-1").strip()
        for name in (
            ATTEMPT_ID,
            TIME_REMAINING_MS,
            MODEL,
            TOKEN_COUNT,
            RESUMES,
            LAST_EVENT_ID,
        )
    }
    remaining_ms = text[TIME_REMAINING_MS]
    prompt, _, output = text[TOKEN_COUNT].partition(",")
    *shared_parts, last_part = _decode_parts(found.get(PROMPT_PREFIX, b""))
    return RequestFields(
        attempt_id=text[ATTEMPT_ID],
        remaining_s=float(remaining_ms) / 1000 if remaining_ms else None,
        artifact=_decode_artifact(text[MODEL]),
        prompt_tokens=_decode_tokens(prompt),
        output_tokens=_decode_tokens(output),
        affinity=last_part,
        shared_parts=tuple(filter(None, shared_parts[:MAX_SHARED_PARTS])),
        continues=RequestId(text[RESUMES]),
        has_last_event=bool(text[LAST_EVENT_ID]),
        api_key=_decode_api_key(headers),
        states_tokens=bool(text[TOKEN_COUNT]),
        prompt_parts=_decode_sizes(found.get(PROMPT_PREFIX, b"")),
    )


def _decode_api_key(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Returns the key; several different ones are a list, which is no key.

    RFC 9110, section 5.3.
    """
    keys = [value.strip() for name, value in headers if name == API_KEY]
    return b", ".join(dict.fromkeys(filter(None, keys)))


def _decode_tokens(text: str) -> int:
    tokens = int(text or 0)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f"{tokens} is no number of tokens")
    return tokens


def _decode_parts(value: bytes) -> list[PartId]:
    """Returns the ids of a prompt's parts; an empty one if there are none."""
    parts = value.decode("latin-1").split(",")
    return [_to_part_id(part.partition(":")[0].strip()) for part in parts]


def _decode_sizes(value: bytes) -> tuple[PromptPart, ...]:
    """Returns the first parts of a prompt; none if no size is stated.

    A part without a valid size has 0 tokens: those after it are reused only if
    it is held too.
    """
    parts = []
    for text in value.decode("latin-1").split(",", MAX_SHARED_PARTS):
        name, _, size = text.partition(":")
        name, size = name.strip(), size.strip()
        if not name or len(parts) == MAX_SHARED_PARTS:
            break
        tokens = int(size) if is_count(size.encode("latin-1")) else 0
        is_valid = tokens <= MAX_TOKENS
        parts.append(PromptPart(_to_part_id(name), tokens if is_valid else 0))
    return tuple(parts) if any(part.tokens for part in parts) else ()


def _to_part_id(name: str) -> PartId:
    # Part ids are only compared.
    if len(name) > MAX_NAME_LENGTH:
        return PartId(xxhash.xxh3_128_hexdigest(name.encode()))
    return PartId(name)


def _decode_artifact(text: str) -> Artifact | None:
    if not text:
        return None
    model, _, adapter = text.partition("/")
    if max(len(model), len(adapter)) > MAX_NAME_LENGTH:
        raise ValueError("the name of the model or the adapter is too long")
    return Artifact(ModelId(model), AdapterId(adapter) if adapter else None)


def encode_request(
    headers: Iterable[tuple[bytes, bytes]],
    request: Request,
    upstream: UpstreamId,
    now_s: float,
    last_event_id: bytes | None,
) -> Headers:
    """Returns the headers to send to an upstream."""
    encoded = end_to_end_headers(headers, _HIDDEN_FROM_UPSTREAMS)
    if last_event_id is not None:
        encoded = [pair for pair in encoded if pair[0] != LAST_EVENT_ID]
        encoded.append((LAST_EVENT_ID, last_event_id))
    if request.workspace is not None:
        encoded.append((WORKSPACE, encode_name(request.workspace.name)))
    remaining_ms = max(1, int((request.deadline_s - now_s) * 1000))
    encoded.append((TIME_REMAINING_MS, str(remaining_ms).encode()))
    encoded.append((EXPECT_INSTANCE, upstream.encode("latin-1")))
    if request.artifact is not None:
        urgency = min(max(request.engine_priority, 0), LEAST_URGENT)
        encoded.append((REQUEST_URGENCY, str(urgency).encode()))
    if request.resume_at is not None:
        memory = request.resume_at.memory
        encoded.append((KV_FROM, memory.encode("latin-1")))
    elif request.backup_engine is not None:
        encoded.append(
            (KV_BACKUP, request.backup_engine.address.encode("latin-1"))
        )
    return encoded


def encode_name(name: str) -> bytes:
    """Returns the name of a workspace as the value of a header, in UTF-8.

    Names that HTTP would not carry unchanged are percent-encoded (RFC 3986,
    section 2.1): those with control characters, or white space around them.
    """
    value = name.encode()
    if is_sendable_value(value) and value == value.strip():
        return value
    return quote_from_bytes(value, safe=b"").encode()


def encode_forwarded_request(
    headers: Iterable[tuple[bytes, bytes]],
    request: Request,
    now_s: float,
    last_event_id: bytes | None,
) -> Headers:
    """Returns a caller's headers for another host, which serves the request.

    Args:
        headers: The caller's headers.
        request: The request.
        now_s: The current time.
        last_event_id: The last event of its stream that the caller has, if it
            has begun; the other host goes on with the stream.
    """
    encoded = end_to_end_headers(headers, _RESERVED_HEADERS)
    if last_event_id is not None:
        encoded = [pair for pair in encoded if pair[0] != LAST_EVENT_ID]
        encoded.append((LAST_EVENT_ID, last_event_id))
        if not request.continues:
            encoded = [pair for pair in encoded if pair[0] != RESUMES]
            encoded.append((RESUMES, request.id.encode("latin-1")))
    remaining_ms = max(1, int((request.deadline_s - now_s) * 1000))
    encoded.append((TIME_REMAINING_MS, str(remaining_ms).encode()))
    return encoded


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes] = frozenset(),
) -> Headers:
    """Returns the headers without hop-by-hop ones and ``dropped``.

    Headers whose values cannot be sent are left out as well.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    connection_headers = {
        token.strip().lower()
        for name, value in pairs
        if name == b"connection"
        for token in value.split(b",")
    }
    excluded = _HOP_BY_HOP_HEADERS | connection_headers | dropped
    return [
        (name, value)
        for name, value in pairs
        if name not in excluded and is_sendable_value(value.strip())
    ]


def decode_response(headers: Iterable[tuple[bytes, bytes]]) -> ResponseFields:
    """Decodes the headers of an upstream's response."""
    found = {name.lower(): value for name, value in headers}
    coding = found.get(b"content-encoding", b"identity").strip().lower()
    load = _decode_load(found.get(SERVER_LOAD, b""))
    return ResponseFields(
        attempt_id=found.get(ATTEMPT_ID, b"").decode("latin-1").strip(),
        is_signed=RESPONSE_SEAL in found
        and is_sendable_value(found[RESPONSE_SEAL].strip()),
        not_executed=NOT_EXECUTED in found,
        is_encoded=coding not in (b"", b"identity"),
        load=load,
        has_invalid_load=load is None and SERVER_LOAD in found,
        notice=decode_notice(headers),
    )


def is_count(text: bytes) -> bool:
    """Returns whether a text is a number that counts something."""
    return text.isdigit() and len(text) <= _MAX_DIGITS


def _decode_load(value: bytes) -> LoadReport | None:
    """Decodes a load; ignores figures after the known ones.

    An invalid optional figure does not invalidate the others.
    """
    texts = [text.strip() for text in value.split(b",")]
    counts = texts[:_LOAD_COUNTS]
    if len(counts) < _LOAD_COUNTS or not all(map(is_count, counts)):
        return None
    load = LoadReport(*map(int, counts))
    work_time = texts[_LOAD_COUNTS : _LOAD_COUNTS + 1]
    if work_time and is_count(work_time[0]) and int(work_time[0]):
        return load._replace(work_time_percent=int(work_time[0]))
    return load
