"""The commands ``report burn`` and ``status``."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click
import msgspec

from acaciaspoke.errors import UserError
from acaciaspoke.report.burn import BurnReport
from acaciaspoke.report.html import burn_page
from acaciaspoke.report.status import Status, status_table
from acaciaspoke.report.text import burn_table

T = TypeVar("T")

# Returns the body of the administration API's answer to ``GET path``, or
# raises a UserError.
Fetch = Callable[[str], bytes]


class AnswerError(UserError):
    """The administration API's answer is not the expected document."""


def report_commands(fetch: Fetch) -> tuple[click.Command, ...]:
    """Returns the commands, which ask for documents by ``fetch``."""
    report = click.Group("report", help="Reports on the whole system.")
    report.add_command(_burn_command(fetch))
    return report, _status_command(fetch)


def _burn_command(fetch: Fetch) -> click.Command:
    @click.command()
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
    def burn(form: str, output: Path | None):
        """Show target attainment, error budgets and burn rates."""
        burn_report = _get(fetch, "/v1/burn", BurnReport)
        if form == "json":
            text = _to_json(burn_report)
        elif form == "html":
            text = burn_page(burn_report)
        else:
            text = burn_table(burn_report)
        _write(text, output)

    return burn


def _status_command(fetch: Fetch) -> click.Command:
    @click.command()
    @click.option(
        "--format",
        "form",
        type=click.Choice(["table", "json"]),
        default="table",
        show_default=True,
    )
    def status(form: str):
        """Show hosts, upstreams, leases and queues."""
        found = _get(fetch, "/v1/status", Status)
        as_text = _to_json if form == "json" else status_table
        _write(as_text(found), None)

    return status


def _get(fetch: Fetch, path: str, wanted: type[T]) -> T:
    try:
        return msgspec.json.decode(fetch(path), type=wanted)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
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
