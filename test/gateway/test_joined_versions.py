"""Streams that would be joined from what two software versions write."""

import asyncio

from standins.faults import Faults
from standins.gateway_documents import gateway_route
from test.gateway.serving import configuration
from test.gateway.stream_serving import EVENTS, StreamTest, break_off, go_on


class RetryWithinAnAnswerTest(StreamTest):
    """A resumable stream breaks off, and the gateway resumes it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.until_default_is_known()
        self.engines[0].script = break_off
        self.engines[1].script = go_on

    async def _read_from_first(self):
        # Only the first engine has the model at the beginning.
        async def add_model(arrival):
            second = self.engines[1]
            self.store.put("servers", second.name, second.row())
            await self.eventually(
                lambda: self.gateway._dispatcher.fleet.upstreams[
                    second.name
                ].record.artifacts
            )
            await break_off(arrival)

        self.engines[0].script = add_model
        second = self.engines[1]
        row = second.row()
        self.store.put("servers", second.name, {**row, "models": []})
        await self.eventually(
            lambda: not self.gateway._dispatcher.fleet.upstreams[
                second.name
            ].record.artifacts
        )
        return await self.read()

    async def test_other_version_does_not_go_on(self):
        await self.set_version(self.engines[1], "v2")
        received = await self._read_from_first()
        self.assertEqual((200, EVENTS[0], False), received)
        self.assertEqual([], self.engines[1].arrivals)

    async def test_same_version_goes_on(self):
        received = await self._read_from_first()
        self.assertEqual((200, b"".join(EVENTS), True), received)


class UnnamedRequestTest(StreamTest):
    """A caller goes on without naming the request that began its stream."""

    async def test_service_with_one_version(self):
        await self.until_default_is_known()
        for engine in self.engines:
            engine.script = go_on
        received = await self.read(Last_Event_Id="1")
        self.assertEqual((200, b"".join(EVENTS[1:]), True), received)


class CallerGoesOnTest(StreamTest):
    """A caller goes on with its stream, at a host that did not begin it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.old, self.new = self.engines
        await self.until_default_is_known()
        await self.set_version(self.new, "v2")
        self.other_host = await self.start_second_gateway()

    async def _begin_at(self, engine, request_id):
        """Begins a stream at one engine, which breaks it off."""
        other = self.old if engine is self.new else self.new
        self.store.put("servers", other.name, {**other.row(), "models": []})
        fleet = self.gateway._dispatcher.fleet
        await self.eventually(
            lambda: not fleet.upstreams[other.name].record.artifacts
        )
        engine.script = break_off
        received = await self.read(Acaciaspoke_Attempt_Id=request_id)
        self.assertEqual(EVENTS[0], received.body)
        for each in self.engines:
            each.script = go_on
            each.arrivals.clear()
            self.store.put("servers", each.name, each.row())
        await self.eventually(
            lambda: all(
                gateway._dispatcher.fleet.upstreams[each.name].record.artifacts
                for each in self.engines
                for gateway in (self.gateway, self.other_host)
            )
        )

    async def _go_on(self, request_id):
        headers = {"Last_Event_Id": "1"}
        if request_id:
            headers["Resumes"] = request_id
        return await self.read(gateway=self.other_host, **headers)

    async def test_stream_of_the_default_version(self):
        for number in range(4):
            with self.subTest(number=number):
                await self._begin_at(self.old, f"old{number}")
                received = await self._go_on(f"old{number}")
                self.assertEqual((200, b"".join(EVENTS[1:]), True), received)
                self.assertEqual([], self.new.arrivals)

    async def test_stream_of_another_version(self):
        for number in range(4):
            with self.subTest(number=number):
                await self._begin_at(self.new, f"new{number}")
                received = await self._go_on(f"new{number}")
                self.assertEqual((200, b"".join(EVENTS[1:]), True), received)
                self.assertEqual([], self.old.arrivals)

    async def test_version_has_left(self):
        await self._begin_at(self.old, "old")
        self.store.remove("servers", self.old.name)
        await self.eventually(
            lambda: self.old.name not in self.versions(self.other_host)
        )
        self.assertEqual(503, (await self._go_on("old")).status)
        self.assertEqual([], self.new.arrivals)

    async def test_all_hosts_are_killed_after_the_version_has_left(self):
        await self._begin_at(self.old, "old")
        self.store.remove("servers", self.old.name)
        hosts = [self.tasks[1], self.tasks[-1]]
        for host in hosts:
            host.cancel()
        await asyncio.gather(*hosts, return_exceptions=True)
        self.other_host = await self.start_second_gateway()
        self.assertEqual(503, (await self._go_on("old")).status)
        self.assertEqual([], self.new.arrivals)

    async def test_all_hosts_are_killed_amid_streams_of_two_versions(self):
        await self._begin_at(self.old, "old")
        await self._begin_at(self.new, "new")
        hosts = [self.tasks[1], self.tasks[-1]]
        for host in hosts:
            host.cancel()
        await asyncio.gather(*hosts, return_exceptions=True)
        self.other_host = await self.start_second_gateway()
        await self.eventually(lambda: len(self.versions(self.other_host)) == 4)
        self.assertEqual(200, (await self._go_on("old")).status)
        self.assertEqual([], self.new.arrivals)
        self.old.arrivals.clear()
        self.assertEqual(200, (await self._go_on("new")).status)
        self.assertEqual([], self.old.arrivals)

    async def test_host_that_knows_no_upstreams_yet(self):
        await self._begin_at(self.old, "old")
        fleet = self.other_host._dispatcher.fleet
        known = dict(fleet.upstreams)
        fleet.upstreams.clear()
        going_on = asyncio.create_task(self._go_on("old"))
        await asyncio.sleep(0.3)
        for upstream in known.values():
            fleet.put(upstream.record)
        self.assertEqual(200, (await going_on).status)

    async def test_caller_does_not_name_its_request(self):
        self.assertEqual(503, (await self._go_on("")).status)
        self.assertEqual([], self.old.arrivals + self.new.arrivals)

    async def test_store_does_not_answer(self):
        await self._begin_at(self.new, "new")
        self.store.set_faults(Faults(away=True))
        self.assertEqual(503, (await self._go_on("new")).status)
        self.assertEqual([], self.old.arrivals + self.new.arrivals)

    async def test_record_is_written_before_the_first_event(self):
        self.store.set_faults(Faults(drop_requests=3))
        await self._begin_at(self.new, "new")
        self.assertIn(("streams", "streams", "llm/new"), self.store.rows)

    async def _until_restore_is_known(self):
        other = self.other_host
        await self.eventually(lambda: other._store.was_restored)
        await self.until_default_is_known(other)

    async def test_store_is_restored(self):
        copy = self.store.copy()
        await self._begin_at(self.new, "new")
        self.store.restore(copy)
        self.store.write_again()
        await self.eventually(
            lambda: ("streams", "streams", "llm/new") in self.store.rows
        )
        await self._until_restore_is_known()
        self.assertEqual(200, (await self._go_on("new")).status)
        self.assertEqual([], self.old.arrivals)

    async def test_streams_of_the_default_version_around_a_restore(self):
        # They were refused, as they had no records.
        copy = self.store.copy()
        await self._begin_at(self.old, "before")
        self.store.restore(copy)
        self.store.write_again()
        await self._until_restore_is_known()
        await self._begin_at(self.old, "after")
        for name in ("before", "after"):
            await self.eventually(
                lambda key=("streams", "streams", f"llm/{name}"): key
                in self.store.rows
            )
            self.assertEqual(200, (await self._go_on(name)).status)
        self.assertEqual([], self.new.arrivals)

    async def test_store_is_restored_after_the_host_has_died(self):
        copy = self.store.copy()
        await self._begin_at(self.new, "new")
        first_host = self.tasks[1]
        first_host.cancel()
        await asyncio.gather(first_host, return_exceptions=True)
        self.store.restore(copy)
        self.store.write_again()
        await self._until_restore_is_known()
        self.assertEqual(503, (await self._go_on("new")).status)
        self.assertEqual([], self.old.arrivals + self.new.arrivals)

    async def test_host_dies_before_the_record_is_written(self):
        await self.eventually(
            lambda: self.gateway._choose_peers(1)
            and self.other_host._choose_peers(1)
        )
        self.store.set_faults(Faults(drop_requests=1000))
        await self._begin_at(self.new, "new")
        first_host = self.tasks[1]
        first_host.cancel()
        await asyncio.gather(first_host, return_exceptions=True)
        self.store.set_faults(Faults())
        received = await self._go_on("new")
        self.assertEqual([], self.old.arrivals, received)


class SplitRouteTest(StreamTest):
    """A route splits its requests between two services."""

    async def test_stream_goes_on_at_the_service_that_began_it(self):
        split = gateway_route(
            "/split/",
            "streaming",
            "",
            resumable=True,
            **{
                "traffic-split": [
                    {"service": "llm", "weight": 1},
                    {"service": "other", "weight": 1},
                ]
            },
        )
        services = configuration()["services"]
        engine = services[1]["engine"]
        services.append({"name": "other", "engine": engine})
        other = await self.worker("other1", "other", {"m1": []})
        self.store.put(
            "op",
            "config",
            configuration(2, routes=[split], services=services),
        )
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
            and other.name in self.known()
        )
        for worker in (*self.engines, other):
            worker.script = go_on
        for number in range(12):
            begun = f"split{number}"
            await self.read("/split/x", Acaciaspoke_Attempt_Id=begun)
            is_other = bool(other.arrivals)
            other.arrivals.clear()
            await self.read("/split/x", Resumes=begun, Last_Event_Id="1")
            self.assertEqual(is_other, bool(other.arrivals))
            other.arrivals.clear()
