"""A small deployment: gateways as processes, and stand-ins around them."""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http1 import request
from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]

LISTEN_PORT = 8149
READY_PORT = 8141
STORE_PORT = 8142
WORKER_PORT = 8080
INTERNAL_PORTS = [7380, 7395]

START_TIMEOUT_S = 30.0

# A case ends within this time, and its processes with it.
MAX_RUN_S = 112.0

# As in the example of DEPLOY.md.
BOUNDS = {
    "lease-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "retry-slack": 58,
    "budget-window-s": 10,
    "ceiling-window-s": 5,
}


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._begin_s = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._begin_s:8.3f} {text}\n")
        self._file.flush()


def fill_template(template, fields):
    """Fills in the placeholders of the deploy file's template."""

    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[name]
        return json.dumps(found)

    return re.sub(r"{{([\w.-]+)\|json}}", value, template)


class Deployment:
    """Starts and ends everything; an async context manager."""

    def __init__(self, record, zones=("fukuoka", "kumamoto", "kagoshima")):
        self.record = record
        self.zones = zones
        self.store = Store()
        self.workers = {}
        self.processes = {}
        self.addresses = {}
        self._ips = iter(())
        self._folder = None
        self._role = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text()
        )["roles"]["gateway"]

    async def __aenter__(self):
        self._folder = tempfile.TemporaryDirectory()
        block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._ips = (f"{block}.{number}" for number in range(1, 250))
        return self

    async def __aexit__(self, *error):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for worker in self.workers.values():
            worker.end(remove=False)
        self.store.close()
        self._folder.cleanup()

    def next_ip(self, *ports):
        """Returns a loopback address at which these ports are free."""
        for ip in self._ips:
            if all(_is_free(ip, port) for port in ports):
                return ip
        raise NotRunError("no free address")

    async def add_worker(self, name, service, zone, **options):
        """Starts a worker."""
        address = f"{self.next_ip(WORKER_PORT)}:{WORKER_PORT}"
        options = {"address": address} | options
        make = options.pop("make", Worker)
        worker = make(
            self.store, self.record, name, service=service, zone=zone, **options
        )
        self.workers[name] = worker
        await worker.start()
        return worker

    async def add_gateways(self, names, *, first=True, wait=True, zones=()):
        """Starts gateways; the names of hosts are also those of logs."""
        for number, name in enumerate(names):
            if name not in self.addresses:
                zone = (zones or self.zones)[number % len(zones or self.zones)]
                await self.prepare(name, zone)
            self.start_gateway(name, first=first)
        for name in names if wait else ():
            await self.wait_until_ready(name)

    async def prepare(self, name, zone):
        """Chooses the address of a host."""
        ports = (LISTEN_PORT, READY_PORT, STORE_PORT, *INTERNAL_PORTS, 7390)
        ip = self.next_ip(*ports)
        self.addresses[name] = ip, zone
        await self.store.listen(f"{ip}:{STORE_PORT}", name)

    def start_gateway(self, name, first=False):
        """Starts the process of a host with the command of the deploy file."""
        ip, zone = self.addresses[name]
        fields = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen": {
                "front": f"{ip}:{LISTEN_PORT}",
                "ready": f"{ip}:{READY_PORT}",
            },
            "internal-ports": INTERNAL_PORTS,
            "platform": {"address": f"{ip}:{STORE_PORT}"},
            "limits": {"memory-mb": 300, "link-mbps": 1000.0},
            "bootstrap": first,
            "bounds": BOUNDS,
        }
        template = (ROOT / self._role["template"]).read_text()
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(fill_template(template, fields))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ACACIASPOKE_NODE_FILE": str(path),
        }
        keep = os.environ.get("KEEP_LOGS")
        log = Path(keep or self._folder.name) / f"{name}.log"
        with log.open("ab") as output:
            self.processes[name] = subprocess.Popen(
                shlex.split(self._role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record(f"host {name} starts")

    async def wait_until_ready(self, name):
        """Waits until a host says that it is ready."""
        ip, _ = self.addresses[name]
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            reply = await request(
                f"{ip}:{READY_PORT}", "GET", "/ready", {"Host": "x"}
            )
            if reply.status == 200:
                self.record(f"host {name} is ready")
                return
            if self.processes[name].poll() is not None:
                raise NotRunError(f"host {name} has ended")
            await asyncio.sleep(0.1)
        raise NotRunError(f"host {name} is not ready")

    def front(self, name):
        """Returns the address for callers of a host."""
        return f"{self.addresses[name][0]}:{LISTEN_PORT}"

    def signal(self, name, number):
        """Sends a signal to the process of a host."""
        self.record(f"host {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def holder(self):
        """Returns the host that holds the lease for orders."""
        rows = self.store.table("lease").values()
        return next((row["holder"] for row in rows if row["holder"]), None)


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def model(name):
    """Returns a model as in the sheet of hinokuni-rounds."""
    return {
        "name": name,
        "weights-mb": 72700.0,
        "load-time-s": 1.2,
        "adapters": 0,
        "adapter-mb": 66.0,
        "warm-s": 0.4,
        "disk-s": 0.52,
    }


def engine(models, **more):
    """Returns the engine of a service as in the sheet of hinokuni-rounds."""
    return {
        "slots": 24,
        "kv-capacity-tokens": 85481,
        "kv-token-bytes": 163840,
        "link-mbps": 1100000.0,
        "moves": True,
        "backups": True,
        "stride": 7,
        "max-count": 12,
        "host-mb": 150000.0,
        "disk-mb": 440000.0,
        "pin-ms": 4000.0,
        "hold-ms": 2000.0,
        "handle_s": 5.0,
        "models": [model(name) for name in models],
        "weights-mb": 220000.0,
        "adapter-slots": 8,
        "loads-per-s": 3.1,
        **more,
    }


def route(name, kind, service, **more):
    """Returns a route of the host ``a.example``."""
    return {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1000,
        "target-latency-ms": 200,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        "session-affinity": False,
        "resumable": False,
        **more,
    }


LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def service(name, **more):
    """Returns a service."""
    return {
        "name": name,
        "health-check": "/healthz",
        "max-connections": 210,
        "protocol": "h1",
        "tls": False,
        **more,
    }


def new_id():
    """Returns the id of a new consumer attempt."""
    return f"{random.getrandbits(64):016x}"


def run_case(main, folder):
    """Runs a case; ends the process with its status."""
    record = Record(Path(os.environ.get("RECORD_IN", folder)) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(MAX_RUN_S):
            return await main(record, has_trouble)

    try:
        broken = asyncio.run(run())
    except NotRunError as error:
        record(f"not run: {error}")
        print(f"not run: {error}")
        sys.exit(2)
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record(f"not run: {error!r}")
        print(f"not run: {error!r}")
        sys.exit(2)
    text = "the rule was broken" if broken else "the rule held"
    record(text)
    print(text)
    sys.exit(1 if broken else 0)
