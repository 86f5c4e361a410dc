"""Tests of what other nodes get from a node that stops."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import AsyncIterator
from typing import Any

import trio
import trio.testing

from knapweedhitch.delivery import DeliveryTracker
from knapweedhitch.drain import Drain
from knapweedhitch.exchange import BodySource, CallSpec
from knapweedhitch.forward import Forward
from knapweedhitch.messages import Ack, FeedPoll
from knapweedhitch.model import CallResult
from knapweedhitch.settings import PeerSettings, StopSettings
from tests.fake_net import MemoryNet, Node, running_nodes
from tests.request_world import FakeService
from tests.slow_nodes import RELAY_INTERVAL_S, RelayPace, nodes_with_slow_link
from tests.test_forward import RESULT, FakeServices, Sink, dispatch, execute, make_spec
from tests.test_peers import POLL, link_of, run_on_mock_clock

BODY_BYTES = 200_000
STOP = StopSettings(announce_ms=100, drain_timeout_ms=3_000)


class StopWorld(FakeService):
    """Provide the services that a planned stop uses, and a gate with a quick upstream."""

    def __init__(self) -> None:
        self.in_progress = 0
        self.active: dict[Any, None] = {}
        self.run_s = 0.05
        self.ended = trio.Event()

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: Any
    ) -> CallResult:
        self.in_progress += 1
        try:
            await dispatch(sink)
            await trio.sleep(self.run_s)
            await sink.head(200, (), None)
            await sink.data(b"x" * BODY_BYTES)
            await sink.end()
            return RESULT
        finally:
            self.in_progress -= 1
            self.ended.set()

    def set_draining(self, draining: bool) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    async def wait_closed(self) -> None:
        """Return at once."""


def prepare(node: Node) -> None:
    """Add the services of the request path to a node."""
    world = StopWorld()
    node.kernel.get("membership").set_draining = world.set_draining
    services = FakeServices()
    services.set_draining = world.set_draining  # type: ignore[attr-defined]
    node.add("admission", services)
    node.add("gate", world)
    node.add("router", StopWorld())
    node.add("ingress", StopWorld())
    node.add("forward", Forward(node.kernel))
    node.add("drain", Drain(node.kernel))


async def stop(node: Node, net: MemoryNet) -> None:
    """Stop a node as the daemon does."""
    node.kernel.get("drain").begin()
    await node.kernel.get("drain").finished.wait()
    await node.crash(net)


class PlannedStopTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_response_on_a_slow_link_survives_the_stop_of_its_node(self) -> None:
        """Guards against a planned stop that ends once its calls have ended, while their responses
        are still on the way to the nodes that asked.
        """
        net = MemoryNet()
        async with running_nodes(2, net, prepare, stop=STOP) as (a, b):
            self.assertEqual(await execute(a, make_spec()), RESULT)
            link_of(b, "n0")._wire.delay_s = 0.6
            sink = Sink()
            results: list[Any] = []

            async def call() -> None:
                results.append(await execute(a, make_spec(deadline_ms=4_000), sink=sink))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.01)
                await stop(b, net)
            self.assertEqual((results, len(sink.body)), ([RESULT], BODY_BYTES))

    @run_on_mock_clock
    async def test_silent_peer_does_not_hold_up_a_stop(self) -> None:
        """Guards against a stop that waits for a peer that is gone until its grace period ends."""
        net = MemoryNet()
        long_stop = StopSettings(announce_ms=100, drain_timeout_ms=60_000)
        async with running_nodes(2, net, prepare, stop=long_stop) as (a, b):
            self.assertEqual(await execute(a, make_spec()), RESULT)
            await trio.sleep(20)
            for wire in net.wires:
                wire.silent = True
            started_s = trio.current_time()
            await stop(b, net)
            self.assertLess(trio.current_time() - started_s, 3.2)

    @run_on_mock_clock
    async def test_retired_link_delivers_what_it_has_written(self) -> None:
        """Guards against a replaced link that closes once its response is written and so cuts it
        on the way.
        """
        async with running_nodes(2, prepare=prepare) as (a, b):
            self.assertEqual(await execute(a, make_spec()), RESULT)
            link_of(b, "n0")._wire.delay_s = 0.3
            results: list[Any] = []

            async def call() -> None:
                results.append(await execute(a, make_spec(deadline_ms=4_000)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.01)
                link_of(b, "n0").retire()
            self.assertEqual(results, [RESULT])
            await trio.sleep(2)
            self.assertEqual((len(a.peers._links), len(b.peers._links)), (0, 0))

    @run_on_mock_clock
    async def test_response_that_has_come_is_read_after_the_link_broke(self) -> None:
        """Guards against a complete response that is dropped unread, since a frame to its node,
        which has closed the link, could not be written.
        """
        # The order in which reader and writer run is random.
        for _ in range(10):
            async with running_nodes(2, prepare=prepare) as (a, b):
                self.assertEqual(await execute(a, make_spec()), RESULT)
                link = link_of(b, "n0")
                b.kernel.get("gate").ended = trio.Event()
                results: list[Any] = []

                async def call(a: Node = a, results: list[Any] = results) -> None:
                    results.append(await execute(a, make_spec()))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    await trio.sleep(0.01)
                    self.assertEqual(len(link._streams), 1)
                    # Does not run on the clock, since the response arrives in no time.
                    await b.kernel.get("gate").ended.wait()
                    while not link.is_idle:
                        await trio.lowlevel.checkpoint()
                    link.close("test")
                self.assertEqual(results, [RESULT])
                self.assertEqual(a.peers.linked_peers(), [])

    @run_on_mock_clock
    async def test_control_instance_replies_before_it_stops(self) -> None:
        """Guards against a control instance whose stop drops the replies that it has queued."""

        async def reply(node_id: str, msg: FeedPoll) -> Ack:
            await trio.sleep(0.05)
            return Ack()

        def prepare_control(node: Node) -> None:
            node.add("drain", Drain(node.kernel))

        net = MemoryNet()
        async with running_nodes(2, net, prepare_control, stop=STOP) as (a, b):
            b.peers.handle(FeedPoll, reply)
            await a.peers.call("n1", POLL, 1_000)
            link_of(b, "n0")._wire.delay_s = 0.1
            replies: list[Any] = []

            async def call() -> None:
                replies.append(await a.peers.call("n1", POLL, 1_000))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.01)
                await stop(b, net)
            self.assertEqual(replies, [Ack()])


class DeliveryTest(unittest.TestCase):
    def test_answer_confirms_only_earlier_frames(self) -> None:
        """Guards against a link that closes over a frame sent after its last ping."""
        delivery = DeliveryTracker()
        delivery.record_queued()
        delivery.record_ping(7)
        delivery.record_queued()
        delivery.record_pong(6)
        self.assertTrue(delivery.is_waiting)
        delivery.record_pong(7)
        self.assertEqual((delivery.is_waiting, delivery.is_confirmed), (False, False))
        delivery.record_ping(8)
        delivery.record_pong(8)
        self.assertTrue(delivery.is_confirmed)


class RealStopTest(unittest.TestCase):
    def test_response_on_a_slow_connection_survives_the_stop_of_its_node(self) -> None:
        """Guards against a stop that resets a connection with a response in its send buffer."""

        async def main() -> None:
            async with slow_real_nodes() as (a, b):
                sink = Sink()
                results: list[Any] = []

                async def call() -> None:
                    results.append(await execute(a, make_spec(deadline_ms=6_000), sink=sink))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    await b.kernel.get("gate").ended.wait()
                    await stop(b, MemoryNet())
                self.assertEqual((results, len(sink.body)), ([RESULT], BODY_BYTES))

        trio.run(main)


@contextlib.asynccontextmanager
async def slow_real_nodes(
    relay_interval_s: float = RELAY_INTERVAL_S, cfg: PeerSettings | None = None
) -> AsyncIterator[list[Node]]:
    """Run two nodes that can stop; their link passes through a slow relay."""
    pace = RelayPace(relay_interval_s)
    async with nodes_with_slow_link(pace, prepare, peers=cfg or PeerSettings(), stop=STOP) as nodes:
        yield nodes
