"""Run one daemon under cProfile and write the profile when it stops."""

from __future__ import annotations

import cProfile
import sys

from knapweedhitch.daemon import run_daemon


def main() -> None:
    """Run the daemon with the settings file and write the profile beside it as SETTINGS.prof."""
    path = sys.argv[-1]
    profile = cProfile.Profile()
    try:
        code = profile.runcall(run_daemon, path)
    finally:
        profile.dump_stats(f"{path}.prof")
    sys.exit(code)


if __name__ == "__main__":
    main()
