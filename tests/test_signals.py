"""Tests of signals that a process gets while it starts and while it ends."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from knapweedhitch import yamltext
from scripts.harness import ROOT, Harness, assign_loopback_ports
from tests import platform_boot

IPS = {"app": "127.0.9.10", "core": "127.0.9.20"}
TIMEOUT_S = 30.0
# From the first import of a process to the last one.
IMPORTS = ("knapweedhitch.platform.roles", "yaml", "trio", "knapweedhitch.drain")


class ProcessTest(unittest.TestCase):
    """Start single processes of the platform on loopback."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.base = 20_000 + os.getpid() % 400 * 20

    def start(self, role: str, *points: str) -> subprocess.Popen[bytes]:
        """Start a process that gets the signals at the points, given in turn."""
        cores = (IPS["core"],)
        path = platform_boot.write_boot_file(str(self.folder), IPS[role], cores, self.base)
        command = [sys.executable, "-m", "tests.signal_at", *points]
        with (self.folder / "log").open("wb") as log:
            process = subprocess.Popen(
                [*command, "--", "knapweedhitch.platform", role],
                cwd=ROOT,
                env={**os.environ, "KNAPWEEDHITCH_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def read_log(self) -> str:
        return (self.folder / "log").read_text()

    def wait_for_line(self, process: subprocess.Popen[bytes], text: str) -> None:
        end_s = time.monotonic() + TIMEOUT_S
        while text not in self.read_log():
            self.assertIsNone(process.poll(), self.read_log())
            self.assertLess(time.monotonic(), end_s, self.read_log())
            time.sleep(0.02)


class StartTest(ProcessTest):
    def test_sighup_during_a_start_is_obeyed_once_the_process_runs(self) -> None:
        """Guards against a process that ends when its settings file changes while it starts, or
        that goes on with the old settings.
        """
        for point in IMPORTS:
            with self.subTest(point):
                process = self.start("core", "SIGHUP", point)
                self.wait_for_line(process, "event=reload ")
                self.assertLess(
                    self.read_log().index("event=ready "), self.read_log().index("event=reload ")
                )
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(TIMEOUT_S), 0, self.read_log())

    def test_sigterm_during_a_start_ends_the_process_in_order(self) -> None:
        """Guards against a process that a planned stop ends without a log line and with an exit
        code that tells of a fault, or that first completes its start.
        """
        for role, number in (("app", "SIGTERM"), ("core", "SIGTERM"), ("core", "SIGINT")):
            for point in IMPORTS:
                with self.subTest(f"{role} {number} {point}"):
                    process = self.start(role, number, point, number, "knapweedhitch.kernel")
                    self.assertEqual(process.wait(TIMEOUT_S), 0, self.read_log())
                    self.assertIn(f"event=stop_during_start signal={number}", self.read_log())
                    self.assertNotIn("event=ready", self.read_log())

    def test_signals_during_a_start_and_end_of_the_daemon_are_obeyed(self) -> None:
        """Guards against a daemon whose entry point leaves signals to their default action."""
        settings = {
            "node": {"id": "a1", "domain": "a"},
            "control": {"members": [{"id": "a1", "host": "127.0.0.1", "port": 1}]},
        }
        with Harness() as h:
            cfg = assign_loopback_ports({"a1": settings}, h.folder)["a1"]
            Path(cfg["control"]["data_dir"]).mkdir(parents=True)
            path = h.folder / "a1.yaml"
            path.write_text(yamltext.dump(cfg))
            command = ("knapweedhitch.daemon", "run")
            for point in ("fire", "trio"):
                with self.subTest(point):
                    args = ["-m", "tests.signal_at", "SIGHUP", point, "SIGTERM", point]
                    child = h.start(point, [*args, "SIGHUP", "exit", "--", *command, str(path)])
                    self.assertEqual(child.wait(TIMEOUT_S), 0, child.output())
                    self.assertIn("event=stop_during_start signal=SIGTERM", child.output())


class EndTest(ProcessTest):
    def test_signals_at_the_end_of_a_process_change_no_exit_code(self) -> None:
        """Guards against a process that has stopped as planned but ends by a signal that comes
        while the interpreter ends.
        """
        for number in ("SIGHUP", "SIGTERM", "SIGINT"):
            with self.subTest(number):
                process = self.start("core", "SIGTERM", "trio", number, "exit")
                self.assertEqual(process.wait(TIMEOUT_S), 0, self.read_log())
                self.assertIn("event=stop_during_start", self.read_log())
