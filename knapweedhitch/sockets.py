"""Socket reads and writes with fewer system calls and scheduler turns than trio streams."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket

import trio

CLOSED_ERRNOS = (errno.EBADF, errno.ENOTSOCK)
READ_BYTES = 65_536
# Where the kernel tells in TCP_INFO how many retransmissions and probes in turn had no answer.
TCP_INFO_BYTES = 8
TCP_INFO_UNANSWERED = slice(2, 4)
MAX_UNANSWERED = 3


async def send_at_once(stream: trio.abc.Stream, data: bytes) -> bytes:
    """Write what the socket accepts now and return the rest.

    `send_all` yields to the scheduler after each write and needs a cancel scope for its timeout; a
    write that completes at once needs neither. No other task may write to the stream meanwhile.
    Raises trio.BrokenResourceError and trio.ClosedResourceError.
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


async def send_when_ready(stream: trio.abc.Stream, data: bytes) -> None:
    """Write all data, waiting for room as needed.

    `send_all` can yield between a failed write and its exception. A failed write takes the error
    of the connection with it, so a task that reads meanwhile would see a plain end of the stream.
    Raises trio.BrokenResourceError and trio.ClosedResourceError.
    """
    if not isinstance(stream, trio.SocketStream):
        await stream.send_all(data)
        return
    sock = stream.socket
    rest = memoryview(data)
    while rest:
        if sock.fileno() < 0:
            raise trio.ClosedResourceError("this socket was already closed")
        await trio.lowlevel.wait_writable(sock)
        try:
            rest = rest[os.write(sock.fileno(), rest) :]
        except BlockingIOError:
            continue
        except OSError as exc:
            raise _stream_error(exc) from exc


def has_room(stream: trio.abc.Stream) -> bool:
    """Return whether a short write completes at once; unknown streams count as having room."""
    if not isinstance(stream, trio.SocketStream):
        return True
    poll = select.poll()
    try:
        poll.register(stream.socket.fileno(), select.POLLOUT)
    except ValueError:
        return False  # The socket is closed.
    return bool(poll.poll(0))


def set_user_timeout(stream: trio.abc.Stream, timeout_ms: int) -> None:
    """Limit how long sent data may be unacknowledged, or wait unsent for a peer; 0 is no limit."""
    if isinstance(stream, trio.SocketStream):
        with contextlib.suppress(OSError):
            stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def is_path_dead(stream: trio.abc.Stream) -> bool:
    """Return whether the machine of the peer has left several packets in turn unanswered."""
    if not isinstance(stream, trio.SocketStream):
        return False
    try:
        info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return False
    return isinstance(info, bytes) and max(info[TCP_INFO_UNANSWERED], default=0) >= MAX_UNANSWERED


async def receive_when_ready(stream: trio.abc.Stream, max_bytes: int) -> bytes:
    """Wait for data and return it, or b"" at the end of the stream.

    `receive_some` reads before it waits, which costs a failed read for each request and response.
    Raises trio.BrokenResourceError and trio.ClosedResourceError.
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
    if exc.errno in CLOSED_ERRNOS:
        return trio.ClosedResourceError("this socket was already closed")
    return trio.BrokenResourceError(f"socket connection broken: {exc}")
