"""Run a module as the main program, which gets a signal at a given point of its life.

Usage: python -m tests.signal_at SIGNAL POINT [SIGNAL POINT ...] -- MODULE ARGUMENTS. A point is the
name of a module, whose import triggers the signal, or `exit`, the end of the interpreter.
"""

from __future__ import annotations

import builtins
import os
import runpy
import signal
import sys
from collections.abc import Sequence
from typing import Any

EXIT = "exit"


class SignalAtImport:
    """Send a signal to this process when a module is looked up for its import."""

    def __init__(self, number: int, module: str) -> None:
        self._number = number
        self._module = module

    def find_spec(self, name: str, path: Sequence[str] | None = None, target: Any = None) -> None:
        if name == self._module:
            os.kill(os.getpid(), self._number)


class SignalAtExit:
    """Send a signal to this process when the interpreter removes its last objects."""

    def __init__(self, number: int) -> None:
        self._send = os.kill, os.getpid(), number

    def __del__(self) -> None:
        kill, pid, number = self._send
        kill(pid, number)


def main() -> None:
    """Arrange the signals and run the module."""
    split = sys.argv.index("--")
    points = sys.argv[1:split]
    for name, point in zip(points[::2], points[1::2], strict=True):
        number = signal.Signals[name]
        if point == EXIT:
            setattr(builtins, f"signal_at_exit_{name}", SignalAtExit(number))
        else:
            sys.meta_path.insert(0, SignalAtImport(number, point))  # type: ignore[arg-type]
    sys.argv = sys.argv[split + 1 :]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
