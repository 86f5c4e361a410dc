"""Tests of the daemon and of the process harness that starts it."""

from __future__ import annotations

import contextlib
import gc
import io
import logging
import signal
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterable, Sequence
from pathlib import Path
from typing import Any
from unittest import mock

import trio
import trio.testing
import yaml

from knapweedhitch import daemon, kernel, runtime, signals, timers
from knapweedhitch.exceptions import MissingModule
from knapweedhitch.listener import StreamServer
from knapweedhitch.model import Address
from knapweedhitch.settings import Listener, parse_settings
from knapweedhitch.settingsfile import SettingsFile
from scripts import harness

logging.disable(logging.CRITICAL)

BASE: dict[str, Any] = {
    "node": {"id": "a1", "domain": "a"},
    "secrets": {"peer_secret_file": "/nowhere/p", "operator_token_file": "/nowhere/t"},
    "control": {"members": [{"id": "a1", "host": "10.0.0.1", "port": 7001}], "data_dir": "/d"},
}


class FakeDrain:
    """Record the stop calls; a graceful stop finishes only after `stop_now`."""

    def __init__(self, kernel: kernel.Kernel) -> None:
        self.calls: list[str] = []
        self.finished = trio.Event()

    async def start(self) -> None: ...

    async def stop(self) -> None:
        self.calls.append("stop")

    def begin(self) -> None:
        self.calls.append("begin")

    def stop_now(self) -> None:
        self.calls.append("cut")
        self.finished.set()


class FakeMembership:
    """Record the seeds that are added."""

    def __init__(self) -> None:
        self.seeds: list[str] = []

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def add_seeds(self, addresses: Iterable[Address]) -> None:
        self.seeds += [str(address) for address in addresses]


class SlowStart:
    """Take a second to start, after a signal to the process."""

    def __init__(self, number: signal.Signals) -> None:
        self._number = number

    async def start(self) -> None:
        signal.raise_signal(self._number)
        await trio.sleep(1)

    async def stop(self) -> None: ...


class FakeIngress:
    """Have a connection of a caller."""

    address = Address("127.0.0.1", 1)
    has_connections = True

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class ServeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.drains: list[FakeDrain] = []
        self.membership = FakeMembership()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "s.yaml"
        self.write_seeds(1)
        for name in ("event", "warning"):
            patcher = mock.patch.object(runtime.logs, name, self.log)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.logged: list[str] = []

    def log(self, name: str, **fields: object) -> None:
        self.logged.append(name)

    def write_seeds(self, *ports: int) -> None:
        seeds = [{"host": "10.0.0.1", "port": port} for port in ports]
        self.path.write_text(yaml.dump(BASE | {"membership": {"seeds": seeds}}))

    def build_drain(self, k: kernel.Kernel) -> FakeDrain:
        self.drains.append(FakeDrain(k))
        return self.drains[-1]

    def run_serve(
        self, names: list[str], *numbers: signal.Signals, files: Sequence[Callable[[], object]] = ()
    ) -> float:
        """Serve for at most 60 s and return the seconds.

        Signals come at intervals of a second, then changes of files at intervals of 10 s.
        """

        async def scenario() -> float:
            file = SettingsFile(str(self.path), parse_settings)
            started_s = trio.current_time()
            with trio.move_on_after(60):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(runtime.serve, file.read(), names, file)
                    await trio.testing.wait_all_tasks_blocked()
                    for signal_number in numbers:
                        signal.raise_signal(signal_number)
                        await trio.sleep(1)
                    for change_file in files:
                        await trio.sleep(10)
                        change_file()
            return trio.current_time() - started_s

        clock = trio.testing.MockClock(autojump_threshold=0)
        factories = {
            "timers": timers.Timers,
            "drain": self.build_drain,
            "membership": lambda k: self.membership,
        }
        with mock.patch.dict(kernel._factories, factories):
            return trio.run(scenario, clock=clock)

    def serve(self, *numbers: signal.Signals) -> FakeDrain:
        self.run_serve(["timers", "drain"], *numbers)
        return self.drains[0]

    def serve_slow_start(self, number: signal.Signals) -> float:
        factories = {"slow": lambda k: SlowStart(number)}
        with mock.patch.dict(kernel._factories, factories):
            return self.run_serve(["timers", "slow", "drain"])

    def test_stop_while_the_services_start_ends_the_start(self) -> None:
        """Guards against a stop that uses services which have not started, and ends in a fault."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                self.assertLess(self.serve_slow_start(number), 0.5)
                self.assertEqual(self.drains[-1].calls, [])
                self.assertEqual(self.logged[-1], "stop_during_start")

    def test_stop_during_a_start_finishes_requests_that_were_taken(self) -> None:
        """Guards against a stop that cuts the requests of callers which have connected already,
        while the last services start.
        """
        factories = {
            "slow": lambda k: SlowStart(signal.SIGTERM),
            "ingress": lambda k: FakeIngress(),
        }
        with mock.patch.dict(kernel._factories, factories):
            self.run_serve(["timers", "membership", "ingress", "slow", "drain"])
        self.assertEqual(self.drains[-1].calls, ["begin", "stop"])
        self.assertIn("planned_stop", self.logged)

    def test_reload_while_the_services_start_waits_for_them(self) -> None:
        """Guards against seeds that are given to a membership which has not started."""
        self.serve_slow_start(signal.SIGHUP)
        self.assertEqual(self.logged, ["ready", "reload"])

    def test_settings_that_change_without_a_signal_are_read_again(self) -> None:
        """Guards against a node that goes on with seeds of which none is left."""
        changes = (lambda: self.write_seeds(2, 3), lambda: self.write_seeds(4))
        self.run_serve(["timers", "membership", "drain"], files=changes)
        self.assertEqual(self.membership.seeds, ["10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4"])
        self.assertEqual(self.logged, ["ready", "reload", "reload"])

    def test_settings_that_cannot_be_read_are_refused_once(self) -> None:
        """Guards against a log line at each check of a settings file that is damaged or missing."""
        changes = (
            lambda: self.path.write_text("["),
            self.path.unlink,
            self.path.mkdir,
            self.path.rmdir,
            lambda: self.write_seeds(1),
        )
        self.run_serve(["timers", "membership", "drain"], files=changes)
        self.assertEqual(self.logged, ["ready", "reload_refused", "reload_refused", "reload"])

    def test_second_sigterm_cuts_a_planned_stop_that_does_not_end(self) -> None:
        """Guards against a process that can't be stopped while an upload never finishes."""
        drain = self.serve(signal.SIGTERM, signal.SIGTERM)
        self.assertEqual(drain.calls, ["begin", "cut", "stop"])

    def test_first_sigterm_alone_does_not_end_the_process(self) -> None:
        """Guards against a first SIGTERM that aborts calls in flight."""
        drain = self.serve(signal.SIGTERM)
        self.assertEqual(drain.calls[0], "begin")
        self.assertNotIn("cut", drain.calls)
        self.assertFalse(drain.finished.is_set())


class StartTest(unittest.TestCase):
    def test_garbage_is_collected_once_a_daemon_is_ready(self) -> None:
        """Guards against unbounded memory growth when garbage collection stays disabled."""
        gc.disable()
        try:
            runtime._exempt_from_collection()
            self.assertTrue(gc.isenabled())
        finally:
            gc.enable()
            gc.unfreeze()

    def test_missing_module_is_named(self) -> None:
        """Guards against a failed start whose error doesn't name the missing module."""
        cfg = parse_settings(yaml.dump(BASE))
        with self.assertRaisesRegex(MissingModule, "service x: module knapweedhitch.nothere"):
            runtime.load_services(cfg, [("counters", "counters"), ("x", "nothere")])

    def test_control_runs_on_control_instances_alone(self) -> None:
        """Guards against a log replica on an instance that isn't a control member."""
        services = [("counters", "counters"), ("control", "counters")]
        other = parse_settings(yaml.dump(BASE | {"node": {"id": "b1", "domain": "b"}}))
        self.assertEqual(runtime.load_services(other, services), ["counters"])
        member = parse_settings(yaml.dump(BASE))
        self.assertEqual(runtime.load_services(member, services), ["counters", "control"])

    def test_bad_settings_end_the_command_with_one_line(self) -> None:
        """Guards against a daemon that starts, or prints a traceback, on bad settings."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "s.yaml"
            for text in ("", "[1", "node: {id: a}", yaml.dump(BASE), "\x00"):
                path.write_text(text, encoding="utf-8")
                for command in ("run", "check-settings"):
                    self.assert_refused([command, str(path)])
        self.assert_refused(["run", "/nowhere/s.yaml"])

    def assert_refused(self, args: list[str]) -> None:
        err = io.StringIO()
        with (
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as caught,
            # The handlers would stay in the process of the tests.
            mock.patch.multiple(signals, record=mock.DEFAULT, ignore=mock.DEFAULT),
        ):
            daemon.main(args)
        self.assertEqual(caught.exception.code, runtime.EXIT_SETTINGS)
        self.assertEqual(len(err.getvalue().splitlines()), 1, err.getvalue())


class FailureTest(unittest.TestCase):
    def run_failing(self, fail: Callable[[], Awaitable[None]]) -> tuple[int, list[dict[str, Any]]]:
        """Run a daemon that fails; return its exit code and the fields of each logged fault."""

        async def serve(*args: Any) -> None:
            await fail()

        with (
            mock.patch.object(runtime, "serve", serve),
            mock.patch.object(runtime.logs, "warning") as warning,
            contextlib.redirect_stderr(io.StringIO()),
        ):
            try:
                code = runtime.run_services(mock.Mock(), (), mock.Mock())
            except Exception:
                code = runtime.EXIT_FAULT
        self.assertEqual(
            [call.args for call in warning.call_args_list], [("fault",)] * warning.call_count
        )
        return code, [call.kwargs for call in warning.call_args_list]

    def test_each_exception_of_a_group_is_logged_with_its_place(self) -> None:
        """Guards against a process that ends with exit code 1 for a reason that no log tells."""

        async def fail_in_library() -> None:
            server = StreamServer(Listener("192.0.2.1", 1), 1, mock.Mock(), mock.Mock())
            # The other fault must not cancel it first.
            with trio.CancelScope(shield=True):
                await server.start(mock.Mock())

        async def fail_here() -> None:
            raise KeyError("a")

        async def fail() -> None:
            async with trio.open_nursery() as outer:
                outer.start_soon(fail_here)
                async with trio.open_nursery() as inner:
                    inner.start_soon(fail_in_library)

        code, faults = self.run_failing(fail)
        self.assertEqual(code, runtime.EXIT_FAULT)
        places = {fault["error"]: fault["place"] for fault in faults}
        self.assertEqual(set(places), {"KeyError", "OSError"})
        self.assertRegex(places["KeyError"], r"^test_daemon\.py:\d+ fail_here$")
        self.assertRegex(places["OSError"], r"^listener\.py:\d+ start$")

    def test_fault_outside_a_group_is_logged(self) -> None:
        """Guards against a fault without a log line because no nursery has wrapped it."""

        async def fail() -> None:
            raise ZeroDivisionError("plain")

        code, faults = self.run_failing(fail)
        self.assertEqual(code, runtime.EXIT_FAULT)
        self.assertEqual([fault["error"] for fault in faults], ["ZeroDivisionError"])


class HarnessTest(unittest.TestCase):
    def test_processes_end_when_the_block_fails(self) -> None:
        """Guards against orphaned processes after a failed test."""
        with self.assertRaises(ZeroDivisionError), harness.Harness() as h:
            child = h.start("sleeper", ["-c", "import time; time.sleep(600)"])
            self.assertTrue(child.alive)
            raise ZeroDivisionError
        self.assertFalse(child.alive)
        self.assertFalse(h.folder.exists())

    def test_daemon_that_ends_early_is_reported_with_its_log(self) -> None:
        """Guards against waiting for the full timeout when a daemon refuses to start."""
        with harness.Harness() as h:
            d = h.start_daemon("a1", BASE | {"control": {"members": []}})
            with self.assertRaisesRegex(harness.HarnessError, "(?s)a1 ended with 2.*control"):
                h.wait_ready([d], 30.0)

    def test_ready_line_gives_the_bound_ports(self) -> None:
        """Guards against requests to a port that the daemon hasn't bound."""
        log = Path(tempfile.mkstemp()[1])
        log.write_text("x\ntime=1 event=ready node=a1 callers=127.0.0.1:81 peers=127.0.0.1:82\n")
        d = harness.Daemon("a1", mock.Mock(), log)
        self.assertTrue(d.find_ready())
        self.assertEqual(d.endpoints["callers"], harness.Endpoint("127.0.0.1", 81))
        log.unlink()

    def test_loopback_settings_share_no_port_and_stay_valid(self) -> None:
        """Guards against two daemons of one harness on the same port."""
        with harness.Harness() as h:
            settings = harness.assign_loopback_ports(
                {"a1": BASE, "b1": BASE | {"node": {"id": "b1", "domain": "b"}}}, h.folder
            )
        ports = [
            listener["port"] for cfg in settings.values() for listener in cfg["listen"].values()
        ]
        self.assertEqual(len(set(ports)), 8)
        for cfg in settings.values():
            parsed = parse_settings(yaml.dump(cfg))
            self.assertEqual(
                parsed.control.members[0].port, settings["a1"]["listen"]["peers"]["port"]
            )
