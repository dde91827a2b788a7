"""The commands of ``acaciaspoke config``."""

import getpass
import uuid
from datetime import UTC, datetime
from typing import Any, BinaryIO

import click
import msgspec

from acaciaspoke.errors import UserError
from acaciaspoke.ui.client import CallError, Target, call, with_target

PATCH_ATTEMPTS = 3


@click.group()
def config() -> None:
    """Shows and changes the configuration."""


@config.command()
@click.option("--version", type=click.IntRange(0), help="An older version.")
@with_target
def show(target: Target, version: int | None) -> None:
    """Prints the configuration in force, or another version, as JSON."""
    query = {} if version is None else {"version": version}
    document = call(target, "GET", "/v1/config", query)
    click.echo(msgspec.json.format(msgspec.json.encode(document)).decode())


@config.command()
@click.argument("file", type=click.File("rb"))
@click.option(
    "--base-version",
    type=click.IntRange(0),
    required=True,
    help="The version that the patch was made for.",
)
@click.option("--patch-id", help="Repeats an earlier patch safely.")
@click.option("--author", help="Default: the user's login name.")
@with_target
def patch(
    target: Target,
    file: BinaryIO,
    base_version: int,
    patch_id: str | None,
    author: str | None,
) -> None:
    """Submits the JSON merge patch in FILE (``-`` for standard input)."""
    headers = {
        "x-patch-id": patch_id or uuid.uuid4().hex,
        "x-author": author or getpass.getuser(),
        "content-type": "application/merge-patch+json",
    }
    result = _submit(target, file.read(), base_version, headers)
    click.echo(f"version {result['version']}")


@config.command()
@click.option("--limit", type=click.IntRange(1), default=20, show_default=True)
@click.option("--before", type=click.IntRange(1), help="Only older versions.")
@with_target
def history(target: Target, limit: int, before: int | None) -> None:
    """Prints the last patches, newest first, one a line."""
    query = {"limit": limit} | ({} if before is None else {"before": before})
    answer = call(target, "GET", "/v1/config/history", query)
    for row in answer["patches"]:
        at = datetime.fromtimestamp(row["committed_at_s"], UTC)
        click.echo(
            f"{row['version']}  {at:%Y-%m-%dT%H:%M:%SZ}  {row['author']}"
            f"  {row['patch_id']}  {row['merge_patch']}"
        )


@config.command()
@click.argument("version", type=click.IntRange(0))
@click.option(
    "--timeout-s",
    type=click.FloatRange(0, 300),
    default=12.0,
    show_default=True,
)
@with_target
def wait(target: Target, version: int, timeout_s: float) -> None:
    """Waits until VERSION is in force at every live host."""
    result = call(
        target._replace(timeout_s=target.timeout_s + timeout_s),
        "GET",
        "/v1/config/wait",
        {"version": version, "timeout_s": timeout_s},
    )
    hosts = len(result["hosts_with"])
    if not result["complete"]:
        missing = ", ".join(result["hosts_without"])
        raise UserError(
            f"version {version} is in force at {hosts} hosts, not at {missing}"
        )
    click.echo(f"version {version} is in force at {hosts} hosts")


def _submit(
    target: Target, body: bytes, base_version: int, headers: dict[str, str]
) -> Any:
    # The patch id makes a retry safe after a lost response.
    maybe_in_force = False
    for attempt in range(1, PATCH_ATTEMPTS + 1):
        try:
            return call(
                target,
                "PATCH",
                "/v1/config",
                {"base_version": base_version},
                headers,
                body,
            )
        except CallError as error:
            maybe_in_force |= error.was_sent
            if error.was_sent and attempt < PATCH_ATTEMPTS:
                continue
            if not maybe_in_force:
                raise
            raise UserError(
                f"{error}; the patch may be in force, repeat it with"
                f" --patch-id {headers['x-patch-id']}"
            ) from error
    raise AssertionError("the last attempt returns or raises")
