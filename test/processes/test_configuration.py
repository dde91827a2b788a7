"""Invariant I8: an accepted version comes into force everywhere and stays."""

import itertools
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from standins.client import request
from standins.deployment import Shape
from test.processes import deployments
from test.processes.deployments import eventually, patch, run_concurrently

IN_FORCE_TIMEOUT_S = 12.0


class ConfigurationTest(deployments.DeploymentTest):
    """Each version adds a model, so the list of models gives the version."""

    shape = Shape(hosts=2, engines=1, plain=0)
    models = 2

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.version = 1

    def setUp(self):
        self.decreases = []
        watches = list(
            itertools.product(
                self.hosts, (self._control_version, self._entry_version)
            )
        )
        self.samples = {
            f"{read.__name__} of {host.name}": 0 for host, read in watches
        }
        ended = threading.Event()
        pool = self.enterContext(ThreadPoolExecutor(len(watches)))
        self.addCleanup(ended.set)
        for host, read in watches:
            pool.submit(self._watch, host, read, ended)

    def _watch(self, host, read, ended):
        highest = 0
        while not ended.wait(0.05):
            version = read(host)
            if version is None:
                continue
            self.samples[f"{read.__name__} of {host.name}"] += 1
            if version < highest:
                self.decreases.append(
                    (host.name, read.__name__, highest, version)
                )
            highest = max(highest, version)

    def _control_version(self, host):
        if not self._is_ready(host.admin):
            return None
        answer = request(host.admin, "GET", "/v1/config", timeout_s=5)
        if answer is None or answer.status != 200 or not answer.complete:
            return None
        return json.loads(answer.body)["version"]

    def _entry_version(self, host):
        if not self._is_ready(host.listen):
            return None
        answer = request(host.listen, "GET", "/v1/models", timeout_s=5)
        if answer is None or answer.status != 200 or not answer.complete:
            return None
        return len(json.loads(answer.body)["data"]) - self.models + 1

    def _is_ready(self, address):
        answer = request(address, "GET", "/readyz", timeout_s=5)
        return answer is not None and answer.status == 200

    def submit(self, host, patch_id=""):
        """Submits a patch for the next version; returns the response."""
        number = self.version + 1
        model = {"service": "drafting", "memory_bytes": 1}
        return patch(
            host,
            {"models": {f"version-{number:03}": model}},
            self.version,
            patch_id or f"patch-{number}",
        )

    def assert_accepted(self, answer):
        """Checks that the next version was accepted, and counts it."""
        self.assertEqual(answer.status, 200, answer)
        type(self).version += 1
        self.assertEqual(json.loads(answer.body)["version"], self.version)

    def check_in_force(self, hosts=None):
        """Waits until the version is in force; fails if a version decreased."""
        hosts = hosts or self.hosts
        for host in hosts:
            for read in (self._control_version, self._entry_version):
                eventually(
                    lambda h=host, r=read: r(h) == self.version,
                    f"{read.__name__} of {host.name} is {self.version}",
                    IN_FORCE_TIMEOUT_S,
                )
        # Each reader takes a sample of the version in force or a newer one.
        for watch in self.samples:
            taken = self.samples[watch]
            eventually(
                lambda w=watch, n=taken: self.samples[w] > n,
                f"a sample of {watch}",
                IN_FORCE_TIMEOUT_S,
            )
        self.assertEqual(self.decreases, [])

    def test_kills_and_restarts(self):
        """Guards against a restarted process that uses an old version."""
        for n, host in enumerate(self.hosts):
            other = self.hosts[n - 1]
            for kind in ("control", "entry"):
                self.assert_accepted(self.submit(other))
                self.restart(kind, host)
                self.check_in_force()

    def test_stale_reads(self):
        """Guards against stale reads that lower or hide the version."""
        self.set_platform_faults("table", stale=True)
        for host in self.hosts[:2]:
            self.assert_accepted(self.submit(host))
            self.restart("control", host)
            self.restart("entry", host)
            self.check_in_force()

    def test_table_out_during_a_restart(self):
        """Without the table a host uses the highest version of its peers."""
        self.assert_accepted(self.submit(self.hosts[0]))
        self.check_in_force()
        self.set_platform_faults("table", refuse=True)
        self.set_platform_faults("objects", refuse=True)
        for host in (self.hosts[0], self.hosts[-1]):
            self.restart("control", host)
            self.restart("entry", host)
            self.check_in_force()
        self.set_platform_faults("objects")
        self.assertNotEqual(self.submit(self.hosts[0], "out").status, 200)

    def test_frozen_host_wakes(self):
        """Guards against a process that misses changes while suspended."""
        host = self.hosts[0]
        with self.frozen(f"control {host.name}", f"entry {host.name}"):
            for _ in range(3):
                self.assert_accepted(self.submit(self.hosts[1]))
            time.sleep(1.0)
        self.check_in_force()

    def test_lost_answer_of_the_commit(self):
        """Guards against a patch that is logged twice after a lost response."""
        for fault in ("drop_answers", "drop_requests"):
            for times in (1, 9):
                patch_id = f"{fault}-{times}"
                self.set_platform_faults(
                    "table", **{fault: times}, only_keys="config/"
                )
                first = self.submit(self.hosts[0], patch_id)
                self.set_platform_faults("table")
                repeated = eventually(
                    lambda patch_id=patch_id: (
                        (found := self.submit(self.hosts[1], patch_id)).status
                        == 200
                        and found
                    ),
                    patch_id,
                )
                self.assert_accepted(repeated)
                if first.status == 200:
                    self.assertEqual(
                        json.loads(first.body)["version"], self.version
                    )
                self.check_in_force()

    def test_two_operators_race(self):
        """Of two patches to one version, one is accepted, the other refused."""
        for attempt in range(5):
            answers = run_concurrently(
                lambda h=h, a=attempt: self.submit(h, f"race-{a}-{h.name}")
                for h in (self.hosts[0], self.hosts[-1])
            )
            won, lost = sorted(answers, key=lambda answer: answer.status)
            self.assert_accepted(won)
            self.assertEqual(lost.status, 409, lost)
            error = json.loads(lost.body)["error"]
            self.assertEqual(error["type"], "version_conflict")
            self.assertEqual(error["current_version"], self.version)
        self.check_in_force()
