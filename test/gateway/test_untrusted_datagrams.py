"""Datagrams from a client that reaches the port for other hosts."""

import asyncio
import itertools
import os
import socket

import msgspec

from acaciaspoke.gateway.peers import HostRow
from acaciaspoke.ids import DomainId
from test.gateway.serving import PEER_PORT
from test.gateway.untrusted_datagrams import forged_datagrams
from test.gateway.untrusted_process import UntrustedClientsCase

COUNT = 60_000

# Lets the process read; datagrams beyond its socket's buffer are lost.
BATCH = 50
PAUSE_S = 0.005

HOST = "h2"


class UntrustedDatagramsTest(UntrustedClientsCase):

    async def _flood(self, datagrams):
        ip = self.address.split(":")[0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number, data in enumerate(itertools.islice(datagrams, COUNT)):
                sender.sendto(data, (ip, PEER_PORT))
                if number % BATCH == 0:
                    await asyncio.sleep(PAUSE_S)
        self.check_bounds()
        await self.check()

    async def test_bytes_that_are_no_message(self):
        await self._flood(os.urandom(size % 1400) for size in itertools.count())

    async def test_messages_under_names_without_end(self):
        row = HostRow(address="127.0.0.1", port=9, failure_domain=DomainId("a"))
        self.store.put("hosts", HOST, msgspec.to_builtins(row))
        await asyncio.sleep(1)
        await self._flood(forged_datagrams(HOST))
