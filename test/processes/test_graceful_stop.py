"""Invariant I7: a graceful stop cuts off no request in flight."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from standins.client import request
from standins.deployment import Shape
from test.processes import deployments
from test.processes.deployments import (
    book,
    chat,
    eventually,
    is_complete,
    patch,
    wait_for_exit,
)

LEASE_S = 60.0


class GracefulStopTest(deployments.DeploymentTest):
    shape = Shape(
        domains=("d1",),
        engine_options=("slots=32", "token_gap_s=0.02"),
        slots=32,
        engine_memory_bytes=200,
        entry_options={"drain_notice_s": 1.0},
        control_options={"lease_s": LEASE_S},
    )

    def test_entry_process_with_work_in_progress(self):
        """Guards against a second SIGTERM that cuts off requests in flight."""
        host, name = self.hosts[1], f"entry {self.hosts[1].name}"
        for booking in self.upstreams("bookings"):
            self.set_faults(booking, delay_s=2.5)
        with ThreadPoolExecutor(32) as pool:
            streams = [
                pool.submit(
                    chat,
                    host,
                    f"long {n}",
                    model=f"model-{n % self.models:02}",
                    tokens=150,
                    stream=n % 4 > 0,
                )
                for n in range(20)
            ]
            booking = pool.submit(book, host, "slow-booking")
            time.sleep(0.5)
            self.signal_process(name, signal.SIGTERM)
            eventually(lambda: self._readiness(host) == 503, "not ready")
            # Load balancers send requests until they have seen the status.
            late = pool.submit(chat, host, "late", tokens=50, stream=True)
            time.sleep(0.1)
            self.signal_process(name, signal.SIGTERM)
            self.assertIsNone(self.deployment.processes[name].poll())
            for n, stream in enumerate(streams):
                answer = stream.result()
                self.assertTrue(is_complete(answer, f"long {n}"), answer)
            self.assertTrue(is_complete(late.result(), "late"))
            self.assertEqual(booking.result().status, 200)
        self.assertEqual(wait_for_exit(self.deployment.processes[name]), 0)
        kept = book(self.hosts[0], "slow-booking")
        self.assertEqual(kept.headers.get("idempotency-replayed"), "true")
        self.assertEqual(self.run_count("slow-booking"), 1)
        self.deployment.start_entry(host)
        self.deployment.wait_for(host.listen, "/readyz", name)

    def _readiness(self, host):
        return request(host.listen, "GET", "/readyz").status

    def test_control_process_with_loads_in_progress(self):
        """Guards against a stopped lease holder that keeps its lease.

        Without a release nobody plans for the domain until the lease expires.
        """
        holder = eventually(lambda: self.lease_holder("d1"), "a holder")
        others = [host for host in self.hosts if host != holder]
        for name in self.upstreams("drafting"):
            self.set_faults(name, late_orders=4, late_s=2.0)
        models = {
            f"model-{n:02}": {"service": "drafting", "memory_bytes": 20}
            for n in range(self.models, 12)
        }
        answer = patch(others[0], {"models": models}, 1, "more-models")
        self.assertEqual(answer.status, 200, answer)
        eventually(lambda: self._loads() > self.models, "loads in progress")
        name = f"control {holder.name}"
        self.signal_process(name, signal.SIGTERM)
        time.sleep(0.1)
        self.signal_process(name, signal.SIGTERM)
        self.assertEqual(wait_for_exit(self.deployment.processes[name]), 0)
        stopped_s = time.monotonic()
        eventually(
            lambda: self.lease_holder("d1", {holder.name})
            not in (None, holder),
            "another holder",
        )
        self.assertLess(time.monotonic() - stopped_s, LEASE_S)
        for number in range(12):
            eventually(
                lambda n=number: (
                    chat(others[n % 2], model=f"model-{n:02}").status == 200
                ),
                f"model {number}",
            )
        self.assertEqual(self.overcommits(), 0)
        self.deployment.start_control(holder)
        self.deployment.wait_for(holder.admin, "/readyz", name)

    def _loads(self):
        return sum(self.counts(n)["orders"] for n in self.upstreams("drafting"))
