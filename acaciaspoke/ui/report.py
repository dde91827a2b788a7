"""The commands ``report burn`` and ``status``."""

from pathlib import Path
from typing import TypeVar

import click
import msgspec

from acaciaspoke.errors import UserError
from acaciaspoke.report.burn import BurnReport
from acaciaspoke.report.html import burn_page
from acaciaspoke.report.status import Status, status_table
from acaciaspoke.report.text import burn_table
from acaciaspoke.ui.client import Target, call, with_target

T = TypeVar("T")


class AnswerError(UserError):
    """The response of the administration API is not the expected document."""


@click.group()
def report() -> None:
    """Reports on the whole system."""


@report.command()
@click.option(
    "--format",
    "form",
    type=click.Choice(["table", "json", "html"]),
    default="table",
    show_default=True,
)
@click.option(
    "--output",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write to this file instead of standard output.",
)
@with_target
def burn(target: Target, form: str, output: Path | None) -> None:
    """Shows target attainment, error budgets and burn rates."""
    renderers = {"json": _to_json, "html": burn_page, "table": burn_table}
    _write(renderers[form](_get(target, "/v1/burn", BurnReport)), output)


@click.command()
@click.option(
    "--format",
    "form",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
@with_target
def status(target: Target, form: str) -> None:
    """Shows hosts, upstreams, leases and queues."""
    renderers = {"json": _to_json, "table": status_table}
    _write(renderers[form](_get(target, "/v1/status", Status)), None)


def _get(target: Target, path: str, document_type: type[T]) -> T:
    document = call(target, "GET", path)
    try:
        return msgspec.convert(document, document_type, strict=False)
    except msgspec.ValidationError as error:
        raise AnswerError(f"unexpected answer to {path}: {error}") from error


def _to_json(document: object) -> str:
    return msgspec.json.format(msgspec.json.encode(document)).decode()


def _write(text: str, output: Path | None) -> None:
    if output is None:
        click.echo(text.rstrip("\n"))
        return
    try:
        output.write_text(text.rstrip("\n") + "\n", encoding="utf-8")
    except OSError as error:
        raise UserError(f"{output}: {error.strerror}") from error
