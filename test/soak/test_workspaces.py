"""Tests of API keys and quotas in the soak test, and a short run."""

import random
import unittest

from soak import workspaces
from soak.__main__ import run_seed
from soak.callers import Kind, Outcome
from soak.configuration import configuration
from soak.fault_kinds import FaultKind
from soak.plan import KEY_CHANGES, make_plan
from soak.promises import find_violations
from soak.workspaces import LIMITED, OPEN, Holding, KeyUse, WorkerRecord

KEPT = workspaces.kept(OPEN)
SOME = workspaces.of_version(OPEN, 3)
NEVER = KeyUse(Holding.NEVER, key="key-of-nobody")


def _outcome(key: KeyUse | None, status: int) -> Outcome:
    return Outcome("q1", Kind.SAFE, 0, 1.0, 2.0, status, b"q1", key=key)


def _record(name: str = "q1", workspace: str = OPEN, **changes) -> WorkerRecord:
    return WorkerRecord(name, workspace, False, 1.0)._replace(**changes)


class PlanTest(unittest.TestCase):

    def test_workspaces_leave_the_other_faults_as_they_are(self):
        for seed in range(20):
            plan = make_plan(seed, 12.0, 8, restores=1)
            keyed = make_plan(seed, 12.0, 8, restores=1, workspaces=True)
            self.assertLessEqual(set(plan.faults), set(keyed.faults))
            added = set(keyed.faults) - set(plan.faults)
            self.assertEqual(KEY_CHANGES, len(added))
            self.assertEqual(
                {FaultKind.CHANGE_CONFIGURATION},
                {fault.kind for fault in added},
            )

    def test_configuration_without_workspaces_stays_the_same(self):
        # A configuration with an empty list would be another one.
        self.assertNotIn("tenants", configuration(3))
        keyed = configuration(3, has_workspaces=True)
        self.assertEqual(
            configuration(3) | {"tenants": workspaces.documents(3)}, keyed
        )


class KeysTest(unittest.TestCase):

    def test_later_versions_add_and_remove_keys(self):
        first, second, third = (
            set(workspaces.documents(version)[0]["api-keys"])
            for version in (1, 2, 3)
        )
        self.assertLess(first, second)
        self.assertEqual(1, len(second - third))
        self.assertEqual(1, len(third - second))
        self.assertIn(KEPT.key, first & second & third)

    def test_callers_send_keys_of_each_kind(self):
        rng = random.Random(1)
        uses = [workspaces.choose(rng, 5, float(n % 9)) for n in range(1000)]
        self.assertEqual(set(Holding), {use.holding for use in uses})
        self.assertEqual({OPEN, LIMITED, ""}, {use.workspace for use in uses})
        self.assertEqual({OPEN, LIMITED, ""}, {use.forged for use in uses})
        some = {use.key for use in uses if use.holding is Holding.SOME}
        held = {
            key
            for entry in workspaces.documents(5)
            for key in entry["api-keys"]
        }
        self.assertTrue(some & held)
        self.assertTrue(some - held, "no key of a removed version")
        never = {use.key for use in uses if use.holding is Holding.NEVER}
        self.assertFalse(never & held)
        self.assertIn("", never)


class PromiseTest(unittest.TestCase):
    """Guards against violations that are missed or reported wrongly."""

    def _count(self, key: KeyUse, status: int, *records: WorkerRecord) -> int:
        found = workspaces.find_key_violations([_outcome(key, status)], records)
        return len(list(found))

    def test_no_violation(self):
        for key in (KEPT, SOME):
            self.assertEqual(0, self._count(key, 200, _record()))
            self.assertEqual(0, self._count(key, 429))
        for key in (SOME, NEVER):
            self.assertEqual(0, self._count(key, 401))

    def test_key_that_no_version_held(self):
        self.assertEqual(1, self._count(NEVER, 502, _record(workspace="")))
        self.assertEqual(2, self._count(NEVER, 200, _record()))
        self.assertEqual(1, self._count(NEVER, 200))

    def test_key_of_all_versions_is_refused(self):
        self.assertEqual(1, self._count(KEPT, 401))

    def test_refused_request_that_ran(self):
        self.assertEqual(1, self._count(SOME, 401, _record()))
        refused = _outcome(KEPT, 429)
        self.assertEqual(1, len(list(find_violations([refused], ["q1"], []))))

    def test_worker_gets_the_key_or_another_workspace(self):
        self.assertEqual(1, self._count(KEPT, 200, _record(has_key=True)))
        forged = KEPT._replace(forged=LIMITED)
        for workspace in ("", LIMITED):
            record = _record(workspace=workspace)
            self.assertEqual(1, self._count(forged, 200, record))

    def test_request_of_an_untrusted_client_ran(self):
        record = _record(f"{workspaces.UNTRUSTED_PREFIX}7")
        self.assertEqual(1, self._count(KEPT, 503, record))

    def test_status_401_without_workspaces(self):
        for key, violations in ((None, 1), (SOME, 0)):
            found = find_violations([_outcome(key, 401)], [], [])
            self.assertEqual(violations, len(list(found)))

    def test_records_are_read_from_the_lines_of_workers(self):
        lines = ["ran q1", "request q1 open 0 1.0", "request q2  1 2.5"]
        self.assertEqual(
            [_record(), WorkerRecord("q2", "", True, 2.5)],
            list(workspaces.read_records(lines)),
        )


class QuotaTest(unittest.TestCase):

    def _records(self, times_s, workspace=LIMITED):
        return [
            _record(f"q{number}", workspace, at_s=at_s)
            for number, at_s in enumerate(times_s)
        ]

    def test_bound(self):
        self.assertAlmostEqual(76.6, workspaces.max_in_window())
        for count, violations in ((76, 0), (77, 1)):
            records = self._records([5.0 + n / 10 for n in range(count)])
            found = workspaces.find_quota_violations(records)
            self.assertEqual(violations, len(list(found)))

    def test_most_in_a_window(self):
        times_s = [0.0, 1.0, 7.9, 8.0, 8.5, 20.0]
        records = self._records(times_s)
        self.assertEqual(4, workspaces.most_in_window(records))
        # A request at two workers counts once, and other workspaces do not.
        records += [records[0]._replace(at_s=8.2)]
        records += self._records(times_s, OPEN)
        self.assertEqual(4, workspaces.most_in_window(records))
        self.assertEqual(0, workspaces.most_in_window([]))


class ShortRunTest(unittest.TestCase):

    def test_no_guarantee_is_violated_with_workspaces(self):
        # Longer than the window of the quota.
        self.assertEqual([], run_seed(3, 9.0, 7, has_workspaces=True))
