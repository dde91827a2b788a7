"""A planned stop under load: no request that was read is cut."""

import asyncio
import os
import signal
import time

import httpcore

from test.gateway.serving import GatewayTest

EVENT = b"id: 1\ndata: a\n\n"

# The balancer sends new connections until two of its checks have failed; the
# checks are a second apart.
BALANCER_S = 2.0


class PlannedStopTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()

        async def answer_later(arrival):
            await asyncio.sleep(0.2)
            await arrival.answer(body=arrival.body)

        async def stream_later(arrival):
            await asyncio.sleep(0.3)
            await arrival.stream(EVENT)

        for app in self.apps:
            app.script = answer_later
        for engine in self.engines:
            engine.script = stream_later

    def _stop(self):
        """Requests the stop as the platform does, with repeated signals."""
        self.gateway.drain.request_stop()
        self.gateway.drain.request_stop()
        os.kill(os.getpid(), signal.SIGHUP)

    async def _check(self, tasks):
        """Checks that each request has a whole answer and the process ends."""
        answers = await asyncio.gather(*tasks)
        statuses = [answer.status for answer in answers]
        self.assertLessEqual(set(statuses), {200, 503})
        await self.tasks[-1]
        return statuses

    async def test_requests_on_new_connections_just_before_the_stop(self):
        tasks = [
            asyncio.create_task(self.ask("/unsafe/x", body=b"%d" % number))
            for number in range(30)
        ]
        await self.eventually(lambda: self.gateway.app.open_requests == 30)
        self._stop()
        self.assertEqual(200, min(await self._check(tasks)))

    async def test_requests_that_the_balancer_still_sends(self):
        self._stop()
        tasks = []
        started_s = time.monotonic()
        while time.monotonic() < started_s + BALANCER_S:
            tasks.append(asyncio.create_task(self.ask("/unsafe/x")))
            tasks.append(asyncio.create_task(self.ask("/safe/x", "GET")))
            await asyncio.sleep(0.05)
        self.assertEqual({200}, set(await self._check(tasks)))

    async def test_requests_on_kept_connections(self):
        """A connection ends only after an answer that says so."""
        answers = []
        # After an answer that ends the connection the client makes another one,
        # which the balancer directs here only until then.
        end_s = float("inf")

        async def keep_asking():
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                while time.monotonic() < end_s:
                    response = await pool.request(
                        "POST",
                        f"http://{self.address}/unsafe/x",
                        headers=self.headers(),
                        content=b"x",
                        extensions={"target": b"/unsafe/x"},
                    )
                    answers.append(response)

        tasks = [asyncio.create_task(keep_asking()) for _ in range(10)]
        await self.eventually(lambda: len(answers) >= 10)
        self._stop()
        end_s = time.monotonic() + BALANCER_S
        before_stop = len(answers)
        await asyncio.gather(*tasks)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertGreaterEqual(len(answers), before_stop + len(tasks))
        await self.tasks[-1]

    async def test_body_that_is_still_arriving(self):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{name}: {text}" for name, text in self.headers().items()]
        head = ["POST /unsafe/x HTTP/1.1", *lines, "content-length: 4", "", ""]
        writer.write("\r\n".join(head).encode() + b"bo")
        await self.eventually(lambda: self.gateway.app.open_requests == 1)
        self._stop()
        await asyncio.sleep(0.5)
        writer.write(b"ok")
        answer = await reader.read()
        self.assertIn(b" 200 ", answer.split(b"\r\n")[0])
        self.assertTrue(answer.endswith(b"book"))
        writer.close()
        await self.tasks[-1]

    async def test_requests_that_wait_for_a_slot(self):
        tasks = [
            asyncio.create_task(self.ask("/stream/x", Acaciaspoke_Model="m1"))
            for _ in range(30)
        ]
        await self.eventually(lambda: self.gateway._dispatcher.waiting > 5)
        self._stop()
        self.assertIn(200, await self._check(tasks))

    async def test_requests_that_wait_for_a_load(self):
        tasks = [
            asyncio.create_task(
                self.ask("/stream/x", Acaciaspoke_Model="missing")
            )
            for _ in range(3)
        ]
        await self.eventually(lambda: self.gateway._dispatcher.waiting == 3)
        self._stop()
        self.assertEqual({503}, set(await self._check(tasks)))

    async def test_requests_that_wait_for_a_retry(self):
        refused = set()

        async def refuse_first(arrival):
            if arrival.id not in refused:
                refused.add(arrival.id)
                headers = {"acaciaspoke-not-executed": "1"}
                await arrival.answer(503, b"", headers, sealed=False)
                return
            await asyncio.sleep(0.2)
            await arrival.answer()

        for app in self.apps:
            app.script = refuse_first
        tasks = [asyncio.create_task(self.ask("/unsafe/x")) for _ in range(5)]
        await self.eventually(lambda: len(refused) == 5)
        self._stop()
        await self._check(tasks)
