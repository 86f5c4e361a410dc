"""Relays in front of targets that delay, silence, cut or reset connections."""

from __future__ import annotations

import enum
import socket
import struct
from collections.abc import Callable

import trio

READ_BYTES = 65_536
# Makes the kernel send a reset when the socket is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """Name what a relay does with the bytes that come."""

    SOUND = "sound"
    SLOW = "slow"
    # Nothing passes, and nothing tells the ends.
    SILENT = "silent"
    # Requests pass, responses don't.
    ONE_WAY = "one-way"


class Relay:
    """Relay connections to one port of a machine."""

    def __init__(self, ip: str, port: int, target_port: int) -> None:
        self.state = LinkState.SOUND
        self.delay_s = 0.0
        self.ip = ip
        self._port = port
        self._target_port = target_port
        self._streams: set[trio.SocketStream] = set()

    async def run(self) -> None:
        """Relay until cancelled."""
        await trio.serve_tcp(self._serve, self._port, host=self.ip)

    def reset_all(self) -> None:
        """Reset all connections on both sides."""
        for stream in list(self._streams):
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.socket.close()

    async def _serve(self, caller: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream(self.ip, self._target_port)
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        self._streams |= {caller, target}
        try:
            async with trio.open_nursery() as nursery:
                done = nursery.cancel_scope.cancel
                nursery.start_soon(self._copy, caller, target, False, done)
                nursery.start_soon(self._copy, target, caller, True, done)
        finally:
            self._streams -= {caller, target}
            caller.socket.close()
            target.socket.close()

    async def _copy(
        self,
        src: trio.SocketStream,
        dst: trio.SocketStream,
        is_response: bool,
        done: Callable[[], None],
    ) -> None:
        try:
            while data := await src.receive_some(READ_BYTES):
                if self.state is LinkState.SLOW:
                    await trio.sleep(self.delay_s)
                is_lost = self.state is LinkState.ONE_WAY and is_response
                if self.state is LinkState.SILENT or is_lost:
                    # A gap in the bytes must not show, so the connection stays silent for good.
                    await trio.sleep_forever()
                await dst.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        done()
