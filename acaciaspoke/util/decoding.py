"""Decodes JSON that other parties wrote."""

from typing import Any

import msgspec


def decode_json(data: bytes, kind: Any = Any) -> Any:
    """Decodes a JSON document.

    Args:
        data: The document.
        kind: The type of the result.

    Raises:
        msgspec.MsgspecError: If the document is invalid, also if it is not in
            UTF-8 or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
