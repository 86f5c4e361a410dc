"""Signals that a process gets before its event loop runs."""

from __future__ import annotations

import signal
from types import FrameType

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_received: list[int] = []


def record() -> None:
    """Record signals from now on, in place of their default action, which ends the process."""
    for number in SIGNALS:
        signal.signal(number, _record)


def _record(number: int, frame: FrameType | None) -> None:
    _received.append(number)


def redeliver() -> None:
    """Raise the recorded signals again, for handlers installed since."""
    received = _received.copy()
    _received.clear()
    for number in received:
        signal.raise_signal(number)
