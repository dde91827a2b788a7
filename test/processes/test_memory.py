"""Invariants I1 and I2: no memory overcommit; every model stays reachable."""

import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from standins.client import request
from standins.deployment import Shape
from standins.documents import RANKS
from test.processes import deployments
from test.processes.deployments import chat, eventually, patch

SEED = 20261204
CALLERS = 8


class MemoryTest(deployments.DeploymentTest):
    """Each domain has memory for 10 of 14 models, so that demand moves them.

    One engine of each domain checks fencing, the other does not.
    """

    shape = Shape(
        hosts=2,
        plain=0,
        engine_memory_bytes=100,
        control_options={"lease_s": 6.0},
    )
    models = 14

    def tearDown(self):
        super().tearDown()
        self.wait_for_models()
        for name in self.upstreams("drafting"):
            self.assertEqual(self.counts(name)["overcommits"], 0, name)
        self.assertEqual(self.overcommits(), 0)

    @contextmanager
    def demand(self):
        """Sends requests and changes models' versions while it is open."""
        ended = threading.Event()

        def change():
            rng = random.Random(SEED)
            while not ended.wait(0.5):
                base = self._version()
                changes = {
                    f"model-{number:02}": {"version": f"v{base}"}
                    for number in rng.sample(range(self.models), 3)
                }
                patch(self.hosts[-1], {"models": changes}, base, f"v{base}")

        def ask(number):
            rng = random.Random(SEED + number)
            while not ended.is_set():
                chat(
                    self.hosts[number % len(self.hosts)],
                    model=f"model-{rng.randrange(self.models):02}",
                    rank=rng.choice(RANKS),
                    deadline_s=1.0,
                )

        before = self._loads()
        with ThreadPoolExecutor(CALLERS + 1) as pool:
            callers = [pool.submit(ask, number) for number in range(CALLERS)]
            callers.append(pool.submit(change))
            try:
                yield
            finally:
                ended.set()
                for caller in callers:
                    caller.result()
        self.assertGreater(self._loads(), before, "no model was moved")

    def _loads(self):
        return sum(
            self.deployment.read_log(name).count("\nload ")
            for name in self.upstreams("drafting")
        )

    def _version(self):
        answer = request(self.hosts[-1].admin, "GET", "/v1/config")
        return json.loads(answer.body)["version"]

    def _order_faults(self, **faults):
        for name in self.upstreams("drafting"):
            self.set_faults(name, **faults)

    def test_holder_frozen_past_its_lease(self):
        """Guards against late orders that collide with the next holder's."""
        for late_s in (1.0, 8.0):
            holder = eventually(lambda: self.lease_holder("d1"), "a holder")
            with self.demand():
                self._order_faults(late_orders=3, late_s=late_s)
                time.sleep(1.0)
                with self.frozen(f"control {holder.name}"):
                    eventually(
                        lambda h=holder: (
                            self.lease_holder("d1", {h.name}) not in (None, h)
                        ),
                        "another holder",
                    )
                    time.sleep(0.5)
                time.sleep(1.5)

    def test_table_out_for_a_while(self):
        """Guards against loads without a reservation in the table."""
        with self.demand():
            for fault in ({"refuse": True}, {"drop_answers": 20}):
                self.set_platform_faults("table", **fault)
                time.sleep(2.0)
                self.set_platform_faults("table")
                time.sleep(1.0)
            with self.frozen("table"):
                time.sleep(4.0)
            time.sleep(2.0)

    def test_orders_and_answers_lost_or_late(self):
        """Guards against reuse of memory that an unconfirmed order may take."""
        with self.demand():
            for faults in (
                {"lose_orders": 3},
                {"lose_answers": 3},
                {"late_orders": 3, "late_s": 2.5},
                {"lose_answers": 2, "late_orders": 4, "late_s": 1.0},
                {"stale_reports": 4, "lose_answers": 2},
            ):
                self._order_faults(**faults)
                time.sleep(1.5)
            self._order_faults()
            time.sleep(1.0)

    def test_engine_killed_and_restarted(self):
        """Guards against models that are not reloaded after a restart."""
        with self.demand():
            for name in self.upstreams("drafting", "d1"):
                self.set_faults(name, late_orders=2, late_s=1.0)
                self.kill(name)
                time.sleep(0.5)
                self.restart_upstream(name)
                time.sleep(1.5)

    def test_all_engines_of_a_domain_killed(self):
        """Guards against models that become unavailable with their domain."""
        with self._lost_domain("d1"):
            self.wait_for_models([h for h in self.hosts if h.domain == "d2"])

    def test_callers_in_a_domain_without_engines(self):
        """Guards against hosts that do not use engines of other domains."""
        with self._lost_domain("d1"):
            self.wait_for_models([h for h in self.hosts if h.domain == "d1"])

    @contextmanager
    def _lost_domain(self, domain):
        lost = self.upstreams("drafting", domain)
        for name in lost:
            self.kill(name)
        try:
            yield
        finally:
            for name in lost:
                self.restart_upstream(name)
