"""Tests of the configuration commands against an administration API."""

import io
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from anyio import to_thread

from acaciaspoke.config.errors import ConfigConflict
from acaciaspoke.config.rows import LogRow
from acaciaspoke.config.store import Submitted
from acaciaspoke.control.admin import admin_app
from acaciaspoke.errors import FieldError
from acaciaspoke.ui import main
from standins.http import serving_app
from test.builders import admin_operations, next_address


def _run(arguments: list[str]) -> tuple[int, str]:
    output = io.StringIO()
    with redirect_stdout(output), redirect_stderr(output):
        try:
            main(arguments)
        except SystemExit as stop:
            return stop.code or 0, output.getvalue()
    return 0, output.getvalue()


async def run(arguments: list[str], app=None) -> tuple[int, str]:
    """Runs ``config ARGUMENTS``; returns the exit status and the output."""
    address = next_address()
    arguments = ["config", *arguments, "--admin", address]
    if app is None:
        return await to_thread.run_sync(_run, arguments)
    ip, port = address.split(":")
    async with serving_app(app, ip, int(port)):
        return await to_thread.run_sync(_run, arguments)


class ConfigCommandsTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "patch.json"
        path.write_text("{}", encoding="utf-8")
        self.patch = ["patch", str(path), "--base-version", "1"]

    async def test_show_prints_the_configuration(self):
        status, output = await run(["show"], admin_app(admin_operations()))
        self.assertEqual(status, 0)
        self.assertIn('"version": 1', output)

    async def test_errors_are_one_line(self):
        """Guards against tracebacks and omitted fields."""

        def failing_app(error):
            async def submit(*_, **__):
                raise error

            return admin_app(admin_operations(submit=submit))

        wrong = [FieldError("a", "is wrong"), FieldError("b", "is missing")]
        for arguments, app, expected in (
            (["show"], None, "does not answer"),
            (["show"], admin_app(admin_operations(), "0" * 64), "unauthorized"),
            (
                self.patch,
                failing_app(ConfigConflict(7)),
                "current version is 7",
            ),
            (
                self.patch,
                failing_app(ExceptionGroup("wrong", wrong)),
                "; a: is wrong; b: is missing",
            ),
        ):
            with self.subTest(expected):
                status, output = await run(arguments, app)
                self.assertEqual((status, output.count("\n")), (1, 1))
                self.assertIn(expected, output)

    async def test_patch_is_retried_with_its_id_after_a_lost_response(self):
        """Guards against a second patch after the first was committed."""
        ids = []

        async def submit(_, *, patch_id, **__):
            ids.append(patch_id)
            if len(ids) == 1:
                raise RuntimeError("fails after the commit")
            return Submitted(2, read_back=True)

        app = admin_app(admin_operations(submit=submit))
        self.assertEqual(await run(self.patch, app), (0, "version 2\n"))
        self.assertEqual((len(ids), len(set(ids))), (2, 1))

    async def test_history_is_one_line_a_patch(self):
        row = LogRow(version=4, patch_id="p", author="op", merge_patch="{}")

        async def history(*_):
            return [row]

        app = admin_app(admin_operations(history=history))
        status, output = await run(["history"], app)
        line = "4  1970-01-01T00:00:00Z  op  p  {}\n"
        self.assertEqual((status, output), (0, line))

    async def test_wait_fails_while_a_host_lacks_the_version(self):
        async def versions():
            return {"h1": 1, "h2": 2}

        app = admin_app(admin_operations(host_versions=versions))
        arguments = ["wait", "2", "--timeout-s", "0"]
        status, output = await run(arguments, app)
        self.assertEqual(status, 1)
        self.assertIn("in force at 1 hosts, not at h1", output)
