"""Tests of the engine stand-in whose streams go on from copies."""

import asyncio
import json
import time
import unittest

from standins import client
from standins.kv_engine import (
    MIN_EVENTS,
    PREFIX,
    KvEngine,
    count_events,
    encode_event,
)
from standins.worker import Worker
from test.gateway.serving import next_ip

SLOTS = 4


class KvEngineTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.lines: list[list[str]] = []
        self.first = await self._serve("one")
        self.second = await self._serve("two")
        self.deaf = await self._serve("deaf", drops_closed=False)
        self.text = "s1"
        self.total = count_events(self.text)

    async def _serve(self, name: str, **options) -> str:
        worker = Worker(name, "llm", f"{next_ip()}:7400", slots=SLOTS)
        engine = KvEngine(
            worker,
            worker.address,
            log=lambda line: self.lines.append(line.split()),
            **options,
        )
        worker.script = engine.handle
        await self.enterAsyncContext(worker.serving())
        sending = asyncio.create_task(engine.send_copies())
        self.addCleanup(sending.cancel)
        return worker.address

    async def _call(self, address, path, document) -> client.Answer:
        return await asyncio.to_thread(
            client.request,
            *(address, "POST", path, json.dumps(document).encode()),
        )

    def _read(self, address: str, name: str, **headers: str) -> asyncio.Task:
        """Begins to read a stream."""
        fields = {key.replace("_", "-"): headers[key] for key in headers}
        fields["Acaciaspoke-Attempt-Id"] = name
        return asyncio.create_task(
            asyncio.to_thread(
                client.request,
                *(address, "POST", PREFIX, self.text.encode(), fields),
            )
        )

    def _go_on(
        self, address: str, name: str, source: str, last: int
    ) -> asyncio.Task:
        return self._read(
            address, name, Kv_From=source, Last_Event_Id=str(last)
        )

    async def _begin(self, address: str, name: str, backup: str):
        """Begins a stream and closes it without reading."""
        ip, port = address.split(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            f"POST {PREFIX} HTTP/1.1\r\nAcaciaspoke-Attempt-Id: {name}\r\n"
            f"Acaciaspoke-Kv-Backup: {backup}\r\n"
            f"Content-Length: 2\r\n\r\n{self.text}".encode()
        )
        await writer.drain()
        return writer

    def _events(self, first: int, last: int | None = None) -> bytes:
        numbers = range(first, (last or self.total) + 1)
        return b"".join(encode_event(self.text, one) for one in numbers)

    def _words(self, name: str) -> list[tuple[str, ...]]:
        """Returns the lines of an id without its run's number and the time."""
        lines = [line for line in self.lines if line[2] == name]
        return [(line[0], *line[3:-1]) for line in lines]

    async def test_whole_stream_and_its_lines(self):
        answer = await self._read(self.first, "a")
        self.assertEqual(self._events(1), answer.body)
        self.assertTrue(answer.complete)
        self.assertEqual(
            [("began", "afresh", "one"), ("ended", "one")], self._words("a")
        )
        began, ended = (float(line[-1]) for line in self.lines)
        self.assertLess(MIN_EVENTS * 0.03, ended - began)
        self.assertLessEqual(ended, time.monotonic())

    async def test_stream_goes_on_from_the_backup_once(self):
        writer = await self._begin(self.first, "a", self.second)
        await asyncio.sleep(0.7)
        writer.close()
        await asyncio.sleep(0.3)
        source = f"{self.second}/a"
        answer = await self._go_on(self.second, "a", source, 20)
        self.assertEqual(self._events(21), answer.body)
        expected = [
            ("began", "afresh", "one"),
            ("ended", "one"),
            ("began", "copy", "two"),
            ("ended", "two"),
        ]
        self.assertEqual(expected, self._words("a"))
        again = await self._go_on(self.second, "a", source, 20)
        self.assertEqual(503, again.status)

    async def test_request_without_a_copy_is_not_run(self):
        answer = await self._go_on(self.first, "a", f"{self.first}/a", 3)
        self.assertEqual(503, answer.status)
        self.assertIn("acaciaspoke-not-executed", answer.headers)
        self.assertEqual([], self.lines)

    async def test_copy_of_a_complete_stream_is_gone(self):
        backup = {"Acaciaspoke_Kv_Backup": self.second}
        await self._read(self.first, "a", **backup)
        await asyncio.sleep(0.5)
        answer = await self._go_on(self.second, "a", f"{self.second}/a", 3)
        self.assertEqual(503, answer.status)

    async def test_last_move_ends_the_run_and_its_handle_works_once(self):
        reading = self._read(self.first, "a")
        await asyncio.sleep(0.5)
        move = {"id": "a", "to": self.second, "last": True}
        answer = await self._call(self.first, "/kv-move", move)
        self.assertEqual(200, answer.status)
        kinds = [words[0] for words in self._words("a")]
        self.assertEqual(["began", "ended", "copied"], kinds)
        moved = json.loads(answer.body)
        stopped = await reading
        self.assertFalse(stopped.complete)
        self.assertTrue(self._events(1).startswith(stopped.body))
        source = f"{self.first}/{moved['handle']}"
        last = moved["created"]
        rest = await self._go_on(self.second, "a", source, last)
        self.assertEqual(self._events(last + 1), rest.body)
        again = await self._go_on(self.second, "a", source, last)
        self.assertEqual(503, again.status)

    async def test_stopped_source_goes_on_if_the_destination_is_away(self):
        self._read(self.first, "a")
        await asyncio.sleep(0.5)
        move = {"id": "a", "to": f"{next_ip()}:7400", "last": True}
        answer = await self._call(self.first, "/kv-move", move)
        self.assertEqual(503, answer.status)
        self.assertEqual("ended", self.lines[-1][0])
        source = f"{self.first}/{json.loads(answer.body)['handle']}"
        rest = await self._go_on(self.first, "a", source, 4)
        self.assertEqual(self._events(5), rest.body)

    async def test_move_without_last_leaves_the_run(self):
        reading = self._read(self.first, "a")
        await asyncio.sleep(0.3)
        move = {"id": "a", "to": self.second}
        answer = await self._call(self.first, "/kv-move", move)
        self.assertEqual(200, answer.status)
        self.assertEqual(self._events(1), (await reading).body)

    async def _copy(self) -> str:
        """Begins a run and copies it; returns the name of the copy."""
        self._read(self.first, "a")
        await asyncio.sleep(0.3)
        move = {"id": "a", "to": self.second}
        answer = await self._call(self.first, "/kv-move", move)
        return f"{self.first}/{json.loads(answer.body)['handle']}"

    def _releases(self) -> list[tuple[str, ...]]:
        return [
            (line[1], line[2]) for line in self.lines if line[0] == "released"
        ]

    async def test_copy_holds_a_slot_until_it_is_freed_at_the_source(self):
        name = await self._copy()
        for _ in range(SLOTS - 1):
            self._read(self.second, "other")
        await asyncio.sleep(0.1)
        self._read(self.first, "b")
        await asyncio.sleep(0.1)
        for body, has_handle in (
            ({"id": "b", "to": self.second}, False),
            ({"id": "b", "to": self.second, "last": True}, True),
        ):
            answer = await self._call(self.first, "/kv-move", body)
            self.assertEqual(503, answer.status)
            self.assertEqual(has_handle, "handle" in json.loads(answer.body))
        again = {"id": "a", "to": self.second}
        answer = await self._call(self.first, "/kv-move", again)
        self.assertEqual(200, answer.status)
        handle = name.rpartition("/")[2]
        await self._free(self.first, handle)
        self.assertEqual([(name, "freed")], self._releases())
        answer = await self._call(self.first, "/kv-move", again)
        self.assertEqual(200, answer.status)

    async def _free(self, address: str, handle: str) -> None:
        await asyncio.to_thread(
            client.request, address, "DELETE", f"/kv-handle/{handle}"
        )

    async def test_handle_works_once_at_both_engines(self):
        for name, used in (("a", self.second), ("b", self.first)):
            self._read(self.first, name)
            await asyncio.sleep(0.3)
            move = {"id": name, "to": self.second, "last": True}
            answer = await self._call(self.first, "/kv-move", move)
            self.assertEqual(200, answer.status)
            source = f"{self.first}/{json.loads(answer.body)['handle']}"
            self._go_on(used, name, source, 4)
            await asyncio.sleep(0.3)
            for address in (self.first, self.second):
                again = await self._go_on(address, name, source, 4)
                self.assertEqual(503, again.status)
        hows = [how for _, how in self._releases()]
        self.assertEqual(["used", "freed"], hows)

    async def test_engine_without_room_for_copies(self):
        self._read(self.first, "a")
        await self._begin_faults(self.second, no_room_s=0.6)
        await asyncio.sleep(0.3)
        move = {"id": "a", "to": self.second}
        answer = await self._call(self.first, "/kv-move", move)
        self.assertEqual((503, b"{}"), (answer.status, answer.body))
        await asyncio.sleep(0.4)
        answer = await self._call(self.first, "/kv-move", move)
        self.assertEqual(200, answer.status)

    async def test_move_of_an_unknown_run(self):
        move = {"id": "a", "to": self.second, "last": True}
        answer = await self._call(self.first, "/kv-move", move)
        self.assertEqual(404, answer.status)

    async def test_run_whose_connection_closes(self):
        for address, is_dropped in ((self.first, True), (self.deaf, False)):
            writer = await self._begin(address, address, self.second)
            await asyncio.sleep(0.3)
            writer.close()
            await asyncio.sleep(0.3)
            has_ended = any(word[0] == "ended" for word in self._words(address))
            self.assertEqual(is_dropped, has_ended)

    async def _begin_faults(self, address: str, **faults) -> None:
        await self._call(address, "/standin/engine-faults", faults)

    async def test_run_goes_on_while_its_events_are_held_back(self):
        reading = self._read(self.first, "a")
        await self._begin_faults(self.first, silent_s=3.5)
        began_s = time.monotonic()
        answer = await reading
        self.assertEqual(self._events(1), answer.body)
        self.assertLess(3.4, time.monotonic() - began_s)
        ended_s = float(self.lines[-1][-1])
        self.assertLess(ended_s, began_s + 3.4)

    async def test_run_goes_on_after_its_stream_broke_off(self):
        reading = self._read(self.first, "a")
        await asyncio.sleep(0.3)
        await self._begin_faults(self.first, breaks_off=True)
        answer = await reading
        self.assertFalse(answer is not None and answer.complete)
        await asyncio.sleep(0.3)
        self.assertEqual([("began", "afresh", "one")], self._words("a"))

    async def test_faults_of_requests_that_go_on(self):
        for kind, status, lines in (
            ("refuse", 503, 0),
            ("fail", 500, 2),
            ("late", 200, 2),
        ):
            copy = {f"{self.first}/{kind}": 9}
            await self._call(self.first, "/standin/kv-copies", copy)
            await self._begin_faults(
                self.first, kv_from=kind, kv_from_s=5.0, delay_s=0.4
            )
            begin_s = time.monotonic()
            answer = await self._go_on(
                self.first, kind, f"{self.first}/{kind}", self.total - 2
            )
            with self.subTest(kind):
                self.assertEqual(status, answer.status)
                self.assertEqual(lines, len(self._words(kind)))
                is_late = time.monotonic() - begin_s > 0.39
                self.assertEqual(kind == "late", is_late)
