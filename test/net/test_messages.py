"""Tests of the encoding of messages."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciaspoke.net.messages import (
    Demand,
    FleetView,
    MessageError,
    SuspicionAck,
    SuspicionNotice,
    decode,
    encode,
)
from acaciaspoke.net.records import UpstreamState, UpstreamView

ACK = encode(SuspicionAck(sequence=1))
VIEW = UpstreamView(upstream="u", state=UpstreamState.LIVE, resident={"m": "1"})
MESSAGES = [
    SuspicionAck(sequence=1),
    FleetView(upstreams=(VIEW,)),
    Demand(sender="tcp://a", arrivals={"m": {"r": 1}}),
]


def with_field(value: bytes) -> bytes:
    """Returns an encoded ack with an additional field."""
    return b"\x83" + ACK[1:] + b"\xa1z" + value


class MessagesTest(unittest.TestCase):

    def test_round_trip(self):
        """Guards against messages that decode to something else."""
        for message in MESSAGES:
            self.assertEqual(decode(encode(message)), message)

    def test_unknown_fields_are_ignored(self):
        """Guards against hosts that cannot communicate during an upgrade."""
        self.assertEqual(decode(with_field(b"\x01")), MESSAGES[0])

    def test_invalid_data_is_rejected(self):
        """Guards against data that ends the receiving task."""
        huge = b"\xdd\xff\xff\xff\xff"
        suspicions = encode(SuspicionNotice(suspicions=()))
        for name, data in {
            "empty": b"",
            "no map": b"\x01",
            "no tag": b"\x81" + ACK[1:][-10:],
            "cut": ACK[:-1],
            "surplus": ACK + b"\x01",
            "unknown tag": ACK.replace(b"SuspicionAck", b"SuspicionAcc"),
            "wrong type": ACK[:-1] + b"\xa1x",
            "not UTF-8": ACK.replace(b"SuspicionAck", b"Suspicion\xffck"),
            "deep": with_field(b"\x91" * 100_000 + b"\x01"),
            "long": suspicions.replace(b"suspicions\x90", b"suspicions" + huge),
        }.items():
            with self.subTest(name), self.assertRaises(MessageError):
                decode(data)


def _mutated(data: bytes, at: int, byte: int) -> bytes:
    at %= len(data)
    return data[:at] + bytes([byte]) + data[at + 1 :]


class FuzzTest(unittest.TestCase):

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(
        st.binary()
        | st.builds(
            _mutated,
            st.sampled_from([encode(message) for message in MESSAGES]),
            st.integers(0, 999),
            st.integers(0, 255),
        )
        | st.binary().map(with_field)
    )
    def test_any_data_is_decoded_or_rejected(self, data):
        """Guards against data that ends the receiving task."""
        try:
            self.assertIsInstance(decode(data), msgspec.Struct)
        except MessageError:
            pass
