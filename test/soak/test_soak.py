"""Tests of the parts of the soak test, and a short run."""

import asyncio
import contextlib
import itertools
import unittest
import zlib

from soak.__main__ import run_seed
from soak.callers import Kind, Outcome
from soak.deployment import Outage
from soak.fault_kinds import FaultKind
from soak.plan import LAST_PHASE_S, make_plan
from soak.promises import find_violations
from soak.proxy import Proxy
from standins.worker import Worker
from standins.worker_process import EVENTS, Registration

LENGTH_S = 5.0

# Of the plans of seeds 0 to 19 with 12 s and 8 processes.
PLANS_CHECKSUM = 372361630


def _planned(plan) -> list[tuple]:
    return [
        (fault.at_s, fault.kind.name, fault.target, fault.duration_s)
        for fault in plan.faults
    ]


def _outcome(**changes) -> Outcome:
    fields = {
        "id": "q1",
        "kind": Kind.UNSAFE,
        "gateway": 0,
        "sent_s": 1.0,
        "ended_s": 2.0,
        "status": 200,
        "body": b"q1",
    }
    return Outcome(**{**fields, **changes})


class PlanTest(unittest.TestCase):

    def test_same_seed_gives_the_same_plan(self):
        self.assertEqual(make_plan(7, 12.0, 8), make_plan(7, 12.0, 8))
        self.assertNotEqual(make_plan(7, 12.0, 8), make_plan(8, 12.0, 8))

    def test_all_kinds_of_faults_occur(self):
        plans = [
            make_plan(
                *(seed, 12, 8),
                restores=1,
                releases=1,
                takeovers=9,
                stranded=1,
                brittle=1,
            )
            for seed in range(50)
        ]
        plans += [make_plan(seed, 12, 8, silences=3) for seed in range(50)]
        kinds = {fault.kind for plan in plans for fault in plan.faults}
        self.assertEqual(set(FaultKind), kinds)

    def test_plans_of_known_seeds_stay_the_same(self):
        # The seeds in docs/soak.md stand for these plans.
        plans = repr([_planned(make_plan(seed, 12, 8)) for seed in range(20)])
        self.assertEqual(PLANS_CHECKSUM, zlib.crc32(plans.encode()))

    def test_restores_leave_the_other_faults_as_they_are(self):
        for seed in range(20):
            restored = make_plan(seed, 12.0, 8, restores=3).faults
            restores = [f for f in restored if f.kind.name == "RESTORE_STORE"]
            others = tuple(f for f in restored if f not in restores)
            self.assertEqual(3, len(restores))
            self.assertEqual(make_plan(seed, 12.0, 8).faults, others)

    def test_releases_leave_the_other_faults_as_they_are(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                plan = make_plan(seed, 12.0, 8, restores=1)
                released = make_plan(seed, 12.0, 8, restores=1, releases=3)
                self.assertLessEqual(set(plan.faults), set(released.faults))
                kinds = [fault.kind for fault in released.faults]
                self.assertEqual(3, kinds.count(FaultKind.RELEASE))
                self.assertEqual(4, kinds.count(FaultKind.KILL_ALL_GATEWAYS))
                self.assertEqual(
                    (plan.gateways, plan.workers),
                    (released.gateways, released.workers),
                )

    def test_releases_go_to_the_next_version_or_back(self):
        is_back = set()
        for seed in range(20):
            faults = make_plan(seed, 12.0, 8, releases=4).faults
            versions = ["v1", *(f.version for f in faults if f.version)]
            for before, after in itertools.pairwise(versions):
                self.assertNotEqual(before, after)
                is_back.add(after < before)
        self.assertEqual({True, False}, is_back)

    def test_faults_end_within_the_length(self):
        for fault in make_plan(7, 12.0, 100, restores=20).faults:
            length_s = fault.copy_age_s + fault.duration_s
            self.assertLessEqual(fault.at_s + length_s, 12.0)
        for fault in make_plan(7, 12.0, 100, releases=20).faults:
            self.assertLessEqual(
                fault.at_s + fault.duration_s, 12.0 + LAST_PHASE_S
            )


class PromiseTest(unittest.TestCase):
    """Guards against violations that are missed or reported wrongly."""

    def _count_violations(
        self, outcome: Outcome, runs, outages=(), broken_s=()
    ) -> int:
        return len(list(find_violations([outcome], runs, outages, broken_s)))

    def test_no_violation(self):
        self.assertEqual(0, self._count_violations(_outcome(), ["q1"]))
        refused = _outcome(status=503)
        self.assertEqual(0, self._count_violations(refused, []))

    def test_unsafe_request_that_ran_twice(self):
        self.assertEqual(1, self._count_violations(_outcome(), ["q1", "q1"]))
        safe = _outcome(kind=Kind.SAFE)
        self.assertEqual(0, self._count_violations(safe, ["q1", "q1"]))

    def test_refused_request_that_ran(self):
        for status in (408, 421, 429, 503):
            refused = _outcome(status=status, kind=Kind.SAFE)
            self.assertEqual(1, self._count_violations(refused, ["q1"]))

    def test_answer_of_another_request(self):
        self.assertEqual(
            1, self._count_violations(_outcome(body=b"q2"), ["q1"])
        )

    def test_streams_with_a_gap_a_duplicate_or_no_end(self):
        events = [
            f"id: {n}\ndata: q1 {n}\n\n".encode() for n in range(1, EVENTS + 1)
        ]
        stream = _outcome(kind=Kind.STREAM, body=b"".join(events))
        self.assertEqual(0, self._count_violations(stream, ["q1"]))
        for part in (events[1:], events[:-1], [events[0], *events]):
            stream = _outcome(kind=Kind.STREAM, body=b"".join(part))
            self.assertEqual(1, self._count_violations(stream, ["q1"]))

    def test_request_without_an_answer(self):
        lost = _outcome(status=0, problem="ReadError: ")
        self.assertEqual(1, self._count_violations(lost, []))
        during, after = Outage(0, 1.5, 1.7), Outage(0, 2.5, 3.0)
        other = Outage(1, 1.5, 1.7)
        self.assertEqual(0, self._count_violations(lost, [], [during]))
        self.assertEqual(1, self._count_violations(lost, [], [after, other]))

    def test_stream_that_is_cut(self):
        cut = _outcome(kind=Kind.STREAM, status=0, problem="ReadError: ")
        self.assertEqual(1, self._count_violations(cut, ["q1"]))
        self.assertEqual(1, self._count_violations(cut, ["q1"], (), [0.5, 2.5]))
        self.assertEqual(0, self._count_violations(cut, ["q1"], (), [1.5]))
        at_deadline = cut._replace(ended_s=cut.sent_s + 5.0)
        self.assertEqual(0, self._count_violations(at_deadline, ["q1"]))

    def test_stopping_gateway_answers_what_it_has_accepted(self):
        lost = _outcome(status=0, problem="ReadError: ")
        stop = Outage(0, 1.5, 1.7, is_stop=True)
        self.assertEqual(0, self._count_violations(lost, [], [stop]))
        self.assertEqual(1, self._count_violations(lost, ["q1"], [stop]))


class ProxyTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        async def echo(reader, writer):
            with contextlib.suppress(ConnectionResetError):
                while data := await reader.read(100):
                    writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        target = "{}:{}".format(*server.sockets[0].getsockname())
        free = await asyncio.start_server(echo, "127.0.0.1", 0)
        address = "{}:{}".format(*free.sockets[0].getsockname())
        free.close()
        self.proxy = await self.enterAsyncContext(Proxy(address, target))
        ip, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.addCleanup(self.writer.close)

    async def _echo(self, data: bytes, timeout_s: float = 5.0) -> bytes:
        self.writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await self.reader.readexactly(len(data))

    async def test_data_is_forwarded(self):
        self.assertEqual(b"one", await self._echo(b"one"))

    async def test_blocked_data_is_delivered_after_healing(self):
        for both_ways in (False, True):
            self.proxy.cut(both_ways=both_ways)
            with self.assertRaises(TimeoutError):
                await self._echo(b"one", 0.1)
            self.proxy.heal()
            async with asyncio.timeout(5.0):
                self.assertEqual(b"one", await self.reader.readexactly(3))

    async def test_connections_are_refused(self):
        self.proxy.refuse()
        self.assertFalse(self.proxy.is_listening)
        ip, port = self.proxy.address.split(":")
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(ip, int(port))
        self.assertEqual(b"one", await self._echo(b"one"))
        await self.proxy.listen()
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.close()

    async def test_connections_are_reset(self):
        await self._echo(b"one")
        self.proxy.reset()
        with self.assertRaises(ConnectionResetError):
            await self.reader.read(1)


class DrainedWorkerTest(unittest.TestCase):

    def test_worker_that_drained_comes_back_as_another_process(self):
        # Gateways send nothing more to a process that has drained.
        worker = Worker("w1", "llm", "127.0.0.1:1", {"m1": []}, born=1000)
        registration = Registration(worker, worker.address, "127.0.0.1:2")
        worker.models["m2"] = []
        worker.orders.append({"model": "m2"})
        registration.toggle()
        self.assertEqual(1000, worker.born)
        registration.toggle()
        self.assertEqual(1001, worker.born)
        self.assertEqual(({"m1": []}, []), (worker.models, worker.orders))


class ShortRunTest(unittest.TestCase):

    def test_no_guarantee_is_violated(self):
        self.assertEqual([], run_seed(1, LENGTH_S, 8))

    def test_no_guarantee_is_violated_with_releases(self):
        self.assertEqual([], run_seed(9500, 4.0, 8, releases=2))
