"""Tests of a gateway process with a stand-in store and workers."""

import asyncio
import os
import signal
import time

import anyio
import httpcore
import msgspec

from acaciaspoke.control.lease_errors import LeaseNotHeldError
from acaciaspoke.gateway.handover import (
    LEASE_S,
    NO_ORDERS_S,
    ORDER_PERIOD_S,
)
from acaciaspoke.ids import HostId
from acaciaspoke.util.clock import boot_time_s
from standins.worker import ID_HEADER, SEAL_HEADER
from test.gateway.serving import GatewayTest, configuration

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")


def _set_script(workers, script):
    for worker in workers:
        worker.script = script


def _arrivals(workers):
    return [arrival for worker in workers for arrival in worker.arrivals]


async def _reset(arrival):
    arrival.reset()


class ResponseTest(GatewayTest):

    async def test_response_of_the_worker_is_forwarded_unchanged(self):
        answer = await self.ask("/unsafe/x?", body=b"book")
        self.assertEqual((200, b"answer"), (answer.status, answer.content))
        (arrival,) = _arrivals(self.apps)
        self.assertEqual("POST", arrival.method)
        self.assertEqual("/unsafe/x?", arrival.target)
        self.assertEqual(b"book", arrival.body)
        headers = dict(answer.headers)
        self.assertEqual(
            f"seal-{arrival.id}", headers[SEAL_HEADER.encode()].decode()
        )

    async def test_unsigned_success_is_not_forwarded(self):
        async def script(arrival):
            await arrival.answer(sealed=False)

        _set_script(self.apps, script)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)
        self.assertEqual(1, len(_arrivals(self.apps)))

    async def test_response_to_another_request_is_not_forwarded(self):
        async def script(arrival):
            await arrival.answer(headers={ID_HEADER: "other"})

        _set_script(self.apps, script)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)

    async def test_surplus_response_does_not_reach_the_next_request(self):
        async def script(arrival):
            await arrival.answer(body=arrival.body)
            await arrival.answer(body=b"surplus")

        _set_script(self.apps, script)
        for number in range(6):
            body = str(number).encode()
            answer = await self.ask("/unsafe/x", body=body)
            self.assertEqual(body, answer.content)

    async def test_error_of_the_worker_is_forwarded(self):
        async def script(arrival):
            await arrival.answer(500, b"failed")

        _set_script(self.apps, script)
        answer = await self.ask("/unsafe/x")
        self.assertEqual((500, b"failed"), (answer.status, answer.content))

    async def test_503_without_not_executed_header_is_not_forwarded(self):
        async def script(arrival):
            await arrival.answer(503, b"")

        _set_script(self.apps, script)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)

    async def test_unknown_route_and_missing_id(self):
        self.assertEqual(404, (await self.ask("/none/")).status)
        headers = {"Acaciaspoke_Attempt_Id": ""}
        self.assertEqual(400, (await self.ask("/safe/", **headers)).status)


class OddRowTest(GatewayTest):
    """Another writer leaves rows among those of the upstreams."""

    async def _assert_follows_and_serves(self):
        late = await self.worker("app9", "app")
        await self.eventually(lambda: "app9" in self.known())
        self.store.remove("servers", late.name)
        await self.eventually(lambda: "app9" not in self.known())
        for _ in range(4):
            self.assertEqual(200, (await self.ask("/unsafe/x")).status)
        self.assertFalse(any(task.done() for task in self.tasks))

    async def test_odd_rows_do_not_end_the_process_or_stop_the_feed(self):
        row = self.apps[0].row()
        deep = b"[" * 100_000 + b"]" * 100_000
        encoded = msgspec.json.encode(row)
        odd = {
            "nested": encoded[:-1] + b', "x": ' + deep + b"}",
            "slots": encoded.replace(b'"slots":4', b'"slots":' + b"9" * 400),
            "port": msgspec.json.encode({**row, "address": "127.0.0.1:99999"}),
            "bytes": b"\xff\xfe",
            "name\r\nx: y": encoded,
        }
        for name, data in odd.items():
            self.store.put("servers", name, data)
            self.store.put("hosts", name, data)
        await self._assert_follows_and_serves()

    async def test_odd_rows_are_left_out_when_the_table_is_read_again(self):
        self.store.put("servers", "nested", b"[" * 100_000)
        self.store.discard_history()
        await self._assert_follows_and_serves()


class RetryTest(GatewayTest):

    async def test_unsafe_request_is_sent_once(self):
        _set_script(self.apps, _reset)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)
        self.assertEqual(1, len(_arrivals(self.apps)))

    async def test_safe_request_is_retried_at_another_worker(self):
        self.apps[0].script = _reset
        for _ in range(4):
            self.assertEqual(200, (await self.ask("/safe/x", "GET")).status)

    async def test_refused_request_is_retried_at_another_worker(self):
        async def refuse(arrival):
            headers = {"acaciaspoke-not-executed": "1"}
            await arrival.answer(503, b"", headers, sealed=False)

        self.apps[0].script = refuse
        for _ in range(4):
            self.assertEqual(200, (await self.ask("/unsafe/x")).status)

    async def test_request_that_all_workers_refuse_gets_503_and_retry_after(
        self,
    ):
        async def refuse(arrival):
            headers = {"acaciaspoke-not-executed": "1"}
            await arrival.answer(503, b"", headers, sealed=False)

        _set_script(self.apps, refuse)
        answer = await self.ask("/unsafe/x")
        self.assertEqual(503, answer.status)
        self.assertIn(b"retry-after", dict(answer.headers))
        self.assertNotIn(SEAL_HEADER.encode(), dict(answer.headers))

    async def test_route_timeout_gets_504(self):
        async def hang(arrival):
            await arrival.wait_for_close()

        _set_script(self.apps, hang)
        self.assertEqual(504, (await self.ask("/short/x")).status)
        await self.eventually(lambda: _arrivals(self.apps)[0].is_closed)


class StreamTest(GatewayTest):

    async def _ask(self, path, **headers):
        return await self.ask(path, Acaciaspoke_Model="m1", **headers)

    async def test_stream_is_forwarded(self):
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

    async def test_failure_before_the_first_event_gets_a_status(self):
        _set_script(self.engines, _reset)
        self.assertEqual(502, (await self._ask("/stream/x")).status)

    async def test_resumable_stream_resumes_at_another_engine(self):
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

    async def test_upstream_request_is_cancelled_when_the_caller_disconnects(
        self,
    ):
        async def script(arrival):
            await arrival.stream(EVENTS[0], end=False)
            await arrival.wait_for_close()

        _set_script(self.engines, script)
        with anyio.move_on_after(0.5):
            await self._ask("/stream/x")
        (arrival,) = _arrivals(self.engines)
        with anyio.fail_after(0.5):
            while not arrival.is_closed:
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

    async def test_draining_worker_gets_no_new_requests(self):
        record = self.apps[0].row(state="draining")
        self.store.put("servers", "app1", record)
        await self.eventually(lambda: "app1" not in self.known())
        for _ in range(4):
            await self.ask("/safe/x", "GET")
        self.assertEqual([], self.apps[0].arrivals)

    async def test_invalid_record_does_not_affect_others(self):
        self.store.put("servers", "bad", b"\x00{")
        self.store.put("servers", "odd", {"service": 1})
        self.store.put("servers", "app1", self.apps[0].row(state="draining"))
        await self.eventually(lambda: "app1" not in self.known())
        self.assertEqual(200, (await self.ask("/safe/x", "GET")).status)

    async def test_older_configuration_does_not_replace_a_newer_one(self):
        self.store.put("op", "config", configuration(3, routes=[]))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 3
        )
        self.store.put("op", "config", configuration(2))
        await anyio.sleep(0.2)
        self.assertEqual(404, (await self.ask("/safe/x", "GET")).status)

    async def test_lost_history_is_followed_by_reading_the_table(self):
        self.store.put("op", "config", configuration(4))
        self.store.discard_history()
        self.store.put("op", "config", configuration(5))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 5
        )


class UnframedResponseTest(GatewayTest):
    """Checks responses without a length, which end with their connection."""

    async def _ask(self, end):
        async def script(arrival):
            arrival.head(
                200,
                {
                    ID_HEADER: arrival.id,
                    SEAL_HEADER: "seal",
                    "connection": "close",
                },
            )
            arrival.writer.write(b"half")
            await arrival.writer.drain()
            await asyncio.sleep(0.05)
            end(arrival)

        _set_script(self.apps, script)
        return await self.ask("/unsafe/x")

    async def test_end_of_the_connection_ends_the_response(self):
        answer = await self._ask(lambda arrival: arrival.writer.close())
        self.assertEqual((200, b"half"), (answer.status, answer.content))

    async def test_reset_response_is_not_complete(self):
        answer = await self._ask(lambda arrival: arrival.reset())
        self.assertEqual(502, answer.status)


class SignalTest(GatewayTest):

    async def test_hangup_does_not_end_the_process(self):
        os.kill(os.getpid(), signal.SIGHUP)
        await anyio.sleep(0.1)
        self.assertEqual(200, (await self.ask("/safe/x", "GET")).status)

    async def test_stop_waits_for_the_open_stream(self):
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


class KvBackupTest(GatewayTest):
    """An engine fails during a stream that may not run twice."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0

    def _script(self, first, then):
        """Sets what the first run and the run from its backup answer."""

        async def script(arrival):
            is_resumed = "kv-from" in arrival.headers
            await (then if is_resumed else first)(arrival)

        _set_script(self.engines, script)

    async def _ask(self):
        return await self.ask("/stream/x", Acaciaspoke_Model="m1")

    async def test_stream_resumes_from_the_backup(self):
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
        run, resumed = _arrivals(self.engines)
        if "kv-from" in run.headers:
            run, resumed = resumed, run
        backup_engine = run.headers["acaciaspoke-kv-backup"]
        self.assertEqual(
            f"{backup_engine}/{run.id}", resumed.headers["kv-from"]
        )
        self.assertEqual("1", resumed.headers["last-event-id"])
        self.assertNotIn("acaciaspoke-kv-backup", resumed.headers)

    async def test_stream_at_an_unresponsive_engine_is_resumed(self):
        async def first(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n", end=False)
            await arrival.wait_for_close()

        async def then(arrival):
            await arrival.stream(b"id: 2\ndata: b\n\n")

        self._script(first, then)
        with anyio.fail_after(4):
            answer = await self._ask()
        self.assertIn(b"id: 2", answer.content)

    async def test_stream_is_not_moved_after_a_suspension_of_this_process(self):
        """Events that arrived meanwhile have not been read yet."""

        async def first(arrival):
            await arrival.stream(*EVENTS[:1], end=False)
            await anyio.sleep(0.1)
            time.sleep(1.0)
            await anyio.sleep(0.1)
            for event in (*EVENTS[1:], b""):
                arrival.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await arrival.writer.drain()

        self._script(first, _reset)
        answer = await self._ask()
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual(1, len(_arrivals(self.engines)))

    async def test_stream_with_a_lost_backup_is_not_retried(self):
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

    async def test_request_that_crashes_engines_is_not_resumed(self):
        async def crash(arrival):
            event_id = int(arrival.headers.get("last-event-id", 0)) + 1
            await arrival.stream(b"id: %d\ndata: a\n\n" % event_id, end=False)
            await anyio.sleep(0.05)
            arrival.reset()

        self._script(crash, crash)
        for _ in range(2):
            with self.assertRaises(httpcore.RemoteProtocolError):
                await self._ask()
        self.assertEqual(3, len(_arrivals(self.engines)))

    async def test_stream_without_events_is_not_resumed(self):
        self._script(_reset, _reset)
        self.assertEqual(502, (await self._ask()).status)
        self.assertEqual(1, len(_arrivals(self.engines)))


class LeaderTest(GatewayTest):

    def _wait_after(self, former):
        leader = self.gateway._leader
        leader._led_epoch = 0
        leader._former_holder = former
        leader.lease._tokens.epoch = 2
        started_s = boot_time_s()
        leader._update_epoch()
        return leader._no_orders_until_s - started_s

    async def test_new_holder_waits_before_its_first_order(self):
        # An order of the former holder may still be in transit.
        leader = self.gateway._leader
        await self.eventually(lambda: leader.holds_lease)
        after_release_s = self._wait_after(None)
        self.assertGreaterEqual(after_release_s, 3.0 + 0.6)
        # A holder whose lease expired sent its last order before the expiry.
        after_expiry_s = self._wait_after(HostId("h2"))
        self.assertGreaterEqual(
            LEASE_S - ORDER_PERIOD_S + after_expiry_s, 3.0 + 0.6
        )
        with self.assertRaises(LeaseNotHeldError):
            leader._next_token()

    async def test_no_order_is_sent_in_the_last_part_of_the_lease(self):
        leader = self.gateway._leader
        await self.eventually(lambda: leader.holds_lease)
        leader.lease._valid_until_s = boot_time_s() + NO_ORDERS_S - 0.1
        self.assertTrue(leader.holds_lease)
        with self.assertRaises(LeaseNotHeldError):
            leader._next_token()
