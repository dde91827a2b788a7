"""Hosts of the earlier release and of this one serve together."""

import asyncio
import json
import os
import subprocess
import sys
import time
import unittest
from pathlib import Path

import msgspec

from test.gateway import message_samples
from test.gateway.earlier_release import ROOT, extract
from test.gateway.process_serving import GatewayProcessTest
from test.gateway.serving import LISTEN_PORT, READY_PORT, next_ip
from test.gateway.workspace_documents import (
    KEY,
    UNKNOWN_KEY,
    entry,
    keyed_configuration,
)

WAIT_S = 20.0

# Log lines about what another host sent or wrote and that was not understood.
NOT_UNDERSTOOD = (
    "invalid datagram",
    "invalid row of host",
    "configuration is invalid",
    "cannot be applied",
    "Traceback",
)


def run_samples(folder: Path, command: str, data: str = "") -> dict:
    """Runs the program of samples in the tree of a release."""
    done = subprocess.run(
        [sys.executable, message_samples.__file__, command],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        input=data,
        capture_output=True,
        check=True,
        text=True,
    )
    return json.loads(done.stdout)


class WireFormatTest(unittest.TestCase):
    """What one release encodes is decoded by the other."""

    @classmethod
    def setUpClass(cls):
        cls.folders = {"earlier": extract(cls), "this": ROOT}
        cls.samples = {
            release: run_samples(folder, "encode")
            for release, folder in cls.folders.items()
        }

    def _check(self, writer, reader):
        data = json.dumps(self.samples[writer])
        written = run_samples(self.folders[writer], "decode", data)
        read = run_samples(self.folders[reader], "decode", data)
        known = written.keys() & self.samples[reader].keys()
        self.assertGreater(len(known), 14)
        for name in sorted(known):
            with self.subTest(name, writer=writer):
                self.assertNotIn("error", written[name])
                self.assertNotIn("error", read[name])
                common = written[name].keys() & read[name].keys()
                for field in common:
                    self.assertEqual(written[name][field], read[name][field])
        for name in written.keys() - known:
            with self.subTest(name, writer=writer):
                # A decoding error is what makes a host ignore a message.
                self.assertIn("error", read[name])

    def test_earlier_release_reads_this_one(self):
        self._check("this", "earlier")

    def test_this_release_reads_the_earlier_one(self):
        self._check("earlier", "this")


class MixedReleasesTest(GatewayProcessTest):
    """Two gateways of the earlier release, then two of this one.

    Attributes:
        addresses: Where each host listens.
        processes: The process of each host.
    """

    log_level = "debug"

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.earlier = extract(cls)

    async def asyncSetUp(self):
        self.addresses, self.processes, self.logs = {}, {}, []
        self.settings_by_host = {}
        # The first host, h1, is started by the base class.
        self.source_folder = self.earlier
        await super().asyncSetUp()
        await self._start_host("h2", self.earlier)
        await self._start_host("h3", None)
        await self._start_host("h4", None)

    async def start_gateway(self, settings):
        self.settings = settings
        self.settings_by_host[settings.host] = settings
        await super().start_gateway(settings)
        self.addresses[settings.host] = settings.listen
        self.processes[settings.host] = self.process
        self.logs.append(Path(self.log.name))

    async def _start_host(self, host, folder):
        self.source_folder = folder
        settings = self.settings_by_host.get(host)
        if settings is None:
            ip = next_ip()
            settings = msgspec.structs.replace(
                self.settings,
                host=host,
                address=ip,
                listen=f"{ip}:{LISTEN_PORT}",
                ready_listen=f"{ip}:{READY_PORT}",
            )
        await self.start_gateway(settings)

    async def _status(self, host, key=None, path="/unsafe/x", **headers):
        self.address = self.addresses[host]
        if key is not None:
            headers["Acaciaspoke_Key"] = key
        return (await self.ask(path, **headers)).status

    async def _until(self, host, status, key=None):
        deadline_s = time.monotonic() + WAIT_S
        while (found := await self._status(host, key)) != status:
            self.assertLess(time.monotonic(), deadline_s, found)
            await asyncio.sleep(0.05)

    async def _stream(self, host, key=None):
        return await self._status(
            host, key, "/stream/x", Acaciaspoke_Model="m1"
        )

    def _check_logs(self):
        for path in self.logs:
            text = path.read_text()
            for words in NOT_UNDERSTOOD:
                self.assertNotIn(words, text)

    async def _set_stream_script(self):
        async def stream(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n")

        for engine in self.engines:
            engine.script = stream

    async def test_all_hosts_serve_during_an_upgrade(self):
        await self._set_stream_script()
        for host in self.addresses:
            self.assertEqual(200, await self._status(host))
            self.assertEqual(200, await self._stream(host))
        # Hosts are replaced one after the other; the lease moves on as well.
        for host in ("h1", "h2"):
            self.processes[host].terminate()
            await self.processes[host].wait()
            for other in self.addresses.keys() - {host}:
                self.assertEqual(200, await self._status(other))
                self.assertEqual(200, await self._stream(other))
            await self._start_host(host, None)
            for each in self.addresses:
                self.assertEqual(200, await self._status(each))
                self.assertEqual(200, await self._stream(each))
        self._check_logs()

    async def test_workspaces_while_hosts_do_not_know_them(self):
        await self._set_stream_script()
        quota = {"unit": "tokens", "rate_per_s": 1e6, "burst": 1e6}
        self.store.put(
            "op", "config", keyed_configuration(2, entry(priority=1, **quota))
        )
        for host in ("h3", "h4"):
            await self._until(host, 401)
            for app in self.apps:
                app.arrivals.clear()
            self.assertEqual(401, await self._status(host, UNKNOWN_KEY))
            self.assertEqual(200, await self._status(host, KEY))
            self.assertEqual(200, await self._status(host, None, "/public/x"))
            for app in self.apps:
                for arrival in app.arrivals:
                    self.assertNotIn("acaciaspoke-key", arrival.headers)
            self.assertEqual(200, await self._stream(host, KEY))
        # The earlier release serves everyone until it is replaced.
        for host in ("h1", "h2"):
            self.assertEqual(200, await self._status(host, KEY))
            self.assertEqual(200, await self._stream(host, KEY))
        # Digests and asks for tokens go on for a while.
        await asyncio.sleep(1.0)
        self.assertEqual(200, await self._status("h3", KEY))
        self._check_logs()
