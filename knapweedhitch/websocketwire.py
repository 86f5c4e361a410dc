"""Websocket connections between nodes: the protocol of the library, without its connections.

The connections of the library start a task each, pass messages through channels and load asyncio,
which takes memory on every node.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Sequence

import trio
from websockets.client import ClientProtocol
from websockets.frames import DATA_OPCODES, Frame
from websockets.http11 import Request, Response
from websockets.protocol import Event, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from knapweedhitch.clock import now_ms
from knapweedhitch.closing import linger
from knapweedhitch.exceptions import PeerDisconnected
from knapweedhitch.model import Address
from knapweedhitch.sockets import (
    READ_BYTES,
    receive_when_ready,
    send_at_once,
    send_when_ready,
)

# Bytes that a peer still sends after it broke the protocol are read and dropped for so long.
LINGER_MS = 200.0

# Failed handshakes are counted, not logged: any client can cause them at any rate.
_muted_logger = logging.getLogger("knapweedhitch.websockets")
_muted_logger.addHandler(logging.NullHandler())
_muted_logger.propagate = False
_muted_logger.setLevel(logging.CRITICAL)


class WebsocketWire:
    """Transfer whole messages over one websocket connection, without compression or pings."""

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: ClientProtocol | ServerProtocol,
        max_message_bytes: int,
        *,
        masked: bool,
    ) -> None:
        self.stream = stream
        self.protocol = protocol
        self.last_read_ms = -math.inf
        # RFC 6455: a 2-byte header, and a 4-byte mask in frames from the client.
        self.overhead_bytes = 6 if masked else 2
        self._max_message_bytes = max_message_bytes
        self._messages: deque[bytes] = deque()
        # The parts of a message that was sent in several frames.
        self._parts = bytearray()
        self._is_writing = False

    async def send(self, frames: Sequence[bytes]) -> None:
        """Send messages in one write, from one task at a time; raises PeerDisconnected."""
        if self.protocol.state is not State.OPEN:
            raise PeerDisconnected("the link is closed")
        for frame in frames:
            self.protocol.send_binary(frame)
        await self.flush()

    async def flush(self) -> None:
        """Write what the protocol has to send; raises PeerDisconnected."""
        # A single write for all messages saves a system call and a packet per message.
        data = b"".join(self.protocol.data_to_send())
        self._is_writing = True
        try:
            unsent = await send_at_once(self.stream, data)
            if unsent:
                await send_when_ready(self.stream, unsent)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerDisconnected(f"the link broke: {exc}") from None
        finally:
            self._is_writing = False

    async def receive(self) -> bytes:
        """Return the next message; raises PeerDisconnected.

        Nothing is read while messages wait here, so they take no more than one read.
        """
        while not self._messages:
            for event in await self.read_events():
                self.take(event)
        return self._messages.popleft()

    async def read_events(self) -> list[Event]:
        """Read once and return what has arrived completely; raises PeerDisconnected."""
        if self.protocol.state is State.CLOSING or self.protocol.state is State.CLOSED:
            raise PeerDisconnected(f"the link was closed: {self._end_reason()}")
        try:
            data = await receive_when_ready(self.stream, READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerDisconnected(f"the link broke: {exc}") from None
        if not data:
            raise PeerDisconnected("the link was closed by the peer")
        self.last_read_ms = now_ms()
        self.protocol.receive_data(data)
        if self.protocol.writes and not self._is_writing:
            await self._send_control_frames()
        return self.protocol.events_received()

    async def _send_control_frames(self) -> None:
        """Send the pong or close frame that a read has caused; other nodes cause none.

        It never waits, since two nodes whose writes wait for each other to read would wait for
        ever.
        """
        try:
            unsent = await send_at_once(self.stream, b"".join(self.protocol.data_to_send()))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerDisconnected(f"the link broke: {exc}") from None
        if unsent:
            raise PeerDisconnected("the peer does not read")

    def take(self, event: Event) -> None:
        """Keep the message that an event completes; other events are ignored."""
        if not isinstance(event, Frame) or event.opcode not in DATA_OPCODES:
            return
        if event.fin and not self._parts:
            self._messages.append(bytes(event.data))
            return
        self._parts += event.data
        if event.fin:
            self._messages.append(bytes(self._parts))
            self._parts = bytearray()

    def _end_reason(self) -> str:
        cause = self.protocol.parser_exc or self.protocol.handshake_exc
        return str(cause) if cause is not None else "by a close frame"

    def accept_long_messages(self) -> None:
        """Accept messages of any length that links use, once the peer has proved itself."""
        self.protocol.max_message_size = self._max_message_bytes

    async def close(self) -> None:
        """Close the connection, so that a peer that broke the protocol can read the reason."""
        if self.protocol.state is State.CLOSING:
            await linger(self.stream, LINGER_MS)
        await self.abort()

    async def abort(self) -> None:
        """Close the connection at once, without a close handshake."""
        await trio.aclose_forcefully(self.stream)


async def accept(
    stream: trio.SocketStream, max_handshake_bytes: int, max_message_bytes: int
) -> WebsocketWire:
    """Open a connection that a peer has dialled; raises PeerDisconnected."""
    protocol = ServerProtocol(max_size=max_handshake_bytes, logger=_muted_logger)
    wire = WebsocketWire(stream, protocol, max_message_bytes, masked=False)
    request = await _receive_handshake(wire)
    if isinstance(request, Request):
        protocol.send_response(protocol.accept(request))
        await wire.flush()
    _check_open(wire)
    return wire


async def dial(
    stream: trio.SocketStream, address: Address, max_message_bytes: int
) -> WebsocketWire:
    """Open a connection to a peer over a connected stream; raises PeerDisconnected."""
    uri = parse_uri(f"ws://{address}/")
    protocol = ClientProtocol(uri, max_size=max_message_bytes, logger=_muted_logger)
    wire = WebsocketWire(stream, protocol, max_message_bytes, masked=True)
    protocol.send_request(protocol.connect())
    await wire.flush()
    await _receive_handshake(wire)
    _check_open(wire)
    return wire


async def _receive_handshake(wire: WebsocketWire) -> Request | Response | None:
    """Return the request or response that opens the connection, None if it is invalid."""
    while wire.protocol.handshake_exc is None:
        events = await wire.read_events()
        if events and not isinstance(events[0], Frame):
            for event in events[1:]:
                wire.take(event)
            return events[0]
    return None


def _check_open(wire: WebsocketWire) -> None:
    if wire.protocol.state is not State.OPEN:
        raise PeerDisconnected(f"no websocket handshake: {wire.protocol.handshake_exc}")
