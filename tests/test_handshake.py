"""Tests of the link handshake."""

from __future__ import annotations

import dataclasses
import unittest
from collections.abc import Awaitable, Callable

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import codec, handshake
from knapweedhitch.exceptions import PeerDisconnected, PeerRejected, RejectReason
from knapweedhitch.handshake import Identity, Role, compute_proof
from knapweedhitch.messages import Hello, Proof, Rejected
from tests.fake_net import SECRET, MemoryNet, MemoryWire, listen

A = Identity("c", "a", SECRET)
B = Identity("c", "b", SECRET)

Side = Callable[[MemoryWire], Awaitable[object]]


def wire_pair() -> tuple[MemoryWire, MemoryWire]:
    """Return both ends of an in-memory link."""
    net = MemoryNet()
    near, far = (MemoryWire(net, listen(i), listen(1 - i)) for i in (0, 1))  # type: ignore[arg-type]
    near.peer, far.peer = far, near
    return near, far


def run_handshake(near_side: Side, far_side: Side) -> list[object]:
    """Run both sides and return the result or exception of each."""
    results: list[object] = [None, None]

    async def run(i: int, side: Side, wire: MemoryWire) -> None:
        try:
            results[i] = await side(wire)
        except (PeerRejected, PeerDisconnected) as exc:
            results[i] = exc
        await wire.abort()

    async def main() -> None:
        near, far = wire_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, 0, near_side, near)
            nursery.start_soon(run, 1, far_side, far)

    trio.run(main)
    return results


def reject_reason(result: object) -> RejectReason | None:
    """Return the reason of a rejection, or None if the handshake was not rejected."""
    return result.reason if isinstance(result, PeerRejected) else None


class HandshakeTest(unittest.TestCase):
    def test_both_sides_get_the_id_of_the_other(self) -> None:
        """Guards against a link that is attributed to the wrong node id."""
        results = run_handshake(
            lambda w: handshake.dial(w, A, "b"), lambda w: handshake.accept(w, B)
        )
        self.assertEqual(results, ["b", "a"])

    def test_wrong_peers_are_refused_with_a_reason(self) -> None:
        """Guards against links across clusters, versions or secrets, or of a node to itself."""
        cases = [
            ({"cluster": "other"}, "wrong-cluster"),
            ({"version": 2}, "wrong-version"),
            ({"secret": b"f" * 16}, "wrong-secret"),
            ({"node_id": "b"}, "own-node-id"),
        ]
        for change, expected in cases:
            with self.subTest(expected=expected):
                dialler = dataclasses.replace(A, **change)
                results = run_handshake(
                    lambda w, d=dialler: handshake.dial(w, d, "b"),  # type: ignore[misc]
                    lambda w: handshake.accept(w, B),
                )
                both_reasons = [RejectReason(expected)] * 2
                self.assertEqual([reject_reason(r) for r in results], both_reasons)

    def test_another_node_at_the_address_is_refused(self) -> None:
        """Guards against calls that reach another node, which took over the address of the peer."""
        results = run_handshake(
            lambda w: handshake.dial(w, A, "x"), lambda w: handshake.accept(w, B)
        )
        self.assertEqual(reject_reason(results[0]), RejectReason.UNEXPECTED_NODE)

    def test_a_replayed_proof_is_refused(self) -> None:
        """Guards against a client that authenticates with a proof recorded on an earlier link."""
        old = A.hello()
        recorded_proof = compute_proof(SECRET, Role.DIALLER, old, B.hello())

        async def replay(wire: MemoryWire) -> object:
            await wire.send([codec.encode(old)])
            await wire.receive()
            await wire.send([codec.encode(recorded_proof)])
            return codec.decode(await wire.receive())

        results = run_handshake(replay, lambda w: handshake.accept(w, B))
        self.assertEqual(results[0], Rejected("wrong-secret"))
        self.assertEqual(reject_reason(results[1]), RejectReason.WRONG_SECRET)

    def test_a_reflected_proof_is_refused(self) -> None:
        """Guards against an acceptor that authenticates by reflecting the proof of the dialler."""

        async def reflect(wire: MemoryWire) -> object:
            codec.decode(await wire.receive())
            await wire.send([codec.encode(B.hello())])
            await wire.send([await wire.receive()])
            return None

        results = run_handshake(lambda w: handshake.dial(w, A, "b"), reflect)
        self.assertEqual(reject_reason(results[0]), RejectReason.WRONG_SECRET)

    def test_the_acceptor_sends_no_proof_to_an_unauthenticated_client(self) -> None:
        """Guards against an acceptor that sends a proof to an unauthenticated client."""

        async def unauthenticated_client(wire: MemoryWire) -> object:
            await wire.send([codec.encode(A.hello())])
            replies = [codec.decode(await wire.receive())]
            await wire.send([codec.encode(Proof(b""))])
            replies.append(codec.decode(await wire.receive()))
            return replies

        results = run_handshake(unauthenticated_client, lambda w: handshake.accept(w, B))
        assert isinstance(results[0], list)
        self.assertIsInstance(results[0][0], Hello)
        self.assertIsInstance(results[0][1], Rejected)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(st.binary(max_size=80), min_size=1, max_size=3))
    def test_arbitrary_bytes_are_refused(self, frames: list[bytes]) -> None:
        """Guards against arbitrary bytes that raise an untyped error or complete a handshake."""

        async def unauthenticated_client(wire: MemoryWire) -> object:
            await wire.send(frames)
            return None

        for side in (
            lambda w: handshake.accept(w, B),
            lambda w: handshake.dial(w, A, "b"),
        ):
            result = run_handshake(unauthenticated_client, side)[1]
            self.assertIsInstance(result, (PeerRejected, PeerDisconnected))
