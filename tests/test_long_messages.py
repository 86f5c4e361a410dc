"""Tests of long messages on a link that other requests share."""

from __future__ import annotations

import unittest
from typing import Any

import trio

from knapweedhitch.exchange import BodySource, CallSpec
from knapweedhitch.forward import Forward
from knapweedhitch.messages import Ack, Propose
from knapweedhitch.model import CallResult
from knapweedhitch.settings import PeerSettings
from tests.fake_net import Node, running_nodes
from tests.test_forward import RESULT, FakeGate, FakeServices, dispatch, execute, make_spec
from tests.test_peers import run_on_mock_clock

# As on the platform, where an operator may send as much.
PEERS = PeerSettings(max_message_bytes=16_777_216)


async def respond_later(spec: CallSpec, body: BodySource, sink: Any) -> CallResult:
    await dispatch(sink)
    await trio.sleep(0.5)
    await sink.head(200, (), None)
    await sink.end()
    return RESULT


def prepare(node: Node) -> None:
    """Add the services of the request path to a node."""
    node.add("admission", FakeServices())
    node.add("gate", FakeGate(respond_later))
    node.add("forward", Forward(node.kernel))


class LongMessageTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_long_call_ends_no_request_on_its_link(self) -> None:
        """Guards against a call within the limit of the link whose body has a lower limit, so that
        its receiver closes the link and cuts the requests on it.
        """

        async def accept(node_id: str, msg: Propose) -> Ack:
            return Ack()

        async with running_nodes(2, prepare=prepare, peers=PEERS) as (a, b):
            b.peers.handle(Propose, accept)
            results: list[Any] = []

            async def call() -> None:
                results.append(await execute(a, make_spec(deadline_ms=4_000)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.1)
                results.append(await a.peers.call("n1", Propose(bytes(2_000_000)), 2_000))
            self.assertEqual(results, [Ack(), RESULT])
