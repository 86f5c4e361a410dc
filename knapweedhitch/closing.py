"""Ways to close a connection without cutting the response that is still on its way."""

from __future__ import annotations

from socket import MSG_PEEK

import trio

from knapweedhitch.sockets import READ_BYTES

# Bytes of an unread body that are read and dropped so that the caller can read its response.
MAX_LINGER_BYTES = 1_048_576


async def linger(stream: trio.abc.Stream, linger_ms: float) -> None:
    """Shut down writing, then read and drop what the caller still sends for up to `linger_ms`.

    Closing with unread bytes resets the connection, and the caller may lose the response.
    """
    with trio.move_on_after(linger_ms / 1_000):
        try:
            if isinstance(stream, trio.abc.HalfCloseableStream):
                await stream.send_eof()
            remaining_bytes = MAX_LINGER_BYTES
            while remaining_bytes > 0 and (data := await stream.receive_some(READ_BYTES)):
                remaining_bytes -= len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


async def linger_unread(stream: trio.abc.Stream, linger_ms: float) -> None:
    """Shut down writing, then wait until the caller closes for up to `linger_ms`, reading nothing.

    Closing with unread bytes resets the connection, and the caller may lose the end of a response
    that is still on its way. A request that crosses the close stays unread and may be sent again.
    """
    if not isinstance(stream, trio.SocketStream):
        return
    with trio.move_on_after(linger_ms / 1_000):
        try:
            await stream.send_eof()
            if await stream.socket.recv(1, MSG_PEEK):
                await trio.sleep_forever()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller has closed or reset the connection.
            pass
