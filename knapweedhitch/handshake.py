"""Mutual challenge-response authentication of a new link."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
import secrets
from typing import TypeVar

from knapweedhitch import codec
from knapweedhitch.exceptions import CodecError, PeerDisconnected, PeerRejected, RejectReason
from knapweedhitch.messages import PROTOCOL_VERSION, Hello, Proof, Rejected
from knapweedhitch.transport import MAX_HANDSHAKE_BYTES, Wire

NONCE_BYTES = 32


class Role(enum.Enum):
    """Identify the side of a connection; a proof for one role is not valid for the other."""

    DIALLER = b"dialler"
    ACCEPTOR = b"acceptor"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Represent the identity that a node claims and proves in a handshake."""

    cluster: str
    node_id: str
    secret: bytes
    version: int = PROTOCOL_VERSION

    def hello(self) -> Hello:
        """Return a Hello with a fresh nonce."""
        return Hello(self.cluster, self.version, self.node_id, secrets.token_bytes(NONCE_BYTES))


def compute_proof(secret: bytes, role: Role, dialler: Hello, acceptor: Hello) -> Proof:
    """Compute the proof of a role over both Hello messages."""
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in (role.value, codec.encode(dialler), codec.encode(acceptor)):
        mac.update(len(part).to_bytes(4, "big") + part)
    return Proof(mac.digest())


async def dial(wire: Wire, own: Identity, expected_node_id: str) -> str:
    """Run the handshake as the dialler and return the peer id; raises PeerRejected."""
    try:
        own_hello = own.hello()
        await wire.send([codec.encode(own_hello)])
        peer_hello = await _receive(wire, Hello)
        _verify_hello(peer_hello, own)
        if peer_hello.node_id != expected_node_id:
            raise PeerRejected(RejectReason.UNEXPECTED_NODE, peer_hello.node_id)
        await wire.send(
            [codec.encode(compute_proof(own.secret, Role.DIALLER, own_hello, peer_hello))]
        )
        _verify_proof(
            await _receive(wire, Proof),
            compute_proof(own.secret, Role.ACCEPTOR, own_hello, peer_hello),
        )
    except PeerRejected as exc:
        await _send_rejection(wire, exc)
        raise
    return peer_hello.node_id


async def accept(wire: Wire, own: Identity) -> str:
    """Run the handshake as the acceptor and return the peer id; raises PeerRejected."""
    try:
        peer_hello = await _receive(wire, Hello)
        _verify_hello(peer_hello, own)
        own_hello = own.hello()
        await wire.send([codec.encode(own_hello)])
        # The dialler proves first, so that an unauthenticated client never obtains a proof.
        _verify_proof(
            await _receive(wire, Proof),
            compute_proof(own.secret, Role.DIALLER, peer_hello, own_hello),
        )
        # The dialler sends nothing between its proof and that of this side.
        wire.accept_long_messages()
        await wire.send(
            [codec.encode(compute_proof(own.secret, Role.ACCEPTOR, peer_hello, own_hello))]
        )
    except PeerRejected as exc:
        await _send_rejection(wire, exc)
        raise
    return peer_hello.node_id


M = TypeVar("M", Hello, Proof)


async def _receive(wire: Wire, expected: type[M]) -> M:
    data = await wire.receive()
    try:
        msg = codec.decode(data, MAX_HANDSHAKE_BYTES)
    except CodecError as exc:
        raise PeerRejected(RejectReason.MALFORMED, str(exc)) from None
    if isinstance(msg, Rejected):
        raise _RefusedByPeer(_parse_reason(msg.reason), "refused by the peer")
    if not isinstance(msg, expected):
        raise PeerRejected(RejectReason.MALFORMED, type(msg).__name__)
    return msg


class _RefusedByPeer(PeerRejected):
    """Report a rejection sent by the peer, which is not answered with another rejection."""


def _parse_reason(text: str) -> RejectReason:
    try:
        return RejectReason(text)
    except ValueError:
        return RejectReason.MALFORMED


def _verify_hello(peer_hello: Hello, own: Identity) -> None:
    if peer_hello.cluster != own.cluster:
        raise PeerRejected(RejectReason.WRONG_CLUSTER, peer_hello.cluster[:64])
    if peer_hello.version != own.version:
        raise PeerRejected(RejectReason.WRONG_VERSION, str(peer_hello.version)[:16])
    if peer_hello.node_id == own.node_id:
        raise PeerRejected(RejectReason.OWN_NODE_ID, own.node_id)
    if len(peer_hello.nonce) != NONCE_BYTES or not 1 <= len(peer_hello.node_id) <= 63:
        raise PeerRejected(RejectReason.MALFORMED, "hello")


def _verify_proof(received: Proof, expected: Proof) -> None:
    if not hmac.compare_digest(received.mac, expected.mac):
        raise PeerRejected(RejectReason.WRONG_SECRET)


async def _send_rejection(wire: Wire, exc: PeerRejected) -> None:
    if isinstance(exc, _RefusedByPeer):
        return
    try:
        await wire.send([codec.encode(Rejected(exc.reason.value))])
    except PeerDisconnected:
        pass
