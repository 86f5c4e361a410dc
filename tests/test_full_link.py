"""Tests of links with much to carry in one direction, on real sockets."""

from __future__ import annotations

import socket
import unittest
from typing import Any
from unittest import mock

import trio

from knapweedhitch.exchange import BodySource, CallSpec
from knapweedhitch.forward import Forward
from knapweedhitch.model import CallResult
from knapweedhitch.settings import PeerSettings
from knapweedhitch.transport import NetTransport, Wire
from tests.fake_net import MemoryNet, Node
from tests.slow_nodes import (
    RELAY_BYTES,
    RELAY_INTERVAL_S,
    RelayPace,
    nodes_with_slow_link,
)
from tests.test_forward import (
    RESULT,
    Body,
    FakeGate,
    FakeServices,
    Sink,
    dispatch,
    execute,
    make_spec,
)
from tests.test_planned_stop import slow_real_nodes, stop

BODY_BYTES = 90_000
CALLS = 6
# A tenth of 3 Mbit/s: 64 KiB take more than a second and a half.
SHARED_INTERVAL_S = 0.4
# As on the platform; other settings than these keep a link open for longer.
PEERS = PeerSettings(heartbeat_interval_ms=250, rest_after_ms=500, rest_heartbeat_ms=250)


async def respond(spec: CallSpec, body: BodySource, sink: Any) -> CallResult:
    """Read the whole request and send a large response, or a short one to a request with a body."""
    await dispatch(sink)
    while await body.receive() is not None:
        pass
    await sink.head(200, (), None)
    await sink.data(b"x" * (1 if spec.has_body else BODY_BYTES))
    await sink.end()
    return RESULT


def prepare(node: Node) -> None:
    """Add the services of the request path to a node."""
    node.add("admission", FakeServices())
    node.add("gate", FakeGate(respond))
    node.add("forward", Forward(node.kernel))


class FullLinkTest(unittest.TestCase):
    def check_calls(
        self, has_body: bool, calls: int = CALLS, interval_s: float = RELAY_INTERVAL_S
    ) -> None:
        """Run concurrent calls through the link, all of which must succeed."""

        async def main() -> tuple[list[Any], list[Any]]:
            pace = RelayPace()
            async with nodes_with_slow_link(pace, prepare, peers=PEERS) as (a, b):
                results: list[Any] = []
                # Opens the link, whose handshake has a time limit.
                await execute(a, make_spec(True), Body())
                pace.interval_s = interval_s

                async def call() -> None:
                    body = Body(b"x" * BODY_BYTES) if has_body else Body()
                    spec = make_spec(has_body, deadline_ms=8_000)
                    results.append(await execute(a, spec, body, Sink()))

                async with trio.open_nursery() as nursery:
                    for _ in range(calls):
                        nursery.start_soon(call)
                counters = [node.counters for node in (a, b)]
                closed = [counts.get("peer_link_closed", "silent") for counts in counters]
                silent = [counts.get("peer_links_silent") for counts in counters]
                return results, [*closed, *silent]

        results, found_silent = trio.run(main)
        self.assertEqual(results, [RESULT] * calls)
        self.assertEqual(found_silent, [0, 0, 0, 0])

    def test_link_that_is_full_of_responses_is_not_taken_for_silent(self) -> None:
        """Guards against a node that closes a link, with the responses on it, because its pings
        wait behind them while the other node receives and has nothing to send.
        """
        self.check_calls(has_body=False)

    def test_link_that_is_full_of_request_bodies_is_not_taken_for_silent(self) -> None:
        """Guards against the same at the node that sends the requests."""
        self.check_calls(has_body=True)

    def test_link_with_a_slow_message_on_it_is_not_taken_for_silent(self) -> None:
        """Guards against a node that closes a link while the bytes of a long message arrive, since
        it counts whole messages only; many links may share the bandwidth of a machine.
        """
        self.check_calls(has_body=False, calls=1, interval_s=SHARED_INTERVAL_S)

    def test_stop_delivers_what_waits_on_a_full_link(self) -> None:
        """Guards against a planned stop that ends when the first link counts as silent, with the
        responses on it.
        """

        async def main() -> list[Any]:
            async with slow_real_nodes(cfg=PEERS) as (a, b):
                results: list[Any] = []

                async def call() -> None:
                    results.append(await execute(a, make_spec(deadline_ms=8_000), sink=Sink()))

                async with trio.open_nursery() as nursery:
                    for _ in range(CALLS):
                        nursery.start_soon(call)
                    await trio.sleep(0.3)
                    await stop(b, MemoryNet())
                return results

        with mock.patch("tests.test_planned_stop.BODY_BYTES", BODY_BYTES):
            self.assertEqual(trio.run(main), [RESULT] * CALLS)


class FullWireTest(unittest.TestCase):
    def test_wire_that_is_full_in_both_directions_goes_on(self) -> None:
        """Guards against two nodes that both wait with a write until the other one reads, because
        neither reads while its own write waits.
        """
        frames = [b"x" * 65_536] * 16

        async def exchange(wire: Wire, received: list[int]) -> None:
            """Send all frames at once and receive as many."""
            wire.stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * RELAY_BYTES)  # type: ignore[attr-defined]
            wire.accept_long_messages()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.send, frames)
                for _ in frames:
                    received.append(len(await wire.receive()))

        async def main() -> list[list[int]]:
            transport = NetTransport(PeerSettings())
            address = await transport.bind("127.0.0.1", 0)
            received: list[list[int]] = [[], []]
            accepted = trio.Event()
            ended = trio.Event()

            async def accept(wire: Wire) -> None:
                accepted.set()
                await exchange(wire, received[0])
                ended.set()
                await trio.sleep_forever()

            with trio.move_on_after(5) as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(transport.serve, accept)
                    async with transport.connect(address) as wire:
                        await accepted.wait()
                        await exchange(wire, received[1])
                        await ended.wait()
                    scope.cancel()
            return received

        received = trio.run(main)
        self.assertEqual([len(lengths) for lengths in received], [len(frames)] * 2)
