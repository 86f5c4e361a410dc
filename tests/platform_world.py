"""The platform roles as real processes on loopback, with a stand-in target, for tests."""

from __future__ import annotations

import http.client
import http.server
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import IO, Any, ClassVar

from scripts.harness import ROOT
from tests import platform_boot
from tests.test_platform import FIRST_PATCH

CORES = ("127.0.1.20", "127.0.2.20", "127.0.3.20")
APPS = ("127.0.1.10", "127.0.2.10")
START_TIMEOUT_S = 30.0


class StandInTarget(http.server.BaseHTTPRequestHandler):
    """Respond like a target of the platform."""

    protocol_version = "HTTP/1.1"
    # Otherwise a response in two writes waits 40 ms for an acknowledgement.
    disable_nagle_algorithm = True
    instance: ClassVar[str] = ""
    requests: ClassVar[list[dict[str, str]]] = []
    arrivals_s: ClassVar[list[float]] = []
    # What the target says of itself in all its responses.
    notices: ClassVar[dict[str, str]] = {}

    def do_GET(self) -> None:
        if self.path == "/health":
            load = {"Instance-Id": self.instance, "Server-Load": "0,0,6,100"}
            self._respond(200, b"", load)
            return
        headers = {name.lower(): value for name, value in self.headers.items()}
        length = int(headers.get("content-length", 0))
        body = self.rfile.read(length)
        if headers.get("expect-instance") != self.instance:
            self._respond(421, b"", {"Instance-Id": self.instance})
            return
        type(self).arrivals_s.append(time.monotonic())
        type(self).requests.append({**headers, "path": self.path, "body": body.decode()})
        response_headers = {"Attempt-Id": headers["attempt-id"], "Server-Signature": "sig"}
        self._respond(200, b"done", {**response_headers, "Server-Load": "1,0,6,100"})

    def do_POST(self) -> None:
        self.do_GET()

    def _respond(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in {**headers, **self.notices}.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        pass


def send_http(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 3.0,
    redirects: int = 0,
) -> tuple[int, bytes]:
    """Return status and body, after at most so many redirects; status 0 without a response."""
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        conn.request(method, path, body or None, headers or {})
        response = conn.getresponse()
        status, data = response.status, response.read()
        location = response.headers.get("Location", "")
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        conn.close()
    if status != 307 or not redirects:
        return status, data
    address, _, path = location.removeprefix("http://").partition("/")
    return send_http(
        address, method, f"/{path}", body, headers, timeout_s=timeout_s, redirects=redirects - 1
    )


class PlatformWorld(unittest.TestCase):
    """Start three control instances and two nodes, of which the first has a target."""

    contracts: ClassVar[tuple[str, ...]] = ()

    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.base = 20_000 + os.getpid() % 400 * 20
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.bootstrap = True
        StandInTarget.requests = []
        StandInTarget.arrivals_s = []
        StandInTarget.notices = {}
        self.target = http.server.ThreadingHTTPServer((APPS[0], self.base + 9), StandInTarget)
        StandInTarget.instance = "i-1"
        threading.Thread(target=self.target.serve_forever, daemon=True).start()
        self.start(*CORES, *APPS)

    def tearDown(self) -> None:
        self.kill(*self.processes)
        self.target.shutdown()
        self.target.server_close()
        self.folder.cleanup()

    def address(self, ip: str, port: str) -> str:
        return platform_boot.address(ip, port, self.base)

    def write_boot_file(self, ip: str) -> Path:
        return platform_boot.write_boot_file(
            self.folder.name,
            ip,
            CORES,
            self.base,
            bootstrap=self.bootstrap,
            contracts=self.contracts,
        )

    def start(self, *ips: str) -> None:
        for ip in ips:
            role = "core" if ip in CORES else "app"
            env = {**os.environ, "KNAPWEEDHITCH_BOOT": str(self.write_boot_file(ip))}
            log = self.open_log(ip)
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", "knapweedhitch.platform", role],
                env=env,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
            log.close()

    def open_log(self, ip: str) -> IO[bytes]:
        """Return the output of a new process; tests substitute a pipe."""
        return (Path(self.folder.name) / f"{ip}.log").open("ab")

    def kill(self, *ips: str) -> None:
        for ip in ips:
            self.processes[ip].kill()
        for ip in ips:
            self.processes[ip].wait()

    def wait_until(self, description: str, probe: Any, expected: Any) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        value = None
        while time.monotonic() < end_s:
            value = probe()
            if value == expected:
                return
            time.sleep(0.1)
        self.fail(f"{description}: {value!r} is not {expected!r}\n{self.logs()}")

    def logs(self) -> str:
        files = sorted(Path(self.folder.name).glob("*.log"))
        return "\n".join(f"{f.name}\n{f.read_text()[-1500:]}" for f in files)

    def order_log(self) -> str:
        """Return the lines of all processes about orders and domains, in the order of time."""
        events = ("event=order_", "event=change_accepted", "event=domain_status")
        lines = [
            f"{line} process={path.stem}"
            for path in Path(self.folder.name).glob("*.log")
            for line in path.read_text().splitlines()
            if any(event in line for event in events)
        ]
        return "\n".join(["", *sorted(lines)])

    def heartbeat(self, state: str = "ready", seq: int = 1) -> int:
        heartbeat = platform_boot.heartbeat(APPS[0], self.base, state, seq)
        path = "/knapweedhitch/instances/i-1/heartbeat"
        address = self.address(APPS[0], "control")
        return send_http(address, "POST", path, json.dumps(heartbeat).encode())[0]

    def send_request(self, ip: str, method: str = "GET", request_id: str = "r1") -> int:
        return self.get_response(ip, method, request_id)[0]

    def get_response(
        self, ip: str, method: str = "GET", request_id: str = "r1"
    ) -> tuple[int, bytes]:
        """Send a request through an entry node and return the status and the body."""
        headers = {"Host": "a.example", "Attempt-Id": request_id, "Deadline-Ms": "1500"}
        return send_http(self.address(ip, "outbound"), method, "/x/1", b"", headers)

    def configure(self) -> None:
        route = {**FIRST_PATCH["upsert"]["routes"][0], "service": "robes"}
        route.pop("weightedServices")
        self.patch = {"upsert": {**FIRST_PATCH["upsert"], "routes": [route]}, "remove": {}}
        data = json.dumps(self.patch).encode()
        address = self.address(CORES[1], "control")
        self.wait_until(
            "first configuration",
            lambda: send_http(address, "POST", "/knapweedhitch/config/patch", data)[0],
            200,
        )
        for ip in APPS:
            ready = self.address(ip, "ready")
            self.wait_until(
                "ready", lambda r=ready: send_http(r, "GET", "/knapweedhitch/readiness")[0], 200
            )

    def read_config(self) -> Any:
        address = self.address(CORES[0], "control")
        status, body = send_http(address, "GET", "/knapweedhitch/config/get")
        return json.loads(body) if status == 200 else status

    def check_early_connection(self, ip: str) -> None:
        """Check that a connection made while the process loads its services gets a response."""
        host, _, port = self.address(ip, "outbound").rpartition(":")
        end_s = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                conn = socket.create_connection((host, int(port)), timeout=START_TIMEOUT_S)
                break
            except ConnectionRefusedError:
                self.assertLess(time.monotonic(), end_s)
                time.sleep(0.01)
        ready_log = (Path(self.folder.name) / f"{ip}.log").read_text().count("event=ready")
        self.assertEqual(ready_log, 1, "the node was ready before it accepted a connection")
        with conn:
            conn.sendall(b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: e1\r\n\r\n")
            self.assertRegex(conn.recv(65_536), b"^HTTP/1.1 (200|503) ")

    def count_arrivals(self, ip: str, from_s: float, for_s: float) -> int:
        """Send requests for some seconds and return how many have reached the target."""
        end_s = from_s + for_s
        while time.monotonic() < end_s:
            request_id = f"r{time.monotonic_ns()}"
            self.assertIn(self.send_request(ip, request_id=request_id), (200, 503))
            time.sleep(0.02)
        return sum(1 for at_s in StandInTarget.arrivals_s if from_s <= at_s < end_s)
