"""Tests of the message codec."""

from __future__ import annotations

import math
import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import codec, messages
from knapweedhitch.exceptions import CodecError, MessageTooLarge, UnknownMessage
from knapweedhitch.model import Address, LoadSample, Warmth

PING = messages.Ping(7)


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        """Guards against fields that change when a message is encoded and decoded."""
        self.assertEqual(codec.decode(codec.encode(PING)), PING)

    @given(st.floats(0.0, 60_000.0))
    def test_floats_of_half_precision_are_short(self, value: float) -> None:
        """Guards against load samples that take more bytes than their precision is worth."""
        rounded = codec.round_to_half(value)
        self.assertAlmostEqual(rounded, value, delta=max(1e-6, value / 2_000))
        sample = LoadSample(1, 0, 5, rounded, Warmth.WARM, False, rounded, rounded)
        msg = messages.LoadReport("i", 1, sample)
        self.assertEqual(codec.decode(codec.encode(msg)), msg)
        self.assertLess(len(codec.encode(msg)), 30)

    def test_float_beyond_half_precision_is_kept(self) -> None:
        """Guards against a long wait that becomes infinite or fails."""
        for value in (70_000.0, math.inf):
            self.assertEqual(codec.round_to_half(value), value)

    def test_damaged_messages_are_refused(self) -> None:
        """Guards against damaged messages that are decoded in part or raise an untyped error."""
        cases = [
            (b"", CodecError),
            (codec.encode(PING)[:-1], CodecError),
            (codec.encode(PING) + b"\x00", CodecError),
            (cbor2.dumps({"a": 1}), CodecError),
            (cbor2.dumps([999_999, 1]), UnknownMessage),
            (cbor2.dumps([4, "x"]), CodecError),
            (cbor2.dumps([4, 1, 2]), CodecError),
            (cbor2.dumps([4, True]), CodecError),
            (cbor2.dumps([4, 1 << 64]), CodecError),
            (cbor2.dumps([4, -(1 << 65)]), CodecError),
            (cbor2.dumps([1 << 20_000, 1]), CodecError),
            (b"\xd8\x1c\x82\x04\xd8\x1d\x00", CodecError),
            (b"x" * 2_000_000, MessageTooLarge),
        ]
        for data, error in cases:
            with self.subTest(data=data[:12]), self.assertRaises(error):
                codec.decode(data)

    def test_address_that_is_no_ip_address_is_refused(self) -> None:
        """Guards against the address of a peer that a socket looks up as a name, or can't take."""
        for host in ("a\x00b", "name.example", "999.1.1.1", "1.2.3.4.5", "", "x" * 300, "::g"):
            with self.subTest(host=host), self.assertRaises(CodecError):
                codec.from_plain(Address, [host, 7_000])
        for host in ("10.0.0.1", "::1", "fe80::1%eth0"):
            self.assertEqual(codec.from_plain(Address, [host, 7_000]), Address(host, 7_000))

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_message_or_a_codec_error(self, data: bytes) -> None:
        """Guards against arbitrary bytes of a peer that stop the process by an untyped error."""
        try:
            codec.decode(data)
        except CodecError:
            pass
