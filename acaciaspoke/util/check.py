"""Checks of decoded JSON documents that report every wrong field.

``msgspec.convert`` stops at the first wrong field. Here each field of a struct
is converted on its own, so that a user sees all problems at once.
"""

import functools
import re
import typing
from typing import Any, TypeVar

import msgspec

from acaciaspoke.errors import FieldError

T = TypeVar("T")

_AT_PATH = re.compile(r"^(.*) - at `\$?(.*)`$", re.DOTALL)


def convert_all(
    document: object, wanted: type[T]
) -> tuple[T | None, list[FieldError]]:
    """Converts a document, or returns None with all the problems found."""
    problems = list(_problems(document, wanted, ""))
    if problems:
        return None, problems
    try:
        return msgspec.convert(document, wanted), []
    except msgspec.ValidationError as error:
        return None, [_problem_of(error, "")]


def _problem_of(error: msgspec.ValidationError, path: str) -> FieldError:
    match = _AT_PATH.match(str(error))
    text, inner = match.groups() if match else (str(error), "")
    return FieldError((path + inner).lstrip(".") or "$", text)


def _problems(document: Any, wanted: Any, path: str):
    origin = typing.get_origin(wanted)
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        yield from _struct_problems(document, wanted, path)
    elif origin is dict and isinstance(document, dict):
        key_type, value_type = typing.get_args(wanted)
        for key, value in document.items():
            yield from _problems(value, value_type, f"{path}.{key}")
    elif origin in (tuple, list) and isinstance(document, list):
        item_type = typing.get_args(wanted)[0]
        for index, item in enumerate(document):
            yield from _problems(item, item_type, f"{path}[{index}]")
    else:
        try:
            msgspec.convert(document, wanted)
        except msgspec.ValidationError as error:
            yield _problem_of(error, path)


@functools.cache
def _hints_and_fields(wanted: type):
    hints = typing.get_type_hints(wanted, include_extras=True)
    return hints, {f.name: f for f in msgspec.structs.fields(wanted)}


def _struct_problems(document: Any, wanted: type, path: str):
    if not isinstance(document, dict):
        yield FieldError(path.lstrip(".") or "$", "must be an object")
        return
    hints, fields = _hints_and_fields(wanted)
    for name in document.keys() - fields.keys():
        yield FieldError(f"{path}.{name}".lstrip("."), "unknown field")
    for name, field in fields.items():
        if name in document:
            yield from _problems(document[name], hints[name], f"{path}.{name}")
        elif field.required:
            yield FieldError(f"{path}.{name}".lstrip("."), "is missing")
