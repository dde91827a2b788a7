"""Memory and processor time of the real processes of an idle host."""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from bench.capacity import scale
from bench.result import Result
from standins.client import request
from standins.deployment import Deployment, Shape, free_address

START_TIMEOUT_S = 20.0
SETTLE_S = 8.0
MEASURED_S = 10.0
ENTRIES_PER_PATCH = 2000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@contextmanager
def standin(kind: str, *options: str) -> Iterator[str]:
    """Runs a stand-in in a separate process; yields its address."""
    address = free_address()
    command = [sys.executable, "-m", "standins", kind, address, *options]
    with subprocess.Popen(command) as process:
        try:
            path = "/v2/report" if kind == "engine" else "/"
            deadline_s = time.monotonic() + START_TIMEOUT_S
            while request(address, "GET", path) is None:
                if time.monotonic() > deadline_s:
                    raise TimeoutError(
                        f"stand-in {kind} did not answer"
                        f" within {START_TIMEOUT_S} s"
                    )
                time.sleep(0.05)
            yield address
        finally:
            process.kill()


def run() -> Iterator[Result]:
    """Measures one of three hosts of a domain, at two sizes.

    The configured upstreams do not exist. They are all in other domains, and a
    host polls only those of its own domain.
    """
    for dimensions in (scale.TODAY, scale.TARGET):
        yield from _measure(dimensions)


def _measure(dimensions: scale.Size) -> Iterator[Result]:
    shape = Shape(domains=("d1",), hosts=3, engines=0, plain=0)
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(shape, Path(folder)) as deployment,
    ):
        config = scale.config(dimensions)
        document = msgspec.to_builtins(config)
        del document["version"]
        patch = Path(folder) / "patch.json"
        patch.write_text(json.dumps(document))
        start_s = time.monotonic()
        _submit_patches(deployment, document)
        name = (
            f"processes.{dimensions.models}_models"
            f".{dimensions.upstreams}_upstreams"
        )
        yield Result(
            name=f"{name}.patches_in_force",
            value=time.monotonic() - start_s,
            unit="s at three hosts",
        )
        time.sleep(SETTLE_S)
        yield from _host(deployment, name)


def _submit_patches(deployment: Deployment, document: dict) -> None:
    """Submits the document in parts, as a patch is limited to 512 KiB."""
    admin = deployment.hosts[0].admin
    version = 0
    for number, part in enumerate(_parts(document)):
        answer = request(
            admin,
            "PATCH",
            f"/v1/config?base_version={version}",
            json.dumps(part).encode(),
            {"X-Patch-Id": f"capacity-{number}", "X-Author": "bench"},
        )
        assert answer is not None and answer.status == 200, answer
        version = json.loads(answer.body)["version"]
    answer = request(
        admin, "GET", f"/v1/config/wait?version={version}&timeout_s=30"
    )
    assert json.loads(answer.body)["complete"], answer


def _parts(document: dict) -> Iterator[dict]:
    for section in ("ranks", "services", "models", "adapters", "upstreams"):
        items = list(document[section].items())
        for start in range(0, len(items), ENTRIES_PER_PATCH):
            yield {section: dict(items[start : start + ENTRIES_PER_PATCH])}


def _host(deployment: Deployment, name: str) -> Iterator[Result]:
    host = deployment.hosts[1].name
    for kind in ("control", "entry"):
        process = deployment.processes[f"{kind} {host}"]
        before_s = _cpu_s(process.pid)
        time.sleep(MEASURED_S)
        spent_s = _cpu_s(process.pid) - before_s
        yield Result(
            name=f"{name}.{kind}.cpu",
            value=100 * spent_s / MEASURED_S,
            unit="% of a core, idle",
        )
        yield Result(
            name=f"{name}.{kind}.memory",
            value=_resident_bytes(process.pid),
            unit="bytes resident",
        )


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _resident_bytes(pid: int) -> int:
    pages = Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES
