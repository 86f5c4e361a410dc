"""The event loop of one process: starts the services, reports readiness and stops on a signal."""

from __future__ import annotations

import gc
import importlib
import signal
import sys
from collections.abc import AsyncIterator, Sequence

import trio

from knapweedhitch import __version__, faults, logs, signals
from knapweedhitch.clock import SuspendAwareClock
from knapweedhitch.exceptions import KnapweedhitchError, MissingModule, SettingsError, TaskFailed
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address
from knapweedhitch.settings import Settings
from knapweedhitch.settingsfile import SettingsFile

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_SETTINGS = 2
# Changes of the settings file may come without a signal.
SETTINGS_CHECK_MS = 5_000.0

# Name of each service and the module that registers it, in the order of construction.
SERVICES = (
    ("counters", "counters"),
    ("timers", "timers"),
    ("peers", "peers"),
    ("membership", "membership"),
    ("suspects", "suspectsharing"),
    ("config", "feed"),
    ("control", "control"),
    ("quotas", "quotas"),
    ("picker", "pick"),
    ("admission", "admission"),
    ("retry", "retry"),
    ("slotlease", "slotlease"),
    ("pool", "pool"),
    ("crashguard", "crashguard"),
    ("gate", "gate"),
    ("forward", "forward"),
    ("loadreports", "loadreports"),
    ("direct", "direct"),
    ("claims", "claims"),
    ("announce", "announce"),
    ("router", "router"),
    ("ingress", "ingress"),
    ("operator_api", "operator_api"),
    ("drain", "drain"),
)
# Name of each listener and the service that owns it; the bound address is its attribute `address`.
LISTENERS = (
    ("callers", "ingress"),
    ("peers", "peers"),
    ("announce", "announce"),
    ("operator", "operator_api"),
)


def load_services(cfg: Settings, services: Sequence[tuple[str, str]] = SERVICES) -> list[str]:
    """Import the service modules and return the services to construct; raises MissingModule."""
    names = []
    for name, module in services:
        if name == "control" and not cfg.is_control:
            continue
        try:
            importlib.import_module(f"knapweedhitch.{module}")
        except ImportError as exc:
            raise MissingModule(
                f"service {name}: module knapweedhitch.{module} cannot be imported: {exc}; "
                "install knapweedhitch again"
            ) from exc
        names.append(name)
    return names


def bound_addresses(kernel: Kernel) -> dict[str, str]:
    """Return the host:port of every bound listener."""
    addresses = {}
    for listener, owner in LISTENERS:
        if kernel.has(owner):
            addresses[listener] = str(kernel.get(owner).address)
    return addresses


async def serve(cfg: Settings, names: Sequence[str], file: SettingsFile) -> None:
    """Run the named services until a stop has finished; raises TaskFailed if a task caused it."""
    kernel = Kernel(cfg)
    # Opened before the services start, so that no signal kills a half-started process.
    with trio.open_signal_receiver(*signals.SIGNALS) as receiver:
        signals.redeliver()
        async with trio.open_nursery() as nursery:
            handler = _SignalHandler(kernel, nursery.cancel_scope, file)
            nursery.start_soon(handler.run, receiver)
            nursery.start_soon(handler.stop_on_fault)
            await nursery.start(kernel.run, names)
            _set_phase(kernel, "running")
            _exempt_from_collection()
            logs.event(
                "ready",
                node=cfg.node.id,
                domain=cfg.node.domain,
                release=__version__,
                **bound_addresses(kernel),
            )
            handler.set_running()
            kernel.get("timers").every(
                SETTINGS_CHECK_MS, handler.check_settings, jitter=0.1, align=True
            )
            await kernel.get("drain").finished.wait()
            logs.event("stopped", node=cfg.node.id)
            nursery.cancel_scope.cancel()
    if kernel.supervisor.failed_task:
        raise TaskFailed(kernel.supervisor.failed_task)


def _exempt_from_collection() -> None:
    # Modules and services live as long as the process; a full collection that scans them pauses all
    # calls for tens of milliseconds.
    _collect_and_freeze()
    gc.enable()


def _collect_and_freeze() -> None:
    gc.collect()
    gc.freeze()


def _set_phase(kernel: Kernel, phase: str) -> None:
    if kernel.has("operator_api"):
        kernel.get("operator_api").phase = phase


class _SignalHandler:
    """Act on signals; those that need the services wait until these have started."""

    def __init__(self, kernel: Kernel, scope: trio.CancelScope, file: SettingsFile) -> None:
        self._kernel = kernel
        self._scope = scope
        self._file = file
        self._is_running = False
        self._reload_pending = False
        self._pending_stop = ""
        self._stop_signals = 0

    async def run(self, receiver: AsyncIterator[int]) -> None:
        """Act on each signal that arrives."""
        async for number in receiver:
            if number == signal.SIGHUP:
                self._handle_reload()
            else:
                self._handle_stop(signal.Signals(number).name)

    async def stop_on_fault(self) -> None:
        """Start a planned stop, or end one at once, when a task fails that the process needs."""
        await self._kernel.supervisor.stop_requested.wait()
        self._handle_stop("task-fault")

    def set_running(self) -> None:
        """Act through the services from now on, also on an earlier SIGHUP."""
        self._is_running = True
        if self._reload_pending:
            self._handle_reload()
        if self._pending_stop:
            self._handle_stop(self._pending_stop)

    def check_settings(self) -> None:
        """Reload the settings file if it has changed without a signal."""
        if self._file.has_changed():
            self._handle_reload()

    def _handle_reload(self) -> None:
        if self._is_running:
            reload(self._kernel, self._file)
        else:
            self._reload_pending = True

    def _handle_stop(self, name: str) -> None:
        if not self._is_running:
            logs.event("stop_during_start", signal=name)
            if self._serves_callers():
                # The services that a planned stop needs start next.
                self._pending_stop = name
            else:
                self._scope.cancel()
            return
        self._stop_signals += 1
        _set_phase(self._kernel, "stopping")
        if self._stop_signals == 1:
            logs.event("planned_stop", signal=name)
            self._kernel.get("drain").begin()
        else:
            logs.warning("hard_stop", signal=name)
            self._kernel.get("drain").stop_now()

    def _serves_callers(self) -> bool:
        return self._kernel.has("ingress") and self._kernel.get("ingress").has_connections


def reload(kernel: Kernel, file: SettingsFile) -> None:
    """Read the settings again and apply the seeds; other changes take effect at the next start."""
    try:
        cfg = file.reload()
    except SettingsError as exc:
        logs.warning("reload_refused", place=exc.place, problem=exc.problem)
        return
    if kernel.has("membership"):
        seeds = [Address(seed.host, seed.port) for seed in cfg.membership.seeds]
        kernel.get("membership").add_seeds(seeds)
    logs.event("reload", node=cfg.node.id, seeds=len(cfg.membership.seeds))


def print_error(problem: str, code: int) -> int:
    """Print a problem for the user and return the exit code."""
    print(f"knapweedhitchd: {problem}", file=sys.stderr)
    return code


def run_services(cfg: Settings, services: Sequence[tuple[str, str]], file: SettingsFile) -> int:
    """Run services until a stop and return the exit code; the settings file may change."""
    # The libraries leave a megabyte of garbage, which the services then take; a collection when all
    # is loaded would come after the memory has reached its peak.
    _collect_and_freeze()
    try:
        names = load_services(cfg, services)
        trio.run(
            serve,
            cfg,
            names,
            file,
            clock=SuspendAwareClock(),
            strict_exception_groups=True,
        )
    except (Exception, BaseExceptionGroup) as exc:
        return _report_failure(exc)
    return EXIT_OK


def _report_failure(exc: BaseException) -> int:
    found = list(faults.leaves(exc))
    for fault in found:
        logs.warning(
            "fault", error=type(fault).__name__, place=logs.location_of(fault), detail=fault
        )
    for fault in found:
        if isinstance(fault, SettingsError):
            return print_error(str(fault), EXIT_SETTINGS)
    unknown = [f for f in found if not isinstance(f, (KnapweedhitchError, OSError))]
    if unknown and not all(isinstance(f, trio.TooSlowError) for f in unknown):
        # A bug in the program; a bug report needs the traceback.
        raise exc
    problem = "; ".join(f"{type(f).__name__}: {f}" for f in found)
    return print_error(f"stopped by a fault: {problem}", EXIT_FAULT)
