"""Deployments of real processes for test classes, with fault injection."""

import itertools
import json
import signal
import subprocess
import tempfile
import threading
import time
import unittest
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from standins import journal
from standins.client import Answer, request
from standins.deployment import Deployment, Host, Shape
from standins.documents import RANKS, demo_document
from standins.engine import CRASH_EXIT_STATUS

# Leaves room for a machine that is busy with other work.
WAIT_TIMEOUT_S = 30.0

_caller_ids = map("c{}".format, itertools.count())


class DeploymentTest(unittest.TestCase):
    """Base of tests that share one deployment per class.

    Attributes:
        deployment_type: Class that starts the deployment.
        shape: Size of the deployment.
        models: Number of models, of 20 bytes each, named ``model-NN``.
        changes: Sections that replace those of the demo configuration.
    """

    deployment_type = Deployment
    shape = Shape()
    models = 4
    changes: dict[str, Any] = {}
    deployment: Deployment

    @classmethod
    def setUpClass(cls):
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.deployment = cls.enterClassContext(
            cls.deployment_type(cls.shape, Path(folder))
        )
        cls.hosts = cls.deployment.hosts
        document = demo_document(cls.deployment.upstreams, cls.models, 0)
        answer = patch(cls.hosts[0], document | cls.changes, 0, "first")
        assert answer.status == 200, answer
        for host in cls.hosts:
            cls.deployment.wait_for(host.listen, "/readyz", host.name)
        cls.wait_for_models()

    def tearDown(self):
        for process in self.deployment.processes.values():
            process.send_signal(signal.SIGCONT)
        for name in self.upstreams():
            self.set_faults(name)
        self.set_platform_faults("table")

    @classmethod
    def wait_for_models(cls, hosts: Sequence[Host] = ()) -> None:
        """Waits until a request for each model succeeds through each host."""
        hosts = hosts or cls.hosts
        for number, host in itertools.product(range(cls.models), hosts):
            model = f"model-{number:02}"
            eventually(
                lambda h=host, m=model: (
                    chat(h, model=m, deadline_s=5).status == 200
                ),
                f"{model} through {host.name}",
            )

    def upstreams(self, service: str = "", domain: str = "") -> list[str]:
        """Returns the names of the upstreams of a service and a domain."""
        return [
            name
            for name, upstream in self.deployment.upstreams.items()
            if service in ("", upstream["service"])
            and domain in ("", upstream["failure_domain"])
        ]

    def set_faults(self, name: str, **faults: Any) -> None:
        """Replaces the faults of an upstream; no arguments clear them."""
        address = self.deployment.upstreams[name]["address"]
        self.deployment.post_json(address, "/standin/faults", faults)

    def set_platform_faults(self, name: str, **faults: Any) -> None:
        """Replaces the faults of ``table``, ``objects`` or ``host_list``."""
        address = getattr(self.deployment, name)
        self.deployment.post_json(address, "/standin/faults", faults)

    def signal_process(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.deployment.processes[name].send_signal(number)

    @contextmanager
    def frozen(self, *names: str) -> Iterator[None]:
        """Suspends processes with SIGSTOP while the context is open."""
        for name in names:
            self.signal_process(name, signal.SIGSTOP)
        try:
            yield
        finally:
            for name in names:
                self.signal_process(name, signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self.deployment.stop(name, signal.SIGKILL)

    def restart_upstream(self, name: str) -> None:
        """Starts a killed or crashed upstream and waits for its report."""
        self.deployment.start_upstream(name)
        self.wait_for_report(name)

    def wait_for_report(self, name: str) -> None:
        """Waits until an upstream answers."""
        address = self.deployment.upstreams[name]["address"]
        self.deployment.wait_for(address, "/v2/report", name)

    def restart(self, kind: str, host: Host) -> None:
        """Kills and restarts an ``entry`` or ``control`` process."""
        self.kill(f"{kind} {host.name}")
        start = {
            "entry": self.deployment.start_entry,
            "control": self.deployment.start_control,
        }[kind]
        start(host)
        address = {"entry": host.listen, "control": host.admin}[kind]
        self.deployment.wait_for(address, "/readyz", f"{kind} {host.name}")

    def runs(self, names: Iterable[str] = ()) -> list[journal.Run]:
        """Returns the runs of upstreams over all their boots."""
        return [
            run
            for name in names or self.upstreams()
            for run in journal.runs(self.deployment.read_log(name))
        ]

    def run_count(self, caller_id: str) -> int:
        """Returns how many times a request was run."""
        return sum(run.caller_id == caller_id for run in self.runs())

    def report(self, name: str) -> dict[str, Any]:
        """Returns the load report of an upstream."""
        address = self.deployment.upstreams[name]["address"]
        return json.loads(request(address, "GET", "/v2/report").body)

    def counts(self, name: str) -> dict[str, int]:
        """Returns the counters of an engine's current boot."""
        address = self.deployment.upstreams[name]["address"]
        return json.loads(request(address, "GET", "/standin/counts").body)

    def overcommits(self) -> int:
        """Returns how many loads overcommitted memory, over all engines."""
        return sum(
            self.deployment.read_log(name).count("overcommit ")
            for name in self.upstreams("drafting")
        )

    def lease_holder(
        self, domain: str, without: Iterable[str] = ()
    ) -> Host | None:
        """Returns the lease holder of a domain as one of its hosts reports it.

        Hosts in ``without`` are not asked.
        """
        for host in self.hosts:
            if host.domain != domain or host.name in without:
                continue
            answer = request(host.admin, "GET", "/v1/status", timeout_s=2)
            if answer is None or answer.status != 200:
                continue
            for item in json.loads(answer.body)["domains"]:
                if item["failure_domain"] == domain and item["lease"]:
                    name = item["lease"]["holder"]
                    return next(h for h in self.hosts if h.name == name)
        return None


@contextmanager
def restarting_crashed(test: DeploymentTest, names: Iterable[str]):
    """Restarts upstreams that crash; yields the names of those that crashed.

    A process that exits with another status fails the test, such as one whose
    port was taken while it was down.
    """
    crashes: list[str] = []
    ended = threading.Event()

    def restart_crashed() -> None:
        for name in names:
            status = test.deployment.processes[name].poll()
            if status is None:
                continue
            if status != CRASH_EXIT_STATUS:
                raise AssertionError(f"{name} ended with {status}")
            crashes.append(name)
            test.restart_upstream(name)

    def watch() -> None:
        while not ended.wait(0.05):
            restart_crashed()

    with ThreadPoolExecutor(1) as pool:
        watching = pool.submit(watch)
        try:
            yield crashes
        finally:
            ended.set()
            watching.result()
            restart_crashed()


def eventually(
    condition: Callable[[], Any], what: str, timeout_s: float = WAIT_TIMEOUT_S
) -> Any:
    """Waits until a condition returns a true value, and returns the value."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if found := condition():
            return found
        time.sleep(0.05)
    raise AssertionError(f"not within {timeout_s} s: {what}")


def run_concurrently(calls: Iterable[Callable[[], Any]]) -> list[Any]:
    """Starts calls at the same time; returns their results in order."""
    calls = list(calls)
    barrier = threading.Barrier(len(calls))

    def make(call: Callable[[], Any]) -> Any:
        barrier.wait()
        return call()

    with ThreadPoolExecutor(len(calls)) as pool:
        return list(pool.map(make, calls))


def new_caller_id() -> str:
    """Returns an id that is unique within the test run."""
    return next(_caller_ids)


_NO_ANSWER = Answer(0, {}, b"", complete=False)


def chat(
    host: Host,
    text: str = "hello",
    *,
    model: str = "model-00",
    tokens: int = 4,
    stream: bool = False,
    caller_id: str = "",
    rank: str = RANKS[1],
    deadline_s: float = WAIT_TIMEOUT_S,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends a chat request; status 0 means no response."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
        "stream": stream,
    }
    found = request(
        host.listen,
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        {
            "x-rank": rank,
            "x-deadline-ms": str(int(deadline_s * 1000)),
            "x-request-id": caller_id or new_caller_id(),
        }
        | (headers or {}),
        timeout_s=2 * WAIT_TIMEOUT_S,
    )
    return found or _NO_ANSWER


def book(
    host: Host,
    key: str,
    body: bytes = b'{"room": 4}',
    *,
    deadline_s: float = WAIT_TIMEOUT_S,
) -> Answer:
    """Books with an idempotency key, which is also the request id."""
    headers = {
        "idempotency-key": key,
        "x-request-id": key,
        "x-deadline-ms": str(int(deadline_s * 1000)),
    }
    path = "/v1/services/bookings/bookings"
    found = request(host.listen, "POST", path, body, headers)
    return found or _NO_ANSWER


def error(answer: Answer) -> tuple[int, str, str]:
    """Returns the status, type and outcome of an error response."""
    try:
        details = json.loads(answer.body)["error"]
    except (ValueError, KeyError):
        return answer.status, "", ""
    return answer.status, details["type"], details["outcome"]


def ids_in(answer: Answer) -> set[str]:
    """Returns the request ids in a response and its events."""
    if not answer.body.startswith(b"data:"):
        return {json.loads(answer.body).get("id", "")}
    events = [
        json.loads(line.removeprefix(b"data: "))
        for line in answer.body.splitlines()
        if line.startswith(b"data: {")
    ]
    return {event.get("id", "") for event in events if "error" not in event}


def belongs_to(answer: Answer, caller_id: str) -> bool:
    """Tells whether a response carries only the id of a caller's request."""
    ids = ids_in(answer) | {answer.headers.get("x-request-id", "")}
    return {found.partition(".")[0] for found in ids} == {caller_id}


def is_complete(answer: Answer, text: str) -> bool:
    """Tells whether a response looks complete to a client.

    A response that is not streamed must also end with ``text``.
    """
    if answer.status != 200 or not answer.complete:
        return False
    if answer.body.startswith(b"data:"):
        return answer.body.endswith(b"data: [DONE]\n\n")
    content = json.loads(answer.body)["choices"][0]["message"]["content"]
    return content.endswith(text)


def patch(host: Host, document: Any, base: int, patch_id: str) -> Answer:
    """Submits a patch; status 0 means no response."""
    found = request(
        host.admin,
        "PATCH",
        f"/v1/config?base_version={base}",
        json.dumps(document).encode(),
        {"x-patch-id": patch_id, "x-author": "test"},
    )
    return found or _NO_ANSWER


def wait_for_exit(
    process: subprocess.Popen, timeout_s: float = WAIT_TIMEOUT_S
) -> int:
    """Waits until a process exits; returns its exit status."""
    return process.wait(timeout_s)
