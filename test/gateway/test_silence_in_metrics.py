"""Nothing told how the check of a silent engine, or a broken stream, ended."""

import httpcore
from loguru import logger

from test.gateway.kv_engines import KvEngines, refuse
from test.gateway.serving import GatewayTest


class SilenceInMetricsTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.silence_s, self.kv.answers_calls = 3.0, True
        self.logged = []
        sink = logger.add(lambda message: self.logged.append(message.record))
        self.addCleanup(logger.remove, sink)
        logger.enable("acaciaspoke")
        self.addCleanup(logger.disable, "acaciaspoke")

    def _count(self, metric, **labels):
        return self.gateway._request_handler._metrics.registry.get_sample_value(
            metric, labels
        )

    def _extra(self, text):
        (record,) = (one for one in self.logged if text in one["message"])
        return record["extra"]

    async def test_run_is_stopped(self):
        await self.ask("/stream/x", Acaciaspoke_Model="m1")
        stopped = self._count("acaciaspoke_silent_runs_total", end="stopped")
        self.assertEqual(1, stopped)
        fields = self._extra("its end: stopped")
        self.assertGreaterEqual(fields["silent_ms"], 1000)
        self.assertLessEqual(fields["answered_ms_ago"], fields["asked_ms_ago"])
        self.assertLess(fields["responsive_ms"], fields["silent_ms"])

    async def test_stream_is_cut(self):
        self.kv.at_backup = self.kv.at_source = refuse
        with self.assertRaises(httpcore.RemoteProtocolError):
            await self.ask("/stream/x", Acaciaspoke_Model="m1")
        cut = self._count("acaciaspoke_broken_streams_total", reason="refused")
        self.assertEqual(1, cut)
        fields = self._extra("stream aborted")
        self.assertEqual("refused", fields["reason"])
        self.assertEqual(fields["configuration"], 1)
        self.assertGreaterEqual(fields["silent_ms"], 1000)
