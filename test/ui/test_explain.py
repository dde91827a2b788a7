"""Tests of the explain command without a gateway."""

import unittest
from unittest import mock

import msgspec
from click.testing import CliRunner

from acaciaspoke.errors import UserError
from acaciaspoke.gateway.explain.document import (
    CandidateFigures,
    Decision,
    Explanation,
    QuotaCharge,
)
from acaciaspoke.ui import commands
from acaciaspoke.ui import explain as module
from acaciaspoke.util.http import HttpError, HttpResponse


def _sample(**changes) -> Explanation:
    candidate = CandidateFigures(
        upstream="u1",
        domain="a",
        running=1,
        slots=4,
        slot_limit=4.6,
        prefill_tokens=0,
        slowdown=1.0,
        cached_tokens=12.0,
        accepts=True,
        rank=1,
    )
    fields = {
        "host": "h1",
        "decision": Decision(outcome="assign", upstream="u1"),
        "quota": QuotaCharge(tokens=7, tokens_per_s=3.0, burst_tokens=9.0),
        "candidates": [candidate],
        "candidate_count": 3,
        **changes,
    }
    return Explanation(**fields)


def run(answer, *arguments):
    if not arguments:
        arguments = ("--host", "a", "--path", "/")
    request = mock.AsyncMock(side_effect=[answer])
    with mock.patch.object(module.HttpClient, "request", request):
        return CliRunner().invoke(
            commands, ["explain", "--metrics", "127.0.0.1:1", *arguments]
        )


class ExplainCommandTest(unittest.TestCase):

    def test_formats(self):
        """Guards against a table that lacks the decision, or is too wide."""
        note = "n" * 200
        body = msgspec.json.encode(_sample(notes=[note]))
        result = run(HttpResponse(200, body))
        self.assertIn("assign upstream u1", result.output)
        self.assertIn("counts as 7 tokens", result.output)
        self.assertIn("and 2 more", result.output)
        self.assertLessEqual(max(map(len, result.output.splitlines())), 100)
        result = run(
            HttpResponse(200, body), "--host", "a", "--path", "/", "--json"
        )
        self.assertEqual(
            msgspec.json.decode(body), msgspec.json.decode(result.output)
        )

    def test_errors(self):
        """Guards against a traceback, or success, if there is no answer."""
        for answer, message in (
            (HttpError("refused", was_sent=False), "does not answer"),
            (HttpResponse(200, b"# HELP x\nx 1\n"), "does not know"),
            (HttpResponse(200, b"{}"), "does not know"),
            (HttpResponse(404, b""), "does not know"),
            (HttpResponse(400, b'{"error": "bad path"}'), "bad path"),
        ):
            result = run(answer)
            self.assertIsInstance(result.exception, UserError)
            self.assertIn(message, str(result.exception))

    def test_malformed_arguments(self):
        """Guards against an API key in an error message."""
        arguments = ("--host", "a", "--path", "/", "--header", "s3cret")
        result = run(None, *arguments)
        self.assertIsInstance(result.exception, UserError)
        self.assertNotIn("s3cret", str(result.exception))
        arguments = ("explain", "--metrics", "x", "--host", "a", "--path", "/")
        result = CliRunner().invoke(commands, list(arguments))
        self.assertIn("--metrics", str(result.exception))
