"""Start daemons and stand-in upstreams on loopback for demos, tests and measurements."""

from __future__ import annotations

import contextlib
import copy
import dataclasses
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

from knapweedhitch import yamltext

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
LISTENERS = ("callers", "peers", "announce", "operator")
READY = re.compile(r"event=ready\b(.*)$", re.MULTILINE)
FIELD = re.compile(r"(\w+)=(\S+)")
POLL_S = 0.02
PORT_RANGE = range(10_000, 32_000)
# More ports than the largest test cluster needs.
BLOCK_PORTS = 100
TAIL_LINES = 15


class HarnessError(Exception):
    """Report a process that failed to start or stop, with the last lines of its log."""


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """Represent the host and port of a bound listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(eq=False)
class Child:
    """Manage one process started by the harness, and its log file."""

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def alive(self) -> bool:
        """Return whether the process is still running."""
        return self.process.poll() is None

    def output(self) -> str:
        """Return the whole output of the process so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def tail(self) -> str:
        """Return the last lines of the output."""
        return "\n".join(self.output().splitlines()[-TAIL_LINES:])

    def signal(self, signal_number: int) -> None:
        """Send a signal to this process only."""
        if self.alive:
            self.process.send_signal(signal_number)

    def wait(self, timeout_s: float) -> int:
        """Wait for the exit code; raises HarnessError after the timeout in seconds."""
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise HarnessError(f"{self.name} still runs after {timeout_s} s") from None


@dataclasses.dataclass(eq=False)
class Daemon(Child):
    """Manage one daemon process and the endpoints of its listeners."""

    settings_path: Path = Path()
    endpoints: dict[str, Endpoint] = dataclasses.field(default_factory=dict)

    def find_ready(self) -> bool:
        """Look for the ready line in the log and read the endpoints; return whether it exists."""
        match = READY.search(self.output())
        if match is None:
            return False
        for key, value in FIELD.findall(match[1]):
            if key in LISTENERS:
                host, port = value.rsplit(":", 1)
                self.endpoints[key] = Endpoint(host, int(port))
        return True


def free_ports(n: int) -> list[int]:
    """Return port numbers that are currently free for TCP and UDP on loopback."""
    # Outgoing connections use ephemeral ports above this range.
    # A port isn't reserved until its daemon binds it, so harnesses that run concurrently start in
    # different blocks.
    block_start = os.getpid() % (len(PORT_RANGE) // BLOCK_PORTS) * BLOCK_PORTS
    block = PORT_RANGE[block_start : block_start + BLOCK_PORTS]
    rng = random.SystemRandom()
    candidates = [*rng.sample(block, len(block)), *rng.sample(PORT_RANGE, len(PORT_RANGE))]
    ports: list[int] = []
    for port in candidates:
        if len(ports) == n:
            return ports
        if port in ports:
            continue
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((LOOPBACK, port))
            udp.bind((LOOPBACK, port))
            ports.append(port)
    raise HarnessError(f"fewer than {n} free ports between {PORT_RANGE[0]} and {PORT_RANGE[-1]}")


def assign_loopback_ports(
    settings: Mapping[str, dict[str, Any]], folder: Path
) -> dict[str, dict[str, Any]]:
    """Return settings by node id with free loopback ports, and secret and data files in folder."""
    ports = iter(free_ports(len(LISTENERS) * len(settings)))
    listen = {
        node_id: {name: {"host": LOOPBACK, "port": next(ports)} for name in LISTENERS}
        for node_id in settings
    }
    secret_files = {
        "peer_secret_file": str(folder / "peer.secret"),
        "operator_token_file": str(folder / "operator.token"),
    }
    for path in secret_files.values():
        write_secret(Path(path))
    result = {}
    for node_id, node_settings in settings.items():
        cfg = copy.deepcopy(node_settings)
        cfg["listen"] = listen[node_id]
        cfg["secrets"] = secret_files
        for member in cfg["control"]["members"]:
            member.update(listen[member["id"]]["peers"])
        if any(member["id"] == node_id for member in cfg["control"]["members"]):
            cfg["control"]["data_dir"] = str(folder / node_id / "data")
        seeds = [listen[member["id"]]["peers"] for member in cfg["control"]["members"]]
        cfg.setdefault("membership", {})["seeds"] = [dict(seed) for seed in seeds]
        result[node_id] = cfg
    return result


def write_secret(path: Path) -> None:
    """Write a new random secret with mode 0600, unless the file exists."""
    if not path.exists():
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(descriptor, "w", encoding="ascii") as file:
            file.write(secrets.token_hex(32))


class Harness:
    """Manage a temporary folder and the processes started in it; kills them all on exit."""

    def __init__(self, folder: Path | None = None) -> None:
        self._owns_folder = folder is None
        self.folder = folder or Path(tempfile.mkdtemp(prefix="knapweedhitch-"))
        self.children: list[Child] = []
        # Measurements can replace it to run daemons under a profiler.
        self.daemon_module = "knapweedhitch.daemon"
        # Measurements can replace it to start the daemons of another worktree.
        self.root = ROOT

    def __enter__(self) -> Harness:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def start(self, name: str, args: Sequence[str]) -> Child:
        """Start a Python process in the root of the worktree, with its output in a log file."""
        log_path = self.folder / f"{name}.log"
        return self._add_child(Child(name, self._spawn(args, log_path), log_path))

    def start_daemon(self, node_id: str, settings: Mapping[str, Any]) -> Daemon:
        """Start a daemon with the settings, without waiting until it is ready."""
        path = self.folder / f"{node_id}.yaml"
        path.write_text(yamltext.dump(dict(settings)), encoding="utf-8")
        data_dir = settings.get("control", {}).get("data_dir")
        if data_dir:
            Path(data_dir).mkdir(parents=True, exist_ok=True)
        return self.restart_daemon(node_id, path)

    def restart_daemon(self, node_id: str, path: Path) -> Daemon:
        """Start a daemon with an existing settings file, with a new log file for each start."""
        starts = sum(child.name == node_id for child in self.children)
        log_path = self.folder / f"{node_id}.{starts}.log"
        process = self._spawn(["-m", self.daemon_module, "run", str(path)], log_path)
        return self._add_child(Daemon(node_id, process, log_path, path))

    def start_stand_in(self, name: str, service: str, slots: int, announce: Endpoint) -> Child:
        """Start a stand-in upstream that announces itself to its daemon."""
        args = ["-m", "tests.stand_in", "--service", service, "--slots", str(slots)]
        return self.start(name, [*args, "--announce", str(announce)])

    def wait_ready(self, daemons: Sequence[Daemon], timeout_s: float = 30.0) -> None:
        """Wait until every daemon is ready; raises HarnessError with the end of the log."""
        deadline = time.monotonic() + timeout_s
        for daemon in daemons:
            while not daemon.find_ready():
                if not daemon.alive:
                    code = daemon.process.returncode
                    raise HarnessError(f"{daemon.name} ended with {code}:\n{daemon.tail()}")
                if time.monotonic() > deadline:
                    raise HarnessError(
                        f"{daemon.name} not ready in {timeout_s} s:\n{daemon.tail()}"
                    )
                time.sleep(POLL_S)

    def stop(self, child: Child, timeout_s: float = 30.0) -> int:
        """Stop a process gracefully and return its exit code; raises HarnessError."""
        child.signal(signal.SIGTERM)
        return child.wait(timeout_s)

    def stop_all(self, children: Sequence[Child], timeout_s: float = 30.0) -> dict[str, int]:
        """Stop all processes gracefully; return exit codes by name; raises HarnessError."""
        for child in children:
            child.signal(signal.SIGTERM)
        deadline = time.monotonic() + timeout_s
        return {child.name: child.wait(max(0.0, deadline - time.monotonic())) for child in children}

    def kill(self, child: Child) -> None:
        """Kill a process immediately, as a crash would."""
        child.signal(signal.SIGKILL)
        child.wait(10.0)

    def close(self) -> None:
        """Kill every process that still runs and remove the temporary folder."""
        for child in self.children:
            child.signal(signal.SIGKILL)
        for child in self.children:
            child.process.wait()
        if self._owns_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _add_child(self, child: Any) -> Any:
        self.children.append(child)
        return child

    def _spawn(self, args: Sequence[str], log_path: Path) -> subprocess.Popen[bytes]:
        with log_path.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, *args],
                cwd=self.root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                # Ctrl-C on the terminal then reaches the harness only, which ends its children.
                start_new_session=True,
            )
