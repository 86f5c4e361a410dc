"""Start, signal and watch the platform programs as processes on loopback addresses."""

from __future__ import annotations

import contextlib
import math
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import trio

from scripts.harness import ROOT, Child
from tests import platform_boot
from tests.platform_world import send_http
from tests.soak.ledger import Event, Ledger

ZONES = 4
SEEDS = 3
SERVICES = ("catalogue", "catalogue", "orders", "files")
GRACE_S = 6.0
# A process that ends by itself is started again after this time.
RESTART_DELAY_S = 0.3
RETRY_SLACK = 60.0
START_TIMEOUT_S = 40.0
POLL_S = 0.05
# No code of a process runs, and so no signal can be handled, while its interpreter starts.
INTERPRETER_START_S = 0.05
CLUSTER_PORTS = 10
# A machine with a share of a core gets it as a quota of each such period.
QUOTA_PERIOD_S = 0.1


class StartError(Exception):
    """Report a cluster that did not become ready."""


class Cluster:
    """Run control instances and app nodes, and restart those that end by themselves."""

    def __init__(self, ledger: Ledger, rng: random.Random, cores: int, nodes: int) -> None:
        self.ledger = ledger
        net = f"127.{rng.randrange(2, 250)}"
        self.cores = tuple(f"{net}.{i % ZONES + 1}.{20 + i}" for i in range(cores))
        self.apps = tuple(f"{net}.{i % ZONES + 1}.{100 + i}" for i in range(nodes))
        # Shifted by one in each group of four, so that each service has targets in all zones.
        self.service_of = {
            ip: SERVICES[(i + i // ZONES) % len(SERVICES)] for i, ip in enumerate(self.apps)
        }
        self.children: dict[str, Child] = {}
        self.bootstrap = True
        # Processes that a fault ends or has ended.
        self.expected_down: set[str] = set()
        self._frozen: set[str] = set()
        self._base = find_ports((*self.cores, *self.apps))

    @staticmethod
    def zone_of(ip: str) -> str:
        """Return the zone of an address."""
        return f"zone-{ip.split('.')[2]}"

    @property
    def zones(self) -> list[str]:
        """Return the names of all zones."""
        return sorted({self.zone_of(ip) for ip in self.apps})

    @property
    def target_port(self) -> int:
        """Return the port of all targets."""
        return self._base + platform_boot.TARGET_PORT

    @property
    def hidden_target_port(self) -> int:
        """Return the port at which targets listen behind their relays."""
        return self._base

    def address(self, ip: str, port: str) -> str:
        """Return a named address of a process."""
        return platform_boot.address(ip, port, self._base)

    def write_settings(self, ip: str) -> Path:
        """Write the settings file of a process."""
        return platform_boot.write_boot_file(
            str(self.ledger.folder),
            ip,
            self.cores,
            self._base,
            bootstrap=self.bootstrap,
            service=self.service_of.get(ip, ""),
            tolerated_machines=len(self.cores) // 2,
            retry_slack=RETRY_SLACK,
            seeds=self.cores[:SEEDS],
        )

    def start(self, *ips: str, is_planned: bool = True) -> None:
        """Start processes; each continues its log file."""
        for ip in ips:
            role = "core" if ip in self.cores else "app"
            env = {**os.environ, "KNAPWEEDHITCH_BOOT": str(self.write_settings(ip))}
            log_path = self.ledger.folder / f"{ip}.log"
            with log_path.open("ab") as log:
                process = subprocess.Popen(
                    [sys.executable, "-m", "knapweedhitch.platform", role],
                    env=env,
                    cwd=ROOT,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    # Ctrl-C on the terminal then reaches the soak only, which ends its children.
                    start_new_session=True,
                )
            self.children[ip] = Child(ip, process, log_path)
            self._record("started", ip, 0.0, is_planned=is_planned)
            self.expected_down.discard(ip)

    def is_ready(self, ip: str) -> bool:
        """Return whether an app node says that it is ready."""
        address = self.address(ip, "ready")
        return send_http(address, "GET", "/knapweedhitch/readiness", timeout_s=1.0)[0] == 200

    async def wait_ready(self, ips: Sequence[str]) -> None:
        """Wait until app nodes are ready; raises StartError."""
        end_s = time.monotonic() + START_TIMEOUT_S
        for ip in ips:
            while not await trio.to_thread.run_sync(self.is_ready, ip):
                if time.monotonic() > end_s:
                    raise StartError(f"{ip} is not ready: {self.children[ip].tail()}")
                await trio.sleep(POLL_S)

    async def stop(self, ip: str) -> None:
        """Stop a process as the platform does: SIGTERM, and SIGKILL after the grace period."""
        child = self.children[ip]
        if ip in self.expected_down:
            return
        self.expected_down.add(ip)
        self._record("SIGTERM", ip, GRACE_S + 1.0, is_planned=True)
        child.signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S):
            await trio.to_thread.run_sync(child.process.wait, abandon_on_cancel=True)
        if child.alive:
            self.ledger.report("EXIT", time.monotonic(), f"{ip} still runs after the grace")
            child.signal(signal.SIGKILL)
        code = child.wait(5.0)
        self.ledger.write("exit", subject=ip, code=code)
        if code != 0 and not self._came_before_code(ip, code):
            age_s = self._age_at(ip, "SIGTERM")
            text = f"{ip} ended with {code} after SIGTERM {age_s:.3f} s after its start"
            self.ledger.report("EXIT", time.monotonic(), f"{text}\n{child.tail()}")

    def reload(self, ip: str) -> None:
        """Send SIGHUP, as after a change of the settings file."""
        self._record("SIGHUP", ip, 3.0, is_planned=True)
        self.children[ip].signal(signal.SIGHUP)

    def kill(self, ip: str) -> None:
        """Kill a process."""
        self.expected_down.add(ip)
        self._record("SIGKILL", ip, 0.0)
        self.children[ip].signal(signal.SIGKILL)
        self.children[ip].wait(10.0)

    async def freeze(self, ip: str, for_s: float) -> None:
        """Suspend a process for some seconds."""
        self._record("SIGSTOP", ip, for_s)
        self._frozen.add(ip)
        self.children[ip].signal(signal.SIGSTOP)
        try:
            await trio.sleep(for_s)
        finally:
            self._frozen.discard(ip)
            self.children[ip].signal(signal.SIGCONT)

    async def limit_processor(self, ip: str, share: float) -> None:
        """Suspend a process for the rest of each period, as a quota of a core does."""
        while True:
            self.children[ip].signal(signal.SIGSTOP)
            await trio.sleep(QUOTA_PERIOD_S * (1.0 - share))
            if ip not in self._frozen:
                self.children[ip].signal(signal.SIGCONT)
            await trio.sleep(QUOTA_PERIOD_S * share)

    async def watch(self) -> None:
        """Report processes that end by themselves, and start them again."""
        while True:
            for ip, child in list(self.children.items()):
                if child.alive or ip in self.expected_down:
                    continue
                code = child.process.returncode
                if not self._came_before_code(ip, code):
                    text = f"{ip} ended by itself with {code}\n{child.tail()}"
                    self.ledger.report("ENDED", time.monotonic(), text)
                self.expected_down.add(ip)
                await trio.sleep(RESTART_DELAY_S)
                self.start(ip)
            await trio.sleep(POLL_S)

    def _age_at(self, ip: str, kind: str) -> float:
        """Return the age of a process at the last signal of a kind, in seconds."""
        times_s = {e.kind: e.at_s for e in self.ledger.events if e.subject == ip}
        return times_s.get(kind, math.inf) - times_s.get("started", 0.0)

    def _came_before_code(self, ip: str, code: int) -> bool:
        """Return whether a process ended by a signal that came before any of its code ran."""
        kind = {-signal.SIGTERM: "SIGTERM", -signal.SIGHUP: "SIGHUP"}.get(code)
        return kind is not None and 0.0 <= self._age_at(ip, kind) < INTERPRETER_START_S

    def kill_all(self) -> None:
        """Kill all processes and wait for them."""
        self.expected_down.update(self.children)
        for child in self.children.values():
            self._record("SIGKILL", child.name, 0.0)
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGKILL)
        for child in self.children.values():
            child.process.wait()

    def _record(self, kind: str, ip: str, for_s: float, *, is_planned: bool = False) -> None:
        now_s = time.monotonic()
        self.ledger.add_event(Event(now_s, kind, ip, now_s + for_s, is_planned))


def find_ports(ips: Sequence[str]) -> int:
    """Return the first of CLUSTER_PORTS ports that are free on all addresses; raises StartError."""
    rng = random.SystemRandom()
    for _ in range(100):
        base = rng.randrange(10_000, 30_000, 20)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for ip in ips:
                for port in range(base, base + CLUSTER_PORTS):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port))
            return base
    raise StartError("no free ports")
