"""API keys of requests, from the caller to the upstream, in one process."""

import asyncio
import logging
from unittest import mock

import httpcore
from loguru import logger

from acaciaspoke.gateway.api_keys import ApiKeys, fingerprint
from standins.faults import Faults
from test.gateway.serving import GatewayTest, configuration
from test.gateway.test_forwarding import LostLinksTest
from test.gateway.workspace_documents import (
    KEY,
    OTHER_KEY,
    UNKNOWN_KEY,
    entry,
    keyed_configuration,
)


class KeysTest(GatewayTest):
    """A gateway whose configuration has the workspaces alpha and Büro."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # A host that has yet to read the hosts' table does not answer 401.
        await self.eventually(lambda: self.gateway._peers.rows)
        await self.configure(
            keyed_configuration(2, entry(), entry("Büro", OTHER_KEY))
        )

    async def configure(self, document: dict) -> None:
        """Writes a configuration and waits until it is in force."""
        self.store.put("op", "config", document)
        await self.eventually(
            lambda: self.gateway.app.configuration.version
            == document["version"]
        )

    async def call(
        self, path: str, *headers: tuple[bytes, bytes], body: bytes = b"x"
    ) -> httpcore.Response:
        """Sends a request with headers that may be repeated."""
        common = [
            (name.encode(), value.encode())
            for name, value in self.headers().items()
        ]
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "POST",
                f"http://{self.address}{path}",
                headers=[*common, *headers],
                content=body,
            )

    def arrivals(self) -> list:
        return [
            arrival
            for worker in (*self.apps, *self.engines)
            for arrival in worker.arrivals
        ]

    def last_workspace(self) -> str | None:
        """Returns the name that the upstream got; checks that no key did."""
        last = max(self.arrivals(), key=lambda arrival: arrival.arrived_s)
        self.assertNotIn("acaciaspoke-key", last.headers)
        return last.headers.get("acaciaspoke-tenant")


class KeysOfRequestsTest(KeysTest):

    async def test_requests_without_a_valid_key_run_nothing(self):
        for values in (
            (),
            (b"",),
            (UNKNOWN_KEY.encode(),),
            (KEY.upper().encode(),),
            (KEY.encode(), OTHER_KEY.encode()),
            (b"k" * 8000,),
            "ключ".encode(),
        ):
            values = (values,) if isinstance(values, bytes) else values
            with self.subTest(values):
                headers = [(b"Acaciaspoke-Key", value) for value in values]
                answer = await self.call("/unsafe/x", *headers)
                self.assertEqual(401, answer.status)
                self.assertNotIn(b"retry-after", dict(answer.headers))
                self.assertIn(b'"unauthenticated"', answer.content)
                self.assertIn(b'"not_run"', answer.content)
        self.assertEqual([], self.arrivals())

    async def test_answer_and_logs_have_the_fingerprint_only(self):
        with mock.patch("acaciaspoke.gateway.app.logger.info") as info:
            answer = await self.call(
                "/unsafe/x", (b"Acaciaspoke-Key", UNKNOWN_KEY.encode())
            )
        digits = fingerprint(UNKNOWN_KEY.encode())
        for text in (answer.content.decode(), str(info.call_args_list)):
            self.assertIn(digits, text)
            self.assertNotIn(UNKNOWN_KEY, text)

    async def test_upstream_gets_the_name_and_not_the_key(self):
        forged = (b"Acaciaspoke-Tenant", b"forged")
        for key, name in ((KEY, "alpha"), (OTHER_KEY, "Büro")):
            for headers in (
                [(b"Acaciaspoke-Key", key.encode())],
                [(b"ACACIASPOKE-KEY", key.encode()), forged],
                [forged, *2 * [(b"Acaciaspoke-Key", key.encode())]],
            ):
                with self.subTest(headers):
                    answer = await self.call("/unsafe/x", *headers)
                    self.assertEqual(200, answer.status)
                    sent = self.last_workspace().encode("latin-1").decode()
                    self.assertEqual(name, sent)

    async def test_public_route(self):
        forged = (b"Acaciaspoke-Tenant", b"forged")
        for key, name in (
            (None, None),
            (UNKNOWN_KEY, None),
            (KEY, "alpha"),
        ):
            headers = [(b"Acaciaspoke-Key", key.encode())] if key else []
            answer = await self.call("/public/x", forged, *headers)
            self.assertEqual(200, answer.status)
            self.assertEqual(name, self.last_workspace())

    async def test_configuration_without_workspaces(self):
        await self.configure(configuration(3))
        answer = await self.call(
            "/unsafe/x",
            (b"Acaciaspoke-Tenant", b"forged"),
            (b"Acaciaspoke-Key", KEY.encode()),
        )
        self.assertEqual(200, answer.status)
        self.assertIsNone(self.last_workspace())

    async def test_invalid_entries_leave_the_configuration_in_force(self):
        """The host stayed at the configuration before."""
        await self.configure(
            keyed_configuration(3, None, {"name": 5}, entry(priority="x"))
        )
        key = b"Acaciaspoke-Key", KEY.encode()
        self.assertEqual(200, (await self.call("/unsafe/x", key)).status)
        self.assertEqual(401, (await self.call("/unsafe/x")).status)


class ChangedKeysTest(KeysTest):
    """The key of alpha is removed while its request is in progress."""

    async def remove(self) -> None:
        await self.configure(keyed_configuration(3, entry("alpha", OTHER_KEY)))

    async def test_key_is_removed_while_the_body_arrives(self):
        continued = asyncio.Event()

        async def body():
            yield b"x"
            await continued.wait()
            yield b"y"

        async with httpcore.AsyncConnectionPool() as pool:
            asking = asyncio.create_task(
                pool.request(
                    "POST",
                    f"http://{self.address}/unsafe/x",
                    headers={
                        **self.headers(Acaciaspoke_Key=KEY),
                        "Content-Length": "2",
                    },
                    content=body(),
                )
            )
            await self.eventually(lambda: self.gateway.app.open_requests == 1)
            await self.remove()
            continued.set()
            self.assertEqual(401, (await asking).status)
        self.assertEqual([], self.arrivals())

    async def test_key_is_removed_while_requests_run_and_wait(self):
        """A request that waited was sent seconds after the removal."""
        released = asyncio.Event()

        async def answer_late(arrival):
            await released.wait()
            await arrival.answer()

        for app in self.apps:
            app.script = answer_late
        asking = [
            asyncio.create_task(
                self.ask("/unsafe/x", body=b"%d" % n, Acaciaspoke_Key=KEY)
            )
            for n in range(24)
        ]
        dispatcher = self.gateway._dispatcher
        await self.eventually(
            lambda: len(dispatcher._running) + dispatcher.waiting == 24
            and len(self.arrivals()) == len(dispatcher._running)
        )
        running = len(dispatcher._running)
        self.assertLess(running, 24)
        await self.remove()
        await self.eventually(lambda: dispatcher.waiting == 0)
        released.set()
        statuses = [(await each).status for each in asking]
        self.assertEqual(running, statuses.count(200))
        self.assertEqual(24 - running, statuses.count(401))
        self.assertEqual(running, len(self.arrivals()))

    async def test_route_becomes_public_as_the_key_is_removed(self):
        """Requests that waited were answered 401, though they are permitted."""
        released = asyncio.Event()

        async def answer_late(arrival):
            await released.wait()
            await arrival.answer()

        for app in self.apps:
            app.script = answer_late
        asking = [
            asyncio.create_task(
                self.ask("/unsafe/x", body=b"%d" % n, Acaciaspoke_Key=KEY)
            )
            for n in range(24)
        ]
        dispatcher = self.gateway._dispatcher
        await self.eventually(
            lambda: len(dispatcher._running) + dispatcher.waiting == 24
        )
        self.assertGreater(dispatcher.waiting, 0)
        routes = [
            {**route, "public": True} for route in configuration()["routes"]
        ]
        await self.configure(
            keyed_configuration(3, entry("alpha", OTHER_KEY), routes=routes)
        )
        released.set()
        answers = await asyncio.gather(*asking)
        self.assertEqual({200}, {answer.status for answer in answers})

    async def test_request_that_is_refused_after_the_removal(self):
        """It was sent to the next upstream."""
        released = asyncio.Event()

        async def refuse(arrival):
            await released.wait()
            await arrival.answer(
                503, headers={"acaciaspoke-not-executed": "1"}, sealed=False
            )

        for app in self.apps:
            app.script = refuse
        asking = asyncio.create_task(self.ask("/unsafe/x", Acaciaspoke_Key=KEY))
        await self.eventually(lambda: bool(self.arrivals()))
        await self.remove()
        released.set()
        answer = await asking
        self.assertEqual(503, answer.status)
        self.assertEqual(1, len(self.arrivals()))
        answer = await self.ask("/unsafe/x", Acaciaspoke_Key=KEY)
        self.assertEqual(401, answer.status)

    async def test_request_that_is_sent_at_the_same_time(self):
        """A 401 or 503 would promise that it has not run."""
        handler = self.gateway.app._request_handler

        async def send_when_cancelled(request, relay):
            try:
                await asyncio.Event().wait()
            finally:
                # An assignment that was under way is carried out first.
                request.starts += 1

        with mock.patch.object(handler, "serve", send_when_cancelled):
            asking = asyncio.create_task(
                self.ask("/unsafe/x", Acaciaspoke_Key=KEY)
            )
            requests = self.gateway.app._requests._requests
            await self.eventually(lambda: bool(requests))
            await self.remove()
            answer = await asking
        self.assertEqual(502, answer.status)
        self.assertIn(b'"unknown"', answer.content)

    async def test_stream_goes_on_and_its_resumption_needs_a_key(self):
        released = asyncio.Event()

        async def stream(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n", end=False)
            await released.wait()
            await arrival.send_events(b"id: 2\ndata: b\n\n")
            arrival.writer.write(b"0\r\n\r\n")

        for engine in self.engines:
            engine.script = stream
        headers = {"Acaciaspoke_Key": KEY, "Acaciaspoke_Model": "m1"}
        asking = asyncio.create_task(self.ask("/resume/x", **headers))
        await self.eventually(
            lambda: any(arrival.events for arrival in self.arrivals())
        )
        await self.remove()
        resumed = await self.ask("/resume/x", Last_Event_ID="1", **headers)
        self.assertEqual(401, resumed.status)
        released.set()
        answer = await asking
        self.assertEqual(200, answer.status)
        self.assertIn(b"id: 2", answer.content)

    async def test_key_is_added(self):
        ask = self.ask("/unsafe/x", Acaciaspoke_Key=UNKNOWN_KEY)
        self.assertEqual(401, (await ask).status)
        await self.configure(
            keyed_configuration(3, entry("alpha", KEY, UNKNOWN_KEY))
        )
        for key in (KEY, UNKNOWN_KEY):
            answer = await self.ask("/unsafe/x", Acaciaspoke_Key=key)
            self.assertEqual(200, answer.status)


class LostStoreTest(KeysTest):

    async def _status(self, key):
        return (await self.ask("/unsafe/x", Acaciaspoke_Key=key)).status

    async def _until(self, key, status):
        while await self._status(key) != status:
            await asyncio.sleep(0.1)

    async def test_host_that_lost_the_store_does_not_answer_401(self):
        """It may lack a key that was added since; callers do not retry."""
        self.store.set_faults(Faults(away=True))
        await asyncio.wait_for(self._until(UNKNOWN_KEY, 503), 20.0)
        answer = await self.ask("/unsafe/x", Acaciaspoke_Key=UNKNOWN_KEY)
        self.assertIn(b'"not_ready"', answer.content)
        self.assertIn(b"retry-after", dict(answer.headers))
        self.assertEqual(200, await self._status(KEY))
        self.store.set_faults(Faults())
        await asyncio.wait_for(self._until(UNKNOWN_KEY, 401), 20.0)


class ForwardedKeysTest(LostLinksTest):
    """A host without links to upstreams forwards requests with keys."""

    async def start_gateway(self, settings):
        self.store.put("op", "config", keyed_configuration(2, entry()))
        await super().start_gateway(settings)

    async def test_nothing_logs_the_key(self):
        """Neither at the lowest level, nor in the logs of libraries."""
        lines: list[str] = []
        # As util/log.py does; otherwise traces would have values of variables.
        sink = logger.add(
            lambda line: lines.append(str(line)), level=0, diagnose=False
        )
        self.addCleanup(logger.remove, sink)
        logger.enable("acaciaspoke")
        self.addCleanup(logger.disable, "acaciaspoke")
        handler = logging.Handler()
        handler.emit = lambda record: lines.append(record.getMessage())
        root = logging.getLogger()
        level = root.level
        root.addHandler(handler)
        root.setLevel(1)
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.removeHandler, handler)
        for key, status in ((KEY, 200), (UNKNOWN_KEY, 401)):
            answer = await self.ask("/unsafe/x", Acaciaspoke_Key=key)
            self.assertEqual(status, answer.status)
        # The other host fails; the key is part of what it had to serve.
        for other in self.others:
            other.app._check = mock.Mock(side_effect=RuntimeError("fault"))
        await self.ask("/unsafe/x", Acaciaspoke_Key=KEY)
        text = "".join(lines)
        self.assertIn("forwarded to host", text)
        self.assertIn("request failed", text)
        self.assertNotIn(KEY, text)
        self.assertNotIn(UNKNOWN_KEY, text)

    async def test_other_host_checks_the_key(self):
        answer = await self.ask(
            "/unsafe/x", Acaciaspoke_Key=KEY, Acaciaspoke_Tenant="forged"
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(1, self.served_for_others())
        (arrival,) = self.arrivals(self.apps)
        self.assertEqual("alpha", arrival.headers["acaciaspoke-tenant"])
        self.assertNotIn("acaciaspoke-key", arrival.headers)

    async def test_host_that_does_not_know_the_key_declines(self):
        workspace = self.gateway.app.configuration.workspaces[0]
        lacking = type(workspace)(name="beta", key_digests=frozenset())
        self.others[0].app._api_keys = ApiKeys([lacking])
        for _ in range(6):
            answer = await self.ask("/unsafe/x", Acaciaspoke_Key=KEY)
            self.assertEqual(200, answer.status)
        self.assertEqual(
            6, self.others[1].metrics.served_for_hosts._value.get()
        )
        self.assertEqual(6, len(self.arrivals(self.apps)))

    async def test_hosts_of_the_earlier_release_get_no_request(self):
        """They would send the key on to the upstream."""
        rows = self.gateway._peers.rows
        for host in ("h2", "h3"):
            fields = {
                name: getattr(rows[host], name)
                for name in rows[host].__struct_fields__
            }
            rows[host] = type(rows[host])(
                **{**fields, "knows_workspaces": False}
            )
        answer = await self.ask("/unsafe/x", Acaciaspoke_Key=KEY)
        # The stand-ins can be reached here.
        self.assertEqual(200, answer.status)
        self.assertEqual(0, self.served_for_others())
