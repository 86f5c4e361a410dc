"""Run one process on the platform: `python3 -m knapweedhitch.platform ROLE`."""

from __future__ import annotations

import gc
import sys

from knapweedhitch import signals


def main() -> int:
    """Run the role given on the command line and return the exit code."""
    # The other modules are imported later, because a signal ends the process until this call.
    signals.record()
    # Garbage collection of the objects created by imports took a fifth of the processor time of a
    # start. The daemon enables it again when it is ready.
    gc.disable()
    from knapweedhitch.platform import roles

    code = roles.run(sys.argv[1:])
    signals.ignore()
    return code


if __name__ == "__main__":
    sys.exit(main())
