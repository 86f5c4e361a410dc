"""Tests of links with real sockets that take longer to write than a peer may be silent."""

from __future__ import annotations

import socket
import unittest
from typing import Any

import trio

from tests.fake_net import Node
from tests.test_forward import RESULT, Sink, execute, make_spec
from tests.test_peers import link_of
from tests.test_planned_stop import BODY_BYTES, slow_real_nodes

SMALL_BUFFER_BYTES = 16_384
CALLS = 6


def shrink_buffers(node: Node, peer_id: str) -> None:
    """Give the socket of a link small buffers."""
    wire: Any = link_of(node, peer_id)._wire
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        wire.stream.setsockopt(socket.SOL_SOCKET, option, SMALL_BUFFER_BYTES)


class SlowLinkTest(unittest.TestCase):
    def test_responses_in_both_directions_do_not_block_each_other(self) -> None:
        """Guards against two nodes of which neither reads while its own write waits for the other,
        until both close the link for missed heartbeats.
        """

        async def main() -> None:
            async with slow_real_nodes(relay_interval_s=0.0) as (a, b):
                self.assertEqual(await execute(a, make_spec()), RESULT)
                shrink_buffers(a, "n1")
                shrink_buffers(b, "n0")
                results: list[Any] = []

                async def call(node: Node, peer_id: str) -> None:
                    forward = node.kernel.get("forward")
                    sink = Sink()
                    spec = make_spec(deadline_ms=10_000)
                    try:
                        await forward.execute(peer_id, spec, None, sink)
                    except Exception as exc:
                        results.append(exc)
                    results.append(len(sink.body))

                async with trio.open_nursery() as nursery:
                    for _ in range(CALLS):
                        nursery.start_soon(call, a, "n1")
                        nursery.start_soon(call, b, "n0")
                self.assertEqual(results, [BODY_BYTES] * 2 * CALLS)

        trio.run(main)
