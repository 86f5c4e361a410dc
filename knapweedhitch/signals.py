"""Signals that a process gets before its event loop runs or after it."""

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


def ignore() -> None:
    """Ignore signals from now on; the interpreter resets handlers, but not these, when it ends."""
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
