"""Write lines to a file descriptor whose reader, or disk, must not hold up the caller."""

from __future__ import annotations

import os
import queue
import select
import stat
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

DEFAULT_MAX_BYTES = 1_048_576
# Lines that follow each other within this time are written together.
BATCH_S = 0.1

BUFFER_FULL = "buffer-full"
WRITE_FAILED = "write-failed"


class LineWriter:
    """Write lines in order: to a pipe with room at once, else from a thread and its buffer.

    Lines are dropped and counted while the buffer is full.
    """

    def __init__(self, fd: int, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.fd = fd
        self.max_bytes = max_bytes
        # Returns the line that reports the number of dropped lines.
        self.render_dropped: Callable[[int], str] = "{} lines dropped".format
        self._lines: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        # Reentrant, because garbage collection may run a finalizer that prints a warning.
        self._lock = threading.RLock()
        self._buffered_bytes = 0
        self._dropped: Counter[str] = Counter()
        self._reported_count = 0
        self._has_unreported = False
        self._ends_inside_line = False
        self._thread: threading.Thread | None = None
        self._closing = threading.Event()
        self._pipe_fd = _open_pipe(fd)

    def write(self, line: str) -> None:
        """Write, buffer or drop a line that comes without its line feed; never blocks."""
        data = f"{line}\n".encode(errors="backslashreplace")
        with self._lock:
            if self._write_to_pipe(data):
                return
            if self._buffered_bytes + len(data) > self.max_bytes:
                self._drop(BUFFER_FULL)
                return
            if not self._start():
                self._drop(WRITE_FAILED)
                return
            self._buffered_bytes += len(data)
        self._lines.put(data)

    def dropped(self) -> dict[str, int]:
        """Return the number of dropped lines by reason."""
        with self._lock:
            return dict(self._dropped)

    def close(self, timeout_s: float) -> bool:
        """Write the buffer and end; return False if that takes longer than the timeout."""
        self._closing.set()
        if self._thread is None:
            return True
        self._lines.put(b"")  # Wakes the thread.
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _write_to_pipe(self, data: bytes) -> bool:
        """Write a line to a pipe that has room for it; a line of this size is never split."""
        if self._pipe_fd is None or len(data) > select.PIPE_BUF:
            return False
        # The thread first writes what it has, and reports the lines that were dropped.
        if self._buffered_bytes or self._has_unreported:
            return False
        try:
            os.write(self._pipe_fd, data)
        except OSError:
            return False
        return True

    def _start(self) -> bool:
        if self._thread is None:
            thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
            try:
                thread.start()
            except RuntimeError:
                return False  # The system has no room for a thread now.
            self._thread = thread
        return True

    def _run(self) -> None:
        written_s = -BATCH_S
        while True:
            first_line = self._lines.get()
            wait_s = written_s + BATCH_S - time.monotonic()
            if wait_s > 0:
                self._closing.wait(wait_s)
            lines = [first_line, *self._waiting_lines()]
            self._write_lines(line for line in lines if line)
            written_s = time.monotonic()
            # The next line of a busy process would wake the thread only to wait for others.
            if len(lines) > 1:
                self._closing.wait(BATCH_S)
            if self._closing.is_set() and self._lines.empty():
                return

    def _waiting_lines(self) -> Iterator[bytes]:
        while True:
            try:
                yield self._lines.get_nowait()
            except queue.Empty:
                return

    def _write_lines(self, lines: Iterable[bytes]) -> None:
        for chunk in _chunks(lines):
            data = b"".join(chunk)
            is_written = self._write_all(data)
            with self._lock:
                self._buffered_bytes -= len(data)
                if not is_written:
                    self._drop(WRITE_FAILED, len(chunk))
        self._report_dropped()

    def _drop(self, reason: str, count: int = 1) -> None:
        self._dropped[reason] += count
        self._has_unreported = True

    def _report_dropped(self) -> None:
        if not self._has_unreported:
            return
        count = self._dropped.total()
        line = self.render_dropped(count - self._reported_count)
        # After a failure the next batch reports the lines.
        if self._write_all(f"{line}\n".encode()):
            with self._lock:
                self._reported_count = count
                self._has_unreported = self._dropped.total() > count

    def _write_all(self, data: bytes) -> bool:
        """Write whole lines; return False after an error."""
        # A disk that was full within a line must not join it with the next one.
        view = memoryview(b"\n" + data if self._ends_inside_line else data)
        while view:
            try:
                n_bytes = os.write(self.fd, view)
            except BlockingIOError:
                # A process that shares the pipe has made it non-blocking.
                poll = select.poll()
                poll.register(self.fd, select.POLLOUT)
                poll.poll()
                continue
            except OSError:
                return False
            view = view[n_bytes:]
            self._ends_inside_line = bool(view)
        return True


def _open_pipe(fd: int) -> int | None:
    """Open the pipe of a descriptor a second time, as other processes share the flags of the first.

    Returns None for other files.
    """
    pipe_fd = None
    try:
        if not stat.S_ISFIFO(os.fstat(fd).st_mode):
            return None
        pipe_fd = os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        if os.path.sameopenfile(fd, pipe_fd):
            return pipe_fd
    except OSError:
        pass  # The thread writes the lines.
    if pipe_fd is not None:
        os.close(pipe_fd)
    return None


def _chunks(lines: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Group lines into chunks, which a pipe takes whole; a longer line is a chunk of its own."""
    chunk: list[bytes] = []
    chunk_bytes = 0
    for line in lines:
        if chunk and chunk_bytes + len(line) > select.PIPE_BUF:
            yield chunk
            chunk, chunk_bytes = [], 0
        chunk.append(line)
        chunk_bytes += len(line)
    if chunk:
        yield chunk
