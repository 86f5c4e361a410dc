"""The mutual challenge that opens a link."""

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
from knapweedhitch.transport import Wire

NONCE_BYTES = 32
# Strangers may send these messages, so they get much less room than authenticated peers.
MAX_HANDSHAKE_BYTES = 1_024


class Role(enum.Enum):
    """State which side opened the connection; a proof of one role is no proof of the other."""

    DIALLER = b"dialler"
    ACCEPTOR = b"acceptor"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Hold what a node says and proves about itself."""

    cluster: str
    node_id: str
    secret: bytes
    version: int = PROTOCOL_VERSION

    def hello(self) -> Hello:
        """Return a hello with a fresh nonce."""
        return Hello(self.cluster, self.version, self.node_id, secrets.token_bytes(NONCE_BYTES))


def proof(secret: bytes, role: Role, dialler: Hello, acceptor: Hello) -> Proof:
    """Return the proof of a role over both hellos."""
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in (role.value, codec.encode(dialler), codec.encode(acceptor)):
        mac.update(len(part).to_bytes(4, "big") + part)
    return Proof(mac.digest())


async def dial(wire: Wire, own: Identity, expected_node_id: str) -> str:
    """Prove and check as the dialler; returns the peer's id, raises PeerRejected."""
    try:
        mine = own.hello()
        await wire.send([codec.encode(mine)])
        theirs = await _receive(wire, Hello)
        _check_hello(theirs, own)
        if theirs.node_id != expected_node_id:
            raise PeerRejected(RejectReason.UNEXPECTED_NODE, theirs.node_id)
        await wire.send([codec.encode(proof(own.secret, Role.DIALLER, mine, theirs))])
        _check_proof(await _receive(wire, Proof), proof(own.secret, Role.ACCEPTOR, mine, theirs))
    except PeerRejected as exc:
        await _refuse(wire, exc)
        raise
    return theirs.node_id


async def accept(wire: Wire, own: Identity) -> str:
    """Prove and check as the acceptor; returns the peer's id, raises PeerRejected."""
    try:
        theirs = await _receive(wire, Hello)
        _check_hello(theirs, own)
        mine = own.hello()
        await wire.send([codec.encode(mine)])
        # The dialler proves first, so a stranger gets no proof to work with.
        _check_proof(await _receive(wire, Proof), proof(own.secret, Role.DIALLER, theirs, mine))
        await wire.send([codec.encode(proof(own.secret, Role.ACCEPTOR, theirs, mine))])
    except PeerRejected as exc:
        await _refuse(wire, exc)
        raise
    return theirs.node_id


M = TypeVar("M", Hello, Proof)


async def _receive(wire: Wire, expected: type[M]) -> M:
    data = await wire.receive()
    try:
        msg = codec.decode(data, MAX_HANDSHAKE_BYTES)
    except CodecError as exc:
        raise PeerRejected(RejectReason.MALFORMED, str(exc)) from None
    if isinstance(msg, Rejected):
        raise _RefusedByPeer(_reason(msg.reason), "refused by the peer")
    if not isinstance(msg, expected):
        raise PeerRejected(RejectReason.MALFORMED, type(msg).__name__)
    return msg


class _RefusedByPeer(PeerRejected):
    """Mark a refusal that came from the peer, which needs no answer."""


def _reason(text: str) -> RejectReason:
    try:
        return RejectReason(text)
    except ValueError:
        return RejectReason.MALFORMED


def _check_hello(theirs: Hello, own: Identity) -> None:
    if theirs.cluster != own.cluster:
        raise PeerRejected(RejectReason.WRONG_CLUSTER, theirs.cluster[:64])
    if theirs.version != own.version:
        raise PeerRejected(RejectReason.WRONG_VERSION, str(theirs.version)[:16])
    if theirs.node_id == own.node_id:
        raise PeerRejected(RejectReason.OWN_NODE_ID, own.node_id)
    if len(theirs.nonce) != NONCE_BYTES or not 1 <= len(theirs.node_id) <= 63:
        raise PeerRejected(RejectReason.MALFORMED, "hello")


def _check_proof(theirs: Proof, expected: Proof) -> None:
    if not hmac.compare_digest(theirs.mac, expected.mac):
        raise PeerRejected(RejectReason.WRONG_SECRET)


async def _refuse(wire: Wire, exc: PeerRejected) -> None:
    if isinstance(exc, _RefusedByPeer):
        return
    try:
        await wire.send([codec.encode(Rejected(exc.reason.value))])
    except PeerDisconnected:
        pass
