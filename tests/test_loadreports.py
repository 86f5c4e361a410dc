"""Tests of load reports and of calls under slot leases."""

from __future__ import annotations

import unittest
from typing import Any

import trio

from knapweedhitch.direct import Direct
from knapweedhitch.exceptions import NoLease, Outcome, Refusal, UpstreamFailed
from knapweedhitch.loadreports import LoadReports
from knapweedhitch.messages import LeaseRevoke, LoadReport
from knapweedhitch.model import Address, CallResult, LoadSample, Target, UpstreamRecord, Warmth
from tests.fake_net import Node, StaticMembership, running_nodes
from tests.test_forward import Body, Services, Sink, spec
from tests.test_peers import run_on_mock_clock

UPSTREAM = UpstreamRecord("s", Address("127.0.0.1", 1), 9, 220, "i", 1)


class Decisions(Services):
    """Stand for admission, picker, slot leases and pool; notes what it is told."""

    def __init__(self) -> None:
        super().__init__()
        self.in_flight = 0
        self.held: list[int] = []
        self.granted_ids: list[tuple[str, int]] = []
        self.returned: list[tuple[int, bool, CallResult]] = []
        self.long_uses: list[int] = []
        self.call_s = 0.0
        self.keeps = self.renews = False
        self.renewals: list[tuple[str, int, CallResult]] = []
        self.withdrawals: list[int] = []
        self.given_back: list[int] = []
        self.next_result: CallResult | Refusal = CallResult(True, 2.0, 200)

    def load(self) -> LoadSample:
        """Return a sample of the current count."""
        return LoadSample(self.in_flight, 0, 9, 4.0, Warmth.WARM)

    def grant_leases(self, peer_id: str, wanted: int) -> list[int]:
        """Grant what is wanted."""
        ids = [len(self.granted_ids) + k + 1 for k in range(wanted)]
        self.granted_ids += [(peer_id, k) for k in ids]
        return ids

    def record_lease_return(self, lease_id: int, used: bool, result: CallResult) -> None:
        """Note a return."""
        self.returned.append((lease_id, used, result))

    def record_lease_use(self, lease_id: int) -> None:
        """Note a long use."""
        self.long_uses.append(lease_id)

    def on_revoke(self, fn: Any) -> None:
        """Take the function that revokes leases."""

    def acquire(self, instance_id: str) -> int | None:
        """Use a lease."""
        return self.held.pop(0) if self.held else None

    def release(self, instance_id: str, lease_id: int, *, used: bool) -> bool:
        """Note the end of a use."""
        self.given_back.append(lease_id)
        return False

    def retain(self, instance_id: str, lease_id: int) -> bool:
        """Hold a used lease again if the test says so."""
        if self.keeps:
            self.held.append(lease_id)
        return self.keeps

    def record_renewal(self, instance_id: str, lease_id: int, life_ms: float, at: float) -> None:
        """Hold a lease for longer; it is held already."""

    def record_withdrawal(self, instance_id: str, lease_id: int) -> bool:
        """Drop a lease."""
        self.withdrawals.append(lease_id)
        self.held.remove(lease_id)
        return True

    def renew_lease(self, peer_id: str, lease_id: int, result: CallResult) -> bool:
        """Renew a lease if the test says so."""
        self.renewals.append((peer_id, lease_id, result))
        return self.renews

    def record_request(self, instance_id: str) -> float:
        """Return the moment of a request."""
        return trio.current_time() * 1_000

    def record_grant(
        self, instance_id: str, ids: tuple[int, ...], life_ms: float, at: float
    ) -> None:
        """Hold leases."""
        self.held += ids

    def revoke(self, instance_id: str) -> tuple[int, ...]:
        """Drop the leases."""
        dropped, self.held = tuple(self.held), []
        return dropped

    def wanted_count(self, instance_id: str) -> int:
        """Want one lease."""
        return 0 if self.held else 1

    async def exchange(self, address: Address, call: Any, body: Any, sink: Any) -> CallResult:
        """Answer like a pool."""
        await trio.sleep(self.call_s)
        if isinstance(self.next_result, Refusal):
            raise self.next_result
        return self.next_result


class Members(StaticMembership):
    """A membership in which the node n1 has an upstream."""

    own_member = type("Own", (), {"upstream": UPSTREAM})

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the one target."""
        return (Target("n1", "d", UPSTREAM),)


def prepare(node: Node) -> None:
    """Add the fakes and both services."""
    fake = Decisions()
    for name in ("admission", "picker", "slotlease", "pool"):
        node.add(name, fake)
    node.kernel._services["membership"] = Members(1_100)
    node.add("loadreports", LoadReports(node.kernel))
    node.add("direct", Direct(node.kernel))


def fake(node: Node) -> Decisions:
    """Return the fakes of a node."""
    found: Decisions = node.kernel.get("admission")
    return found


class LoadReportTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_reports_reach_users_only_and_only_on_change(self) -> None:
        """Guards against reports to nodes that do not use the target or know its load already."""
        async with running_nodes(3, prepare=prepare) as (a, b, c):
            reports = b.kernel.get("loadreports")
            reports.record_interest("n0")
            for i in range(50):
                fake(b).in_flight = 9 if i >= 25 else 0
                await trio.sleep(0.1)
            self.assertEqual(len(fake(a).observed), 2)
            self.assertEqual(fake(c).observed, [])
            self.assertGreater(b.counters.get("load_reports_suppressed", "no-change"), 10)
            await trio.sleep(11)
            fake(b).in_flight = 0
            await trio.sleep(1)
            self.assertEqual(len(fake(a).observed), 2)

    @run_on_mock_clock
    async def test_budget_holds_while_a_thousand_users_churn(self) -> None:
        """Guards against measuring that costs more than its budget, and users that starve."""
        async with running_nodes(2, prepare=prepare) as (_, b):
            reports = b.kernel.get("loadreports")
            sent: set[str] = set()
            b.peers.send = lambda node_id, msg: sent.add(node_id)  # type: ignore[method-assign]
            for i in range(1_000):
                for k in range(i % 50, 1_000, 50):
                    reports.record_interest(f"u{k}")
                fake(b).in_flight = i % 2 * 9
                await trio.sleep(0.1)
            used = b.counters.get("load_report_bytes")
            budget = b.kernel.cfg.routing.measure_budget_bytes_per_s
            self.assertLessEqual(used, budget * (100 + 2))
            self.assertGreater(used, budget * 50)
            self.assertGreater(b.counters.get("load_reports_suppressed", "budget"), 100_000)
            self.assertGreater(len(sent), 300)

    @run_on_mock_clock
    async def test_late_report_is_dropped(self) -> None:
        """Guards against an older report that arrives later and wins."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            sample = fake(b).load()
            for sequence in (5, 4, 5, 6):
                b.peers.send("n0", LoadReport("i", sequence, sample))
                await trio.sleep(0.1)
            self.assertEqual(len(fake(a).observed), 2)
            self.assertEqual(a.counters.get("load_reports_late"), 2)


class DirectTest(unittest.TestCase):
    async def run_call(self, node: Node) -> Any:
        """Run one call and return its result or error."""
        try:
            return await node.kernel.get("direct").execute("n1", spec(), Body(), Sink())
        except (NoLease, Refusal) as exc:
            return exc
        finally:
            await trio.sleep(0.1)

    @run_on_mock_clock
    async def test_lease_is_asked_used_and_returned(self) -> None:
        """Guards against a call without a lease and a lease that is used without a return."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            self.assertIsInstance(await self.run_call(a), NoLease)
            self.assertEqual(fake(a).held, [1])
            self.assertEqual(await self.run_call(a), CallResult(True, 2.0, 200))
            self.assertEqual(fake(b).returned, [(1, True, CallResult(True, 2.0, 200))])
            self.assertEqual(fake(a).given_back, [1])
            self.assertEqual(fake(b).long_uses, [])

    @run_on_mock_clock
    async def test_long_use_is_told_before_the_lease_ends(self) -> None:
        """Guards against a slot that is given to another call while a long one still uses it."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            fake(a).held, fake(a).call_s = [7], 10.0
            with trio.move_on_after(0.25):
                await self.run_call(a)
            await trio.sleep(0.1)
            self.assertEqual(fake(b).long_uses, [7])
            # The cancelled call counts as used, since its outcome is not known.
            self.assertEqual([(r[0], r[1]) for r in fake(b).returned], [(7, True)])

    @run_on_mock_clock
    async def test_lease_is_renewed_by_use_or_goes_back_unused(self) -> None:
        """Guards against a result that is counted twice, and a refused lease that is kept."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            fake(a).held, fake(a).keeps, fake(b).renews = [7], True, True
            good = CallResult(True, 2.0, 200)
            for _ in range(2):
                self.assertEqual(await self.run_call(a), good)
            self.assertEqual(fake(b).renewals, 2 * [("n0", 7, good)])
            self.assertEqual((fake(b).returned, fake(a).held), ([], [7]))
            fake(b).renews = False
            await self.run_call(a)
            self.assertEqual(fake(a).withdrawals, [7])
            self.assertEqual([(r[0], r[1]) for r in fake(b).returned], [(7, False)])

    @run_on_mock_clock
    async def test_failed_or_long_use_is_not_renewed(self) -> None:
        """Guards against a lease that counts as used at its node while it is used again."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            fake(a).keeps = fake(b).renews = True
            fake(a).held, fake(a).next_result = [7], CallResult(False, 2.0, 500)
            await self.run_call(a)
            fake(a).held, fake(a).next_result = [8], CallResult(True, 130.0, 200)
            fake(a).call_s = 0.13
            await self.run_call(a)
            self.assertEqual(fake(b).renewals, [])
            self.assertEqual([(r[0], r[1]) for r in fake(b).returned], [(7, True), (8, True)])
            self.assertEqual(fake(b).long_uses, [8])

    @run_on_mock_clock
    async def test_return_tells_whether_the_slot_was_used(self) -> None:
        """Guards against a target that counts a failed call as unused, or the reverse."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
                fake(a).held = [7]
                fake(a).next_result = UpstreamFailed(outcome)
                self.assertIsInstance(await self.run_call(a), UpstreamFailed)
            self.assertEqual(
                [(used, result.ok) for _, used, result in fake(b).returned],
                [(False, False), (True, False)],
            )

    @run_on_mock_clock
    async def test_revoked_lease_is_not_used(self) -> None:
        """Guards against a call to an upstream that went cold after it granted leases."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            await self.run_call(a)
            b.kernel.get("direct").revoke(("n0",))
            await trio.sleep(0.1)
            self.assertIsInstance(await self.run_call(a), NoLease)
            self.assertEqual(a.counters.get("lease_revokes"), 1)
            a.peers.send("n1", LeaseRevoke("i"))
            await trio.sleep(0.1)
            self.assertEqual(b.counters.get("lease_revokes"), 1)
