"""Tests of idempotency keys."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch.exceptions import KeyInvalid
from knapweedhitch.idempotency import MAX_TIME_MS, generate_uuid7, key_time_ms, normalize


class IdempotencyTest(unittest.TestCase):
    def test_published_examples_are_read(self) -> None:
        """Guards against a wrong byte order; the UUIDv7 is the example of RFC 9562."""
        self.assertEqual(key_time_ms("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"), 0x017F22E279B0)
        self.assertEqual(key_time_ms("01ARZ3NDEKTSV4RRFFQ69G5FAV"), 1469922850259)

    def test_keys_without_time_are_refused(self) -> None:
        """Guards against keys without a creation time, on which claim groups and votes depend."""
        for key in (
            "",
            "order-17",
            "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
            "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
            "81ARZ3NDEKTSV4RRFFQ69G5FAV",
            "01ARZ3NDEKTSV4RRFFQ69G5FAU",
            "01ARZ3NDEKTSV4RRFFQ69G5FAV\n",
            "0" * 10_000,
        ):
            with self.subTest(key=key[:40]):
                with self.assertRaises(KeyInvalid) as caught:
                    key_time_ms(key)
                self.assertEqual(caught.exception.reason, "key-without-time")

    def test_spellings_of_one_key_are_one_key(self) -> None:
        """Guards against a second run of a key that is retried in another letter case."""
        key = generate_uuid7(5, random.Random(1))
        self.assertEqual(normalize(key.upper()), key)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.integers(0, MAX_TIME_MS), st.integers(0, 1 << 32))
    def test_minted_keys_carry_their_time(self, wall_ms: int, seed: int) -> None:
        """Guards against minted keys that the holders read with another time."""
        self.assertEqual(key_time_ms(generate_uuid7(wall_ms, random.Random(seed))), wall_ms)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(max_size=40))
    def test_any_text_gives_a_time_or_a_typed_error(self, key: str) -> None:
        """Guards against a caller that raises an untyped error with a strange key."""
        try:
            key_time_ms(key)
        except KeyInvalid:
            pass
