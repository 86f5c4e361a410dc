"""Reads and writes that take fewer steps than those of a trio stream."""

from __future__ import annotations

import errno
import os

import trio

CLOSED = (errno.EBADF, errno.ENOTSOCK)


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
        raise _stream_error(exc) from exc
    return data[sent:]


async def receive_when_ready(stream: trio.abc.Stream, max_bytes: int) -> bytes:
    """Return the next bytes, b"" at the end; raises Broken- and ClosedResourceError.

    `receive_some` reads before it waits, which fails once for each request and each answer.
    """
    if not isinstance(stream, trio.SocketStream):
        return bytes(await stream.receive_some(max_bytes))
    sock = stream.socket
    while True:
        if sock.fileno() < 0:
            raise trio.ClosedResourceError("this socket was already closed")
        await trio.lowlevel.wait_readable(sock)
        try:
            return os.read(sock.fileno(), max_bytes)
        except BlockingIOError:
            continue
        except OSError as exc:
            raise _stream_error(exc) from exc


def _stream_error(exc: OSError) -> Exception:
    if exc.errno in CLOSED:
        return trio.ClosedResourceError("this socket was already closed")
    return trio.BrokenResourceError(f"socket connection broken: {exc}")
