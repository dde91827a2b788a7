"""Changes, SIGHUP and a stop while a gateway process reads slow requests."""

import asyncio
import random
import signal

import msgspec

from test.gateway.process_serving import GatewayProcessTest
from test.gateway.serving import configuration
from test.gateway.uploads import UploadCaller

CALLERS = 12
LENGTH_S = 5.0
MIN_IDLE_S = 0.3

# Shorter than any route's timeout or caller's deadline allows.
MAX_WORK_S = 0.6
DEADLINE_S = 10.0

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 4))

ANSWERS = frozenset({200, 404, 413, 503})


class ChangesAmidUploadsTest(GatewayProcessTest):
    """Requests ended with a reset in place of their refusal."""

    log_level = "debug"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.rng = random.Random(36)
        self.is_stopped = False
        self.uploads = []
        for app in self.apps:
            app.script = self._echo
        for engine in self.engines:
            engine.script = self._stream

    async def _echo(self, arrival):
        await asyncio.sleep(self.rng.uniform(0, MAX_WORK_S))
        await arrival.answer(body=arrival.body)

    async def _stream(self, arrival):
        await arrival.stream(EVENTS[0], end=False)
        await asyncio.sleep(self.rng.uniform(0, MAX_WORK_S))
        for event in (*EVENTS[1:], b""):
            arrival.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await arrival.writer.drain()

    def _change(self, version):
        """Writes a configuration and, at once, some rows of upstreams."""
        row = configuration(version)
        row["limits"] = {
            "idle-timeout-ms": self.rng.choice([1000 * MIN_IDLE_S, 15000]),
            "max-body-bytes": self.rng.choice([500, 4194304]),
        }
        if self.rng.random() < 0.5:
            row["routes"] = [
                route for route in row["routes"] if route["name"] != "safe"
            ]
        changes = {("op", "", "config"): msgspec.json.encode(row)}
        for workers in (self.apps, self.engines):
            first, second = self.rng.sample(workers, 2)
            second.born += 1
            for worker, state in ((first, "draining"), (second, "ready")):
                document = worker.row(state=state, seq=version)
                changes["servers", "", worker.name] = msgspec.json.encode(
                    document
                )
        self.store._write(changes)

    async def _change_often(self):
        version = 1
        while not self.is_stopped:
            for _ in range(self.rng.choice([1, 1, 3])):
                version += 1
                self._change(version)
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))

    async def _call(self, number):
        rng = random.Random(number)
        caller = UploadCaller(self.address, rng, MIN_IDLE_S, DEADLINE_S)
        while not self.is_stopped:
            path = rng.choice(["/safe/x", "/unsafe/x", "/stream/x", "/none/x"])
            duration_s = rng.choice([0.0, 0.0, 6 * MIN_IDLE_S])
            self.uploads.append(await caller.send(path, duration_s))
        caller.close()

    def _check(self, upload, log):
        if upload.status == 0:
            # Only a request that met the close of an idle connection.
            self.assertFalse(upload.is_first, upload)
            self.assertNotIn(f'"{upload.id}"', log)
            closes = "closing a connection without a request"
            lines = [line for line in log.splitlines() if closes in line]
            self.assertIn(f'"{upload.peer}"', "".join(lines), upload)
            return
        self.assertIn(upload.status, ANSWERS, upload)
        if upload.status == 200 and upload.path == "/stream/x":
            self.assertEqual(b"".join(EVENTS), upload.body)
        elif upload.status == 200:
            self.assertEqual(upload.id, upload.body.decode().strip())

    async def test_each_request_is_answered(self):
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._change_often())
            for number in range(CALLERS):
                tasks.create_task(self._call(number))
            await asyncio.sleep(LENGTH_S)
            self.process.send_signal(signal.SIGTERM)
            # New connections are accepted for longer.
            await asyncio.sleep(1.0)
            self.is_stopped = True
        self.assertEqual(0, await self.process.wait())
        log = self.read_log()
        for upload in self.uploads:
            self._check(upload, log)
        statuses = {upload.status for upload in self.uploads}
        self.assertLessEqual({200, 404, 413}, statuses)
