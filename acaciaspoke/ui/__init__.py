"""The command line: one module per group of subcommands."""

import importlib
import sys

import click

from acaciaspoke.errors import UserError

# The module that defines each command.
_MODULE_OF_COMMAND = {
    "config": "config",
    "control": "serve",
    "entry": "serve",
    "explain": "explain",
    "gateway": "serve",
    "report": "report",
    "settings": "serve",
    "status": "report",
    "trace": "trace",
}


class _LazyGroup(click.Group):
    """Imports only the module of the command that is run.

    This saves memory, which is charged, in long-running processes.
    """

    def list_commands(self, context: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted(_MODULE_OF_COMMAND)

    def get_command(
        self, context: click.Context, name: str
    ) -> click.Command | None:
        """Returns the command of that name, or None."""
        if name not in _MODULE_OF_COMMAND:
            return None
        module = importlib.import_module(
            f"acaciaspoke.ui.{_MODULE_OF_COMMAND[name]}"
        )
        return getattr(module, name)


@click.group(cls=_LazyGroup)
def commands() -> None:
    """Serves many models on fewer accelerators."""


def main(arguments: list[str] | None = None) -> None:
    """Runs a command; prints a ``UserError`` as one line and exits with 1."""
    try:
        commands(arguments, prog_name="acaciaspoke")
    except UserError as error:
        click.echo(f"acaciaspoke: {error}", err=True)
        sys.exit(1)
