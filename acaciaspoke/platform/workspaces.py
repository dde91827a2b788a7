"""Decodes the workspaces of a configuration, with their API keys and quotas.

The store accepts any entries. An entry or field that is invalid is logged and
replaced, so that the rest of the configuration comes into force:

- An entry that is no object, or has no name, is a workspace without keys.
- A key that is no text, or is empty, is left out.
- A priority that is invalid is missing; a rate that is invalid is no limit.

Values are not logged, as they may contain keys.
"""

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec
from loguru import logger

from acaciaspoke.gateway.api_keys import digest_of
from acaciaspoke.gateway.types import Quota, Workspace
from acaciaspoke.ids import WorkspaceId
from acaciaspoke.platform.bounds import Integer, Rate
from acaciaspoke.util.decoding import decode_json

_LIST = "tenants"
_KEYS = "api-keys"
# Hexadecimal digests in place of keys; only in what hosts pass to each other.
_DIGESTS = "api-key-digests"
_DIGEST_BYTES = 32

# Tokens of one request; more are an error of the operator. Messages between
# hosts carry integers of 64 bits, and sums of these.
MAX_PLAIN_TOKENS = 2**31 - 1

_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_PLAIN_TOKENS)]
_Fields = dict[str, msgspec.Raw]


def decode_workspaces(entries: Iterable[msgspec.Raw]) -> tuple[Workspace, ...]:
    """Returns a workspace for each entry, also for an invalid one.

    Requests need a key as soon as there is an entry, whether it is valid or
    not: an error in the only entry must not admit everyone.
    """
    return tuple(
        _to_workspace(number, entry) for number, entry in enumerate(entries)
    )


def without_plain_keys(configuration: bytes) -> bytes:
    """Returns a configuration's document with digests in place of the keys.

    It is what a host keeps and passes on to others; ``decode_workspaces``
    returns the same workspaces for it.

    Raises:
        msgspec.MsgspecError: If the document is invalid.
    """
    document = decode_json(configuration, _Fields)
    entries = decode_json(
        document.get(_LIST, b"null"), list[msgspec.Raw] | None
    )
    if not entries:
        return configuration
    document[_LIST] = msgspec.Raw(
        msgspec.json.encode(list(map(_without_keys, entries)))
    )
    return msgspec.json.encode(document)


def _without_keys(entry: msgspec.Raw) -> _Fields | None:
    fields = _decode(entry, _Fields)
    if fields is None:
        return None
    digests = sorted(digest.hex() for digest in _digests(fields, ""))
    kept = {
        name: value
        for name, value in fields.items()
        if name not in (_KEYS, _DIGESTS)
    }
    return {**kept, _DIGESTS: msgspec.Raw(msgspec.json.encode(digests))}


def _to_workspace(number: int, entry: msgspec.Raw) -> Workspace:
    fields = _decode(entry, _Fields)
    name = _field(fields or {}, "name", str, "", f"entry {number}")
    if not name:
        logger.error("workspace {} has no name; it has no keys", number)
        return Workspace(name=WorkspaceId(""), key_digests=frozenset())
    return Workspace(
        name=WorkspaceId(name),
        key_digests=_digests(fields, name),
        priority=_field(fields, "priority", Integer | None, None, name),
        quota=_to_quota(fields, name),
    )


def _to_quota(fields: _Fields, name: str) -> Quota | None:
    """Returns a quota; a unit that is not known counts requests."""
    tokens_per_s = _field(fields, "rate-per-s", Rate, 0.0, name)
    if not tokens_per_s:
        return None
    counts_tokens = _field(fields, "unit", str, "requests", name) == "tokens"
    plain_tokens = _field(fields, "plain-tokens", _Tokens, 1, name)
    return Quota(
        tokens_per_s=tokens_per_s,
        burst_tokens=_field(fields, "burst", Rate, 0.0, name),
        plain_tokens=plain_tokens if counts_tokens else 1,
        counts_tokens=counts_tokens,
    )


def _digests(fields: _Fields, name: str) -> frozenset[bytes]:
    """Returns the digests of the keys, without white space around them.

    HTTP removes it from the values of headers.
    """
    keys = _texts(fields, _KEYS, name)
    digests = _texts(fields, _DIGESTS, name)
    return frozenset(
        digest_of(key.encode().strip()) for key in keys if key.strip()
    ) | frozenset(filter(None, map(_to_digest, digests)))


def _to_digest(text: str) -> bytes | None:
    try:
        digest = bytes.fromhex(text)
    except ValueError:
        return None
    return digest if len(digest) == _DIGEST_BYTES else None


def _texts(fields: _Fields, field: str, name: str) -> list[str]:
    """Returns the texts in a list; leaves out what is no text."""
    raw = _field(fields, field, list[msgspec.Raw] | None, None, name) or []
    texts = [_decode(each, str) for each in raw]
    found = [text for text in texts if text is not None]
    if len(found) < len(texts):
        logger.error("workspace {}: an entry of {} is no text", name, field)
    return found


def _field(
    fields: _Fields, field: str, kind: Any, default: Any, name: str
) -> Any:
    raw = fields.get(field)
    if raw is None:
        return default
    try:
        return decode_json(raw, kind)
    except msgspec.MsgspecError:
        logger.error("workspace {}: field {} is invalid", name, field)
        return default


def _decode(raw: msgspec.Raw, kind: Any) -> Any:
    """Returns a value, or None if it is of another kind."""
    try:
        return decode_json(raw, kind)
    except msgspec.MsgspecError:
        return None
