"""``acaciaspoke trace``: finds one request in the logs of several hosts."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from acaciaspoke.errors import UserError


class LogLine(NamedTuple):
    """One line of a log.

    Attributes:
        time: As in the log; lines sort by it.
    """

    time: str
    host: str
    message: str
    fields: dict[str, Any]


_FIELDS_SHOWN_SEPARATELY = frozenset(
    {"time", "host", "message", "level", "module"}
)


@click.command()
@click.argument("request_id")
@click.argument(
    "files",
    nargs=-1,
    type=click.Path(dir_okay=False, allow_dash=True, path_type=Path),
)
def trace(request_id: str, files: tuple[Path, ...]) -> None:
    """Prints what hosts logged of a request, in the order of time.

    FILES are logs of any number of hosts; without any, or for "-", standard
    input is read.
    """
    matches = sorted(
        line
        for path in files or (Path("-"),)
        for line in lines_of(request_id, _read(path))
    )
    if not matches:
        raise UserError(f"no line names the request {request_id!r}")
    for line in matches:
        details = " ".join(
            f"{name}={value}" for name, value in line.fields.items()
        )
        click.echo(f"{line.time} {line.host}: {line.message}  {details}")


def lines_of(request_id: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the log lines of a request; skips text that is not a log line."""
    for text in lines:
        # Skips a prefix, such as the time stamp of a log collector.
        start = text.find("{")
        if start < 0 or request_id not in text:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and fields.get("request_id") == request_id:
            yield LogLine(
                str(fields.get("time", "")),
                str(fields.get("host", "")),
                str(fields.get("message", "")),
                {
                    name: value
                    for name, value in fields.items()
                    if name not in _FIELDS_SHOWN_SEPARATELY
                    and value not in ("", None)
                },
            )


def _read(path: Path) -> Iterator[str]:
    if str(path) == "-":
        yield from sys.stdin
        return
    try:
        with path.open(encoding="utf-8", errors="replace") as log:
            yield from log
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
