"""Many hosts keep workspaces within their quotas, also when some fail."""

import asyncio
import unittest

import msgspec

from acaciaspoke.ids import WorkspaceId
from test.gateway.quota_simulation import Deployment, run

# The workspace that sends more than its quota.
NOISY = WorkspaceId("w10")

# When it begins, and for how long it sends how much more than usual. A fault
# begins together with it or within it.
SURGE_S = 4.0
SURGE_LENGTH_S = 8.0
SURGE_TIMES = 6.0
FAULTS_S = (SURGE_S, SURGE_S + 3.0)

# How long hosts notice nothing of a fault, and then how long a bucket fills.
FAULT_LENGTH_S = 3.0

LOSS = 0.02


class QuotaBoundsTest(unittest.TestCase):
    """Checks the bound, and that others are granted their requests."""

    # 0.97 to 1 were measured with several seeds: docs/design/quotas.md.
    least_around_fault = 0.95

    def _play(self, hosts: int, fault=None, fault_s=FAULTS_S[1]) -> Deployment:
        played = []

        async def main():
            deployment = Deployment(hosts, loss=LOSS)
            if fault is not None:
                asyncio.get_running_loop().call_later(
                    fault_s, fault, deployment
                )
            await deployment.send(SURGE_S)
            await deployment.send(SURGE_LENGTH_S, {NOISY: SURGE_TIMES})
            await deployment.send(4.0)
            await asyncio.sleep(1.0)
            played.append(deployment)

        run(main)
        return played[0]

    def _check(self, hosts: int, fault=None) -> None:
        for fault_s in FAULTS_S if fault else FAULTS_S[1:]:
            with self.subTest(hosts=hosts, fault_s=fault_s):
                deployment = self._play(hosts, fault, fault_s)
                excess, workspace = deployment.worst_excess()
                self.assertLessEqual(excess, 1.0, workspace)
                self._check_served(deployment, fault_s, fault is not None)

    def _check_served(self, deployment, fault_s, is_faulty):
        begin_s = deployment.created_s
        fault_s += begin_s
        healed_s = fault_s + (FAULT_LENGTH_S if is_faulty else 0.0)
        share = deployment.granted_share
        steady = [
            outcome
            for outcome in deployment.outcomes
            if outcome.workspace != NOISY
            and not fault_s <= outcome.arrived_s < healed_s
        ]
        granted = sum(outcome.is_granted for outcome in steady)
        self.assertGreaterEqual(granted / len(steady), 0.99)
        if is_faulty:
            around = share(fault_s, healed_s, NOISY)
            self.assertGreaterEqual(around, self.least_around_fault)
        # A workspace over its quota still gets what accrues.
        surge_s = begin_s + SURGE_S
        noisy = share(
            surge_s,
            surge_s + SURGE_LENGTH_S,
            *(deployment.quotas.keys() - {NOISY}),
        )
        self.assertGreater(noisy, 0.15)
        self.assertLess(noisy, 0.75)

    def test_no_fault(self):
        for hosts in (9, 90, 195):
            self._check(hosts)

    def test_killed_owner(self):
        for hosts in (9, 90):
            self._check(hosts, lambda one: one.kill(one.owner_of(NOISY)))

    def test_killed_owner_of_195_hosts(self):
        self._check(195, lambda one: one.kill(one.owner_of(NOISY)))

    def test_frozen_owner(self):
        for hosts in (9, 90):
            for length_s in (0.9, 1.5):
                self._check(
                    hosts,
                    lambda one, length_s=length_s: one.freeze(
                        one.owner_of(NOISY), length_s
                    ),
                )

    def test_joining_hosts(self):
        for hosts in (9, 90):

            def join(deployment, hosts=hosts):
                for number in range(hosts // 4):
                    deployment.start(f"n{number}")

            self._check(hosts, join)

    def test_partition(self):
        for hosts in (9, 90):

            def cut(deployment, hosts=hosts):
                half = set(list(deployment.hosts)[: hosts // 2])
                deployment.cut(lambda a, b: (a in half) != (b in half))
                asyncio.get_running_loop().call_later(
                    2.5, deployment.cut, lambda a, b: False
                )

            self._check(hosts, cut)

    def test_lowered_limit(self):
        def lower(deployment):
            quota = deployment.quotas[NOISY]
            lowered = msgspec.structs.replace(
                quota, tokens_per_s=0.4 * quota.tokens_per_s
            )
            deployment.set_quotas({**deployment.quotas, NOISY: lowered})

        for hosts in (9, 90):
            deployment = self._play(hosts, lower, 0.5)
            # Configurations arrive within 3 s; then the limit is binding after
            # one window.
            excess, workspace = deployment.worst_excess(
                deployment.created_s + 0.5 + 3.0
            )
            self.assertLessEqual(excess, 1.0, workspace)


if __name__ == "__main__":
    unittest.main()
