"""Tests of the member table, the update queue and gossip datagrams."""

from __future__ import annotations

import unittest

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch.counters import Counters
from knapweedhitch.gossip import GossipSocket, UpdateQueue, encoded_bytes
from knapweedhitch.members import BUCKETS, MemberTable, bucket_of, precedence, verdict_of
from knapweedhitch.messages import Gossip, Verdict
from knapweedhitch.model import (
    Address,
    Member,
    MemberEvent,
    MemberState,
    UpstreamRecord,
    UpstreamState,
)
from tests.fake_net import SECRET, MemoryDatagrams, MemoryNet, listen

ADDRESS = Address("127.0.0.1", 7000)
STATES = list(MemberState)


def member(
    node_id: str = "a",
    incarnation: int = 1,
    state: MemberState = MemberState.ALIVE,
    service: str | None = "s",
    leaving: bool = False,
    started: int = 1,
    draining: bool = False,
    upstream_incarnation: int = 1,
) -> Member:
    """Return a member record."""
    up_state = UpstreamState.LEAVING if leaving else UpstreamState.SERVING
    upstream = None
    if service:
        upstream = UpstreamRecord(service, ADDRESS, 9, 220, "i", upstream_incarnation, up_state)
    return Member(
        node_id, ADDRESS, "r", "d", incarnation, state, draining, upstream, started_wall_ms=started
    )


records = st.builds(
    member,
    st.sampled_from("abc"),
    st.integers(1, 3),
    st.sampled_from(STATES),
    st.sampled_from(["s", "t", None]),
    st.booleans(),
    st.integers(1, 2),
)


class DigestTest(unittest.TestCase):
    @settings(max_examples=20, deadline=None)
    @given(st.sets(st.integers(0, 2_000)), st.sets(st.integers(0, 2_000)))
    def test_differing_buckets_are_found_in_both_forms(
        self, own: set[int], other: set[int]
    ) -> None:
        """Guards against members that no sync exchanges since their bucket looks the same."""
        self.check(own, other)
        # So many members fill enough buckets for the long form.
        base = set(range(3_000, 3_600))
        self.check(own | base, other | base)
        self.check(own | base, other)

    def check(self, own: set[int], other: set[int]) -> None:
        """Compare two tables, which differ in the buckets of the members that one has."""
        tables = []
        for numbers in (own, other):
            tables.append(MemberTable(lambda: 0.0, lambda event: None))
            for number in numbers:
                tables[-1].put(member(f"n{number}"))
        expected = sorted({bucket_of(f"n{number}") for number in own ^ other})
        self.assertEqual(list(tables[0].differing_buckets(tables[1].digest())), expected)
        self.assertEqual(list(tables[1].differing_buckets(tables[0].digest())), expected)

    def test_digest_of_few_members_is_short(self) -> None:
        """Guards against a kilobyte of empty buckets in each sync of a small cluster."""
        table = MemberTable(lambda: 0.0, lambda event: None)
        for number in range(90):
            table.put(member(f"n{number}"))
        self.assertLessEqual(len(table.digest()), 90 * 5)
        for malformed in (b"x", b"x" * 1_023, b"x" * 1_030):
            self.assertEqual(len(table.differing_buckets(malformed)), BUCKETS)


class TableTest(unittest.TestCase):
    def table(self) -> MemberTable:
        """Return an empty table with a clock set by the test."""
        self.now = 0.0
        self.events: list[MemberEvent] = []
        return MemberTable(lambda: self.now, self.events.append)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(records, max_size=12))
    def test_index_and_hashes_equal_a_fresh_count(self, puts: list[Member]) -> None:
        """Guards against a target index or hashes that differ from the records after changes."""
        table = self.table()
        latest: dict[str, Member] = {}
        for record in puts:
            table.put(record)
            latest[record.node_id] = record
            table.targets("s")
        live = {n: m for n, m in latest.items() if m.state.value in ("alive", "suspect")}
        self.assertEqual(dict(table.live), live)
        for service in ("s", "t"):
            expected = {n for n, m in live.items() if m.upstream and m.upstream.service == service}
            targets = table.targets(service)
            self.assertEqual({t.node_id for t in targets}, expected)
            for target in targets:
                live_member = live[target.node_id]
                self.assertEqual(target.upstream, live_member.upstream)
                self.assertEqual(target.suspect, live_member.state is MemberState.SUSPECT)
        fresh = self.table()
        for record in live.values():
            fresh.put(record)
        self.assertEqual(table.digest(), fresh.digest())
        self.assertEqual(table.differing_buckets(fresh.digest()), ())

    def test_draining_targets_are_marked(self) -> None:
        """Guards against new calls to a draining node or a leaving upstream."""
        table = self.table()
        for change in ({"leaving": True}, {"draining": True}):
            table.put(member(**change))  # type: ignore[arg-type]
            self.assertTrue(table.targets("s")[0].draining)
        table.put(member(upstream_incarnation=2))
        self.assertFalse(table.targets("s")[0].draining)

    def test_departed_upstream_is_no_target_again(self) -> None:
        """Guards against an upstream that left and is in use again, because the node beside it
        restarted and found that it still answers.
        """
        table = self.table()
        table.put(member(leaving=True))
        for upstream_incarnation in (1, 0):
            restarted = member(started=2, upstream_incarnation=upstream_incarnation)
            table.put(member(started=2, service=None))
            table.put(restarted)
            self.assertTrue(table.targets("s")[0].draining)
        table.put(member(started=2, upstream_incarnation=2))
        self.assertFalse(table.targets("s")[0].draining)
        table.record_departure("a", "i", 2)
        self.assertTrue(table.targets("s")[0].draining)

    def test_newer_start_wins_over_any_state(self) -> None:
        """Guards against a restarted node whose records lose to those of its previous run."""
        order = [
            member(incarnation=9, state=MemberState.LEFT),
            member(started=2),
            member(started=2, state=MemberState.SUSPECT),
            member(started=2, state=MemberState.DEAD),
            member(started=2, incarnation=2),
        ]
        self.assertEqual(sorted(order, key=precedence), order)

    def test_digest_names_the_bucket_that_differs(self) -> None:
        """Guards against anti-entropy that sends all members because of one difference."""
        table, other = self.table(), self.table()
        for i in range(300):
            table.put(member(f"n{i}"))
            other.put(member(f"n{i}", 2 if i == 7 else 1))
        self.assertEqual(table.differing_buckets(other.digest()), (bucket_of("n7"),))
        self.assertEqual(len(table.differing_buckets(b"odd")), BUCKETS)

    def test_dead_records_expire_without_a_difference(self) -> None:
        """Guards against expired dead records that return from a node that expires them later."""
        table, other = self.table(), self.table()
        for each in (table, other):
            each.put(member("a", state=MemberState.DEAD))
            each.put(member("b"))
        self.now = 1_000.0
        table.expire(1_000)
        self.assertIsNone(table.get("a"))
        self.assertIsNotNone(table.get("b"))
        self.assertEqual(table.differing_buckets(other.digest()), ())
        self.assertTrue(other.drop_oldest_dead())
        self.assertFalse(other.drop_oldest_dead())


class UpdateQueueTest(unittest.TestCase):
    def make_queue(self, max_updates: int = 100) -> UpdateQueue:
        """Return an empty update queue."""
        return UpdateQueue(max_updates, 1_000, Counters())

    def test_an_update_is_sent_a_bounded_number_of_times(self) -> None:
        """Guards against an update that is gossiped without end."""
        queue = self.make_queue()
        queue.add(member())
        sends = sum(len(queue.take_updates(1_000, 100)[0]) for _ in range(100))
        self.assertEqual((sends, len(queue)), (8, 0))

    def test_least_sent_and_urgent_updates_go_first(self) -> None:
        """Guards against an urgent leave that waits behind updates about the loss of a rack."""
        queue = self.make_queue()
        for i in range(20):
            queue.add(Verdict(f"n{i}", 1, 1, MemberState.DEAD))
        first = queue.take_updates(100, 100)[1]
        queue.add(member("leaver"), urgent=True)
        members, second = queue.take_updates(150, 100)
        self.assertEqual(members[0].node_id, "leaver")
        self.assertFalse({v.node_id for v in first} & {v.node_id for v in second})

    def test_pending_updates_are_bounded(self) -> None:
        """Guards against unbounded memory for queued updates after mass restarts."""
        queue = self.make_queue(10)
        for i in range(50):
            queue.add(member(f"n{i}"))
        self.assertEqual(len(queue), 10)
        queue.add(member("x" * 60, service="y" * 1_000))
        self.assertEqual(len(queue), 10)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(records, max_size=30), st.integers(0, 600))
    def test_taken_updates_fit(self, updates: list[Member], room: int) -> None:
        """Guards against datagrams over the size limit because the updates do not fit."""
        queue = self.make_queue()
        for i, update in enumerate(updates):
            queue.add(update if i % 2 else verdict_of(update))
        members, verdicts = queue.take_updates(room, 10)
        self.assertLessEqual(sum(map(encoded_bytes, (*members, *verdicts))), room)


class DatagramTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.binary(max_size=100), st.integers(0, 200), st.integers(1, 255))
    def test_changed_or_arbitrary_datagrams_are_dropped(
        self, noise: bytes, place: int, flip: int
    ) -> None:
        """Guards against a modified or forged datagram that reaches the member table."""
        net = MemoryNet()
        counters = Counters()
        own = Address("127.0.0.1", 1)
        sender = GossipSocket(MemoryDatagrams(net, own), SECRET, "c", 1_200, counters)
        sender.send(Gossip("a", (member(),), ()), listen(2))  # type: ignore[arg-type]
        data = bytearray(net.datagrams[0][0])
        data[place % len(data)] ^= flip
        inbox = MemoryDatagrams(net, own)
        received: list[object] = []

        async def main() -> None:
            socket = GossipSocket(inbox, SECRET, "c", 1_200, counters)
            for bad in (bytes(data), noise, net.datagrams[0][0][:-1]):
                inbox.out.send_nowait((bad, own))
            with trio.move_on_after(0.001):
                await socket.run(lambda msg, address: received.append(msg))

        trio.run(main)
        self.assertEqual(received, [])
