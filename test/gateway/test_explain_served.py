"""Tests of explanations by a running gateway."""

import logging
from unittest import mock

import anyio.to_thread
import httpcore
import msgspec
from click.testing import CliRunner
from loguru import logger

from acaciaspoke.gateway.api_keys import fingerprint
from acaciaspoke.ui import commands
from test.gateway.serving import PEER_PORT, GatewayTest
from test.gateway.stream_serving import go_on
from test.gateway.workspace_documents import (
    KEY,
    UNKNOWN_KEY,
    entry,
    keyed_configuration,
)


class ExplainServedTest(GatewayTest):
    """A gateway with and without workspaces."""

    @property
    def metrics_address(self) -> str:
        return f"{self.address.split(':')[0]}:{PEER_PORT + 2}"

    async def post(
        self, body: bytes, address: str = "", method: str = "POST"
    ) -> httpcore.Response:
        address = address or self.metrics_address
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method, f"http://{address}/explain", content=body
            )

    async def explain(self, path: str, headers: dict[str, str]) -> dict:
        headers = dict(headers)
        asked = {
            "host": headers.pop("Host"),
            "path": path,
            "headers": list(headers.items()),
        }
        answer = await self.post(msgspec.json.encode(asked))
        self.assertEqual(200, answer.status, answer.content)
        return msgspec.json.decode(answer.content)

    async def configure_keys(self, *entries: dict) -> None:
        await self.eventually(lambda: self.gateway._peers.rows)
        self.store.put("op", "config", keyed_configuration(2, *entries))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
        )

    async def test_request_goes_where_it_was_explained(self):
        """Guards against an explanation that the gateway does not follow."""
        for engine in self.engines:
            engine.script = go_on
        for path, workers, extra in (
            ("/stream/a", self.engines, {"Acaciaspoke-Model": "m1"}),
            ("/safe/a?b=c", self.apps, {}),
        ):
            headers = {**self.headers(), **extra}
            found = await self.explain(path, headers)
            self.assertEqual("assign", found["decision"]["outcome"], found)
            self.assertEqual(2, found["candidate_count"])
            for worker in workers:
                self.assertEqual([], worker.arrivals)
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    "POST",
                    f"http://{self.address}{path}",
                    headers=headers,
                    content=b"x",
                )
            self.assertEqual(200, answer.status, answer.content)
            self.assertEqual(
                [found["decision"]["upstream"]],
                [worker.name for worker in workers if worker.arrivals],
            )

    async def test_unknown_key(self):
        """Guards against keys in the response or the log, and counting."""
        await self.configure_keys(
            entry(rate_per_s=9.0, burst=90, unit="tokens")
        )
        lines: list[str] = []
        sink = logger.add(lines.append, level=logging.DEBUG)
        self.addCleanup(logger.remove, sink)
        with mock.patch.object(
            self.gateway.metrics.unauthenticated, "inc"
        ) as count:
            for key in (KEY, UNKNOWN_KEY):
                headers = self.headers(Acaciaspoke_Key=key)
                found = await self.explain("/safe/a", headers)
                self.assertEqual(
                    fingerprint(key.encode()), found["key_fingerprint"]
                )
                self.assertNotIn(key, str(found) + "".join(lines))
                is_known = key == KEY
                status = found["decision"]["status"]
                self.assertEqual(None if is_known else 401, status)
                self.assertEqual(
                    "alpha" if is_known else None, found["workspace"]
                )
                self.assertEqual(is_known, found["quota"] is not None)
                self.assertEqual(2, found["version"])
        count.assert_not_called()

    async def test_no_route(self):
        """Guards against a fault if no route matches."""
        found = await self.explain("/none/", self.headers())
        self.assertEqual(404, found["decision"]["status"])
        self.assertIsNone(found["route"])

    async def test_only_on_the_port_for_metrics(self):
        """Guards against callers that read the state of the system."""
        ip = self.address.split(":")[0]
        ready_port = self.gateway._settings.ready_listen.split(":")[1]
        body = msgspec.json.encode({"host": "a.example", "path": "/safe/"})
        for port in (self.address.split(":")[1], ready_port, PEER_PORT):
            answer = await self.post(body, f"{ip}:{port}")
            self.assertNotIn(b"candidates", answer.content)
        self.assertIn(b"candidates", (await self.post(body)).content)

    async def test_malformed_body(self):
        """Guards against faults, and bodies without a bound."""
        for body, status in (
            (b"{", 400),
            (b'{"host": "a", "path": "x"}', 400),
            (b" " * (64 * 1024 + 1), 413),
        ):
            answer = await self.post(body)
            self.assertEqual(status, answer.status)
            self.assertIn("error", msgspec.json.decode(answer.content))
        self.assertEqual(405, (await self.post(b"", method="GET")).status)

    async def test_command(self):
        """Guards against a command that does not read a gateway's response."""
        arguments = ["--host", "a.example", "--path", "/safe/"]
        for flags, expected in (([], "rank"), (["--json"], '"candidates"')):
            result = await anyio.to_thread.run_sync(
                CliRunner().invoke,
                commands,
                [
                    "explain",
                    "--metrics",
                    self.metrics_address,
                    *arguments,
                    *flags,
                ],
            )
            self.assertEqual(0, result.exit_code, result.output)
            self.assertIn(expected, result.output)
            self.assertIn("assign", result.output)
