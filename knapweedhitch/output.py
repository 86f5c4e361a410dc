"""The standard output and error of a daemon, written by threads and closed at its end."""

from __future__ import annotations

import atexit
import io
import os
import sys
import time
from typing import Protocol

from knapweedhitch.logwriter import LineWriter

# A process that ends waits this long for its last lines to be written.
CLOSE_TIMEOUT_S = 0.25

# Standard output and error are often the same file, whose lines one writer must write.
_writers: dict[tuple[int, int], LineWriter] = {}


class SupportsFileno(Protocol):
    """Define the part of a stream that names its file."""

    def fileno(self) -> int: ...


class LineStream(io.TextIOBase):
    """Pass the lines printed to a stream to a writer."""

    encoding = "utf-8"
    errors = "backslashreplace"

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer
        self._start_of_line = ""

    def writable(self) -> bool:
        """Return whether the stream can be written to."""
        return True

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._writer.fd

    def write(self, text: str) -> int:
        """Pass the lines that the text completes to the writer."""
        *lines, self._start_of_line = (self._start_of_line + text).split("\n")
        for line in lines:
            self._writer.write(line)
        return len(text)

    def flush(self) -> None:
        """Complete a line that has begun."""
        if self._start_of_line:
            self.write("\n")


def find_writer(stream: SupportsFileno) -> LineWriter:
    """Return the writer of the file behind a standard stream."""
    fd = stream.fileno()
    try:
        info = os.fstat(fd)
        key = (info.st_dev, info.st_ino)
    except OSError:
        key = (-1, fd)
    if key not in _writers:
        _writers[key] = LineWriter(fd)
    return _writers[key]


def protect_stderr() -> None:
    """Write standard error from a thread too: prints, warnings and the traceback of an exit."""
    stream = sys.__stderr__
    if stream is not None and sys.stderr is stream:
        sys.stderr = LineStream(find_writer(stream))


def dropped() -> dict[str, int]:
    """Return the number of dropped lines by reason."""
    total: dict[str, int] = {}
    for writer in _writers.values():
        for reason, count in writer.dropped().items():
            total[reason] = total.get(reason, 0) + count
    return total


@atexit.register
def _close_writers() -> None:
    if isinstance(sys.stderr, LineStream):
        sys.stderr.flush()
    end_s = time.monotonic() + CLOSE_TIMEOUT_S
    closed = [writer.close(max(0.0, end_s - time.monotonic())) for writer in _writers.values()]
    if all(closed):
        # Nobody writes the messages of the interpreter's own end otherwise.
        sys.stderr = sys.__stderr__
