"""A log handler that writes each line at once, to compare with that of a daemon."""

from __future__ import annotations

from typing import IO

import logbook

FORMAT = "time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} {record.message}"


def install(level: str, stream: IO[str]) -> logbook.Handler:
    """Install a handler for events at or above the level."""
    handler = logbook.StreamHandler(stream, level=logbook.lookup_level(level), format_string=FORMAT)
    handler.push_application()
    return handler
