"""The standard output and error of a daemon, written by threads and closed at its end."""

from __future__ import annotations

import atexit
import os
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


def dropped() -> dict[str, int]:
    """Return the number of dropped lines by reason."""
    total: dict[str, int] = {}
    for writer in _writers.values():
        for reason, count in writer.dropped().items():
            total[reason] = total.get(reason, 0) + count
    return total


@atexit.register
def _close_writers() -> None:
    end_s = time.monotonic() + CLOSE_TIMEOUT_S
    for writer in _writers.values():
        writer.close(max(0.0, end_s - time.monotonic()))
