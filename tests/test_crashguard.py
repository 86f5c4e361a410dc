"""Tests of the guard against requests that crash their upstreams, with fake upstreams."""

from __future__ import annotations

import contextlib
import random
import unittest
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import logbook
import trio

from knapweedhitch.crashguard import CrashGuard, GuardKey
from knapweedhitch.exceptions import (
    Outcome,
    Refusal,
    RequestQuarantined,
    SuspectWaits,
    UpstreamFailed,
    UpstreamUnreachable,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.model import (
    UNKNOWN_INCARNATION,
    Address,
    CallResult,
    UpstreamEnd,
    UpstreamRecord,
    UpstreamState,
)
from knapweedhitch.suspects import MANY_ENDS
from knapweedhitch.suspectsharing import SuspectSharing
from tests.fake_net import MemoryNet, Node, running_nodes
from tests.test_forward import Body, Sink, make_spec
from tests.test_peers import run_on_mock_clock

CRASH_AFTER_S = 0.05
RUN_S = 0.15
OK = CallResult(True, RUN_S * 1_000, 200)


class FakeUpstream:
    """Run calls as the pool of one node; a deadly target ends it after CRASH_AFTER_S."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.starts = 1
        self.ends = 0
        self.deadly: set[bytes] = set()
        self.arrivals: list[bytes] = []
        self.is_alive = True
        # How long a connection takes to time out, zero if it is accepted or refused at once.
        self.connect_s = 0.0
        self._ended = trio.Event()

    @property
    def record(self) -> UpstreamRecord:
        """Return the announcement of the upstream."""
        address = Address("127.0.0.1", 9_000 + self.index)
        return UpstreamRecord("s", address, 9, 9, f"i{self.index}", self.starts)

    def crash(self) -> None:
        """End the process of the upstream."""
        self.is_alive = False
        self.ends += 1
        self._ended.set()

    def restart(self) -> None:
        """Start the upstream again."""
        self.is_alive, self._ended = True, trio.Event()
        self.starts += 1

    async def refuses_connections(self, address: Address) -> bool:
        await trio.sleep(self.connect_s)
        return not self.is_alive and not self.connect_s

    async def exchange(
        self, address: Address, spec: CallSpec, body: Any, sink: Any, load: Any
    ) -> CallResult:
        if not self.is_alive:
            await trio.sleep(self.connect_s)
            raise UpstreamUnreachable(Outcome.NOT_RUN)
        received = b""
        while spec.has_body and (part := await body.receive()) is not None:
            received += part
        self.arrivals.append(spec.target + received)
        if spec.target == b"/broken":
            raise UpstreamFailed(Outcome.UNKNOWN)
        if self.deadly & {spec.target, spec.target + received}:
            await trio.sleep(CRASH_AFTER_S)
            self.crash()
        with trio.move_on_after(RUN_S):
            await self._ended.wait()
            raise UpstreamFailed(Outcome.UNKNOWN)
        return OK

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class Cluster:
    """Describe running nodes, each with a guard and a fake upstream."""

    def __init__(self, nodes: list[Node], net: MemoryNet) -> None:
        self.nodes = nodes
        self.net = net
        self.guards: list[CrashGuard] = [n.kernel.get("crashguard") for n in nodes]
        self.upstreams: list[FakeUpstream] = [n.kernel.get("pool") for n in nodes]
        self.results: list[CallResult | Refusal] = []

    @property
    def ends(self) -> int:
        """Return the ends of all upstreams."""
        return sum(upstream.ends for upstream in self.upstreams)

    def set_deadly(self, *targets: bytes) -> None:
        """Let targets end every upstream."""
        for upstream in self.upstreams:
            upstream.deadly = set(targets)

    async def call(
        self, index: int, target: bytes, body: bytes = b"", method: str = "GET"
    ) -> CallResult | Refusal:
        """Run one call at a node and return its result or refusal."""
        guard, upstream = self.guards[index], self.upstreams[index]
        spec = make_spec(bool(body), 3_000)
        fields = {name: getattr(spec, name) for name in spec.__dataclass_fields__}
        spec = CallSpec(**fields | {"target": target, "method": method})
        result: CallResult | Refusal
        try:
            run = await guard.admit(spec, Body(body) if body else Body())
            try:
                result = await guard.exchange(
                    run, upstream.record, spec, run.body, Sink(), lambda: None
                )
            finally:
                guard.release(run)
        except Refusal as exc:
            result = exc
        self.results.append(result)
        return result

    async def call_all(self, *calls: tuple[int, bytes]) -> list[CallResult | Refusal]:
        """Run calls at the same time and return their results."""
        results: dict[int, CallResult | Refusal] = {}

        async def run(position: int, index: int, target: bytes) -> None:
            results[position] = await self.call(index, target)

        async with trio.open_nursery() as nursery:
            for position, (index, target) in enumerate(calls):
                nursery.start_soon(run, position, index, target)
        return [results[position] for position in range(len(calls))]


def prepare(node: Node) -> None:
    """Add the guard, its fakes and the announcement of the upstream to a node."""
    index = int(node.node_id[1:])
    upstream = node.add("pool", FakeUpstream(index))
    members = {f"n{i}": SimpleNamespace(is_control=False) for i in range(6)}
    node.kernel.get("membership").members = lambda: members
    announce = SimpleNamespace(current=upstream.record, start=trio.lowlevel.checkpoint)
    node.add("announce", announce)
    node.add("suspects", SuspectSharing(node.kernel, random.Random(index)))
    node.add("crashguard", CrashGuard(node.kernel))


@contextlib.asynccontextmanager
async def running_cluster(count: int = 5) -> AsyncIterator[Cluster]:
    """Run nodes with their guards."""
    net = MemoryNet()
    async with running_nodes(count, net, prepare) as nodes:
        yield Cluster(nodes, net)


class GuardTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_a_deadly_request_is_refused_by_every_node_after_two_ends(self) -> None:
        """Guards against a request that comes back to other nodes and ends one upstream each."""
        async with running_cluster() as cluster:
            cluster.set_deadly(b"/bad")
            for index in range(2):
                await cluster.call_all((index, b"/bad"), (index, b"/a%d" % index))
                await trio.sleep(0.1)
            self.assertEqual(cluster.ends, 2)
            for index in range(5):
                refusal = await cluster.call(index, b"/bad")
                assert isinstance(refusal, RequestQuarantined)
                self.assertIs(refusal.outcome, Outcome.NOT_RUN)
                self.assertGreater(refusal.retry_after_ms, 50_000)
                key = GuardKey("s", "", "GET", b"/bad", False)
                self.assertIsInstance(cluster.guards[index].refusal_of(key), RequestQuarantined)
            self.assertEqual(cluster.ends, 2)
            self.assertIs(await cluster.call(3, b"/a0"), OK)

    @run_on_mock_clock
    async def test_companions_are_cleared_by_their_success(self) -> None:
        """Guards against a request that is suspected by all nodes after it ran well."""
        async with running_cluster() as cluster:
            cluster.set_deadly(b"/bad")
            await cluster.call_all((0, b"/bad"), (0, b"/a"), (0, b"/b"))
            await trio.sleep(0.1)
            self.assertEqual([len(g.table.suspects()) for g in cluster.guards], [3] * 5)
            self.assertEqual(await cluster.call_all((1, b"/a"), (2, b"/b")), [OK, OK])
            await trio.sleep(0.1)
            self.assertEqual([len(g.table.suspects()) for g in cluster.guards], [1] * 5)

    @run_on_mock_clock
    async def test_success_lifts_the_verdict_on_a_frequent_request(self) -> None:
        """Guards against a request that all nodes refuse since it ran at upstreams that failed
        together, although it succeeds at others.
        """
        async with running_cluster() as cluster:
            async with trio.open_nursery() as nursery:
                for index in range(4):
                    nursery.start_soon(cluster.call, index, b"/frequent")
                await trio.sleep(RUN_S / 2)
                for upstream in cluster.upstreams[:3]:
                    upstream.crash()
            await trio.sleep(0.1)
            self.assertEqual([g.table.verdicts() for g in cluster.guards], [[]] * 5)
            self.assertEqual(await cluster.call(4, b"/frequent"), OK)

    @run_on_mock_clock
    async def test_evidence_is_sent_a_limited_number_of_times(self) -> None:
        """Guards against nodes that pass on what they know already, which filled all links."""
        async with running_cluster() as cluster:
            cluster.set_deadly(b"/bad")
            await cluster.call_all((0, b"/bad"), (0, b"/a"))
            await trio.sleep(0.1)
            await cluster.call(1, b"/a")
            await trio.sleep(10.0)
            for name in ("UpstreamEnded", "RequestCleared"):
                sent = sum(node.counters.get("evidence_sent", name) for node in cluster.nodes)
                # Each of five nodes tells the other ones once, and two that do not run.
                self.assertLessEqual(sent, 5 * 5)

    @run_on_mock_clock
    async def test_suspects_run_one_after_another_at_an_upstream(self) -> None:
        """Guards against suspects that end the next upstream together, which tells nothing."""
        async with running_cluster() as cluster:
            cluster.set_deadly(b"/bad")
            await cluster.call_all((0, b"/bad"), (0, b"/a"), (0, b"/b"))
            await trio.sleep(0.1)
            await cluster.call_all((1, b"/a"), (1, b"/bad"), (1, b"/b"))
            await trio.sleep(0.1)
            for guard in cluster.guards:
                self.assertEqual(len(guard.table.verdicts()), 1)
                self.assertEqual(dict(guard.table.suspects()), {})
            # Whichever comes first, the deadly one was alone.
            self.assertEqual(cluster.upstreams[1].arrivals[-1], b"/bad")
            self.assertEqual(cluster.ends, 2)

    @run_on_mock_clock
    async def test_a_suspect_waits_for_a_call_that_has_become_one(self) -> None:
        """Guards against two suspects at the next end, one of which was in progress before."""
        async with running_cluster() as cluster, trio.open_nursery() as nursery:
            cluster.set_deadly(b"/bad")
            nursery.start_soon(cluster.call_all, (0, b"/bad"), (0, b"/a"))
            await trio.sleep(0.04)
            nursery.start_soon(cluster.call, 1, b"/bad")
            await trio.sleep(0.03)
            self.assertEqual(cluster.ends, 1)
            await cluster.call(1, b"/a")
            await trio.sleep(0.1)
            self.assertEqual(cluster.upstreams[1].arrivals, [b"/bad"])
            (verdict,) = cluster.guards[2].table.verdicts()
            self.assertEqual(len(verdict.ends), 2)

    @run_on_mock_clock
    async def test_a_suspect_waits_for_a_limited_time(self) -> None:
        """Guards against calls that wait for their deadline behind a suspect that hangs."""
        async with running_cluster() as cluster:
            cluster.set_deadly(b"/bad")
            await cluster.call_all((0, b"/bad"), (0, b"/a"))
            await trio.sleep(0.1)
            guard = cluster.guards[1]
            spec = make_spec()
            fields = {name: getattr(spec, name) for name in spec.__dataclass_fields__}
            hanging = await guard.admit(
                CallSpec(**fields | {"target": b"/a", "method": "GET"}), Body()
            )
            started_s = trio.current_time()
            self.assertIsInstance(await cluster.call(1, b"/bad"), SuspectWaits)
            waited_ms = (trio.current_time() - started_s) * 1_000
            self.assertAlmostEqual(waited_ms, guard._cfg.turn_wait_ms, delta=1)
            guard.release(hanging)

    @run_on_mock_clock
    async def test_bodies_tell_requests_apart(self) -> None:
        """Guards against requests that are refused for the body of another one."""
        async with running_cluster() as cluster:
            cluster.set_deadly(b"/pay" + b"bad")
            for index in range(2):
                await cluster.call(index, b"/pay", b"bad", "POST")
                await trio.sleep(0.1)
            self.assertIs(await cluster.call(2, b"/pay", b"good", "POST"), OK)
            refused = await cluster.call(2, b"/pay", b"bad", "POST")
            self.assertIsInstance(refused, RequestQuarantined)
            self.assertEqual(cluster.upstreams[2].arrivals, [b"/paygood"])

    @run_on_mock_clock
    async def test_each_verdict_is_logged_when_it_comes_and_goes(self) -> None:
        """Guards against a verdict that no line tells, here one that a clearance brings about."""
        async with running_cluster(1) as cluster:
            sharing = cluster.guards[0].sharing
            bad, other = (bytes([n]) * 16 for n in (1, 2))
            with logbook.TestHandler() as handler:
                for n in range(2):
                    sharing.publish_end(UpstreamEnd("s", f"i{n}", 1, (bad, other)))
                self.assertFalse(any("request_quarantined" in r.message for r in handler.records))
                sharing.publish_cleared(other, "succeeded")
                sharing.publish_end(UpstreamEnd("s", "i9", 1, ()))
            lines = [r.message for r in handler.records]
            (quarantined,) = [line for line in lines if "event=request_quarantined" in line]
            for part in (f"request={bad.hex()}", "common-to-two", "i0:0,i1:0", "refused_ms=60000"):
                self.assertIn(part, quarantined)
            self.assertTrue(any(f"verdict_dropped request={bad.hex()}" in line for line in lines))

    @run_on_mock_clock
    async def test_an_operator_lifts_a_verdict_everywhere(self) -> None:
        """Guards against a verdict that other nodes keep, or tell again, after it was lifted."""
        async with running_cluster(3) as cluster:
            cluster.set_deadly(b"/bad")
            for index in range(2):
                await cluster.call(index, b"/bad")
                await trio.sleep(0.1)
            (verdict,) = cluster.guards[2].table.verdicts()
            self.assertTrue(cluster.guards[0].lift(verdict.request))
            self.assertFalse(cluster.guards[0].lift(verdict.request))
            await trio.sleep(5.0)
            self.assertEqual([g.table.verdicts() for g in cluster.guards], [[], [], []])
            cluster.set_deadly()
            self.assertIs(await cluster.call(2, b"/bad"), OK)

    @run_on_mock_clock
    async def test_a_restarted_node_learns_the_verdicts(self) -> None:
        """Guards against a verdict that a node forgets by its restart."""
        async with running_cluster(4) as cluster:
            cluster.set_deadly(b"/bad")
            await cluster.nodes[3].crash(cluster.net)
            for index in range(2):
                await cluster.call(index, b"/bad")
                await trio.sleep(0.1)
            again = Node(cluster.net, 3)
            again.add("membership", cluster.nodes[0].kernel.get("membership"))
            prepare(again)
            assert cluster.net.nursery is not None
            await cluster.net.nursery.start(again.run)
            await trio.sleep(1.0)
            self.assertEqual(len(again.kernel.get("crashguard").table.verdicts()), 1)

    @run_on_mock_clock
    async def test_lost_messages_are_made_up_for_within_seconds(self) -> None:
        """Guards against nodes that stay without a verdict after a cut between them."""
        async with running_cluster(4) as cluster:
            cluster.set_deadly(b"/bad")
            far = cluster.nodes[3].transport.address
            cluster.net.groups[far] = 1
            for index in range(2):
                await cluster.call(index, b"/bad")
                await trio.sleep(0.1)
            self.assertIsInstance(await cluster.call(2, b"/bad"), RequestQuarantined)
            self.assertEqual(cluster.guards[3].table.verdicts(), [])
            cluster.net.groups.clear()
            await trio.sleep(5.0)
            self.assertEqual(len(cluster.guards[3].table.verdicts()), 1)


class NoEndTest(unittest.TestCase):
    """What ends calls without the end of a serving upstream makes no request a suspect."""

    @run_on_mock_clock
    async def test_a_broken_connection_of_a_live_upstream(self) -> None:
        """Guards against a reset or a spoilt response that is taken for an end."""
        async with running_cluster(2) as cluster:
            self.assertIsInstance(await cluster.call(0, b"/broken"), UpstreamFailed)
            self.assertTrue(cluster.guards[0].table.is_empty)

    @run_on_mock_clock
    async def test_a_planned_stop_of_the_upstream(self) -> None:
        """Guards against requests that are held guilty of a stop that was announced."""
        async with running_cluster(2) as cluster:
            announce = cluster.nodes[0].kernel.get("announce")
            leaving = UpstreamRecord(
                **{f: getattr(announce.current, f) for f in announce.current.__struct_fields__}
                | {"state": UpstreamState.LEAVING}
            )
            for current in (leaving, None):
                announce.current = current
                cluster.set_deadly(b"/last")
                self.assertIsInstance(await cluster.call(0, b"/last"), UpstreamFailed)
                self.assertTrue(cluster.guards[0].table.is_empty)
                cluster.upstreams[0].restart()

    @run_on_mock_clock
    async def test_an_end_with_nothing_in_progress(self) -> None:
        """Guards against guilt of a call to an upstream that is gone already.

        Such an end shows that upstreams crash by themselves, so that two others prove less.
        """
        async with running_cluster(3) as cluster:
            cluster.set_deadly(b"/bad")
            cluster.upstreams[0].crash()
            self.assertIsInstance(await cluster.call(0, b"/a"), UpstreamUnreachable)
            self.assertTrue(cluster.guards[0].table.is_empty)
            for index in (1, 2):
                await cluster.call(index, b"/bad")
            await trio.sleep(0.1)
            self.assertEqual(cluster.guards[0].table.verdicts(), [])
            self.assertEqual(len(cluster.guards[0].table.suspects()), 1)

    @run_on_mock_clock
    async def test_killed_nodes_and_a_lost_zone(self) -> None:
        """Guards against guilt of requests that ended with the node beside their upstream."""
        async with running_cluster() as cluster, trio.open_nursery() as nursery:
            for index in range(3):
                nursery.start_soon(cluster.call, index, b"/a")
            await trio.sleep(0.05)
            await cluster.nodes[0].crash(cluster.net)
            for index in (1, 2):
                cluster.upstreams[index].is_alive = False
                await cluster.nodes[index].crash(cluster.net)
            nursery.cancel_scope.cancel()
            await trio.sleep(2.0)
            self.assertTrue(all(guard.table.is_empty for guard in cluster.guards))

    @run_on_mock_clock
    async def test_a_cut_link_or_a_caller_that_leaves(self) -> None:
        """Guards against guilt of calls that are cancelled while their upstream goes on."""
        async with running_cluster(2) as cluster:
            with trio.move_on_after(0.05):
                await cluster.call(0, b"/a")
            await trio.sleep(1.0)
            self.assertTrue(cluster.guards[0].table.is_empty)
            self.assertEqual(cluster.guards[0]._running, {})

    @run_on_mock_clock
    async def test_a_call_that_another_service_makes(self) -> None:
        """Guards against a parent that is held guilty of the end that a call of it caused."""
        async with running_cluster(3) as cluster:
            table = cluster.guards[0].table
            parent, child = (bytes([n]) * 16 for n in (1, 2))
            for n in range(3):
                end = UpstreamEnd("t", f"t{n}", 1, (child,))
                cluster.guards[1].sharing.publish_end(end)
            cluster.guards[0].sharing.publish_end(UpstreamEnd("s", "s0", 1, (parent,)))
            await trio.sleep(0.1)
            self.assertEqual([v.request for v in table.verdicts()], [child])
            self.assertTrue(table.is_suspect(parent))

    @run_on_mock_clock
    async def test_a_call_that_succeeds_while_the_end_is_checked(self) -> None:
        """Guards against suspicion of a request that the upstream completed while it stopped."""
        async with running_cluster(2) as cluster, trio.open_nursery() as nursery:
            upstream, answers = cluster.upstreams[0], [False, True]

            async def refuses_connections(address: Address) -> bool:
                return answers.pop(0)

            upstream.refuses_connections = refuses_connections  # type: ignore[method-assign]
            nursery.start_soon(cluster.call, 0, b"/a")
            await trio.sleep(RUN_S - 0.01)
            # It accepts no more connections, and completes what it has begun.
            upstream.is_alive = False
            self.assertIsInstance(await cluster.call(0, b"/b"), UpstreamUnreachable)
            self.assertIn(OK, cluster.results)
            (held,), _ = cluster.guards[0].table.evidence()
            self.assertEqual((held.end.requests, held.end.unidentified), ((), 0))

    @run_on_mock_clock
    async def test_a_call_to_a_silent_upstream_is_reported_soon(self) -> None:
        """Guards against a retry that comes late: the check waited for two further connections to
        an address that does not answer, for up to 520 ms.
        """
        async with running_cluster(1) as cluster:
            upstream, started_s = cluster.upstreams[0], trio.current_time()
            upstream.crash()
            upstream.connect_s = 0.25
            self.assertIsInstance(await cluster.call(0, b"/a"), UpstreamUnreachable)
            self.assertLess(trio.current_time() - started_s, 0.25 + 0.15)
            self.assertEqual(cluster.guards[0].table.evidence(), ([], []))

    @run_on_mock_clock
    async def test_an_end_right_after_the_first_heartbeat_counts_once(self) -> None:
        """Guards against a verdict by one end: calls that began before the first heartbeat told the
        incarnation, and others after it, were each taken for those of another start.
        """
        async with running_cluster(2) as cluster:
            announce, upstream = cluster.nodes[0].kernel.get("announce"), cluster.upstreams[0]
            upstream.starts = UNKNOWN_INCARNATION
            announce.current = upstream.record
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.call, 0, b"/frequent")
                await trio.sleep(0.05)
                upstream.starts = 7
                announce.current = upstream.record
                nursery.start_soon(cluster.call, 0, b"/frequent")
                nursery.start_soon(cluster.call, 0, b"/other")
                await trio.sleep(0.05)
                upstream.crash()
            await trio.sleep(0.1)
            for guard in cluster.guards:
                self.assertEqual(guard.table.verdicts(), [])
                self.assertEqual(len(guard.table.suspects()), 2)
                (held,), _ = guard.table.evidence()
                self.assertEqual(held.end.incarnation, 7)

    @run_on_mock_clock
    async def test_flapping_upstreams_leave_no_verdict(self) -> None:
        """Guards against lasting guilt by chance where upstreams go down and up by themselves."""
        async with running_cluster() as cluster:
            rng = random.Random(5)

            async def flap(index: int) -> None:
                await trio.sleep(rng.random())
                while True:
                    await trio.sleep(1.0 + rng.random())
                    cluster.upstreams[index].crash()
                    await trio.sleep(0.3)
                    cluster.upstreams[index].restart()
                    cluster.nodes[index].kernel.get("announce").current = cluster.upstreams[
                        index
                    ].record

            async def client(number: int) -> None:
                for n in range(40):
                    for index in rng.sample(range(5), 2):
                        if await cluster.call(index, b"/%d/%d" % (number, n)) is OK:
                            break
                    await trio.sleep(0.05 * rng.random())

            async with trio.open_nursery() as nursery:
                for index in range(5):
                    nursery.start_soon(flap, index)
                async with trio.open_nursery() as clients:
                    for number in range(12):
                        clients.start_soon(client, number)
                nursery.cancel_scope.cancel()
            self.assertGreater(cluster.ends, 10)
            # Two ends may meet one request by chance, which the next end without it shows.
            for guard, node in zip(cluster.guards, cluster.nodes, strict=True):
                self.assertEqual(node.counters.get("requests_quarantined", MANY_ENDS), 0)
                self.assertEqual(guard.table.verdicts(), [])
            refused = sum(isinstance(result, RequestQuarantined) for result in cluster.results)
            self.assertLess(refused, len(cluster.results) / 100)
