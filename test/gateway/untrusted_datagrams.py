"""Datagrams under names without end."""

import itertools
from collections.abc import Iterator
from typing import Any

import msgspec

from test.gateway import message_samples

ENTRIES = 20

_FIRST_KEY = 1 << 20


def forged_datagrams(host: str) -> Iterator[bytes]:
    """Yields valid messages of each kind without end; all names differ.

    Args:
        host: The sender of every second message; the others have new names.
    """
    numbers = itertools.count(_FIRST_KEY)
    samples = [
        msgspec.msgpack.decode(data)
        for name, data in message_samples.encode().items()
        if name not in (message_samples.ROW, message_samples.SETTINGS)
    ]
    for sequence in itertools.count(1):
        for sample in samples:
            message = _renamed(sample, numbers)
            if sequence % 2:
                message |= {"host": host, "boot": "b", "sequence": sequence}
            yield msgspec.msgpack.encode(message)


def _renamed(value: Any, numbers: Iterator[int]) -> Any:
    match value:
        case "x":
            return f"x{next(numbers)}"
        case b"x":
            return b"x%d" % next(numbers)
        case list():
            return [_renamed(each, numbers) for each in value]
        case {"x": entry} | {1: entry}:
            is_text = "x" in value
            keys = itertools.islice(numbers, ENTRIES)
            return {
                f"x{key}" if is_text else key: _renamed(entry, numbers)
                for key in list(keys)
            }
        case dict():
            return {
                key: _renamed(entry, numbers) for key, entry in value.items()
            }
    return value
