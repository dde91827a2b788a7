"""Tests of mailboxes over loopback."""

import unittest
from collections import Counter

import anyio
import pynng

from acaciaspoke.net.mailbox import SEND_QUEUE_MESSAGES, Mailbox, MailboxError
from acaciaspoke.net.messages import SuspicionAck
from test.builders import next_address


class FakeMetrics:
    """A fake of the metrics client that stores counters."""

    def __init__(self):
        self.counters = Counter()

    def count(self, name, amount=1):
        self.counters[name] += amount


def ack(sequence):
    return SuspicionAck(sequence=sequence)


class MailboxTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.metrics = FakeMetrics()
        self.address = f"tcp://{next_address()}"
        self.mailbox = Mailbox(self.address, self.metrics)

    async def receive(self, mailbox):
        with anyio.fail_after(10):
            return await mailbox.receive()

    async def test_post_to_a_peer_that_does_not_listen(self):
        """Guards against a sender that is blocked by a failed process."""
        with self.mailbox:
            peer = f"tcp://{next_address()}"
            posted = [
                self.mailbox.post(peer, ack(n))
                for n in range(SEND_QUEUE_MESSAGES + 50)
            ]
        dropped = posted.count(False)
        self.assertGreaterEqual(dropped, 40)
        self.assertEqual(self.metrics.counters["mailbox.dropped"], dropped)

    async def test_post_to_invalid_addresses(self):
        """Guards against an invalid reply address that ends the process."""
        with self.mailbox:
            for address in ("", "x", "tcp://", "no://a"):
                with self.subTest(address):
                    self.assertFalse(self.mailbox.post(address, ack(1)))
        self.assertEqual(self.metrics.counters["mailbox.dropped"], 4)

    async def test_undecodable_bytes_are_skipped(self):
        """Guards against a message that ends the receiving task."""
        with self.mailbox, pynng.Push0(dial=self.address) as push:
            for data in (b"", b"\xff", b"\x91" * 100_000):
                push.send(data)
            self.mailbox.post(self.address, ack(1))
            self.assertEqual(await self.receive(self.mailbox), ack(1))
            while self.metrics.counters["mailbox.undecodable"] < 3:
                push.send(b"\xc1")
                self.mailbox.post(self.address, ack(2))
                await self.receive(self.mailbox)

    async def test_address_in_use(self):
        """Guards against two processes that share a mailbox."""
        with self.mailbox, self.assertRaises(MailboxError):
            with Mailbox(self.address, self.metrics):
                pass
