"""Tests of the command line as a whole."""

import subprocess
import sys
import unittest

import click

from acaciaspoke.ui import commands

_CHECK_IMPORTS_SCRIPT = """
import sys
from acaciaspoke.ui import commands
commands.get_command(None, "gateway")
print("acaciaspoke.report.burn" in sys.modules)
"""


class CommandsTest(unittest.TestCase):

    def test_each_listed_command_exists(self):
        context = click.Context(commands)
        names = commands.list_commands(context)
        found = [commands.get_command(context, name).name for name in names]
        self.assertEqual(names, found)

    def test_unknown_command_is_none(self):
        self.assertIsNone(
            commands.get_command(click.Context(commands), "nosuch")
        )

    def test_gateway_does_not_load_the_reports(self):
        ran = subprocess.run(
            [sys.executable, "-c", _CHECK_IMPORTS_SCRIPT],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("False", ran.stdout.strip())
