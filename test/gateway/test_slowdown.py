"""Upstreams that report how long work takes on their machines."""

import math
import unittest
from collections import Counter

from acaciaspoke.gateway.balance import (
    Loads,
    choose_upstream,
    has_capacity,
    prefill_limit_tokens,
)
from acaciaspoke.gateway.engine_speed import EngineSpeed
from acaciaspoke.gateway.messages import DomainLoads, LoadDigest
from acaciaspoke.gateway.peerloads import PeerLoads
from acaciaspoke.gateway.slowdown import (
    SlowdownReport,
    Slowdowns,
    to_relative,
)
from acaciaspoke.gateway.slowdown.estimates import (
    MAX_REPORT_AGE_S,
    MAX_REPORTS,
)
from acaciaspoke.ids import DomainId, HostId, UpstreamId
from acaciaspoke.platform.notices import decode_notice
from test.gateway.builders import (
    SERVICE,
    artifact,
    fleet,
    record,
    request,
    route,
)

U1, U2 = UpstreamId("u1"), UpstreamId("u2")


def _slowdowns(**started_ms: int) -> Slowdowns:
    return Slowdowns(lambda name: started_ms.get(name))


class EstimateTest(unittest.TestCase):

    def test_new_figure_counts_in_full(self):
        slowdowns = _slowdowns(u1=1)
        slowdowns.record(U1, 60, 0.0)
        slowdowns.record(U1, 150, 10.0)
        self.assertAlmostEqual(1.5, slowdowns.factors(10.0)[U1])

    def test_old_figure_gives_way_to_the_mean(self):
        # Guards against an engine that is avoided, and so not heard of, long
        # after a slowdown of half a second.
        slowdowns = _slowdowns(u1=1)
        slowdowns.record(U1, 60, 0.0)
        slowdowns.record(U1, 60, 10.0)
        slowdowns.record(U1, 150, 10.1)
        self.assertLess(slowdowns.factors(13.0)[U1], 0.65)

    def test_factors_are_relative_to_the_service(self):
        # Guards against prompts that wait longer at all engines because all of
        # them report a slowdown, which their measured speed includes.
        means = {U1: 1.0, U2: 2.0, UpstreamId("u3"): 4.0}
        relative = to_relative({**means, U1: 3.0}, means, lambda _: SERVICE)
        self.assertEqual({U1: 1.5, U2: 1.0, UpstreamId("u3"): 2.0}, relative)

    def test_engines_of_one_speed_are_chosen_as_before(self):
        # Guards against a deployment whose engines only slow down for moments:
        # its busiest day lost 0.03 when requests avoided them.
        means = {UpstreamId(f"u{number}"): 1.2 for number in range(5)}
        factors = {**means, U1: 3.0}
        self.assertEqual({}, to_relative(factors, means, lambda _: SERVICE))

    def test_figures_that_come_together_do_not_outweigh_a_long_time(self):
        slowdowns = _slowdowns(u1=1)
        slowdowns.record(U1, 100, 0.0)
        for number in range(50):
            slowdowns.record(U1, 250, 10.0 + number / 1000)
        self.assertLess(slowdowns.mean_factors()[U1], 1.1)

    def test_late_report_does_not_replace_a_newer_figure(self):
        slowdowns = _slowdowns(u1=1)
        slowdowns.record(U1, 250, 1.0)
        slowdowns.apply_reports({U1: SlowdownReport(60, 400)}, 1.2)
        self.assertAlmostEqual(2.5, slowdowns.factors(1.2)[U1], delta=0.01)

    def test_restarted_upstream_has_no_figure(self):
        started_ms = {U1: 1}
        slowdowns = Slowdowns(started_ms.get)
        slowdowns.record(U1, 400, 0.0)
        started_ms[U1] = 2
        slowdowns.record(U1, 60, 1.0)
        self.assertAlmostEqual(0.6, slowdowns.mean_factors()[U1])

    def test_removed_upstreams_are_forgotten(self):
        # Guards against memory that grows with each upstream there ever was.
        started_ms = {U1: 1}
        slowdowns = Slowdowns(started_ms.get)
        slowdowns.record(U1, 400, 0.0)
        del started_ms[U1]
        slowdowns.reports(0.1)
        self.assertEqual({}, slowdowns.factors(0.1))

    def test_absurd_figures_are_bounded(self):
        slowdowns = _slowdowns(u1=1)
        slowdowns.record(U1, 999_999, 0.0)
        self.assertTrue(math.isfinite(slowdowns.factors(0.0)[U1]))
        self.assertLess(slowdowns.factors(0.0)[U1], 101.0)


class ReportTest(unittest.TestCase):

    def test_only_own_recent_figures_are_sent(self):
        # Guards against figures that hosts tell each other for ever.
        slowdowns = _slowdowns(u1=1, u2=1)
        slowdowns.record(U1, 60, 0.0)
        slowdowns.apply_reports({U2: SlowdownReport(160, 0)}, 0.0)
        self.assertEqual({U1}, slowdowns.reports(0.1).keys())
        self.assertEqual({}, slowdowns.reports(MAX_REPORT_AGE_S + 0.1))

    def test_messages_stay_within_a_datagram(self):
        names = {f"u{number}": 1 for number in range(2 * MAX_REPORTS)}
        slowdowns = _slowdowns(**names)
        for name in names:
            slowdowns.record(UpstreamId(name), 100, 0.0)
        self.assertEqual(MAX_REPORTS, len(slowdowns.reports(0.0)))

    def test_sum_of_hosts_has_the_newest_figures(self):
        loads = PeerLoads()
        for host, percent, age_ms in (("h1", 60, 300), ("h2", 150, 20)):
            reports = {U1: SlowdownReport(percent, age_ms)}
            digest = LoadDigest(host=HostId(host), slowdowns=reports)
            loads.apply_digest(digest, 1.0)
        self.assertEqual({U1: SlowdownReport(150, 120)}, loads.slowdowns(1.1))

    def test_sum_of_an_earlier_release_has_none(self):
        loads = PeerLoads()
        loads.apply_digest(DomainLoads(host=HostId("h1")), 1.0)
        self.assertEqual({}, loads.slowdowns(1.0))

    def test_figure_of_a_response(self):
        for load, percent in (
            (b"3,0,8,250", 250),
            (b"3,0,8", None),
            (b"3,0,8,0", None),
            (b"3,0,8,x", None),
            (b"3,0,8,-5", None),
            (b"3,0,8,99999999999999999999", None),
        ):
            with self.subTest(load=load):
                notice = decode_notice([(b"acaciaspoke-server-load", load)])
                self.assertEqual(percent, notice.work_time_percent)


class ChoiceTest(unittest.TestCase):
    """Engines at 60, 100 and 160% of the usual time, and bursts."""

    def setUp(self):
        self.engines = [
            record(name, "m1", slots=24) for name in ("u1", "u2", "u3")
        ]
        self.upstreams = list(fleet(*self.engines).upstreams.values())
        self.factors = {
            UpstreamId("u1"): 0.6,
            UpstreamId("u2"): 1.0,
            UpstreamId("u3"): 1.6,
        }

    def _loads(self, factors=None, **running) -> Loads:
        return Loads(
            Counter({UpstreamId(name): n for name, n in running.items()}),
            Counter(),
            slowdowns=self.factors if factors is None else factors,
            mean_slowdowns=self.factors if factors is None else factors,
        )

    def _choose(self, loads: Loads, name: str = "q1") -> str:
        prompt = request(name, artifact=artifact("m1"), affinity=name)
        return choose_upstream(
            prompt, self.upstreams, loads, DomainId("u1"), 1.0
        ).record.upstream

    def test_burst_fills_fast_engines_first(self):
        # Guards against streams at slow engines while fast ones have room: 31%
        # of those at 150 to 249% had a pause over 200 ms, 4% below 100%.
        loads = self._loads()
        for number in range(36):
            name = self._choose(loads, f"q{number}")
            loads.running[UpstreamId(name)] += 1
        self.assertGreater(loads.running["u1"], 14)
        self.assertGreater(loads.running["u2"], 0)
        self.assertEqual(0, loads.running["u3"])

    def test_slow_engine_is_used_if_the_others_are_full(self):
        self.assertEqual("u3", self._choose(self._loads(u1=40, u2=40)))

    def test_short_slowdown_moves_requests(self):
        factors = {**self.factors, UpstreamId("u1"): 1.5}
        self.assertEqual("u2", self._choose(self._loads(factors)))

    def test_prompts_of_a_slow_engine_take_longer(self):
        # Guards against pauses of the streams that run there.
        prompt = request(artifact=artifact("m1"))
        tokens = int(0.8 * prefill_limit_tokens(prompt, EngineSpeed()))
        loads = self._loads()
        for name in self.factors:
            loads.prefill_tokens[name] = tokens
        fits = {
            each.record.upstream: has_capacity(each, prompt, loads)
            for each in self.upstreams
        }
        self.assertEqual({"u1": True, "u2": True, "u3": False}, fits)

    def test_without_figures_sessions_decide(self):
        chosen = {
            self._choose(self._loads({}), f"q{number}") for number in range(40)
        }
        self.assertEqual({"u1", "u2", "u3"}, chosen)


class PlainSpreadTest(unittest.TestCase):
    """Many hosts with the same loads, which are tenths of a second old."""

    def _chosen(self, spreads: bool, **running: int) -> Counter[str]:
        upstreams = [
            record(name, slots=6, failure_domain=DomainId(name))
            for name in ("u1", "u2", "u3")
        ]
        loads = Loads(
            Counter({UpstreamId(name): n for name, n in running.items()}),
            Counter(),
            spreads_plain=spreads,
        )
        candidates = list(fleet(*upstreams).upstreams.values())
        return Counter(
            choose_upstream(
                request(f"q{number}", route=route(), artifact=None),
                candidates,
                loads,
                DomainId("u1"),
                1.0,
            ).record.upstream
            for number in range(90)
        )

    def test_busy_service_is_not_sent_to_one_upstream(self):
        # Guards against 90 hosts that all choose the least loaded upstream and
        # fill its queue: it turned away a sixth of what arrived.
        chosen = self._chosen(True, u1=6, u2=6, u3=5)
        self.assertGreater(min(chosen.values()), 15)
        self.assertEqual(90, self._chosen(False, u1=6, u2=6, u3=5)["u3"])

    def test_fuller_upstreams_get_less(self):
        chosen = self._chosen(True, u1=10, u2=6, u3=6)
        self.assertLess(chosen["u1"], chosen["u2"] / 2)

    def test_local_upstream_is_preferred_while_it_is_not_busy(self):
        self.assertEqual(90, self._chosen(True, u1=1, u2=0, u3=0)["u1"])
