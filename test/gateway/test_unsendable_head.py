"""Response heads of upstreams that the server refuses to send to callers."""

from test.gateway.serving import GatewayTest

CONTROL_CHARACTER = {"x-note": "a\x01b"}


class UnsendableHeadTest(GatewayTest):
    """The connection was closed without an answer, though the request ran."""

    def _answer_with(self, *head, workers, **options):
        async def script(arrival):
            await arrival.answer(*head, **options)

        for worker in workers:
            worker.script = script

    async def test_control_character_in_a_header(self):
        self._answer_with(workers=self.apps, headers=CONTROL_CHARACTER)
        answer = await self.ask("/unsafe/x")
        self.assertEqual((200, b"answer"), (answer.status, answer.content))
        self.assertNotIn(b"x-note", dict(answer.headers))

    async def test_control_character_in_the_head_of_a_stream(self):
        async def script(arrival):
            await arrival.stream(b"id: 1\n\n", headers=CONTROL_CHARACTER)

        for engine in self.engines:
            engine.script = script
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual((200, b"id: 1\n\n"), (answer.status, answer.content))

    async def test_control_character_in_the_seal(self):
        seal = {"acaciaspoke-response-seal": "a\x01b"}
        self._answer_with(workers=self.apps, headers=seal)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)

    async def test_status_without_a_meaning(self):
        self._answer_with(600, workers=self.apps)
        self.assertEqual(502, (await self.ask("/unsafe/x")).status)

    async def test_next_request_after_a_status_without_a_meaning(self):
        self._answer_with(999, workers=self.apps[:1])
        for _ in range(4):
            answer = await self.ask("/safe/x")
            self.assertEqual((200, b"answer"), (answer.status, answer.content))
