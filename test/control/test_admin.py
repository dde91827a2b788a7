"""Tests of the administration API, called as an ASGI application."""

import hashlib
import unittest

import msgspec

from acaciaspoke.config.errors import (
    ConfigConflict,
    ConfigOutcomeUnknown,
    ConfigUnavailable,
    UnknownVersion,
)
from acaciaspoke.config.rows import LogRow
from acaciaspoke.config.schema import Config
from acaciaspoke.config.store import Submitted
from acaciaspoke.control.admin import MAX_PATCH_BYTES, admin_app
from acaciaspoke.errors import FieldError
from test.builders import admin_operations, small_config

PATCH_HEADERS = {"x-patch-id": "p1", "x-author": "A. Operator"}


def raises_when_called(error: Exception):
    async def function(*_, **__):
        raise error

    return function


def returns_when_called(result):
    async def function(*_, **__):
        return result

    return function


async def send_request(app, method, target, headers=None, body=b""):
    """Returns the status and the document of a response."""
    path, _, query = target.partition("?")
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": [
            (name.encode(), value.encode())
            for name, value in (headers or {}).items()
        ],
    }
    await app(scope, receive, send)
    return sent[0]["status"], msgspec.json.decode(sent[1]["body"])


class AdminTest(unittest.IsolatedAsyncioTestCase):

    async def patch(self, submit, body=b"{}", headers=PATCH_HEADERS, base="1"):
        app = admin_app(admin_operations(submit=submit))
        target = f"/v1/config?base_version={base}"
        return await send_request(app, "PATCH", target, headers, body)

    async def test_token_is_checked_except_for_health(self):
        """Guards against requests without the token or with a part of it."""
        digest = hashlib.sha256(b"secret").hexdigest()
        app = admin_app(admin_operations(), digest)
        for path, authorization, expected in (
            ("/v1/config", "Bearer secret", 200),
            ("/v1/config", "", 401),
            ("/v1/config", "Bearer secre", 401),
            ("/v1/config", f"Bearer {digest}", 401),
            ("/v1/config", "Basic secret", 401),
            ("/v1/unknown", "", 401),
            ("/healthz", "", 200),
            ("/readyz", "", 200),
        ):
            with self.subTest(path, authorization=authorization):
                headers = {"authorization": authorization}
                status, _ = await send_request(app, "GET", path, headers)
                self.assertEqual(status, expected)

    async def test_unknown_paths_methods_and_readiness(self):
        app = admin_app(
            admin_operations()._replace(not_ready=returns_when_called("x"))
        )
        for method, path, expected in (
            ("GET", "/v1/none", (404, "not_found")),
            ("POST", "/v1/config", (405, "method_not_allowed")),
            ("GET", "/readyz", (503, "not_ready")),
            ("GET", "/v1/config?version=-1", (400, "invalid_request")),
            ("GET", "/v1/config/wait", (400, "invalid_request")),
        ):
            with self.subTest(path):
                status, document = await send_request(app, method, path)
                self.assertEqual((status, document["error"]["type"]), expected)

    async def test_config_is_the_whole_document(self):
        app = admin_app(admin_operations())
        _, document = await send_request(app, "GET", "/v1/config")
        self.assertEqual(msgspec.convert(document, Config), small_config())

    async def test_patch_passes_id_author_and_base_version(self):
        calls = []

        async def submit(patch, **arguments):
            calls.append((patch, arguments))
            return Submitted(2)

        response = await self.patch(submit, b'{"models": null}')
        self.assertEqual(response, (200, {"version": 2, "read_back": False}))
        arguments = {
            "base_version": 1,
            "patch_id": "p1",
            "author": "A. Operator",
        }
        self.assertEqual(calls, [({"models": None}, arguments)])

    async def test_invalid_requests_are_not_submitted(self):
        """Guards against patch ids that address another row of the table."""
        no_submit = raises_when_called(AssertionError("submitted"))
        too_large = b" " * (MAX_PATCH_BYTES + 1)
        for case, status in (
            ({"headers": {"x-author": "a"}}, 400),
            ({"headers": {"x-patch-id": "p1"}}, 400),
            ({"headers": PATCH_HEADERS | {"x-patch-id": "../head"}}, 400),
            ({"headers": PATCH_HEADERS | {"x-author": "a\nb"}}, 400),
            ({"base": ""}, 400),
            ({"body": b"{"}, 400),
            ({"body": too_large}, 413),
        ):
            with self.subTest(case=str(case)[:80]):
                response = await self.patch(no_submit, **case)
                self.assertEqual(response[0], status)

    async def test_each_error_has_its_type(self):
        """Guards against an unknown outcome that is reported as a failure."""
        fields = [FieldError("a.b", "wrong"), FieldError("c", "wrong too")]
        for error, status, kind, details in (
            (
                ExceptionGroup("invalid patch", fields),
                422,
                "invalid_patch",
                {
                    "fields": [
                        {"path": "a.b", "problem": "wrong"},
                        {"path": "c", "problem": "wrong too"},
                    ]
                },
            ),
            (
                ConfigConflict(7),
                409,
                "version_conflict",
                {"current_version": 7},
            ),
            (UnknownVersion("x"), 404, "unknown_version", {}),
            (ConfigUnavailable("x"), 503, "unavailable", {}),
            (ConfigOutcomeUnknown("x"), 504, "outcome_unknown", {}),
            (RuntimeError("secret"), 500, "internal", {}),
        ):
            with self.subTest(kind):
                response = await self.patch(raises_when_called(error))
                error_document = response[1]["error"]
                message = error_document.pop("message")
                self.assertNotIn("secret", message)
                expected = (status, {"error": {"type": kind} | details})
                self.assertEqual(response, expected)

    async def test_history_passes_its_limits(self):
        row = LogRow(version=4, patch_id="p", author="a", merge_patch="{}")

        async def history(limit, before):
            return [row] if (limit, before) == (3, 5) else []

        app = admin_app(admin_operations(history=history))
        target = "/v1/config/history?limit=3&before=5"
        _, document = await send_request(app, "GET", target)
        self.assertEqual(document["patches"][0]["version"], 4)

    async def test_wait_lists_the_hosts_without_the_version(self):
        """Guards against a wait that ends before all hosts have the version."""
        versions_by_call = [{"h1": 1, "h2": 2}, {"h1": 3, "h2": 2}]

        async def versions():
            return (
                versions_by_call.pop(0)
                if len(versions_by_call) > 1
                else versions_by_call[0]
            )

        app = admin_app(admin_operations(host_versions=versions))
        target = "/v1/config/wait?version=2&timeout_s=60"
        _, done = await send_request(app, "GET", target)
        self.assertEqual(
            (done["complete"], done["hosts_with"]), (True, ["h1", "h2"])
        )
        target = "/v1/config/wait?version=3&timeout_s=0"
        _, timed_out = await send_request(app, "GET", target)
        self.assertEqual(
            (
                timed_out["complete"],
                timed_out["hosts_with"],
                timed_out["hosts_without"],
            ),
            (False, ["h1"], ["h2"]),
        )
