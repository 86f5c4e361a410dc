"""Tests of slot leases at the holding node."""

from __future__ import annotations

import trio

from knapweedhitch.slotlease import SlotLeases
from tests.decision_fakes import TrioTestCase, kernel


class SlotLeasesTest(TrioTestCase):
    async def test_lifetime_counts_from_the_request(self) -> None:
        """Guards against using a lease that its node has reassigned because the grant was slow."""
        leases = SlotLeases(kernel())
        sent_ms = leases.record_request("i1")
        await trio.sleep(0.19)
        leases.record_grant("i1", (1, 2), 250.0, sent_ms)
        self.assertEqual(leases.acquire("i1"), 1)
        await trio.sleep(0.02)
        self.assertIsNone(leases.acquire("i1"))

    async def test_revoked_and_returned_leases_are_not_used_again(self) -> None:
        """Guards against calls under revoked leases, and against two calls under one lease."""
        leases = SlotLeases(kernel())
        leases.record_grant("i1", (1, 2), 250.0, leases.record_request("i1"))
        self.assertEqual(leases.acquire("i1"), 1)
        self.assertTrue(leases.release("i1", 1, used=False))
        self.assertFalse(leases.release("i1", 1, used=False))
        self.assertEqual(leases.acquire("i1"), 2)
        self.assertEqual(leases.revoke("i1"), (1,))
        self.assertIsNone(leases.acquire("i1"))
        self.assertFalse(leases.release("i1", 2, used=True))

    async def test_grant_that_comes_after_its_revocation_is_not_used(self) -> None:
        """Guards against calls to an upstream that has turned cold, under leases that it granted
        before and whose grant arrived after their revocation.
        """
        leases = SlotLeases(kernel())
        sent_ms = leases.record_request("i1")
        await trio.sleep(0.01)
        self.assertEqual(leases.revoke("i1"), ())
        refused_ids = leases.record_grant("i1", (1, 2), 250.0, sent_ms)
        self.assertIsNone(leases.acquire("i1"))
        self.assertEqual(refused_ids, (1, 2))
        await trio.sleep(0.3)
        self.assertEqual(leases.record_grant("i1", (3,), 250.0, leases.record_request("i1")), ())
        self.assertEqual(leases.acquire("i1"), 3)

    async def test_retained_lease_ends_with_its_lifetime_unless_renewed(self) -> None:
        """Guards against using a lease after its lifetime, when its node may have reassigned it."""
        leases = SlotLeases(kernel())
        leases.record_grant("i1", (1, 2), 250.0, leases.record_request("i1"))
        self.assertEqual((leases.acquire("i1"), leases.acquire("i1")), (1, 2))
        await trio.sleep(0.1)
        sent_ms = trio.current_time() * 1_000
        self.assertTrue(leases.retain("i1", 1))
        self.assertTrue(leases.retain("i1", 2))
        self.assertFalse(leases.retain("i1", 2))
        leases.record_renewal("i1", 2, 250.0, sent_ms)
        await trio.sleep(0.11)
        self.assertEqual(leases.acquire("i1"), 2)
        self.assertIsNone(leases.acquire("i1"))
        await trio.sleep(0.1)
        self.assertFalse(leases.retain("i1", 2))

    async def test_withdrawn_lease_is_not_used_again(self) -> None:
        """Guards against a call under a lease that its node did not renew or has revoked."""
        for withdraw in (
            lambda leases: leases.record_withdrawal("i1", 1),
            lambda leases: leases.revoke("i1"),
        ):
            leases = SlotLeases(kernel())
            leases.record_grant("i1", (1, 2), 250.0, leases.record_request("i1"))
            self.assertEqual(leases.acquire("i1"), 1)
            withdraw(leases)
            leases.record_renewal("i1", 1, 250.0, trio.current_time() * 1_000)
            self.assertFalse(leases.retain("i1", 1))
            self.assertFalse(leases.release("i1", 1, used=False))
        leases = SlotLeases(kernel())
        leases.record_grant("i1", (3,), 250.0, leases.record_request("i1"))
        self.assertTrue(leases.record_withdrawal("i1", 3))
        self.assertFalse(leases.record_withdrawal("i1", 3))
        self.assertEqual(leases.usable_count("i1"), 0)

    async def test_granted_leases_are_not_requested_again(self) -> None:
        """Guards against requests beyond the limit; a refusal stops all requests for a lifetime."""
        leases = SlotLeases(kernel())
        for _ in range(3):
            leases.acquire("i1")
        leases.record_grant("i1", (1, 2), 250.0, leases.record_request("i1"))
        leases.acquire("i1")
        self.assertEqual(leases.wanted_count("i1"), 0)
        leases.acquire("i1")
        self.assertEqual(leases.wanted_count("i1"), 0)

    async def test_wanted_count_follows_recent_use(self) -> None:
        """Guards against idle nodes that hold leases, and against repeated requests."""
        leases = SlotLeases(kernel())
        self.assertEqual(leases.wanted_count("i1"), 0)
        for _ in range(5):
            leases.acquire("i1")
        self.assertEqual(leases.wanted_count("i1"), 2)
        sent_ms = leases.record_request("i1")
        self.assertEqual(leases.wanted_count("i1"), 0)
        leases.record_grant("i1", (), 250.0, sent_ms)
        self.assertEqual(leases.wanted_count("i1"), 0)
        await trio.sleep(0.6)
        self.assertEqual(leases.wanted_count("i1"), 0)
        leases.acquire("i1")
        self.assertEqual(leases.wanted_count("i1"), 1)
