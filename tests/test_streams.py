"""Tests of streams that share a link."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import codec
from knapweedhitch.exceptions import (
    Outcome,
    PeerDisconnected,
    PeerProtocolError,
    PeerQueueFull,
    PeerUnreachable,
)
from knapweedhitch.messages import (
    OpenStream,
    StreamCancel,
    StreamCancelled,
    StreamCredit,
    StreamData,
    StreamEnd,
    StreamFail,
    StreamHead,
    StreamInformational,
    StreamResult,
)
from knapweedhitch.settings import PeerSettings
from knapweedhitch.streams import FRAME_COST_BYTES, PeerStream
from tests.fake_net import MemoryNet, Node, running_nodes
from tests.test_peers import link_of, run_on_mock_clock

StreamFunction = Callable[[OpenStream, PeerStream], Awaitable[None]]


def make_opening(request_id: str = "r", has_body: bool = True) -> OpenStream:
    """Return the opening message of a stream."""
    return OpenStream(0, request_id, "s", "i", "POST", b"/", (), has_body, 1_000.0, 1, 1, 1)


def register_stream_handler(node: Node, fn: StreamFunction) -> None:
    """Run fn for each stream opened by another node."""

    async def handler(node_id: str, msg: OpenStream, stream: PeerStream) -> None:
        await fn(msg, stream)

    node.peers.handle_streams(handler)


async def respond(msg: OpenStream, stream: PeerStream) -> None:
    """Respond with the request id as the body."""
    stream.put(StreamHead(stream.stream_id, 200, (), None))
    await stream.send_data(msg.request_id.encode())
    stream.put(StreamResult(stream.stream_id, True, 200, 1.0, False, None))


async def send_head_and_wait(msg: OpenStream, stream: PeerStream) -> None:
    """Send a response head and wait."""
    stream.put(StreamHead(stream.stream_id, 200, (), None))
    await trio.sleep_forever()


class StreamTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_responses_are_not_crossed(self) -> None:
        """Guards against crossed stream ids, by which an opener gets the wrong response."""

        async def respond_after_delay(msg: OpenStream, stream: PeerStream) -> None:
            await trio.sleep(int(msg.request_id[1:]) * 7 % 11 / 100)
            await respond(msg, stream)

        async with running_nodes(2) as nodes:
            for node in nodes:
                register_stream_handler(node, respond_after_delay)
            received: dict[str, bytes] = {}

            async def run_stream(node: Node, peer_id: str, request_id: str) -> None:
                stream = await node.peers.open_stream(peer_id, make_opening(request_id))
                await stream.receive()
                data = await stream.receive()
                assert isinstance(data, StreamData)
                received[request_id] = data.data
                self.assertIsInstance(await stream.receive(), StreamResult)

            async with trio.open_nursery() as nursery:
                for i in range(40):
                    nursery.start_soon(run_stream, nodes[i % 2], f"n{1 - i % 2}", f"r{i}")
            self.assertEqual(received, {f"r{i}": f"r{i}".encode() for i in range(40)})
            self.assertEqual(len(link_of(nodes[0], "n1")._streams), 0)

    @run_on_mock_clock
    async def test_truncated_response_never_looks_complete(self) -> None:
        """Guards against a truncated response that counts as complete after the link closed."""
        async with running_nodes(2) as (a, b):
            register_stream_handler(b, send_head_and_wait)
            stream = await a.peers.open_stream("n1", make_opening())
            self.assertIsInstance(await stream.receive(), StreamHead)
            link_of(b, "n0").close("test")
            for _ in range(2):
                with self.assertRaises(PeerDisconnected):
                    await stream.receive()
            with self.assertRaises(PeerDisconnected):
                await stream.send_data(b"x")

    @run_on_mock_clock
    async def test_late_frames_are_dropped_and_counted(self) -> None:
        """Guards against late frames of a finished stream that are delivered to another one."""
        async with running_nodes(2) as (a, b):
            other_streams: list[PeerStream] = []

            async def respond_to_first(msg: OpenStream, stream: PeerStream) -> None:
                if msg.request_id == "r":
                    await respond(msg, stream)
                else:
                    other_streams.append(stream)
                    await send_head_and_wait(msg, stream)

            register_stream_handler(b, respond_to_first)
            stream = await a.peers.open_stream("n1", make_opening())
            while not isinstance(await stream.receive(), StreamResult):
                pass
            other_streams.append(await a.peers.open_stream("n1", make_opening("other")))
            await other_streams[0].receive()
            link = link_of(b, "n0")
            link.put_frame(StreamData(stream.stream_id, b"late"))
            link_of(a, "n1").put_frame(StreamData(stream.stream_id, b"late"))
            await trio.sleep(0.1)
            for node in (a, b):
                self.assertEqual(node.counters.get("peer_late_frames", "stream"), 1)
            self.assertEqual([other.has_unread for other in other_streams], [False, False])
            self.assertEqual(a.peers.linked_peers(), ["n1"])

    @run_on_mock_clock
    async def test_slow_reader_slows_the_sender_down(self) -> None:
        """Guards against buffering a whole body in memory for a slow reader."""
        sent = 0

        async def flood(msg: OpenStream, stream: PeerStream) -> None:
            nonlocal sent
            stream.put(StreamHead(stream.stream_id, 200, (), None))
            for _ in range(100):
                await stream.send_data(b"x" * 1_000)
                sent += 1_000
            stream.put(StreamResult(stream.stream_id, True, 200, 1.0, False, None))

        async with running_nodes(2, peers=PeerSettings(window_bytes=8_192)) as (a, b):
            register_stream_handler(b, flood)
            stream = await a.peers.open_stream("n1", make_opening())
            await trio.sleep(1)
            self.assertLessEqual(sent, 8_192)
            size = 0
            while not isinstance(msg := await stream.receive(), StreamResult):
                size += len(msg.data) if isinstance(msg, StreamData) else 0
            self.assertEqual(size, 100_000)

    @run_on_mock_clock
    async def test_frames_that_break_the_rules_close_the_link(self) -> None:
        """Guards against accepting frames over the window, out of order or of the wrong role."""
        window = PeerSettings().window_bytes
        cases: list[list[object]] = [
            [StreamData(1, b"x" * 60_000)] * (window // 60_000 + 1),
            [StreamData(1, b"")] * (window // FRAME_COST_BYTES + 1),
            [StreamEnd(1), StreamData(1, b"x")],
            [StreamEnd(1), StreamEnd(1)],
            [StreamHead(1, 200, (), None)],
            [StreamCredit(1, 1)],
            [StreamCredit(1, -5)],
            [StreamData(3, b"never opened")],
            [StreamData(2, b"never opened by the other side")],
            [make_opening()],
        ]
        for frames in cases:
            with self.subTest(frames=str(frames[0])[:40]):
                async with running_nodes(2) as (a, b):
                    register_stream_handler(b, send_head_and_wait)
                    stream = await a.peers.open_stream("n1", make_opening())
                    await stream.receive()
                    for frame in frames:
                        link_of(a, "n1").put_frame(frame)  # type: ignore[arg-type]
                    await trio.sleep(0.1)
                    self.assertEqual(b.counters.get("peer_link_closed", "PeerProtocolError"), 1)

    @run_on_mock_clock
    async def test_responses_that_break_the_rules_close_the_link(self) -> None:
        """Guards against a response with two heads, data before the head or unlimited 1xx heads."""
        head = StreamHead(1, 200, (), None)
        for frames in ([head, head], [StreamData(1, b"x")], [StreamInformational(1, 103, ())] * 17):
            async with running_nodes(2) as (a, b):

                async def send_frames(
                    msg: OpenStream, stream: PeerStream, frames: list[object] = frames  # type: ignore[assignment]
                ) -> None:
                    for frame in frames:
                        stream.put(frame)  # type: ignore[arg-type]
                    await trio.sleep_forever()

                register_stream_handler(b, send_frames)
                stream = await a.peers.open_stream("n1", make_opening())
                await trio.sleep(0.1)
                self.assertEqual(a.counters.get("peer_link_closed", "PeerProtocolError"), 1)
                self.assertTrue(stream.finished)

    @run_on_mock_clock
    async def test_streams_are_bounded(self) -> None:
        """Guards against a peer that opens an unlimited number of streams."""
        async with running_nodes(2, peers=PeerSettings(max_streams=2)) as (a, b):
            register_stream_handler(b, send_head_and_wait)
            for _ in range(2):
                await a.peers.open_stream("n1", make_opening())
            with self.assertRaises(PeerQueueFull):
                await a.peers.open_stream("n1", make_opening())
            link_of(a, "n1").put_frame(OpenStream(5, *codec.to_plain(make_opening())[1:]))
            await trio.sleep(0.1)
            self.assertEqual(b.counters.get("peer_streams_refused"), 1)
            with self.assertRaises(PeerUnreachable):
                await a.peers.open_stream("n6", make_opening())

    @run_on_mock_clock
    async def test_cancel_is_confirmed_only_by_the_peer(self) -> None:
        """Guards against a cancellation that counts as confirmed without a reply of the peer."""
        replies: dict[str, Callable[[int], object]] = {
            "cancelled": lambda i: StreamCancelled(i, Outcome.NOT_RUN),
            "unknown": lambda i: StreamCancelled(i, Outcome.UNKNOWN),
            "failed": lambda i: StreamFail(i, "queue-full", 503, Outcome.NOT_RUN, "", None),
            "done": lambda i: StreamResult(i, True, 200, 1.0, False, None),
            "silent": lambda i: StreamCredit(i, 1),
        }

        async def confirm_cancel(msg: OpenStream, stream: PeerStream) -> None:
            stopped = trio.Event()
            stream.on_stop(stopped.set)
            await stopped.wait()
            if msg.request_id != "silent":
                stream.put(replies[msg.request_id](stream.stream_id))  # type: ignore[arg-type]
            await trio.sleep_forever()

        async with running_nodes(2) as (a, b):
            register_stream_handler(b, confirm_cancel)
            outcomes = {}
            for name in replies:
                stream = await a.peers.open_stream("n1", make_opening(name))
                outcomes[name] = await stream.cancel()
            not_run = {name for name, o in outcomes.items() if o is Outcome.NOT_RUN}
            self.assertEqual(not_run, {"cancelled", "failed"})

    @run_on_mock_clock
    async def test_lost_link_stops_the_handler(self) -> None:
        """Guards against work that continues for an entry node whose link is lost."""
        net = MemoryNet()
        stopped: list[str] = []

        async def wait_for_stop(msg: OpenStream, stream: PeerStream) -> None:
            stream.on_stop(lambda: stopped.append(msg.request_id))
            await trio.sleep_forever()

        async with running_nodes(2, net) as (a, b):
            register_stream_handler(b, wait_for_stop)
            await a.peers.open_stream("n1", make_opening("x"))
            await trio.sleep(0.1)
            for wire in net.wires:
                wire.silent = True
            await trio.sleep(3)
            self.assertEqual(stopped, ["x"])


class DeliverTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.booleans(),
        st.lists(
            st.one_of(
                st.builds(StreamData, st.just(1), st.binary(max_size=300)),
                st.builds(StreamCredit, st.just(1), st.integers(-10, 5_000)),
                st.sampled_from(
                    [
                        StreamEnd(1),
                        StreamCancel(1),
                        StreamHead(1, 200, (), None),
                        StreamInformational(1, 103, ()),
                    ]
                ),
            ),
            max_size=30,
        ),
    )
    def test_any_order_of_frames_keeps_the_bounds(self, opener: bool, frames: list[object]) -> None:
        """Guards against a sequence of frames that exceeds a window or raises an untyped error."""

        class NoLink:
            cfg = PeerSettings()

        stream = PeerStream(NoLink(), 1, 4_096, opener=opener)  # type: ignore[arg-type]
        try:
            for frame in frames:
                stream.deliver(frame)  # type: ignore[arg-type]
        except PeerProtocolError:
            pass
        kept = sum(len(m.data) + 64 for m in stream._inbox if isinstance(m, StreamData))
        self.assertLessEqual(kept, 4_096)
        self.assertLessEqual(stream._credit, 4_096)
