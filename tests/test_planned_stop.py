"""Tests of what other nodes get from a node that stops."""

from __future__ import annotations

import unittest
from typing import Any

import trio
import trio.testing

from knapweedhitch.delivery import DeliveryTracker
from knapweedhitch.drain import Drain
from knapweedhitch.exchange import BodySource, CallSpec
from knapweedhitch.forward import Forward
from knapweedhitch.model import CallResult
from knapweedhitch.settings import StopSettings
from tests.fake_net import MemoryNet, Node, running_nodes
from tests.request_world import FakeService
from tests.test_forward import RESULT, FakeServices, dispatch, execute, make_spec
from tests.test_peers import link_of, run_on_mock_clock

BODY_BYTES = 200_000
STOP = StopSettings(announce_ms=100, drain_timeout_ms=3_000)
RELAY_BYTES = 16_384
# 3.2 Mbit/s
RELAY_INTERVAL_S = 0.04


class StopWorld(FakeService):
    """Provide the services that a planned stop uses, and a gate with a quick upstream."""

    def __init__(self) -> None:
        self.in_progress = 0
        self.active: dict[Any, None] = {}
        self.run_s = 0.05

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
