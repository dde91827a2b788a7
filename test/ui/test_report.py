"""Tests of the report commands."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from click.testing import CliRunner

from acaciaspoke.errors import UserError
from acaciaspoke.ui import client, commands
from acaciaspoke.util.http import HttpResponse
from test.report.sample import report, windows
from test.report.test_status import sample_status


def run(*arguments, answers=None):
    answers = answers or {
        "/v1/burn": msgspec.json.encode(report(windows((1,) * 4, 2))),
        "/v1/status": msgspec.json.encode(sample_status()),
    }

    async def request(_self, _method, path, *_):
        return HttpResponse(200, answers[path])

    target = ("--admin", "127.0.0.1:1")
    with mock.patch.object(client.HttpClient, "request", request):
        return CliRunner().invoke(commands, [*arguments, *target])


class ReportCommandsTest(unittest.TestCase):

    def test_formats(self):
        """Guards against a format that prints the text of another."""
        self.assertIn("urgent  chat", run("report", "burn").output)
        found = run("report", "burn", "--format", "json").output
        self.assertEqual(msgspec.json.decode(found)["processes"], 1)
        found = run("report", "burn", "--format", "html").output
        self.assertTrue(found.startswith("<!doctype html>"))
        self.assertIn("lease holder", run("status").output)
        found = run("status", "--format", "json").output
        self.assertEqual(msgspec.json.decode(found)["host"], "h1")

    def test_output_file(self):
        """Guards against a page that is printed to the terminal."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "burn.html"
            arguments = ("--format", "html", "--output", str(path))
            result = run("report", "burn", *arguments)
            self.assertEqual(result.output, "")
            self.assertIn("</html>", path.read_text(encoding="utf-8"))
            path = Path(folder) / "missing" / "burn.html"
            result = run("report", "burn", "--output", str(path))
            self.assertIsInstance(result.exception, UserError)

    def test_unexpected_response(self):
        """Guards against a traceback if the API has another version."""
        for answer in (b"<html>", b"{}"):
            result = run("status", answers={"/v1/status": answer})
            self.assertIsInstance(result.exception, UserError)
