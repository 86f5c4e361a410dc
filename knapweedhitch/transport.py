"""Transport between nodes: websockets over TCP for links and UDP for gossip."""

from __future__ import annotations

import contextlib
import errno
import logging
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Protocol

import trio
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.protocol import State
from websockets.trio.client import ClientConnection, connect
from websockets.trio.connection import Connection
from websockets.trio.server import ServerConnection, serve

from knapweedhitch.clock import now_ms
from knapweedhitch.exceptions import PeerDisconnected, PeerUnreachable
from knapweedhitch.model import Address
from knapweedhitch.settings import PeerSettings
from knapweedhitch.sockets import send_at_once

# With port 0 the system picks the TCP port; if that UDP port is in use, another pair is tried.
BIND_ATTEMPTS = 16
MAX_DATAGRAM_BYTES = 65_535
# A connection that was accepted has this limit until its peer has proved itself; the messages of a
# handshake are shorter.
MAX_HANDSHAKE_BYTES = 1_024
# Link frames hold at most 64 KiB plus a header, and closing a link must not delay its successor.
CLOSE_TIMEOUT_S = 0.2

# Failed handshakes are counted, not logged: any client can cause them at any rate.
# A reset may show as any of these, as the reader or the writer of a connection meets it first.
CONNECTION_ERRORS = (
    OSError,
    WebSocketException,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

_muted_logger = logging.getLogger("knapweedhitch.websockets")
_muted_logger.addHandler(logging.NullHandler())
_muted_logger.propagate = False
_muted_logger.setLevel(logging.CRITICAL)


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


class _UnblockedReading(Connection):
    """Read on while a write waits for the peer.

    The library calls `send_data` after each read, which waits for the lock of the write. Two nodes
    whose writes wait for each other to read would wait for ever.
    """

    last_read_ms = -math.inf

    async def send_data(self) -> None:
        """Write what a read has caused, mostly nothing; the library calls this after each read."""
        self.last_read_ms = now_ms()
        if self.protocol.writes:
            await super().send_data()


class _AcceptedConnection(_UnblockedReading, ServerConnection):
    """Represent a connection that a peer has opened."""


class _DialledConnection(_UnblockedReading, ClientConnection):
    """Represent a connection to a peer."""


class WebsocketWire:
    """Transfer messages over one websocket connection."""

    def __init__(self, conn: _UnblockedReading, max_message_bytes: int, *, masked: bool) -> None:
        self._conn = conn
        self._max_message_bytes = max_message_bytes
        # RFC 6455: a 2-byte header, and a 4-byte mask in frames from the client.
        self.overhead_bytes = 6 if masked else 2

    @property
    def last_read_ms(self) -> float:
        """Return when the last bytes arrived, also those of an incomplete message."""
        return self._conn.last_read_ms

    async def send(self, frames: Sequence[bytes]) -> None:
        """Send messages in one write; raises PeerDisconnected."""
        conn = self._conn
        # A single write for all messages saves a system call and a packet per message.
        async with conn.send_lock:
            if conn.protocol.state is not State.OPEN:
                raise PeerDisconnected("the link is closed")
            for frame in frames:
                conn.protocol.send_binary(frame)
            try:
                unsent = await send_at_once(conn.stream, b"".join(conn.protocol.data_to_send()))
                if unsent:
                    await conn.stream.send_all(unsent)
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as exc:
                raise PeerDisconnected(f"the link broke: {exc}") from None

    async def receive(self) -> bytes:
        """Return the next message; raises PeerDisconnected."""
        try:
            return await self._conn.recv(decode=False)
        except ConnectionClosed as exc:
            raise PeerDisconnected(f"the link was closed: {exc}") from None

    def accept_long_messages(self) -> None:
        """Accept messages of any length that links use, once the peer has proved itself."""
        self._conn.protocol.max_message_size = self._max_message_bytes

    async def abort(self) -> None:
        """Close the connection at once, without a close handshake."""
        await trio.aclose_forcefully(self._conn.stream)


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

        async def handle(conn: ServerConnection) -> None:
            assert isinstance(conn, _AcceptedConnection)
            await handler(WebsocketWire(conn, self._cfg.max_message_bytes, masked=False))

        try:
            await serve(
                handle,
                listeners=[self._listener],  # type: ignore[list-item]
                create_connection=_AcceptedConnection,
                compression=None,
                server_header=None,
                open_timeout=self._cfg.handshake_timeout_ms / 1_000,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_S,
                max_size=MAX_HANDSHAKE_BYTES,
                max_queue=self._cfg.max_received_messages,
                logger=_muted_logger,
            )
        finally:
            if self._udp is not None:
                self._udp.close()

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
            with trio.fail_after(self._cfg.connect_timeout_ms / 1_000):
                # trio sets TCP_NODELAY on every stream it opens or accepts.
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as exc:
            raise PeerUnreachable(f"{address}: {exc or 'no connection in time'}") from None
        connecting = connect(
            f"ws://{address}/",
            stream=stream,
            create_connection=_DialledConnection,
            compression=None,
            proxy=None,
            user_agent_header=None,
            open_timeout=self._cfg.connect_timeout_ms / 1_000,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=self._cfg.max_message_bytes,
            max_queue=self._cfg.max_received_messages,
            logger=_muted_logger,
        )
        opened = False
        try:
            async with connecting as conn:
                opened = True
                try:
                    assert isinstance(conn, _DialledConnection)
                    yield WebsocketWire(conn, self._cfg.max_message_bytes, masked=True)
                finally:
                    # A close handshake would delay the end of a silent link.
                    await trio.aclose_forcefully(stream)
        except CONNECTION_ERRORS as exc:
            await trio.aclose_forcefully(stream)
            if opened:
                raise PeerDisconnected(f"{address}: {exc}") from None
            raise PeerUnreachable(f"{address}: {exc}") from None
