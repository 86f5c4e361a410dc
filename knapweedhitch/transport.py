"""Transport between nodes: websockets over TCP for links and UDP for gossip."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Protocol

import trio

from knapweedhitch import websocketwire
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import PeerDisconnected, PeerUnreachable
from knapweedhitch.model import Address
from knapweedhitch.settings import PeerSettings

# With port 0 the system picks the TCP port; if that UDP port is in use, another pair is tried.
BIND_ATTEMPTS = 16
MAX_DATAGRAM_BYTES = 65_535
# A connection that was accepted has this limit until its peer has proved itself; the messages of a
# handshake are shorter.
MAX_HANDSHAKE_BYTES = 1_024


class Wire(Protocol):
    """Transfer whole binary messages in order between two nodes."""

    @property
    def last_read_ms(self) -> float:
        """Return when the last bytes arrived, also those of an incomplete message."""
        ...

    @property
    def overhead_bytes(self) -> int:
        """Return the number of bytes that framing adds to a short message."""
        ...

    async def send(self, frames: Sequence[bytes]) -> None:
        """Send messages in one write; raises PeerDisconnected."""
        ...

    async def receive(self) -> bytes:
        """Return the next message; raises PeerDisconnected."""
        ...

    def accept_long_messages(self) -> None:
        """Accept messages of any length that links use, once the peer has proved itself."""
        ...

    async def abort(self) -> None:
        """Close the connection at once, without a close handshake."""
        ...


class Datagrams(Protocol):
    """Send and receive datagrams; a lost datagram is not an error."""

    def send(self, data: bytes, address: Address) -> bool:
        """Send without waiting; return False if the datagram was dropped."""
        ...

    async def receive(self) -> tuple[bytes, Address]:
        """Return the next datagram and its sender."""
        ...


WireHandler = Callable[[Wire], Awaitable[None]]


class Transport(Protocol):
    """Open links and datagram sockets for one node."""

    async def bind(self, host: str, port: int) -> Address:
        """Bind TCP and UDP to the same port and return the address."""
        ...

    async def serve(self, handler: WireHandler) -> None:
        """Accept connections until cancelled."""
        ...

    def connect(self, address: Address) -> contextlib.AbstractAsyncContextManager[Wire]:
        """Open a connection to a node; raises PeerUnreachable."""
        ...

    @property
    def datagrams(self) -> Datagrams:
        """Return the datagram socket."""
        ...


class BoundedListener(trio.abc.Listener[trio.SocketStream]):
    """Accept connections up to a limit and close those above it at once."""

    def __init__(self, listener: trio.SocketListener, limit: int) -> None:
        self.socket = listener.socket
        self._listener = listener
        self._limit = limit
        self._open: list[trio.SocketStream] = []

    async def accept(self) -> trio.SocketStream:
        """Return the next connection under the limit."""
        while True:
            stream = await self._listener.accept()
            if len(self._open) >= self._limit:
                # A closed socket has no file number; pruning only at the limit keeps accept cheap.
                self._open = [conn for conn in self._open if conn.socket.fileno() != -1]
            if len(self._open) < self._limit:
                self._open.append(stream)
                return stream
            await trio.aclose_forcefully(stream)

    async def aclose(self) -> None:
        """Close the listening socket."""
        await self._listener.aclose()


class UdpSocket:
    """Send and receive datagrams on a UDP socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def send(self, data: bytes, address: Address) -> bool:
        """Send without waiting; return False if the system did not accept the datagram."""
        try:
            self._sock.sendto(data, (address.host, address.port))
        except OSError:
            # A full buffer or an unreachable network counts as a lost datagram; probes detect it.
            return False
        return True

    async def receive(self) -> tuple[bytes, Address]:
        """Return the next datagram and its sender."""
        while True:
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                return data, Address(sender[0], sender[1])
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._sock)
            except OSError as exc:
                # Linux reports ICMP errors of earlier sends here; they do not affect received data.
                if exc.errno in (errno.EBADF, errno.ENOTSOCK):
                    raise trio.ClosedResourceError from None
                await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the socket."""
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()


class NetTransport:
    """Open real sockets, without compression and with keepalive left to the links."""

    def __init__(self, cfg: PeerSettings) -> None:
        self._cfg = cfg
        self._listener: BoundedListener | None = None
        self._udp: UdpSocket | None = None

    @property
    def datagrams(self) -> Datagrams:
        """Return the datagram socket; raises PeerUnreachable before `bind`."""
        if self._udp is None:
            raise PeerUnreachable("the UDP socket is not bound")
        return self._udp

    async def bind(self, host: str, port: int) -> Address:
        """Bind TCP and UDP to the same port and return the address; raises OSError."""
        for attempt in range(BIND_ATTEMPTS):
            listeners = await trio.open_tcp_listeners(port, host=host)
            sock = listeners[0].socket
            bound = Address(host, sock.getsockname()[1])
            udp = socket.socket(sock.family, socket.SOCK_DGRAM)
            udp.setblocking(False)
            try:
                udp.bind((bound.host, bound.port))
            except OSError:
                udp.close()
                await listeners[0].aclose()
                if port != 0 or attempt == BIND_ATTEMPTS - 1:
                    raise
                continue
            self._listener = BoundedListener(listeners[0], self._cfg.max_links)
            self._udp = UdpSocket(udp)
            return bound
        raise OSError(errno.EADDRINUSE, "no port is free for both TCP and UDP")

    async def serve(self, handler: WireHandler) -> None:
        """Accept connections until cancelled."""
        if self._listener is None:
            raise PeerUnreachable("the listener is not bound")

        async def handle(stream: trio.SocketStream) -> None:
            try:
                wire = await self._open_accepted(stream)
                if wire is not None:
                    await handler(wire)
                    await wire.close()
            finally:
                await trio.aclose_forcefully(stream)

        try:
            await trio.serve_listeners(handle, [self._listener])
        finally:
            if self._udp is not None:
                self._udp.close()

    async def _open_accepted(self, stream: trio.SocketStream) -> websocketwire.WebsocketWire | None:
        """Return a new connection, or None if its client does not open a websocket in time."""
        with trio.move_on_after(self._cfg.handshake_timeout_ms / MS_PER_S):
            try:
                return await websocketwire.accept(
                    stream, MAX_HANDSHAKE_BYTES, self._cfg.max_message_bytes
                )
            except PeerDisconnected:
                # Not logged: any client can cause this at any rate.
                return None
        return None

    async def aclose(self) -> None:
        """Close both sockets of a transport that is not serving."""
        if self._udp is not None:
            self._udp.close()
        if self._listener is not None:
            await self._listener.aclose()

    @contextlib.asynccontextmanager
    async def connect(self, address: Address) -> AsyncIterator[Wire]:
        """Open a connection to a node; raises PeerUnreachable, and PeerDisconnected at its end."""
        try:
            with trio.fail_after(self._cfg.connect_timeout_ms / MS_PER_S):
                # trio sets TCP_NODELAY on every stream it opens or accepts.
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as exc:
            raise PeerUnreachable(f"{address}: {exc or 'no connection in time'}") from None
        try:
            try:
                with trio.fail_after(self._cfg.connect_timeout_ms / MS_PER_S):
                    wire = await websocketwire.dial(stream, address, self._cfg.max_message_bytes)
            except (PeerDisconnected, trio.TooSlowError) as exc:
                raise PeerUnreachable(f"{address}: {exc or 'no handshake in time'}") from None
            yield wire
        finally:
            await trio.aclose_forcefully(stream)
