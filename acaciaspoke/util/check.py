"""Validation of decoded JSON documents that reports every invalid field.

``msgspec.convert`` stops at the first invalid field. Here each field of a
struct is converted separately, so that all problems are reported at once.
"""

import functools
import re
import typing
from typing import Any, TypeVar

import msgspec

from acaciaspoke.errors import FieldError

T = TypeVar("T")

_ERROR_WITH_PATH = re.compile(r"^(.*) - at `\$?(.*)`$", re.DOTALL)


def convert_all(
    document: object, target_type: type[T]
) -> tuple[T | None, list[FieldError]]:
    """Returns the converted document, or None and all problems found."""
    problems = list(_problems(document, target_type, ""))
    if problems:
        return None, problems
    try:
        return msgspec.convert(document, target_type), []
    except msgspec.ValidationError as error:
        return None, [_problem_of(error, "")]


def _problem_of(error: msgspec.ValidationError, path: str) -> FieldError:
    match = _ERROR_WITH_PATH.match(str(error))
    text, inner = match.groups() if match else (str(error), "")
    return FieldError((path + inner).lstrip(".") or "$", text)


def _problems(document: Any, target_type: Any, path: str):
    origin = typing.get_origin(target_type)
    if isinstance(target_type, type) and issubclass(
        target_type, msgspec.Struct
    ):
        yield from _struct_problems(document, target_type, path)
    elif origin is dict and isinstance(document, dict):
        key_type, value_type = typing.get_args(target_type)
        for key, value in document.items():
            yield from _problems(value, value_type, f"{path}.{key}")
    elif origin in (tuple, list) and isinstance(document, list):
        item_type = typing.get_args(target_type)[0]
        for index, item in enumerate(document):
            yield from _problems(item, item_type, f"{path}[{index}]")
    else:
        try:
            msgspec.convert(document, target_type)
        except msgspec.ValidationError as error:
            yield _problem_of(error, path)


@functools.cache
def _hints_and_fields(target_type: type):
    hints = typing.get_type_hints(target_type, include_extras=True)
    return hints, {f.name: f for f in msgspec.structs.fields(target_type)}


def _struct_problems(document: Any, target_type: type, path: str):
    if not isinstance(document, dict):
        yield FieldError(path.lstrip(".") or "$", "must be an object")
        return
    hints, fields = _hints_and_fields(target_type)
    for name in document.keys() - fields.keys():
        yield FieldError(f"{path}.{name}".lstrip("."), "unknown field")
    for name, field in fields.items():
        if name in document:
            yield from _problems(document[name], hints[name], f"{path}.{name}")
        elif field.required:
            yield FieldError(f"{path}.{name}".lstrip("."), "is missing")
