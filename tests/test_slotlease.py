"""Tests of slot leases on the side that uses them."""

from __future__ import annotations

import trio

from knapweedhitch.slotlease import SlotLeases
from tests.decision_fakes import TrioTestCase, kernel


class SlotLeasesTest(TrioTestCase):
    async def test_lifetime_counts_from_the_request(self) -> None:
        """Guards against using a lease that its node gave to another one after a slow reply."""
        leases = SlotLeases(kernel())
        sent_ms = leases.requested("i1")
        await trio.sleep(0.19)
        leases.granted("i1", (1, 2), 250.0, sent_ms)
        self.assertEqual(leases.take("i1"), 1)
        await trio.sleep(0.02)
        self.assertIsNone(leases.take("i1"))

    async def test_revoked_and_returned_leases(self) -> None:
        """Guards against calls under withdrawn leases, and against one lease for two calls."""
        leases = SlotLeases(kernel())
        leases.granted("i1", (1, 2), 250.0, leases.requested("i1"))
        self.assertEqual(leases.take("i1"), 1)
        self.assertTrue(leases.give_back("i1", 1, used=False))
        self.assertFalse(leases.give_back("i1", 1, used=False))
        self.assertEqual(leases.take("i1"), 2)
        self.assertEqual(leases.revoke("i1"), (1,))
        self.assertIsNone(leases.take("i1"))
        self.assertFalse(leases.give_back("i1", 2, used=True))

    async def test_wanted_follows_recent_use(self) -> None:
        """Guards against leases that idle nodes hold, and against asking again and again."""
        leases = SlotLeases(kernel())
        self.assertEqual(leases.wanted("i1"), 0)
        for _ in range(5):
            leases.take("i1")
        self.assertEqual(leases.wanted("i1"), 2)
        sent_ms = leases.requested("i1")
        self.assertEqual(leases.wanted("i1"), 0)
        leases.granted("i1", (), 250.0, sent_ms)
        self.assertEqual(leases.wanted("i1"), 0)
        await trio.sleep(0.6)
        self.assertEqual(leases.wanted("i1"), 0)
        leases.take("i1")
        self.assertEqual(leases.wanted("i1"), 1)
