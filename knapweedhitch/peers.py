"""Links to other nodes, with at most one preferred link for each peer, calls and streams."""

from __future__ import annotations

import dataclasses
from collections import deque

import trio

from knapweedhitch import faults, handshake, logs
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    PeerDisconnected,
    PeerError,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
    RejectReason,
)
from knapweedhitch.handlers import Handler, Handlers, StreamHandler
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.link import Link
from knapweedhitch.messages import OpenStream
from knapweedhitch.model import Address
from knapweedhitch.settings import PeerSettings, load_secret
from knapweedhitch.streams import PeerStream
from knapweedhitch.supervisor import OnFault
from knapweedhitch.timers import Timers
from knapweedhitch.transport import NetTransport, Transport, Wire

HEARTBEAT_CHECKS_PER_INTERVAL = 4
# Proves nothing; a fixed key keeps the handshake messages the same without authentication.
OPEN_CLUSTER_SECRET = b"knapweedhitch without a secret"


@dataclasses.dataclass(eq=False, slots=True)
class _Dial:
    done: trio.Event
    error: str = ""


@dataclasses.dataclass(eq=False, slots=True)
class _Peer:
    node_id: str
    links: list[Link] = dataclasses.field(default_factory=list)
    preferred: Link | None = None
    dial: _Dial | None = None
    last_failure_ms: float = float("-inf")
    last_error: str = ""
    pending_sends: deque[Message] = dataclasses.field(default_factory=deque)


def compute_rest_heartbeat_ms(cfg: PeerSettings, links: int) -> float:
    """Return the heartbeat interval of a resting link; it grows with the number of links."""
    spread_ms = links * MS_PER_S / cfg.max_rest_heartbeats_per_s
    return max(cfg.rest_heartbeat_ms, min(spread_ms, cfg.max_rest_heartbeat_ms))


@service("peers")
class Peers:
    """Send messages to other nodes and dispatch received messages to their handlers."""

    def __init__(
        self, kernel: Kernel, transport: Transport | None = None, secret: bytes | None = None
    ) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.peers
        self._node_id = kernel.cfg.node.id
        self._counters: Counters = kernel.get("counters")
        self._timers: Timers = kernel.get("timers")
        self._transport = transport or NetTransport(self._cfg)
        self._secret = secret
        self._identity: handshake.Identity | None = None
        self._peers: dict[str, _Peer] = {}
        self._links: set[Link] = set()
        self._link_ended = trio.Event()
        self._is_finishing = False
        self._handlers = Handlers(kernel)
        self._log = BoundedLog(kernel.cfg.log, self._counters, Timers.now_ms)
        self.address = Address(kernel.cfg.listen.peers.host, kernel.cfg.listen.peers.port)

    @property
    def transport(self) -> Transport:
        """Return the transport of this node."""
        return self._transport

    @property
    def secret(self) -> bytes:
        """Return the peer secret; raises SettingsError if it cannot be loaded."""
        if self._secret is None and not self._cfg.authenticate:
            logs.warning("peers_not_authenticated", node=self._node_id)
            self._secret = OPEN_CLUSTER_SECRET
        if self._secret is None:
            self._secret = load_secret(self._kernel.cfg.secrets.peer_secret_file)
        return self._secret

    async def start(self) -> None:
        """Bind the listener and accept links; raises OSError and SettingsError."""
        node = self._kernel.cfg.node
        self._identity = handshake.Identity(node.cluster, node.id, self.secret)
        listen = self._kernel.cfg.listen.peers
        self.address = await self._transport.bind(listen.host, listen.port)
        self._kernel.start_task(OnFault.STOP, self._transport.serve, self._accept)
        self._timers.every(
            self._cfg.heartbeat_interval_ms / HEARTBEAT_CHECKS_PER_INTERVAL,
            self._check_heartbeats,
            align=True,
        )

    async def stop(self) -> None:
        """Close every link."""
        for peer in list(self._peers.values()):
            for link in list(peer.links):
                link.close("the node stops")

    async def finish(self, timeout_ms: float) -> None:
        """Open no more links and wait until the peers have received what was sent to them."""
        self._is_finishing = True
        for link in list(self._links):
            link.retire()
        with trio.move_on_after(timeout_ms / MS_PER_S):
            while self._links:
                await self._link_ended.wait()

    def _check_heartbeats(self) -> None:
        rest_heartbeat_ms = compute_rest_heartbeat_ms(self._cfg, len(self._links))
        now = Timers.now_ms()
        for link in list(self._links):
            link.check_heartbeat(now, rest_heartbeat_ms)

    # Interface

    def handle(self, msg_type: type[Message], fn: Handler) -> None:
        """Register the handler of a message type; raises DuplicateRegistration."""
        self._handlers.add(msg_type, fn)

    def handle_streams(self, fn: StreamHandler) -> None:
        """Register the handler of streams; raises DuplicateRegistration."""
        self._handlers.set_stream_handler(fn)

    async def call(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
        """Send a call and return the reply of the peer.

        Raises PeerUnreachable and PeerQueueFull (not processed), PeerTimeout and PeerDisconnected
        (may have been processed) and PeerCallFailed (the handler raised).
        """
        sent = False
        with trio.move_on_after(timeout_ms / 1_000):
            if node_id == self._node_id:
                sent = True
                return await self._handlers.call_local(msg)
            link = await self._get_link(node_id)
            sent = True
            return await link.call(msg)
        if not sent:
            raise PeerUnreachable(
                f"peer={node_id} no link was established within {timeout_ms:.0f} ms"
            )
        self._counters.add("peer_call_timeouts")
        raise PeerTimeout(f"peer={node_id} no reply arrived within {timeout_ms:.0f} ms")

    def send(self, node_id: str, msg: Message) -> None:
        """Send a one-way message; a message that cannot be sent is dropped and counted."""
        if node_id == self._node_id:
            self._counters.add("peer_sends_dropped", "own-node")
            return
        peer = self._get_or_add_peer(node_id)
        try:
            if peer.preferred is not None and peer.preferred.is_usable:
                peer.preferred.put(msg)
                peer.preferred.mark_used(Timers.now_ms())
                return
        except PeerError as exc:
            self._counters.add("peer_sends_dropped", type(exc).__name__)
            return
        if len(peer.pending_sends) >= self._cfg.max_pending_sends:
            self._counters.add("peer_sends_dropped", "PeerQueueFull")
            return
        peer.pending_sends.append(msg)
        if peer.dial is None:
            self._start_dial(peer)

    async def open_stream(self, node_id: str, opening: OpenStream) -> PeerStream:
        """Queue the opening of a stream and return it; raises PeerUnreachable and PeerQueueFull."""
        made_ms = Timers.now_ms()
        link = await self._get_link(node_id)
        try:
            return link.open_stream(opening.after(Timers.now_ms() - made_ms))
        except PeerDisconnected as exc:
            raise PeerUnreachable(str(exc)) from None

    def linked_peers(self) -> list[str]:
        """Return the ids of the peers with a usable link."""
        return [
            node_id
            for node_id, peer in self._peers.items()
            if peer.preferred is not None and peer.preferred.is_usable
        ]

    def release_link(self, node_id: str) -> None:
        """Close the link to a peer once it is idle, unless callers' requests have used it."""
        peer = self._peers.get(node_id)
        link = peer.preferred if peer is not None else None
        if link is not None and not link.has_carried_streams:
            link.retire()

    # Dialling

    def _get_or_add_peer(self, node_id: str) -> _Peer:
        peer = self._peers.get(node_id)
        if peer is None:
            peer = self._peers[node_id] = _Peer(node_id)
        return peer

    def _remove_if_unused(self, peer: _Peer) -> None:
        if not (peer.links or peer.dial or peer.pending_sends):
            self._peers.pop(peer.node_id, None)

    async def _get_link(self, node_id: str) -> Link:
        peer = self._get_or_add_peer(node_id)
        if peer.preferred is not None and peer.preferred.is_usable:
            return peer.preferred
        dial = peer.dial or self._start_dial(peer)
        await dial.done.wait()
        # The link may come from the peer's own dial, and may already be closed again.
        current = self._peers.get(node_id)
        if current is not None and current.preferred is not None and current.preferred.is_usable:
            return current.preferred
        raise PeerUnreachable(f"peer={node_id} {dial.error or 'the link was lost'}")

    def _start_dial(self, peer: _Peer) -> _Dial:
        dial = _Dial(trio.Event())
        if Timers.now_ms() - peer.last_failure_ms < self._cfg.redial_backoff_ms:
            dial.error = f"{peer.last_error} (dialled a moment ago)"
            dial.done.set()
            self._drop_pending_sends(peer)
            return dial
        peer.dial = dial
        self._kernel.start_task(OnFault.END, self._run_dial, peer, dial)
        return dial

    async def _run_dial(self, peer: _Peer, dial: _Dial) -> None:
        try:
            await self._dial_and_run(peer, dial)
        except PeerError as exc:
            self._record_dial_failure(peer, dial, exc)
        except Exception as exc:
            # An unexpected error of one link must not end the process and its other links.
            faults.record(self._counters, "dial-fault", exc, peer=peer.node_id)
            fault = PeerDisconnected(f"{peer.node_id}: {type(exc).__name__}")
            self._record_dial_failure(peer, dial, fault)
        finally:
            self._finish_dial(peer, dial)
            self._remove_if_unused(peer)

    async def _dial_and_run(self, peer: _Peer, dial: _Dial) -> None:
        if self._is_finishing:
            raise PeerUnreachable("this node stops")
        address = self._address_of(peer.node_id)
        if address is None:
            raise PeerUnreachable("no address is known")
        if peer.node_id == self._node_id:
            raise PeerUnreachable("a node has no link to itself")
        if len(self._links) >= self._cfg.max_links:
            raise PeerUnreachable(f"{len(self._links)} links are open")
        assert self._identity is not None
        async with self._transport.connect(address) as wire:
            with trio.move_on_after(self._cfg.handshake_timeout_ms / 1_000) as scope:
                await handshake.dial(wire, self._identity, peer.node_id)
            if scope.cancelled_caught:
                raise PeerUnreachable("no handshake in time")
            await self._run_link(wire, peer.node_id, dial)

    def _record_dial_failure(self, peer: _Peer, dial: _Dial, exc: PeerError) -> None:
        if isinstance(exc, PeerRejected):
            self._counters.add("peer_rejected", exc.reason.value)
            logs.warning("peer_rejected", peer=peer.node_id, reason=exc.reason.value)
        self._counters.add("peer_dial_failed")
        dial.error = str(exc)
        peer.last_failure_ms = Timers.now_ms()
        peer.last_error = dial.error

    def _finish_dial(self, peer: _Peer, dial: _Dial) -> None:
        if peer.dial is dial:
            peer.dial = None
            self._drop_pending_sends(peer)
        dial.done.set()

    def _drop_pending_sends(self, peer: _Peer) -> None:
        if peer.pending_sends:
            self._counters.add("peer_sends_dropped", "PeerUnreachable", len(peer.pending_sends))
            peer.pending_sends.clear()

    def _address_of(self, node_id: str) -> Address | None:
        if self._kernel.has("membership"):
            address: Address | None = self._kernel.get("membership").address_of(node_id)
            if address is not None:
                return address
        return self._kernel.cfg.control_address(node_id)

    # Links

    async def _accept(self, wire: Wire) -> None:
        """Run a link that a peer has dialled."""
        try:
            await self._accept_and_run(wire)
        except Exception as exc:
            # As for a dial: one link must not end the others.
            faults.record(self._counters, "accept-fault", exc)

    async def _accept_and_run(self, wire: Wire) -> None:
        assert self._identity is not None
        if self._is_finishing:
            self._counters.add("peer_rejected", "stopping")
            return
        try:
            with trio.move_on_after(self._cfg.handshake_timeout_ms / 1_000) as scope:
                node_id = await handshake.accept(wire, self._identity)
                if len(self._links) >= self._cfg.max_links:
                    raise PeerRejected(RejectReason.TOO_MANY_LINKS)
            if scope.cancelled_caught:
                self._counters.add("peer_rejected", "handshake-timeout")
                return
        except PeerRejected as exc:
            self._counters.add("peer_rejected", exc.reason.value)
            return
        except PeerDisconnected:
            self._counters.add("peer_rejected", "disconnected")
            return
        await self._run_link(wire, node_id, None)

    async def _run_link(self, wire: Wire, node_id: str, dial: _Dial | None) -> None:
        peer = self._get_or_add_peer(node_id)
        link = Link(wire, node_id, self, self._cfg, self._counters, dialled=dial is not None)
        peer.links.append(link)
        self._counters.add("peer_links_opened")
        self._links.add(link)
        self._choose_preferred(peer, link)
        if peer.dial is not None:
            peer.dial.done.set()
            peer.dial = None
        for msg in peer.pending_sends:
            link.put_frame(msg, "control")
        peer.pending_sends.clear()
        if self._is_finishing:
            link.retire()
        try:
            await link.run()
        finally:
            self._links.discard(link)
            self._link_ended.set()
            self._link_ended = trio.Event()
            peer.links.remove(link)
            self._remove_if_unused(peer)

    def _choose_preferred(self, peer: _Peer, link: Link) -> None:
        """Prefer the newest link, or of simultaneous dials the one opened by the lower node id."""
        old = peer.preferred
        if old is None or not old.is_usable:
            peer.preferred = link
            return
        window_ms = self._cfg.connect_timeout_ms + self._cfg.handshake_timeout_ms
        is_simultaneous = old.dialled != link.dialled and link.opened_ms - old.opened_ms < window_ms
        own_is_lower = self._node_id < peer.node_id
        if is_simultaneous and old.dialled == own_is_lower:
            link.retire()
            return
        peer.preferred = link
        old.retire()

    def on_link_change(self, link: Link) -> None:
        """Prefer another usable link of the peer after its preferred link became unusable."""
        if link.disconnect_error is not None:
            self._log.event(
                "link_closed",
                peer=link.peer_id,
                detail=link.disconnect_error,
                dialled=int(link.dialled),
                **link.describe_backlog(),
                silent_ms=round(link.silent_ms),
            )
        peer = self._peers.get(link.peer_id)
        if peer is not None and peer.preferred is link and not link.is_usable:
            peer.preferred = next((other for other in peer.links if other.is_usable), None)

    def on_message(self, link: Link, msg: Message, call_id: int) -> None:
        """Start the handler of a message."""
        self._handlers.on_message(link, msg, call_id)

    def on_stream(self, link: Link, opening: OpenStream, stream: PeerStream | None) -> None:
        """Start the handler of a stream, or refuse the stream with the outcome not-run."""
        self._handlers.on_stream(link, opening, stream)
