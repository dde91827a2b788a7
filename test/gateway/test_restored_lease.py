"""Hand-over of the order lease while the store is restored from copies.

The client of the store, the lease and the leader run on virtual time against a
modelled store, which takes over the state that it had some seconds before.
"""

import json
import unittest
from types import SimpleNamespace
from typing import NamedTuple

from hypothesis import example, given, settings
from hypothesis import strategies as st

from acaciaspoke.platform.store import StoreClient
from acaciaspoke.util.http import HttpError, HttpResponse
from test.gateway.test_handover import (
    HOSTS,
    Fault,
    OrdersByTurns,
    Simulation,
    _Delay,
    faults_of,
    simulate,
)

FAULTS = faults_of("restore", "suspend", "cut", "lose", "late", "restart")


class _State(NamedTuple):
    """The lease's row and the version of the store's newest transaction."""

    at_s: float
    value: str | None = None
    row_version: int = 0
    version: int = 0


class RestoringSimulation(Simulation):
    """A simulation whose store takes over earlier states.

    The fault ``restore`` brings back the state of ``for_s`` before.
    """

    def __init__(self, faults, seed):
        self._states = [_State(0.0)]
        self._era = 1
        super().__init__(faults, seed)
        for fault in faults:
            if fault.kind == "restore":
                self._at(fault.at_s, None, self._restore, fault.for_s)

    def _restore(self, age_s) -> None:
        copied_s = self.now_s - age_s
        kept = [state for state in self._states if state.at_s <= copied_s]
        self._era += 1
        self._states = kept or [_State(0.0)]

    def _connect(self, host):
        client = StoreClient(
            "10.0.0.9:90",
            1.0,
            lambda: self._leaders[host].lease.on_table_restored(),
        )

        async def request(method, path, body=b"", headers=None, timeout_s=None):
            return await self._request(host, method, body)

        client._http = SimpleNamespace(request=request)
        return client

    async def _request(self, host, method, body) -> HttpResponse:
        await _Delay(self._rng.uniform(0.001, 0.02))
        if self._active("cut", host):
            await _Delay(0.5)
            raise HttpError("cut off", was_sent=True)
        if method == "GET":
            response = self._respond(200, rows=self._rows())
        elif self._active("late", host):
            late_s = self._rng.uniform(0.1, 2.0)
            self._at(self.now_s + late_s, None, self._transact, body)
            await _Delay(0.5)
            raise HttpError("late", was_sent=True)
        else:
            response = self._transact(body)
        await _Delay(self._rng.uniform(0.001, 0.02))
        if method == "POST" and self._active("lose", host):
            await _Delay(0.5)
            raise HttpError("lost", was_sent=True)
        return response

    def _transact(self, body) -> HttpResponse:
        transaction = json.loads(body)
        newest = self._states[-1]
        (condition,) = transaction["precondition"]
        if condition["ver"] != newest.row_version:
            return self._respond(412, rows=self._rows())
        (put,) = transaction["put"]
        # Others write between the changes of this row.
        version = newest.version + self._rng.randint(1, 4)
        self._states.append(_State(self.now_s, put["value"], version, version))
        return self._respond(200)

    def _rows(self):
        state = self._states[-1]
        if state.value is None:
            return []
        return [
            {"key": "engines", "value": state.value, "ver": state.row_version}
        ]

    def _respond(self, status, **fields) -> HttpResponse:
        fields["ver"] = self._states[-1].version
        return HttpResponse(
            status,
            json.dumps(fields).encode(),
            [(b"Store-Era", str(self._era).encode())],
        )


class RestoredLeaseTest(OrdersByTurns, unittest.TestCase):

    def check(self, simulation):
        super().check(simulation)
        tokens = [each.token for each in sorted(simulation.arrivals)]
        self.assertEqual(len(tokens), len(set(tokens)))

    def test_orders_go_on_after_a_restore(self):
        simulation = simulate(
            [Fault("restore", "h1", 10.0, 5.0)], 1, RestoringSimulation
        )
        self.check(simulation)
        self.assertGreater(simulation.arrivals[-1].at_s, 35.0)

    def test_lost_row_does_not_bring_back_fencing_tokens(self):
        faults = [
            Fault("restore", "h1", 10.0, 30.0),
            *(Fault("restart", host, 10.0, 0) for host in HOSTS),
        ]
        simulation = simulate(faults, 1, RestoringSimulation)
        self.check(simulation)
        tokens = sorted(simulation.arrivals)
        before = [each.token for each in tokens if each.at_s < 10.0]
        after = [each.token for each in tokens if each.at_s > 11.0]
        self.assertGreater(min(after), max(before))

    def test_holder_in_a_restored_row_waits_for_the_last_one(self):
        first, *_ = simulate([], 1, RestoringSimulation).arrivals
        faults = [
            Fault("cut", first.host, 8.0, 3.0),
            Fault("restore", "h1", 20.0, 12.0),
        ]
        simulation = simulate(faults, 1, RestoringSimulation)
        self.assertEqual(2, len({each.host for each in simulation.arrivals}))
        self.check(simulation)

    @example(
        [Fault("restore", "h1", 10.0, 0.5), Fault("cut", "h1", 9.0, 3.0)], 0
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(FAULTS, st.integers(0, 2**16))
    def test_two_hosts_never_send_orders_by_turns(self, faults, seed):
        self.check(simulate(faults, seed, RestoringSimulation))
