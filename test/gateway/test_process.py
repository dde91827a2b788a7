"""Tests of a whole gateway between a store and workers."""

import asyncio
import os
import signal

import anyio
import httpcore

from acaciaspoke.control.lease import LeaseNotHeldError
from acaciaspoke.gateway.leader import (
    LEASE_S,
    NO_ORDERS_S,
    ORDER_PERIOD_S,
)
from acaciaspoke.ids import HostId
from acaciaspoke.util.clock import boot_time_s
from standins.worker import ID, SEAL
from test.gateway.serving import GatewayTest, configuration

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")


def _set_script(workers, script):
    for worker in workers:
        worker.script = script


def _arrivals(workers):
    return [arrival for worker in workers for arrival in worker.arrivals]


async def _reset(arrival):
    arrival.reset()


class AnswerTest(GatewayTest):

    async def test_answer_of_the_worker_is_returned_unchanged(self):
        answer = await self.ask("/unsafe/x?", body=b"book")
        self.assertEqual((200, b"answer"), (answer.status, answer.content))
        (arrival,) = _arrivals(self.apps)
        self.assertEqual("POST", arrival.method)
        self.assertEqual("/unsafe/x?", arrival.target)
        self.assertEqual(b"book", arrival.body)
        headers = dict(answer.headers)
        self.assertEqual(f"seal-{arrival.id}", headers[SEAL.encode()].decode())

    async def test_unsigned_success_is_no_answer(self):
        async def script(arrival):
            await arrival.answer(sealed=False)

        _set_script(self.apps, script)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)
        self.assertEqual(1, len(_arrivals(self.apps)))

    async def test_answer_to_another_request_is_not_passed_on(self):
        async def script(arrival):
            await arrival.answer(headers={ID: "other"})

        _set_script(self.apps, script)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)

    async def test_surplus_answer_does_not_reach_the_next_request(self):
        async def script(arrival):
            await arrival.answer(body=arrival.body)
            await arrival.answer(body=b"surplus")

        _set_script(self.apps, script)
        for number in range(6):
            body = str(number).encode()
            answer = await self.ask("/unsafe/x", body=body)
            self.assertEqual(body, answer.content)

    async def test_failure_of_the_worker_is_passed_on(self):
        async def script(arrival):
            await arrival.answer(500, b"failed")

        _set_script(self.apps, script)
        answer = await self.ask("/unsafe/x")
        self.assertEqual((500, b"failed"), (answer.status, answer.content))

    async def test_refusal_that_is_no_promise_is_not_passed_on(self):
        async def script(arrival):
            await arrival.answer(503, b"")

        _set_script(self.apps, script)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)

    async def test_unknown_route_and_missing_id(self):
        self.assertEqual(404, (await self.ask("/none/")).status)
        headers = {"Acaciaspoke_Attempt_Id": ""}
        self.assertEqual(400, (await self.ask("/safe/", **headers)).status)


class RepeatTest(GatewayTest):

    async def test_unsafe_request_is_sent_once(self):
        _set_script(self.apps, _reset)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)
        self.assertEqual(1, len(_arrivals(self.apps)))

    async def test_safe_request_is_sent_to_another_worker(self):
        self.apps[0].script = _reset
        for _ in range(4):
            self.assertEqual(200, (await self.ask("/safe/x", "GET")).status)

    async def test_refused_request_goes_to_another_worker(self):
        async def refuse(arrival):
            headers = {"acaciaspoke-not-executed": "1"}
            await arrival.answer(503, b"", headers, sealed=False)

        self.apps[0].script = refuse
        for _ in range(4):
            self.assertEqual(200, (await self.ask("/unsafe/x")).status)

    async def test_caller_is_told_when_nobody_takes_it(self):
        async def refuse(arrival):
            headers = {"acaciaspoke-not-executed": "1"}
            await arrival.answer(503, b"", headers, sealed=False)

        _set_script(self.apps, refuse)
        answer = await self.ask("/unsafe/x")
        self.assertEqual(503, answer.status)
        self.assertIn(b"retry-after", dict(answer.headers))
        self.assertNotIn(SEAL.encode(), dict(answer.headers))

    async def test_route_timeout_is_answered(self):
        async def hang(arrival):
            await arrival.wait_for_cut()

        _set_script(self.apps, hang)
        self.assertEqual(504, (await self.ask("/short/x")).status)
        await self.eventually(lambda: _arrivals(self.apps)[0].is_cut)


class StreamTest(GatewayTest):

    async def _ask(self, path, **headers):
        return await self.ask(path, Acaciaspoke_Model="m1", **headers)

    async def test_stream_is_relayed(self):
        async def script(arrival):
            await arrival.stream(*EVENTS)

        _set_script(self.engines, script)
        answer = await self._ask("/stream/x")
        self.assertEqual(b"".join(EVENTS), answer.content)

    async def test_broken_stream_does_not_look_complete(self):
        async def script(arrival):
            await arrival.stream(*EVENTS[:2], b"id: 3\nda", end=False)
            arrival.reset()

        _set_script(self.engines, script)
        with self.assertRaises(httpcore.RemoteProtocolError):
            await self._ask("/stream/x")
        self.assertEqual(1, len(_arrivals(self.engines)))

    async def test_stream_that_did_not_begin_gets_a_status(self):
        _set_script(self.engines, _reset)
        self.assertEqual(502, (await self._ask("/stream/x")).status)

    async def test_resumable_stream_goes_on_elsewhere(self):
        async def script(arrival):
            last = int(arrival.headers.get("last-event-id", 0))
            if last:
                await arrival.stream(*EVENTS[last:])
                return
            await arrival.stream(*EVENTS[:2], b"id: 3\nda", end=False)
            await arrival.writer.drain()
            await asyncio.sleep(0.1)
            arrival.reset()

        _set_script(self.engines, script)
        answer = await self._ask("/resume/x")
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual(2, len(_arrivals(self.engines)))

    async def test_upstream_is_told_when_the_caller_leaves(self):
        async def script(arrival):
            await arrival.stream(EVENTS[0], end=False)
            await arrival.wait_for_cut()

        _set_script(self.engines, script)
        with anyio.move_on_after(0.5):
            await self._ask("/stream/x")
        (arrival,) = _arrivals(self.engines)
        with anyio.fail_after(0.5):
            while not arrival.is_cut:
                await anyio.sleep(0.01)


class PlacementTest(GatewayTest):

    async def test_model_and_adapter_are_loaded_for_a_waiting_request(self):
        async def script(arrival):
            await arrival.stream(*EVENTS)

        _set_script(self.engines, script)
        for artifact in ("m2", "m1/a7"):
            answer = await self.ask("/stream/x", Acaciaspoke_Model=artifact)
            self.assertEqual(200, answer.status)
        orders = [order for one in self.engines for order in one.orders]
        self.assertIn("m2", {order["model"] for order in orders})
        self.assertIn("a7", {order.get("adapter") for order in orders})


class StoreTest(GatewayTest):

    async def test_leaving_worker_gets_nothing_new(self):
        entry = self.apps[0].entry(state="draining")
        self.store.put("servers", "app1", entry)
        await self.eventually(lambda: "app1" not in self.known())
        for _ in range(4):
            await self.ask("/safe/x", "GET")
        self.assertEqual([], self.apps[0].arrivals)

    async def test_unreadable_entry_harms_no_other(self):
        self.store.put("servers", "bad", b"\x00{")
        self.store.put("servers", "odd", {"service": 1})
        self.store.put("servers", "app1", self.apps[0].entry(state="draining"))
        await self.eventually(lambda: "app1" not in self.known())
        self.assertEqual(200, (await self.ask("/safe/x", "GET")).status)

    async def test_newer_configuration_comes_into_force_and_stays(self):
        self.store.put("op", "config", configuration(3, routes=[]))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 3
        )
        self.store.put("op", "config", configuration(2))
        await anyio.sleep(0.2)
        self.assertEqual(404, (await self.ask("/safe/x", "GET")).status)

    async def test_lost_history_is_read_anew(self):
        self.store.put("op", "config", configuration(4))
        self.store.forget_history()
        self.store.put("op", "config", configuration(5))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 5
        )


class UnframedTest(GatewayTest):
    """Answers without a length, which end with their connection."""

    async def _ask(self, end):
        async def script(arrival):
            arrival.head(
                200,
                {ID: arrival.id, SEAL: "seal", "connection": "close"},
            )
            arrival.writer.write(b"half")
            await arrival.writer.drain()
            await asyncio.sleep(0.05)
            end(arrival)

        _set_script(self.apps, script)
        return await self.ask("/unsafe/x")

    async def test_end_of_the_connection_ends_the_answer(self):
        answer = await self._ask(lambda arrival: arrival.writer.close())
        self.assertEqual((200, b"half"), (answer.status, answer.content))

    async def test_reset_answer_is_not_complete(self):
        answer = await self._ask(lambda arrival: arrival.reset())
        self.assertEqual(502, answer.status)


class SignalTest(GatewayTest):

    async def test_hangup_does_not_end_the_process(self):
        os.kill(os.getpid(), signal.SIGHUP)
        await anyio.sleep(0.1)
        self.assertEqual(200, (await self.ask("/safe/x", "GET")).status)

    async def test_stop_lets_the_open_stream_end(self):
        async def script(arrival):
            await arrival.stream(EVENTS[0], end=False)
            await asyncio.sleep(3.5)
            for event in (*EVENTS[1:], b""):
                arrival.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await arrival.writer.drain()

        _set_script(self.engines, script)
        asking = asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1")
        )
        await self.eventually(lambda: _arrivals(self.engines))
        self.gateway.drain.request_stop()
        self.assertFalse(self.gateway.is_ready)
        answer = await asking
        self.assertEqual(b"".join(EVENTS), answer.content)
        await self.tasks[-1]


class CopiedRunTest(GatewayTest):
    """An engine breaks off a stream that may not run twice."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs are copied.
        self.gateway._dispatcher._service_s["stream"] = 2.0

    def _script(self, first, then):
        """Has the first run and the one from its copy answer differently."""

        async def script(arrival):
            is_copy = "kv-from" in arrival.headers
            await (then if is_copy else first)(arrival)

        _set_script(self.engines, script)

    async def _ask(self):
        return await self.ask("/stream/x", Acaciaspoke_Model="m1")

    async def test_stream_goes_on_from_the_copy(self):
        async def first(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n", end=False)
            await anyio.sleep(0.05)
            arrival.reset()

        async def then(arrival):
            await arrival.stream(b"id: 2\ndata: b\n\n")

        self._script(first, then)
        answer = await self._ask()
        self.assertEqual(
            b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", answer.content
        )
        run, copy = _arrivals(self.engines)
        if "kv-from" in run.headers:
            run, copy = copy, run
        standby = run.headers["acaciaspoke-kv-backup"]
        self.assertEqual(f"{standby}/{run.id}", copy.headers["kv-from"])
        self.assertEqual("1", copy.headers["last-event-id"])
        self.assertNotIn("acaciaspoke-kv-backup", copy.headers)

    async def test_silent_engine_is_left(self):
        async def first(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n", end=False)
            await arrival.wait_for_cut()

        async def then(arrival):
            await arrival.stream(b"id: 2\ndata: b\n\n")

        self._script(first, then)
        with anyio.fail_after(4):
            answer = await self._ask()
        self.assertIn(b"id: 2", answer.content)

    async def test_lost_copy_does_not_run_again(self):
        async def first(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n", end=False)
            await anyio.sleep(0.05)
            arrival.reset()

        async def then(arrival):
            headers = {"acaciaspoke-not-executed": "1"}
            await arrival.answer(503, b"", headers, sealed=False)

        self._script(first, then)
        with self.assertRaises(httpcore.RemoteProtocolError):
            await self._ask()
        self.assertEqual(2, len(_arrivals(self.engines)))

    async def test_request_that_crashes_engines_is_not_continued(self):
        async def crash(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n", end=False)
            await anyio.sleep(0.05)
            arrival.reset()

        self._script(crash, crash)
        for _ in range(2):
            with self.assertRaises(httpcore.RemoteProtocolError):
                await self._ask()
        self.assertEqual(3, len(_arrivals(self.engines)))

    async def test_stream_that_did_not_begin_is_not_continued(self):
        self._script(_reset, _reset)
        self.assertEqual(502, (await self._ask()).status)
        self.assertEqual(1, len(_arrivals(self.engines)))


class LeaderTest(GatewayTest):

    def _silence_after(self, former):
        leader = self.gateway._leader
        leader._led_epoch = 0
        leader._former_holder = former
        leader.lease._epoch = 2
        started_s = boot_time_s()
        leader._update_epoch()
        return leader._no_orders_until_s - started_s

    async def test_new_holder_is_silent_before_its_first_order(self):
        # An order of the former holder may still be on its way.
        leader = self.gateway._leader
        await self.eventually(lambda: leader.holds_lease)
        handed_back_s = self._silence_after(None)
        self.assertGreaterEqual(handed_back_s, 3.0 + 0.6)
        # One that let the lease lapse gave its last order before its end.
        lapsed_s = self._silence_after(HostId("h2"))
        self.assertGreaterEqual(LEASE_S - ORDER_PERIOD_S + lapsed_s, 3.0 + 0.6)
        with self.assertRaises(LeaseNotHeldError):
            leader._next_token()

    async def test_no_order_in_the_last_part_of_the_lease(self):
        leader = self.gateway._leader
        await self.eventually(lambda: leader.holds_lease)
        leader.lease._valid_until_s = boot_time_s() + NO_ORDERS_S - 0.1
        self.assertTrue(leader.holds_lease)
        with self.assertRaises(LeaseNotHeldError):
            leader._next_token()
