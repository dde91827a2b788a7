"""Requests that are read behind one that runs when the host stops."""

from test.gateway.raw_connection import RawConnectionTest


class PipelinedStopTest(RawConnectionTest):
    """The connection was closed after the first answer."""

    work_s = 0.5

    def _request(self, body):
        return self.head("/safe/x", f"content-length: {len(body)}") + body

    async def test_all_requests_that_were_read_are_answered(self):
        bodies = (b"first", b"second", b"third")
        self.writer.write(b"".join(map(self._request, bodies)))
        await self.eventually(lambda: any(app.arrivals for app in self.apps))
        self.gateway.drain.request_stop()
        for body in bodies:
            answer = await self.answer()
            self.assertEqual(body, answer.body)
            is_last = body == bodies[-1]
            self.assertEqual(is_last, b"connection: close" in answer.head)
        self.assertEqual(b"", await self.reader.read())
        await self.tasks[-1]
