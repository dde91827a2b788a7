"""What the log says about a request whose caller has left."""

import asyncio

from loguru import logger

from test.gateway.serving import GatewayTest


class CallerLeftTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.records = []
        sink = logger.add(
            lambda message: self.records.append(message.record), level="INFO"
        )
        self.addCleanup(logger.remove, sink)
        logger.enable("acaciaspoke")
        self.addCleanup(logger.disable, "acaciaspoke")

        self.is_over = asyncio.Event()

        async def never_answer(arrival):
            await self.is_over.wait()

        for app in self.apps:
            app.script = never_answer

    async def asyncTearDown(self):
        self.is_over.set()
        await super().asyncTearDown()

    def _lines(self):
        return [
            record["extra"]
            for record in self.records
            if record["message"] == "caller closed the connection"
        ]

    async def test_log_says_what_the_request_waited_for(self):
        # A silent upstream and a queue without end looked the same.
        asking = asyncio.create_task(self.ask("/safe/x"))
        await self.eventually(lambda: any(app.arrivals for app in self.apps))
        asking.cancel()
        await self.eventually(self._lines)
        (line,) = self._lines()
        self.assertEqual("sent", line["state"])
        self.assertIn(line["upstream"], ("app1", "app2"))
        self.assertLessEqual(line["sent_ms"], line["age_ms"])

    async def test_log_names_a_body_that_did_not_arrive(self):
        ip, port = self.address.split(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        lines = [
            "POST /safe/x HTTP/1.1",
            *(f"{name}: {text}" for name, text in self.headers().items()),
            "Content-Length: 10",
            "",
            "half",
        ]
        writer.write("\r\n".join(lines).encode())
        await self.eventually(lambda: self.gateway.app.open_requests)
        writer.close()
        await self.eventually(self._lines)
        self.assertEqual(["reading"], [line["state"] for line in self._lines()])
