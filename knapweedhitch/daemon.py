"""The daemon `knapweedhitchd` and its command line."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from knapweedhitch import __version__, signals

if TYPE_CHECKING:
    from knapweedhitch.settings import Settings
    from knapweedhitch.settingsfile import SettingsFile

# The functions import what they use, because signals end the process until `main` is called.


def open_settings(path: str) -> SettingsFile:
    """Return the settings file of a daemon."""
    from knapweedhitch.settings import parse_settings
    from knapweedhitch.settingsfile import SettingsFile

    return SettingsFile(path, parse_settings)


def check_settings(file: SettingsFile) -> Settings:
    """Return the settings of a file after checking its secret files; raises SettingsError."""
    from knapweedhitch.settings import load_secret

    cfg = file.read()
    load_secret(cfg.secrets.peer_secret_file)
    load_secret(cfg.secrets.operator_token_file)
    return cfg


def run_daemon(path: str) -> int:
    """Run the daemon with a settings file and return its exit code."""
    from knapweedhitch import logs, runtime
    from knapweedhitch.exceptions import SettingsError

    file = open_settings(path)
    try:
        cfg = check_settings(file)
    except SettingsError as exc:
        return runtime.print_error(str(exc), runtime.EXIT_SETTINGS)
    logs.setup_buffered(cfg.log, sys.stderr)
    return runtime.run_services(cfg, runtime.SERVICES, file)


class Commands:
    """Run and check one knapweedhitch daemon."""

    def run(self, settings: str) -> None:
        """Run the daemon until SIGTERM; a second SIGTERM aborts calls in flight."""
        from knapweedhitch import output

        output.protect_stderr()
        code = run_daemon(str(settings))
        signals.ignore()
        sys.exit(code)

    def check_settings(self, settings: str) -> None:
        """Check a settings file and its secret files; exit 0 if the daemon would start."""
        from knapweedhitch import runtime
        from knapweedhitch.exceptions import SettingsError

        try:
            cfg = check_settings(open_settings(str(settings)))
        except SettingsError as exc:
            sys.exit(runtime.print_error(str(exc), runtime.EXIT_SETTINGS))
        role = "control instance" if cfg.is_control else "instance"
        print(f"ok: {role} {cfg.node.id} in failure domain {cfg.node.domain}")

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def main(argv: list[str] | None = None) -> None:
    """Run one command of `knapweedhitchd`."""
    args = sys.argv[1:] if argv is None else argv
    args = [arg.replace("-", "_") if arg == "check-settings" else arg for arg in args]
    if args[:1] == ["run"]:
        signals.record()
    # Imported here because only the command line needs it; a running daemon would keep its 3 MB.
    import fire

    fire.Fire(Commands, command=args, name="knapweedhitchd")


if __name__ == "__main__":
    main()
