"""Tests of mailboxes over loopback."""

import unittest
from collections import Counter

import anyio
import pynng

from acaciaspoke.net import mailbox as mailbox_module
from acaciaspoke.net.mailbox import (
    SEND_QUEUE_MESSAGES,
    Mailbox,
    MailboxError,
    receive_forever,
)
from acaciaspoke.net.messages import SuspicionAck
from test.builders import next_address


class Counts:
    """Metrics that keep the counters."""

    def __init__(self):
        self.counters = Counter()

    def count(self, name, amount=1):
        self.counters[name] += amount


def ack(sequence):
    return SuspicionAck(sequence=sequence)


class MailboxTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.metrics = Counts()
        self.address = f"tcp://{next_address()}"
        self.mailbox = Mailbox(self.address, self.metrics)

    async def receive(self, mailbox):
        with anyio.fail_after(10):
            return await mailbox.receive()

    async def test_nobody_listens(self):
        """Guards against a sender that a lost process holds up."""
        with self.mailbox:
            peer = f"tcp://{next_address()}"
            posted = [
                self.mailbox.post(peer, ack(n))
                for n in range(SEND_QUEUE_MESSAGES + 50)
            ]
        dropped = posted.count(False)
        self.assertGreaterEqual(dropped, 40)
        self.assertEqual(self.metrics.counters["mailbox.dropped"], dropped)

    async def test_addresses_that_are_none(self):
        """Guards against an answer's address that ends the process."""
        with self.mailbox:
            for address in ("", "x", "tcp://", "no://a"):
                with self.subTest(address):
                    self.assertFalse(self.mailbox.post(address, ack(1)))
        self.assertEqual(self.metrics.counters["mailbox.dropped"], 4)

    async def test_queued_message_arrives_when_the_peer_starts(self):
        """Guards against a peer that stays unknown after its restart."""
        peer = Mailbox(f"tcp://{next_address()}", Counts())
        with self.mailbox:
            self.assertTrue(self.mailbox.post(peer.address, ack(7)))
            with peer:
                self.assertEqual(await self.receive(peer), ack(7))

    async def test_undecodable_bytes_are_skipped(self):
        """Guards against a message that ends the task that receives."""
        with self.mailbox, pynng.Push0(dial=self.address) as push:
            for data in (b"", b"\xff", b"\x91" * 100_000):
                push.send(data)
            self.mailbox.post(self.address, ack(1))
            self.assertEqual(await self.receive(self.mailbox), ack(1))
            while self.metrics.counters["mailbox.undecodable"] < 3:
                push.send(b"\xc1")
                self.mailbox.post(self.address, ack(2))
                await self.receive(self.mailbox)

    async def test_taken_address(self):
        """Guards against two processes that share a mailbox."""
        with self.mailbox, self.assertRaises(MailboxError):
            with Mailbox(self.address, self.metrics):
                pass

    async def test_open_sockets_are_bounded(self):
        """Guards against sockets for each host ever talked to."""
        limit = mailbox_module.MAX_CORRESPONDENTS
        mailbox_module.MAX_CORRESPONDENTS = 2
        try:
            mailbox = Mailbox(self.address, self.metrics)
        finally:
            mailbox_module.MAX_CORRESPONDENTS = limit
        with mailbox:
            for _ in range(5):
                mailbox.post(f"tcp://{next_address()}", ack(1))
            self.assertEqual(len(mailbox._push), 2)

    async def test_receive_forever(self):
        """Guards against messages that are lost between two receives."""
        seen = []
        with self.mailbox:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(receive_forever, self.mailbox, seen.append)
                for number in range(20):
                    self.mailbox.post(self.address, ack(number))
                with anyio.fail_after(10):
                    while len(seen) < 20:
                        await anyio.sleep(0.005)
                tasks.cancel_scope.cancel()
        self.assertEqual(seen, [ack(number) for number in range(20)])
