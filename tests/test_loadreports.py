"""Tests of load reports and of calls under slot leases."""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

import trio

from knapweedhitch.direct import Direct
from knapweedhitch.exceptions import NoLease, Outcome, Refusal, UpstreamFailed
from knapweedhitch.loadreports import REMOTE_INTERVALS, LoadReports
from knapweedhitch.messages import LeaseRevoke, LoadReport
from knapweedhitch.model import Address, CallResult, LoadSample, Target, UpstreamRecord, Warmth
from knapweedhitch.settings import RoutingSettings
from tests.fake_net import Node, StaticMembership, running_nodes
from tests.test_forward import Body, FakeServices, Sink, make_spec
from tests.test_peers import run_on_mock_clock

UPSTREAM = UpstreamRecord("s", Address("127.0.0.1", 1), 9, 220, "i", 1)


class Decisions(FakeServices):
    """Fake admission, picker, slot leases and pool, and record the calls to them."""

    def __init__(self) -> None:
        super().__init__()
        self.in_flight = 0
        self.slowdown = 1.0
        self.held: list[int] = []
        self.granted_ids: list[tuple[str, int]] = []
        self.returned: list[tuple[int, bool, CallResult]] = []
        self.use_notices: list[int] = []
        self.call_s = 0.0
        self.can_retain = self.can_renew = False
        self.renewals: list[tuple[str, int, CallResult]] = []
        self.withdrawals: list[int] = []
        self.released: list[int] = []
        self.next_result: CallResult | Refusal = CallResult(True, 2.0, 200)

    def load(self) -> LoadSample:
        """Return a load sample with the configured calls in flight."""
        return LoadSample(self.in_flight, 0, 9, 4.0, Warmth.WARM, slowdown=self.slowdown)

    def grant_leases(self, peer_id: str, wanted: int) -> list[int]:
        """Grant all wanted leases."""
        ids = [len(self.granted_ids) + k + 1 for k in range(wanted)]
        self.granted_ids += [(peer_id, k) for k in ids]
        return ids

    def record_lease_return(self, lease_id: int, used: bool, result: CallResult) -> None:
        """Record a returned lease."""
        self.returned.append((lease_id, used, result))

    def record_lease_use(self, lease_id: int) -> None:
        """Record the notice of a long call."""
        self.use_notices.append(lease_id)

    def on_revoke(self, fn: Any) -> None:
        """Ignore the revocation callback."""

    def acquire(self, instance_id: str) -> int | None:
        """Acquire a held lease."""
        return self.held.pop(0) if self.held else None

    def release(self, instance_id: str, lease_id: int, *, used: bool) -> bool:
        """Record a released lease."""
        self.released.append(lease_id)
        return False

    def retain(self, instance_id: str, lease_id: int) -> bool:
        """Keep a used lease if the test allows it."""
        if self.can_retain:
            self.held.append(lease_id)
        return self.can_retain

    def record_renewal(
        self, instance_id: str, lease_id: int, lifetime_ms: float, sent_ms: float
    ) -> None:
        """Do nothing; the lease is already held."""

    def record_withdrawal(self, instance_id: str, lease_id: int) -> bool:
        """Remove a lease that was not renewed."""
        self.withdrawals.append(lease_id)
        self.held.remove(lease_id)
        return True

    def renew_lease(self, peer_id: str, lease_id: int, result: CallResult) -> bool:
        """Renew a lease if the test allows it."""
        self.renewals.append((peer_id, lease_id, result))
        return self.can_renew

    def record_request(self, instance_id: str) -> float:
        """Return the time of a request."""
        return trio.current_time() * 1_000

    def record_grant(
        self, instance_id: str, ids: tuple[int, ...], lifetime_ms: float, sent_ms: float
    ) -> tuple[int, ...]:
        """Add granted leases."""
        self.held += ids
        return ()

    def revoke(self, instance_id: str) -> tuple[int, ...]:
        """Remove all leases and return their ids."""
        dropped, self.held = tuple(self.held), []
        return dropped

    def wanted_count(self, instance_id: str) -> int:
        """Return one unless a lease is held."""
        return 0 if self.held else 1

    async def exchange(self, address: Address, call: Any, body: Any, sink: Any) -> CallResult:
        """Return the prepared result, as a pool does."""
        await trio.sleep(self.call_s)
        if isinstance(self.next_result, Refusal):
            raise self.next_result
        return self.next_result


@dataclasses.dataclass
class Own:
    """Represent the record of a node itself."""

    upstream: UpstreamRecord = UPSTREAM
    started_wall_ms: int = 1_000
    domain: str = "d1"


class Members(StaticMembership):
    """Provide a membership in which node n1 has an upstream."""

    own_member = Own()

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the only target."""
        return (Target("n1", "d", UPSTREAM),)

    def members(self) -> dict[str, Own]:
        """Return the members, of which n0 is in another domain than n1."""
        return {"n0": Own(domain="d0"), "n4": Own(domain="d1")}


def prepare(node: Node) -> None:
    """Add the fakes and the services under test."""
    fake = Decisions()
    for name in ("admission", "picker", "slotlease", "pool"):
        node.add(name, fake)
    node.kernel._services["membership"] = Members(1_100)
    node.add("loadreports", LoadReports(node.kernel))
    node.add("direct", Direct(node.kernel))


def fake(node: Node) -> Decisions:
    """Return the fakes of a node."""
    fakes: Decisions = node.kernel.get("admission")
    return fakes


class LoadReportTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_reports_reach_users_only_and_only_on_change(self) -> None:
        """Guards against reports to nodes that do not use the target or already know its load."""
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
    async def test_changes_of_load_reach_other_domains_less_often(self) -> None:
        """Guards against bytes between failure domains for each call that starts or ends, and
        against a node there that learns late that a target has become slow.
        """
        routing = RoutingSettings(measure_budget_bytes_per_s=50_000)
        async with running_nodes(2, prepare=prepare, routing=routing) as (_, b):
            reports, admission = b.kernel.get("loadreports"), fake(b)
            sent: list[str] = []
            b.peers.send = lambda node_id, msg: sent.append(node_id)  # type: ignore[method-assign]
            for node_id in ("n0", "n4"):
                reports.record_interest(node_id)
            interval_ms = b.kernel.cfg.routing.report_interval_ms
            for i in range(40):
                admission.in_flight = i % 5 * 9
                await trio.sleep(2 * interval_ms / 1_000)
            self.assertGreater(sent.count("n4"), 35)
            self.assertAlmostEqual(sent.count("n0"), 80 / REMOTE_INTERVALS, delta=4)
            sent.clear()
            admission.slowdown = 4.0
            await trio.sleep(2 * interval_ms / 1_000)
            self.assertEqual(sorted(sent), ["n0", "n4"])

    @run_on_mock_clock
    async def test_budget_holds_while_a_thousand_users_churn(self) -> None:
        """Guards against reports that exceed the byte budget, and nodes that get none."""
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
        """Guards against an older report that arrives late and replaces a newer one."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            sample = fake(b).load()
            for sequence in (5, 4, 5, 6):
                b.peers.send("n0", LoadReport("i", sequence, sample))
                await trio.sleep(0.1)
            self.assertEqual(len(fake(a).observed), 2)
            self.assertEqual(a.counters.get("load_reports_late"), 2)

    @run_on_mock_clock
    async def test_reports_of_a_restarted_node_are_used(self) -> None:
        """Guards against a node whose reports count as late for as long as it ran before its
        restart, because its upstream kept its id.
        """
        # n2 stands for the process of n1 after its restart, beside the same upstream.
        async with running_nodes(3, prepare=prepare) as (a, before, after):
            after.kernel.get("membership").own_member = Own(started_wall_ms=60_000)
            received = []
            for sender, count in ((before, 40), (after, 1)):
                for _ in range(count):
                    sender.kernel.get("loadreports").record_interest("n0")
                    fake(sender).in_flight = 9 - fake(sender).in_flight
                    await trio.sleep(0.5)
                received.append(len(fake(a).observed))
            self.assertEqual(received, [40, 41])


class DirectTest(unittest.TestCase):
    async def run_call(self, node: Node) -> Any:
        """Run one call and return its result or error."""
        try:
            return await node.kernel.get("direct").execute("n1", make_spec(), Body(), Sink())
        except (NoLease, Refusal) as exc:
            return exc
        finally:
            await trio.sleep(0.1)

    @run_on_mock_clock
    async def test_lease_is_requested_used_and_returned(self) -> None:
        """Guards against a call without a lease, and a used lease that is not returned."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            self.assertIsInstance(await self.run_call(a), NoLease)
            self.assertEqual(fake(a).held, [1])
            self.assertEqual(await self.run_call(a), CallResult(True, 2.0, 200))
            self.assertEqual(fake(b).returned, [(1, True, CallResult(True, 2.0, 200))])
            self.assertEqual(fake(a).released, [1])
            self.assertEqual(fake(b).use_notices, [])

    @run_on_mock_clock
    async def test_long_use_is_reported_before_the_lease_ends(self) -> None:
        """Guards against reassigning a slot while a long call still uses it."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            fake(a).held, fake(a).call_s = [7], 10.0
            with trio.move_on_after(0.25):
                await self.run_call(a)
            await trio.sleep(0.1)
            self.assertEqual(fake(b).use_notices, [7])
            # The lease of the cancelled call counts as used, since its outcome is unknown.
            self.assertEqual([(r[0], r[1]) for r in fake(b).returned], [(7, True)])

    @run_on_mock_clock
    async def test_lease_is_renewed_by_use_or_returned_unused(self) -> None:
        """Guards against counting a result twice, and keeping a lease that was not renewed."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            fake(a).held, fake(a).can_retain, fake(b).can_renew = [7], True, True
            good = CallResult(True, 2.0, 200)
            for _ in range(2):
                self.assertEqual(await self.run_call(a), good)
            self.assertEqual(fake(b).renewals, 2 * [("n0", 7, good)])
            self.assertEqual((fake(b).returned, fake(a).held), ([], [7]))
            fake(b).can_renew = False
            await self.run_call(a)
            self.assertEqual(fake(a).withdrawals, [7])
            self.assertEqual([(r[0], r[1]) for r in fake(b).returned], [(7, False)])

    @run_on_mock_clock
    async def test_failed_or_long_use_is_not_renewed(self) -> None:
        """Guards against reusing a lease that still counts as used at its node."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            fake(a).can_retain = fake(b).can_renew = True
            fake(a).held, fake(a).next_result = [7], CallResult(False, 2.0, 500)
            await self.run_call(a)
            fake(a).held, fake(a).next_result = [8], CallResult(True, 130.0, 200)
            fake(a).call_s = 0.13
            await self.run_call(a)
            self.assertEqual(fake(b).renewals, [])
            self.assertEqual([(r[0], r[1]) for r in fake(b).returned], [(7, True), (8, True)])
            self.assertEqual(fake(b).use_notices, [8])

    @run_on_mock_clock
    async def test_return_reports_whether_the_slot_was_used(self) -> None:
        """Guards against reporting a failed call as unused, or an unused lease as used."""
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
        """Guards against calls to an upstream that turned cold after it granted leases."""
        async with running_nodes(2, prepare=prepare) as (a, b):
            await self.run_call(a)
            b.kernel.get("direct").revoke(("n0",))
            await trio.sleep(0.1)
            self.assertIsInstance(await self.run_call(a), NoLease)
            self.assertEqual(a.counters.get("lease_revokes"), 1)
            a.peers.send("n1", LeaseRevoke("i"))
            await trio.sleep(0.1)
            self.assertEqual(b.counters.get("lease_revokes"), 1)
