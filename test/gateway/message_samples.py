"""Encodes and decodes a sample of each message, row and file of settings.

A program that runs in the tree of any release, to compare two of them:

- ``encode`` prints the samples by name, as JSON with base64.
- ``decode`` reads them and prints by name what it decoded, or the error.
"""

import base64
import json
import sys
import typing

import msgspec
from msgspec import inspect

from acaciaspoke.gateway import messages
from acaciaspoke.gateway.peers import HostRow
from acaciaspoke.gateway.settings import GatewaySettings

ROW, SETTINGS = "HostRow", "GatewaySettings"
_JSON_TYPES = {ROW: HostRow, SETTINGS: GatewaySettings}

# Texts that have to be valid in themselves.
_TEXTS = {
    "address": "127.0.0.1",
    "listen": "127.0.0.1:1",
    "ready_listen": "127.0.0.1:2",
    "store": "127.0.0.1:3",
}


def sample(kind: inspect.Type, name: str = "") -> typing.Any:
    """Returns a value of a type in which no field is missing."""
    match kind:
        case inspect.IntType():
            return max(1, kind.ge or 0)
        case inspect.FloatType():
            return 0.5
        case inspect.BoolType():
            return True
        case inspect.StrType():
            return _TEXTS.get(name, "x")
        case inspect.BytesType():
            return b"x"
        case inspect.DictType():
            return {sample(kind.key_type): sample(kind.value_type)}
        case inspect.VarTupleType():
            count = max(1, kind.min_length or 0)
            return (sample(kind.item_type),) * count
        case inspect.TupleType():
            return tuple(map(sample, kind.item_types))
        case inspect.NamedTupleType():
            values = [sample(field.type) for field in kind.fields]
            return kind.cls(*values)
        case inspect.StructType():
            return kind.cls(
                **{
                    field.name: sample(field.type, field.name)
                    for field in kind.fields
                }
            )
        case inspect.EnumType():
            return next(iter(kind.cls))
        case inspect.UnionType():
            return sample(
                next(
                    each
                    for each in kind.types
                    if not isinstance(each, inspect.NoneType)
                )
            )
    raise TypeError(f"no sample of {kind}")


def encode() -> dict[str, bytes]:
    """Returns the encoded samples by name."""
    encoded = {
        kind.__name__: messages.encode(sample(inspect.type_info(kind)))
        for kind in typing.get_args(messages.Message)
    }
    for name, kind in _JSON_TYPES.items():
        encoded[name] = msgspec.json.encode(sample(inspect.type_info(kind)))
    return encoded


def decode(name: str, data: bytes) -> dict:
    """Returns the fields that were decoded, or the error."""
    try:
        if name in _JSON_TYPES:
            found = msgspec.json.decode(data, type=_JSON_TYPES[name])
        else:
            found = messages.decode(data)
    except msgspec.MsgspecError as error:
        return {"error": str(error)}
    return msgspec.to_builtins(msgspec.structs.asdict(found), str_keys=True)


def main() -> None:
    """Runs the command in the first argument."""
    if sys.argv[1] == "encode":
        result = {
            name: base64.b64encode(data).decode()
            for name, data in encode().items()
        }
    else:
        result = {
            name: decode(name, base64.b64decode(text))
            for name, text in json.load(sys.stdin).items()
        }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
