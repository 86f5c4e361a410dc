"""The services of each role, and the entry point of one process."""

from __future__ import annotations

import os
import sys

from knapweedhitch import earlylisten, output
from knapweedhitch.exceptions import SettingsError
from knapweedhitch.platform.settings import BOOT_VARIABLE, parse_settings
from knapweedhitch.settings import Listener
from knapweedhitch.settingsfile import SettingsFile

SHARED_SERVICES = (
    ("counters", "counters"),
    ("timers", "timers"),
    ("metrics_page", "http_api"),
    ("peers", "peers"),
    ("membership", "membership"),
    ("suspects", "suspectsharing"),
    ("config", "feed"),
)
SERVICES_BY_ROLE = {
    "core": (
        *SHARED_SERVICES,
        ("control", "control"),
        ("quotas", "quotas"),
        ("rollouts", "rolloutcontrol"),
        ("platform_operators", "platform.apis"),
        ("drain", "drain"),
    ),
    "app": (
        *SHARED_SERVICES,
        ("picker", "pick"),
        ("admission=queue_admission", "queueadmission"),
        ("retry", "retry"),
        ("pool", "pool"),
        ("crashguard", "crashguard"),
        ("rolloutgate", "rolloutgate"),
        ("gate", "gate"),
        ("loadprobe", "loadprobe"),
        ("forward", "forward"),
        ("loadreports", "loadreports"),
        ("announce", "announce"),
        ("quotas", "quotas"),
        ("router=relay", "relay"),
        ("ingress", "ingress"),
        ("platform_heartbeats", "platform.apis"),
        ("platform_readiness", "platform.apis"),
        ("drain", "drain"),
    ),
}


def _report_settings(problem: str) -> int:
    from knapweedhitch import runtime

    print(problem, file=sys.stderr)
    return runtime.EXIT_SETTINGS


def _accept_callers(listener: Listener) -> None:
    if not listener.enabled:
        return
    try:
        earlylisten.open_socket(listener.host, listener.port)
    except OSError as exc:
        # The service that owns the listener tries again and reports a lasting failure.
        print(f"knapweedhitch: cannot listen early at {listener.host}: {exc}", file=sys.stderr)


def run(args: list[str]) -> int:
    """Run the role given in the arguments and return the exit code."""
    output.protect_stderr()
    if len(args) != 1 or args[0] not in SERVICES_BY_ROLE:
        return _report_settings(f"the role must be one of {', '.join(SERVICES_BY_ROLE)}")
    file = SettingsFile(os.environ.get(BOOT_VARIABLE, ""), parse_settings)
    try:
        cfg = file.read()
    except SettingsError as exc:
        return _report_settings(f"knapweedhitch: {exc}")
    _accept_callers(cfg.listen.callers)
    # Imported only now, because these modules take most of the time of a start.
    from knapweedhitch import logs, runtime

    logs.setup_buffered(cfg.log, sys.stdout or sys.stderr)
    return runtime.run_services(cfg, SERVICES_BY_ROLE[args[0]], file)
