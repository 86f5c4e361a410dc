"""Tests of the platform roles as real processes on loopback, through the platform API only."""

from __future__ import annotations

import http.client
import http.server
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any, ClassVar

from scripts.harness import ROOT
from tests import platform_boot
from tests.test_platform import FIRST_PATCH

CORES = ("127.0.1.20", "127.0.2.20", "127.0.3.20")
APPS = ("127.0.1.10", "127.0.2.10")
START_TIMEOUT_S = 30.0


class StandInTarget(http.server.BaseHTTPRequestHandler):
    """Respond like a target of the platform."""

    protocol_version = "HTTP/1.1"
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
    address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Return status and body; status 0 if there was no response."""
    conn = http.client.HTTPConnection(address, timeout=3.0)
    try:
        conn.request(method, path, body or None, headers or {})
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        conn.close()


class PlatformProcessesTest(unittest.TestCase):
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
            self.folder.name, ip, CORES, self.base, bootstrap=self.bootstrap
        )

    def start(self, *ips: str) -> None:
        for ip in ips:
            role = "core" if ip in CORES else "app"
            env = {**os.environ, "KNAPWEEDHITCH_BOOT": str(self.write_boot_file(ip))}
            log = (Path(self.folder.name) / f"{ip}.log").open("ab")
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", "knapweedhitch.platform", role],
                env=env,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
            log.close()

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

    def heartbeat(self, state: str = "ready", seq: int = 1) -> int:
        heartbeat = platform_boot.heartbeat(APPS[0], self.base, state, seq)
        path = "/knapweedhitch/instances/i-1/heartbeat"
        address = self.address(APPS[0], "control")
        return send_http(address, "POST", path, json.dumps(heartbeat).encode())[0]

    def send_request(self, ip: str, method: str = "GET", request_id: str = "r1") -> int:
        headers = {"Host": "a.example", "Attempt-Id": request_id, "Deadline-Ms": "1500"}
        return send_http(self.address(ip, "outbound"), method, "/x/1", b"", headers)[0]

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

    def test_target_names_a_limit_and_leaves(self) -> None:
        """Guards against a target that gets more requests than it says it takes, or any after it
        said that it leaves, also when the node beside it restarts or its heartbeat says otherwise.
        """
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        for ip in APPS:
            self.wait_until("response", lambda ip=ip: self.send_request(ip), 200)
        StandInTarget.notices = {"Server-Limit": "2.5"}
        self.send_request(APPS[1])
        arrivals = self.count_arrivals(APPS[1], time.monotonic() + 0.5, 4.0)
        self.assertLessEqual(arrivals, 1.5 * 2.5 * 4 + 5)
        self.assertGreaterEqual(arrivals, 3)

        StandInTarget.notices = {"Server-Leaving": "1"}
        self.wait_until("left", lambda: self.send_request(APPS[1]), 503)
        self.assertEqual(self.heartbeat(seq=2), 200)
        self.assertEqual(self.count_arrivals(APPS[1], time.monotonic(), 1.0), 0)
        # The health answer says again that the target serves, as one in trouble may.
        StandInTarget.notices = {}
        self.kill(APPS[0])
        self.start(APPS[0])
        ready = self.address(APPS[0], "ready")
        self.wait_until(
            "ready", lambda: send_http(ready, "GET", "/knapweedhitch/readiness")[0], 200
        )
        self.heartbeat(seq=3)
        self.assertEqual(self.count_arrivals(APPS[1], time.monotonic(), 3.0), 0)

    def test_odd_entries_end_no_process_and_displace_no_target(self) -> None:
        """Guards against an entry of another writer that ends the processes which read it, or takes
        the place of the sound target.
        """
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        for ip in APPS:
            self.wait_until("response", lambda ip=ip: self.send_request(ip), 200)
        entry = json.dumps(platform_boot.heartbeat(APPS[0], self.base, seq=2)).encode()
        sound_address = f"{APPS[0]}:{self.base + platform_boot.TARGET_PORT}".encode()
        deep = b"[" * 20_000 + b"]" * 20_000
        odd_entries = {
            "%ff%fe": entry,
            "i%201": entry,
            "": entry,
            "i-9": entry.replace(sound_address, b"127.0.1.10:99999"),
            "i-8": entry.replace(b'"born": 1000', b'"born": 1' + b"0" * 30),
            "i-7": entry.replace(b'"slots": 6', b'"slots": 1' + b"0" * 30),
            "i-6": entry.replace(b'"v1"', deep),
            "i-5": deep,
            "i-4": b"\xff\xfe",
        }
        address = self.address(APPS[0], "control")
        for instance_id, body in odd_entries.items():
            for action in ("heartbeat", "deregister"):
                path = f"/knapweedhitch/instances/{instance_id}/{action}"
                status = send_http(address, "POST", path, body)[0]
                with self.subTest(instance_id=instance_id, action=action):
                    if action == "heartbeat" or instance_id in ("%ff%fe", "i%201", "i-5", "i-4"):
                        self.assertIn(status, range(400, 500))
        # Longer than a probe of the target takes to come.
        self.assertGreater(self.count_arrivals(APPS[1], time.monotonic(), 2.0), 20)
        ended = [ip for ip, process in self.processes.items() if process.poll() is not None]
        self.assertEqual(ended, [])

    def test_whole_path(self) -> None:
        """Guards against parts that work alone but not together: roles, targets and restarts."""
        self.assertEqual(self.send_request(APPS[1]), 503 if self.send_request(APPS[1]) else 0)
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        for ip in APPS:
            self.wait_until("response", lambda ip=ip: self.send_request(ip), 200)
        request = StandInTarget.requests[-1]
        self.assertEqual((request["caller-service"], request["attempt-id"]), ("robes", "r1"))
        self.assertLessEqual(int(request["deadline-ms"]), 1_500)
        self.assertEqual(self.read_config(), self.patch["upsert"])

        address = self.address(CORES[2], "control")
        evacuation = "/knapweedhitch/evacuations/zone-1/"
        self.assertEqual(send_http(address, "POST", evacuation + "start")[0], 200)
        self.wait_until("evacuated", lambda: self.send_request(APPS[1]), 503)
        self.assertEqual(send_http(address, "POST", evacuation + "finish")[0], 200)
        self.wait_until("served again", lambda: self.send_request(APPS[1]), 200)

        self.bootstrap = False
        self.kill(*self.processes)
        self.start(*CORES, *APPS)
        self.check_early_connection(APPS[1])
        self.wait_until(
            "configuration after a restart of all", self.read_config, self.patch["upsert"]
        )
        self.wait_until("response before any heartbeat", lambda: self.send_request(APPS[1]), 200)
        self.wait_until("heartbeat after the restart", lambda: self.heartbeat(seq=2), 200)

        self.assertEqual(self.heartbeat("draining", seq=3), 200)
        request_count = len(StandInTarget.requests)
        self.assertEqual(self.send_request(APPS[0]), 503)
        self.assertEqual(len(StandInTarget.requests), request_count)

        self.processes[APPS[1]].send_signal(signal.SIGTERM)
        ready = self.address(APPS[1], "ready")
        self.wait_until(
            "not ready", lambda: send_http(ready, "GET", "/knapweedhitch/readiness")[0], 503
        )
        self.assertEqual(self.processes[APPS[1]].wait(8), 0)
