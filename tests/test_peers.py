"""Tests of links, calls and one-way messages."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import trio
import trio.testing

from knapweedhitch import codec
from knapweedhitch.codec import Message
from knapweedhitch.exceptions import (
    PeerBusy,
    PeerCallFailed,
    PeerDisconnected,
    PeerQueueFull,
    PeerTimeout,
    PeerUnreachable,
    StorageError,
)
from knapweedhitch.link import Link
from knapweedhitch.messages import Ack, FeedPoll, LeaseRevoke, Ping, ReplyMessage, StreamEnd
from knapweedhitch.settings import PeerSettings
from tests.fake_net import MemoryNet, Node, running_nodes

POLL = FeedPoll(1, False)


def run_on_mock_clock(fn: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test on a mock clock that skips idle time."""

    def run(self: Any) -> None:
        trio.run(fn, self, clock=trio.testing.MockClock(autojump_threshold=0))

    run.__doc__ = fn.__doc__
    return run


async def reply_ack(node_id: str, msg: Message) -> Message:
    """Reply to any call."""
    return Ack()


async def never_reply(node_id: str, msg: Message) -> Message:
    """Never reply."""
    await trio.sleep_forever()
    raise AssertionError


def link_of(node: Node, peer_id: str) -> Link:
    """Return the preferred link of a node to a peer."""
    link = node.peers._peers[peer_id].preferred
    assert link is not None
    return link


class CallTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_call_returns_the_reply_or_the_error(self) -> None:
        """Guards against a call that does not report a failed or missing handler to its caller."""

        async def fail(node_id: str, msg: Message) -> Message:
            raise StorageError("no space")

        async with running_nodes(2) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            b.peers.handle(LeaseRevoke, fail)
            self.assertEqual(await a.peers.call("n1", POLL, 100), Ack())
            for msg in (LeaseRevoke("x"), Ack()):
                with self.assertRaises(PeerCallFailed):
                    await a.peers.call("n1", msg, 100)
            self.assertTrue(link_of(a, "n1").is_usable)

    @run_on_mock_clock
    async def test_call_to_the_own_node_reaches_its_handler(self) -> None:
        """Guards against a call of a node to itself that fails because there is no such link."""
        async with running_nodes(1) as (a,):
            a.peers.handle(FeedPoll, reply_ack)
            self.assertEqual(await a.peers.call("n0", POLL, 100), Ack())

    @run_on_mock_clock
    async def test_unreachable_peer_was_not_sent_anything(self) -> None:
        """Guards against a call that was never sent but counts as possibly processed, so that its
        retry is refused.
        """
        async with running_nodes(1) as (a,):
            for node_id in ("n3", "nobody"):
                with self.assertRaises(PeerUnreachable):
                    await a.peers.call(node_id, POLL, 1_000)

    @run_on_mock_clock
    async def test_unexpected_error_of_a_dial_ends_only_the_dial(self) -> None:
        """Guards against a process that ends with the requests of all its callers, because one of
        its dials failed with an error that has no type of ours.
        """
        async with running_nodes(2) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            error = RuntimeError("reset")
            broken = mock.patch.object(a.peers._transport, "connect", side_effect=error)
            with broken, self.assertRaises(PeerUnreachable):
                await a.peers.call("n1", POLL, 100)
            await trio.sleep(PeerSettings().redial_backoff_ms / 1_000)
            self.assertEqual(await a.peers.call("n1", POLL, 100), Ack())

    @run_on_mock_clock
    async def test_call_after_timeout_or_disconnect_may_have_been_processed(self) -> None:
        """Guards against a lost reply reported as unsent, so that a retry runs the call twice."""
        net = MemoryNet()
        async with running_nodes(2, net) as (a, b):
            b.peers.handle(FeedPoll, never_reply)
            with self.assertRaises(PeerTimeout):
                await a.peers.call("n1", POLL, 100)

            async def close_link() -> None:
                await trio.sleep(0.1)
                link_of(b, "n0").close("test")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(close_link)
                with self.assertRaises(PeerDisconnected):
                    await a.peers.call("n1", POLL, 5_000)

    @run_on_mock_clock
    async def test_late_reply_is_dropped_and_counted(self) -> None:
        """Guards against a late reply that is matched to another call."""
        async with running_nodes(2) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            await a.peers.call("n1", POLL, 100)
            link_of(b, "n0").put_frame(ReplyMessage(999, codec.encode(Ack()), ""), "control")
            await trio.sleep(0.1)
            self.assertEqual(a.counters.get("peer_late_frames", "reply"), 1)
            self.assertEqual(await a.peers.call("n1", POLL, 100), Ack())

    @run_on_mock_clock
    async def test_handlers_are_bounded(self) -> None:
        """Guards against unbounded handler tasks for a peer that sends faster than they finish."""
        cfg = PeerSettings(max_handlers=2, max_queued_messages=3)
        async with running_nodes(2, peers=cfg) as (a, b):
            b.peers.handle(FeedPoll, never_reply)
            for _ in range(5):
                a.peers.send("n1", POLL)
                await trio.sleep(0.01)
            with self.assertRaises(PeerBusy):
                await a.peers.call("n1", POLL, 500)
            self.assertTrue(link_of(a, "n1").is_usable)

    @run_on_mock_clock
    async def test_full_queue_refuses_and_recovers(self) -> None:
        """Guards against a send queue that grows without bound while a peer does not read."""
        async with running_nodes(2, peers=PeerSettings(max_queued_messages=4)) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            b.peers.handle(LeaseRevoke, reply_ack)
            await a.peers.call("n1", POLL, 100)
            for _ in range(10):
                a.peers.send("n1", LeaseRevoke("x"))
            with self.assertRaises(PeerQueueFull):
                await link_of(a, "n1").call(POLL)
            self.assertEqual(a.counters.get("peer_sends_dropped", "PeerQueueFull"), 6)
            await trio.sleep(0.1)
            self.assertEqual(await a.peers.call("n1", POLL, 100), Ack())

    @run_on_mock_clock
    async def test_send_dials_and_drops_when_nobody_answers(self) -> None:
        """Guards against one-way messages that accumulate for a node that cannot be reached."""
        senders: list[str] = []

        async def record_sender(node_id: str, msg: Message) -> None:
            senders.append(node_id)

        async with running_nodes(2, peers=PeerSettings(max_pending_sends=2)) as (a, b):
            b.peers.handle(LeaseRevoke, record_sender)
            a.peers.send("n1", LeaseRevoke("x"))
            for _ in range(5):
                a.peers.send("n5", LeaseRevoke("x"))
            await trio.sleep(1)
            self.assertEqual(senders, ["n0"])
            self.assertEqual(a.counters.get("peer_sends_dropped", "PeerQueueFull"), 3)
            self.assertEqual(a.counters.get("peer_sends_dropped", "PeerUnreachable"), 2)
            self.assertNotIn("n5", a.peers._peers)


class LinkTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_simultaneous_dials_leave_one_link(self) -> None:
        """Guards against two links between a pair of nodes that dial each other simultaneously."""
        async with running_nodes(2, MemoryNet(connect_s=0.01)) as nodes:
            for node in nodes:
                node.peers.handle(FeedPoll, reply_ack)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(nodes[0].peers.call, "n1", POLL, 1_000)
                nursery.start_soon(nodes[1].peers.call, "n0", POLL, 1_000)
            self.assertEqual(nodes[0].counters.get("peer_links_opened"), 2)
            await trio.sleep(1)
            for node, peer_id in zip(nodes, ("n1", "n0"), strict=True):
                self.assertEqual(len(node.peers._peers[peer_id].links), 1)
                self.assertEqual(link_of(node, peer_id).dialled, node.node_id == "n0")

    @run_on_mock_clock
    async def test_silent_link_is_replaced_within_three_seconds(self) -> None:
        """Guards against a silent link that stays in use after missed heartbeats."""
        # The longer times cover a resting link, which has a slower heartbeat.
        for phase_ms in (0, 10, 240, 510, 990, 9_900, 20_000, 29_990, 60_000):
            net = MemoryNet()
            async with running_nodes(2, net) as (a, b):
                b.peers.handle(FeedPoll, reply_ack)
                await a.peers.call("n1", POLL, 100)
                await trio.sleep(3 + phase_ms / 1_000)
                for wire in net.wires:
                    wire.silent = True
                started = trio.current_time()
                replied = False
                while not replied and trio.current_time() < started + 10:
                    with contextlib.suppress(PeerTimeout, PeerDisconnected):
                        replied = await a.peers.call("n1", POLL, 50) == Ack()
                self.assertLessEqual(trio.current_time() - started, 3.0)
                self.assertEqual(a.counters.get("peer_link_closed", "silent"), 1)

    @run_on_mock_clock
    async def test_quiet_link_stays_open_and_idle_link_closes(self) -> None:
        """Guards against heartbeats that close a working link, and idle links that stay open."""
        async with running_nodes(2, peers=PeerSettings(idle_close_ms=20_000)) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            await a.peers.call("n1", POLL, 100)
            await trio.sleep(19)
            self.assertEqual(a.counters.get("peer_links_opened"), 1)
            self.assertEqual(a.peers.linked_peers(), ["n1"])
            await trio.sleep(3)
            self.assertEqual((a.peers.linked_peers(), b.peers.linked_peers()), ([], []))
            self.assertEqual(await a.peers.call("n1", POLL, 100), Ack())

    @run_on_mock_clock
    async def test_resting_link_sends_few_heartbeats(self) -> None:
        """Guards against control traffic that grows with the number of unused links."""
        async with running_nodes(2) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            await a.peers.call("n1", POLL, 100)
            sent: list[int] = []
            for seconds in (15, 60):
                before = a.counters.get("peer_bytes_out", "control")
                await trio.sleep(seconds)
                sent.append(a.counters.get("peer_bytes_out", "control") - before)
            self.assertLess(sent[1] / 60, 0.2 * sent[0] / 15)
            self.assertEqual(a.peers.linked_peers(), ["n1"])

    @run_on_mock_clock
    async def test_retired_link_finishes_its_calls(self) -> None:
        """Guards against a retired link that is closed while a call on it is in flight."""

        async def reply_slowly(node_id: str, msg: Message) -> Message:
            await trio.sleep(2)
            return Ack()

        async with running_nodes(2) as (a, b):
            b.peers.handle(FeedPoll, reply_slowly)
            replies: list[Message] = []

            async def call() -> None:
                replies.append(await a.peers.call("n1", POLL, 5_000))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.5)
                b.peers.release_link("n0")
                await trio.sleep(0.5)
                nursery.start_soon(call)
            self.assertEqual(replies, [Ack(), Ack()])
            self.assertEqual(a.counters.get("peer_links_opened"), 2)
            await trio.sleep(0.5)
            self.assertEqual(len(a.peers._links), 1)

    @run_on_mock_clock
    async def test_damaged_frames_close_the_link_only(self) -> None:
        """Guards against truncated, padded or misplaced frames that are partly processed."""
        frames = [
            codec.encode(ReplyMessage(1, b"abc", ""))[:-1],
            codec.encode(Ping(7)) + b"\x00",
            b"\xff" * 40,
            codec.encode(StreamEnd(5)),
            codec.encode(StreamEnd(-1)),
        ]
        for frame in frames:
            with self.subTest(frame=frame[:10]):
                async with running_nodes(2) as (a, b):
                    b.peers.handle(FeedPoll, reply_ack)
                    await a.peers.call("n1", POLL, 100)
                    link_of(a, "n1")._enqueue(frame, "control")
                    await trio.sleep(0.1)
                    self.assertEqual(b.peers.linked_peers(), [])
                    self.assertEqual(await a.peers.call("n1", POLL, 100), Ack())

    @run_on_mock_clock
    async def test_links_are_bounded(self) -> None:
        """Guards against nodes that open links until a process has no file descriptors left."""
        async with running_nodes(4, peers=PeerSettings(max_links=2)) as nodes:
            nodes[3].peers.handle(FeedPoll, reply_ack)
            for node in nodes[:2]:
                self.assertEqual(await node.peers.call("n3", POLL, 100), Ack())
            with self.assertRaises((PeerUnreachable, PeerDisconnected)):
                await nodes[2].peers.call("n3", POLL, 500)
            self.assertEqual(nodes[3].counters.get("peer_rejected", "too-many-links"), 1)
            with self.assertRaises(PeerUnreachable):
                await nodes[3].peers.call("n2", POLL, 500)

    @run_on_mock_clock
    async def test_wrong_secret_is_counted_and_unreachable(self) -> None:
        """Guards against a link to a node with a different peer secret."""
        net = MemoryNet()
        async with running_nodes(1, net) as (a,), trio.open_nursery() as nursery:
            other_node = Node(net, 1, secret=b"another-secret-1")
            await nursery.start(other_node.run)
            with self.assertRaises(PeerUnreachable):
                await a.peers.call("n1", POLL, 500)
            await trio.sleep(0.1)
            self.assertEqual(a.counters.get("peer_rejected", "wrong-secret"), 1)
            self.assertEqual(other_node.counters.get("peer_rejected", "wrong-secret"), 1)
            nursery.cancel_scope.cancel()

    @run_on_mock_clock
    async def test_bytes_are_counted_per_kind(self) -> None:
        """Guards against control traffic missing from the counters or counted as payload."""
        async with running_nodes(2) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            await a.peers.call("n1", POLL, 100)
            await trio.sleep(10.1)
            out = a.counters.get("peer_bytes_out", "control")
            self.assertGreater(out, 0)
            self.assertEqual(out, b.counters.get("peer_bytes_in", "control"))
            self.assertEqual(a.counters.get("peer_bytes_out", "payload"), 0)
