"""Tests that no workspace takes the room of others, in simulated overload."""

import itertools
import unittest

from test.gateway.fairness_simulation import Simulation

LENGTH_S = 15.0

# 4 engines with 5 slots serve 40 requests a second; see ``SERVICE_S``.
POOL = {"engines": 4, "slots": 5}


def constant(rate_per_s):
    return lambda now_s: rate_per_s


# Together 75 requests a second, of which one workspace sends six times its
# usual 5.
BURST = {f"w{number}": constant(5) for number in range(8)} | {
    "w0": constant(30)
}

# 98 requests a second of very different workspaces.
SIZES = {"large": constant(60), "medium": constant(20)} | {
    f"w{number}": constant(3) for number in range(6)
}


def simulate(hosts, rates, **changes):
    simulation = Simulation(hosts, **POOL, rates=rates, **changes)
    simulation.run(LENGTH_S)
    return simulation


class FairServiceTest(unittest.TestCase):

    def assert_no_workspace_is_starved(self, simulation, rates):
        for name in rates:
            self.assertGreater(
                simulation.served_share(name),
                0.25 * simulation.total_served_share,
                name,
            )

    def test_burst_takes_no_room_of_others(self):
        # Without shares, all are served 0.6 of the time.
        for hosts in (1, 6):
            with self.subTest(hosts=hosts):
                simulation = simulate(hosts, BURST)
                others = [
                    simulation.served_share(name)
                    for name in BURST
                    if name != "w0"
                ]
                self.assertGreater(sum(others) / len(others), 0.72)
                self.assertGreater(min(others), 0.6)
                self.assertLess(simulation.served_share("w0"), 0.5)
                self.assert_no_workspace_is_starved(simulation, BURST)

    def test_large_workspace_is_not_starved(self):
        for hosts in (1, 6):
            with self.subTest(hosts=hosts):
                simulation = simulate(hosts, SIZES)
                self.assertGreater(simulation.served_share("w1"), 0.75)
                self.assert_no_workspace_is_starved(simulation, SIZES)

    def test_hosts_without_contact_share_among_their_own_requests(self):
        simulation = Simulation(6, **POOL, rates=BURST)
        simulation.exchanges_digests = False
        simulation.run(LENGTH_S)
        self.assert_no_workspace_is_starved(simulation, BURST)

    def test_immediate_repeats_displace_no_others(self):
        # The callers of w0 return at once up to a hundred times. They use what
        # others leave, but those are served as often as without repeats.
        rates = {f"w{number}": constant(7) for number in range(8)}

        def served_share_of_others(hosts, repeating):
            simulation = Simulation(hosts, **POOL, rates=rates)
            simulation.returns_at_once = repeating
            simulation.max_returns = 100
            simulation.run(LENGTH_S)
            self.assert_no_workspace_is_starved(simulation, rates)
            others = [name for name in rates if name != "w0"]
            return sum(map(simulation.served_share, others)) / len(others)

        for hosts in (1, 6):
            with self.subTest(hosts=hosts):
                self.assertGreater(
                    served_share_of_others(hosts, {"w0"}),
                    0.9 * served_share_of_others(hosts, set()),
                )

    def test_slots_stay_busy(self):
        # Requests above their share waited for slots that others left idle.
        simulation = simulate(6, BURST)
        unfair = simulate(6, BURST, has_workspaces=False)
        self.assertGreater(
            simulation.served.total(), 0.93 * unfair.served.total()
        )

    def test_few_are_refused_after_a_long_wait(self):
        # Requests beyond their share waited until they were late: half of the
        # refusals came after more than a second, as new ones went first.
        for hosts in (1, 6):
            with self.subTest(hosts=hosts):
                simulation = simulate(hosts, BURST)
                held = sum(
                    now_s - refused.arrived_s > 1
                    for now_s, refused, _ in simulation.refusals
                )
                self.assertLess(held, 0.2 * len(simulation.refusals))

    def test_returns_come_in_no_wave(self):
        simulation = simulate(6, SIZES)
        times_s = sorted(
            now_s + retry_after_s
            for now_s, _, retry_after_s in simulation.refusals
            if 103.0 <= now_s < 104.0
        )
        counts = [
            sum(1 for _ in group)
            for _, group in itertools.groupby(times_s, lambda at: int(at * 5))
        ]
        self.assertLess(max(counts), 0.3 * len(times_s))


if __name__ == "__main__":
    unittest.main()
