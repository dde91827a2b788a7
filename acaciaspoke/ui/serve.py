"""The commands that run processes, and ``acaciaspoke settings``."""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import click

from acaciaspoke.errors import ListenError, UserError
from acaciaspoke.settings import Settings, load_settings
from acaciaspoke.util.log import set_up_logs

# Set by the platform to the path of a host's settings.
SETTINGS_VARIABLE = "ACACIASPOKE_NODE_FILE"

_SETTINGS_PATH = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.option("--settings", "path", type=_SETTINGS_PATH, required=True)
@click.option(
    "--index",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="Which of the host's entry processes this is.",
)
def entry(path: Path, index: int) -> None:
    """Runs an entry process: accepts callers and calls upstreams."""
    # Imported here, as gateways do not need it and are short of memory.
    from acaciaspoke.entry.process import run_entry

    settings = load_settings(path)
    if index >= len(settings.entry):
        raise UserError(f"{path}: entry[{index}]: is missing")
    log_fields = _log_fields(settings)
    set_up_logs(settings.log_level, process=f"entry-{index}", **log_fields)
    _run(run_entry, settings, index)


@click.command()
@click.option("--settings", "path", type=_SETTINGS_PATH, required=True)
def control(path: Path) -> None:
    """Runs a control process: configuration, membership, placement."""
    from acaciaspoke.control.run import run_control

    settings = load_settings(path)
    set_up_logs(settings.log_level, process="control", **_log_fields(settings))
    _run(run_control, settings)


@click.command()
@click.option(
    "--settings",
    "path",
    type=_SETTINGS_PATH,
    required=True,
    envvar=SETTINGS_VARIABLE,
)
def gateway(path: Path) -> None:
    """Runs the gateway of a host on a platform with a metadata store."""
    # The default action would end the process; the settings are read below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from acaciaspoke.gateway.process import run_gateway
    from acaciaspoke.gateway.settings import load_gateway_settings

    settings = load_gateway_settings(path)
    writer = set_up_logs(settings.log_level, host=settings.host)
    # uvloop reports a reset directly after data as a regular end of the
    # connection, so a response truncated by it would appear to be complete.
    _run(run_gateway, settings, writer, path, use_uvloop=False)


@click.group()
def settings() -> None:
    """Works with the settings of a host."""


@settings.command()
@click.argument("path", type=_SETTINGS_PATH)
@click.option("--gateway", "is_gateway", is_flag=True, help="of a gateway")
def check(path: Path, is_gateway: bool) -> None:
    """Checks the settings in PATH; names every wrong field."""
    if is_gateway:
        from acaciaspoke.gateway.settings import load_gateway_settings

        loaded = load_gateway_settings(path)
        click.echo(f"{path}: gateway of {loaded.host}")
        return
    loaded = load_settings(path)
    click.echo(
        f"{path}: host {loaded.host} in {loaded.failure_domain},"
        f" {len(loaded.entry)} entry processes"
    )


def _log_fields(loaded: Settings) -> dict[str, str]:
    return {"host": loaded.host, "failure_domain": loaded.failure_domain}


def _run(
    process: Callable[..., Awaitable[None]],
    *arguments,
    use_uvloop: bool = True,
) -> None:
    options = {"use_uvloop": use_uvloop}
    try:
        anyio.run(process, *arguments, backend_options=options)
    except* ListenError as group:
        raise UserError("; ".join(map(str, _leaf_errors(group)))) from group


def _leaf_errors(group: BaseExceptionGroup):
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaf_errors(error)
        else:
            yield error
