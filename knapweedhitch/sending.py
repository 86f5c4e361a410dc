"""Writes that skip the scheduler when the socket takes all bytes at once."""

from __future__ import annotations

import errno
import os

import trio


async def send_at_once(stream: trio.abc.Stream, data: bytes) -> bytes:
    """Write what the socket takes now and return the rest; raises Broken- and ClosedResourceError.

    `send_all` yields to the scheduler after each write and needs a cancel scope for its timeout; a
    write that is over at once needs neither. Nothing else may be writing to the stream.
    """
    if not isinstance(stream, trio.SocketStream):
        return data
    await trio.lowlevel.checkpoint_if_cancelled()
    try:
        sent = os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return data
    except OSError as exc:
        if exc.errno in (errno.EBADF, errno.ENOTSOCK):
            raise trio.ClosedResourceError("this socket was already closed") from None
        raise trio.BrokenResourceError(f"socket connection broken: {exc}") from exc
    return data[sent:]
