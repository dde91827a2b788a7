"""A stream that has been sent to its end is counted as served."""

from test.gateway.serving import GatewayTest

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))


class FinishedStreamTest(GatewayTest):

    async def test_stream_with_a_backup_is_no_caller_that_left(self):
        # The end of the response was taken for the end of the connection.
        durations = self.gateway._dispatcher.estimates.durations["stream"]
        durations.mean_s = 2.0  # Only long runs get a KV backup.

        async def stream(arrival):
            await arrival.stream(*EVENTS)

        for engine in self.engines:
            engine.script = stream
        for _ in range(3):
            answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
            self.assertEqual(b"".join(EVENTS), answer.content)
        arrivals = [arrival for e in self.engines for arrival in e.arrivals]
        self.assertTrue(
            all("acaciaspoke-kv-backup" in a.headers for a in arrivals)
        )
        self.assertEqual(
            [
                'acaciaspoke_answers_total{result="served",route="stream"} 3.0',
                "acaciaspoke_callers_gone_total 0.0",
            ],
            self._counters("acaciaspoke_answers", "acaciaspoke_callers_gone"),
        )
        self.assertLess(durations.mean_s, 2.0)

    def _counters(self, *names):
        totals = tuple(f"{name}_total" for name in names)
        lines = self.gateway.metrics.exposition().decode().splitlines()
        return [line for line in lines if line.startswith(totals)]
