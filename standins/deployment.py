"""Starts the processes of a small deployment and its stand-ins."""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple, Self

from standins.client import Answer, request

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class Shape(NamedTuple):
    """The size of a deployment.

    Attributes:
        hosts: Entry hosts per failure domain.
        engines: Engines per failure domain.
        plain: Instances of the plain service per failure domain.
        engine_options: Options of the engine stand-ins.
        entry_options: Settings of the entry processes, beside addresses.
        host_options: Settings of the hosts, beside those of their processes.
        control_options: Settings of the control processes, beside addresses.
        slots: Configured slots of each engine.
    """

    domains: tuple[str, ...] = ("d1", "d2")
    hosts: int = 3
    engines: int = 2
    plain: int = 1
    engine_options: tuple[str, ...] = ("slots=16", "token_gap_s=0.005")
    engine_memory_bytes: int = 1000
    entry_options: dict = {}
    host_options: dict = {}
    control_options: dict = {}
    slots: int = 16


class Host(NamedTuple):
    """The addresses of an entry host."""

    name: str
    domain: str
    listen: str
    admin: str
    settings: Path


class Deployment:
    """Processes of one deployment; a context manager that kills them all.

    Attributes:
        hosts: The entry hosts.
        upstreams: The upstreams as in the configuration document.
        processes: The running processes by name, such as ``entry h1``.
    """

    def __init__(self, shape: Shape, folder: Path):
        self.shape = shape
        self.hosts: list[Host] = []
        self.upstreams: dict[str, dict] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.table = free_address()
        self.objects = free_address()
        self.host_list = free_address()
        self._folder = folder

    def __enter__(self) -> Self:
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_exc_info) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def _start_all(self) -> None:
        self._start_standin("table", "table", self.table)
        self._start_standin("objects", "objects", self.objects)
        self._start_standin("hosts", "hosts", self.host_list)
        for domain in self.shape.domains:
            self._start_upstreams(domain)
        seeds = [f"tcp://{free_address()}" for _ in self.shape.domains]
        for domain, seed in zip(self.shape.domains, seeds, strict=True):
            for number in range(self.shape.hosts):
                mailbox = f"tcp://{free_address()}" if number else seed
                host = self._make_host(domain, number, mailbox, seeds)
                self.hosts.append(host)
                self.start_control(host)
                self.start_entry(host)
        for name, upstream in self.upstreams.items():
            self.wait_for(upstream["address"], "/v2/report", name)
        for host in self.hosts:
            self.wait_for(host.admin, "/healthz", f"control {host.name}")
            self.wait_for(host.listen, "/healthz", f"entry {host.name}")

    def _start_upstreams(self, domain: str) -> None:
        shape = self.shape
        for number in range(shape.engines):
            name = f"engine-{domain}-{number}"
            self.upstreams[name] = {
                "service": "drafting",
                "failure_domain": domain,
                "address": free_address(),
                "memory_bytes": shape.engine_memory_bytes,
                "slots": shape.slots,
                "checks_fencing": number % 2 == 0,
            }
            self.start_upstream(name)
        for number in range(shape.plain):
            name = f"booking-{domain}-{number}"
            self.upstreams[name] = {
                "service": "bookings",
                "failure_domain": domain,
                "address": free_address(),
                "slots": 64,
            }
            self.start_upstream(name)

    def start_upstream(self, name: str) -> None:
        """Starts or restarts an upstream, with a new boot id."""
        upstream = self.upstreams[name]
        options: Iterable[str] = ()
        kind = "plain"
        if upstream["service"] == "drafting":
            kind = "engine"
            options = (
                *self.shape.engine_options,
                f"memory_bytes={upstream['memory_bytes']}",
                f"checks_fencing={int(upstream['checks_fencing'])}",
            )
        self._start_standin(name, kind, upstream["address"], *options)

    def _make_host(
        self, domain: str, number: int, mailbox: str, seeds: list[str]
    ) -> Host:
        name = f"{domain}-h{number}"
        host = Host(
            name,
            domain,
            free_address(),
            free_address(),
            self._folder / f"{name}.json",
        )
        settings = {
            "host": name,
            "failure_domain": domain,
            "platform": {
                "table": self.table,
                "objects": self.objects,
                "hosts": self.host_list,
            },
            "control": {
                "listen": host.admin,
                "mailbox": mailbox,
                "seeds": seeds,
            }
            | self.shape.control_options,
            "entry": [
                {
                    "listen": host.listen,
                    "mailbox": f"tcp://{free_address()}",
                    "drain_notice_s": 0.5,
                }
                | self.shape.entry_options
            ],
        } | self.shape.host_options
        host.settings.write_text(json.dumps(settings, indent=2))
        return host

    def start_control(self, host: Host) -> None:
        """Starts the control process of a host."""
        self._start_acaciaspoke(f"control {host.name}", "control", host)

    def start_entry(self, host: Host) -> None:
        """Starts the entry process of a host."""
        self._start_acaciaspoke(f"entry {host.name}", "entry", host)

    def stop(self, name: str, number: signal.Signals = signal.SIGTERM) -> int:
        """Sends a signal and waits for the exit; returns the exit status."""
        process = self.processes[name]
        process.send_signal(number)
        return process.wait(STOP_TIMEOUT_S)

    def read_log(self, name: str) -> str:
        """Returns the output of a process over all its boots."""
        return (self._folder / f"{name}.log").read_text()

    def wait_for(self, address: str, path: str, what: str) -> None:
        """Waits until a path answers 200.

        Raises:
            TimeoutError: If it does not within ``START_TIMEOUT_S``.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            answer = request(address, "GET", path)
            if answer is not None and answer.status == 200:
                return
            time.sleep(0.05)
        raise TimeoutError(
            f"{what} did not answer 200 on {path} within {START_TIMEOUT_S} s"
        )

    def run_command(self, *arguments: str, text: str = "") -> str:
        """Runs an operator command and returns its output.

        Raises:
            RuntimeError: If the command fails.
        """
        done = subprocess.run(
            [sys.executable, "-m", "acaciaspoke", *arguments],
            env=os.environ | {"ACACIASPOKE_ADMIN": self.hosts[0].admin},
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if done.returncode:
            raise RuntimeError(f"{' '.join(arguments)}: {done.stderr}")
        return done.stdout

    def post_json(self, address: str, path: str, document: object) -> Answer:
        """Posts a JSON document to a stand-in.

        Raises:
            ConnectionError: If the response is not 200.
        """
        answer = request(address, "POST", path, json.dumps(document).encode())
        if answer is None or answer.status != 200:
            raise ConnectionError(f"{address}{path}: {answer}")
        return answer

    def _start_standin(
        self, name: str, kind: str, address: str, *options
    ) -> None:
        command = [sys.executable, "-m", "standins", kind, address, *options]
        self._start(name, command)

    def _start_acaciaspoke(self, name: str, command: str, host: Host) -> None:
        module = [sys.executable, "-m", "acaciaspoke", command]
        self._start(name, [*module, "--settings", str(host.settings)])

    def _start(self, name: str, command: list[str]) -> None:
        with (self._folder / f"{name}.log").open("a") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )


_allocated_ports: set[int] = set()


def free_address() -> str:
    """Returns a loopback address with a currently free port.

    Ports are below the kernel's ephemeral range, so that no outgoing connection
    takes one while its process is down. No port is returned twice.
    """
    while True:
        port = random.randrange(10000, 32000)
        if port in _allocated_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _allocated_ports.add(port)
            return f"127.0.0.1:{port}"
