"""Paths between zones that can be cut, by relays in the hosts' views of rows.

Each host sees the workers and the other hosts of other zones at addresses of
relays, as the store shows it rows with these addresses. A cut resets what goes
through the relays and refuses new connections; datagrams are lost.
"""

import asyncio
import contextlib
import json

from http1 import reset

PEER_PORT = 7380
WORKER_PORT = 8080


class TcpRelay:
    """Passes connections on to a target."""

    def __init__(self, address, target):
        self._address = address
        self._target = target
        self._server = None
        self._writers = set()

    async def listen(self):
        """Accepts connections."""
        ip, port = self._address.split(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def cut(self):
        """Resets all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        ip, port = self._target.split(":")
        writers = [writer]
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
            writers.append(far_writer)
            self._writers.add(far_writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(_pass(reader, far_writer))
                tasks.create_task(_pass(far_reader, writer))
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            for one in writers:
                reset(one)
        finally:
            for one in writers:
                self._writers.discard(one)
                with contextlib.suppress(Exception):
                    one.close()


async def _pass(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    # The other direction ends too, as that of a peer that closes.
    writer.close()


class _Datagrams(asyncio.DatagramProtocol):
    """Passes datagrams on to a target, unless it is cut."""

    def __init__(self, target):
        self._target = target
        self.is_cut = False
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        if not self.is_cut:
            self._transport.sendto(data, self._target)


class Paths:
    """The paths of all hosts to what is in other zones."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._tcp = {}
        self._udp = {}
        self._cut_zones = set()
        deployment.store.view = self.view

    async def prepare(self, hosts, workers):
        """Makes the paths of all hosts to other hosts and to workers.

        Args:
            hosts: The zone of each host.
            workers: The zone of each worker.
        """
        for host, zone in hosts.items():
            for worker, worker_zone in workers.items():
                if worker_zone != zone:
                    await self._add_worker(host, zone, worker, worker_zone)
            for other, other_zone in hosts.items():
                if other_zone != zone:
                    await self._add_host(host, zone, other, other_zone)

    async def _add_worker(self, host, zone, worker, worker_zone):
        ip = self._deployment.next_ip(WORKER_PORT)
        address = f"{ip}:{WORKER_PORT}"
        target = self._deployment.workers[worker].address
        relay = TcpRelay(address, target)
        await relay.listen()
        self._tcp[host, worker] = relay, address, {zone, worker_zone}

    async def _add_host(self, host, zone, other, other_zone):
        ip = self._deployment.next_ip(PEER_PORT)
        target = self._deployment.addresses[other][0], PEER_PORT
        _, protocol = (
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: _Datagrams(target), local_addr=(ip, PEER_PORT)
            )
        )
        relay = TcpRelay(f"{ip}:{PEER_PORT}", f"{target[0]}:{PEER_PORT}")
        await relay.listen()
        self._udp[host, other] = relay, protocol, ip, {zone, other_zone}

    def view(self, host, table, key, value):
        """Returns the value of a row as a host gets it."""
        if table == "servers" and (host, key) in self._tcp:
            document = json.loads(value)
            document["address"] = self._tcp[host, key][1]
            return json.dumps(document).encode()
        if table == "hosts" and (host, key) in self._udp:
            document = json.loads(value)
            document["address"] = self._udp[host, key][2]
            return json.dumps(document).encode()
        return value

    def cut(self, zone):
        """Cuts a zone off from the others."""
        for relay, _, zones in self._tcp.values():
            if zone in zones:
                relay.cut()
        for relay, protocol, _, zones in self._udp.values():
            if zone in zones:
                relay.cut()
                protocol.is_cut = True

    async def heal(self, zone):
        """Heals the cut of a zone."""
        for relay, _, zones in self._tcp.values():
            if zone in zones:
                await relay.listen()
        for relay, protocol, _, zones in self._udp.values():
            if zone in zones:
                await relay.listen()
                protocol.is_cut = False

    def close(self):
        """Ends all paths."""
        for relay, _, _ in self._tcp.values():
            relay.cut()
        for relay, protocol, _, _ in self._udp.values():
            relay.cut()
            protocol._transport.close()
