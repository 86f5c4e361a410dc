"""A stand-in target: runs requests, tells its load, and records what it ran."""

from __future__ import annotations

import contextlib
import http.server
import json
import socketserver
import threading
import time
from collections.abc import Callable
from typing import Any

from stage2 import APP, CONTROL, Stage, send_http


class Target:
    """Serve one application target beside a node, and beat for it."""

    def __init__(self, stage: Stage, ip: str, service: str, instance_id: str) -> None:
        self.stage, self.ip, self.service, self.instance_id = stage, ip, service, instance_id
        self.slots = 6
        self.running = 0
        # Seconds of work for a request, by its path and headers.
        self.work_s: Callable[[str, dict[str, str]], float] = lambda path, headers: 0.05
        # (time, attempt id, method, path, body length) of each run that began.
        self.runs: list[tuple[float, str, str, str, int]] = []
        # Ids of the runs whose answer was written completely, with the time.
        self.answered: dict[str, float] = {}
        # Ids of the runs whose caller had closed the connection when the answer was due.
        self.abandoned: dict[str, float] = {}
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self._seq = 0
        self._stop = threading.Event()
        handler = _make_handler(self)
        self._server = _Server((ip, stage.base + APP), handler)
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._beat, daemon=True),
        ]
        for thread in self._threads:
            thread.start()

    # Sends an answer in place of the usual one.
    send_file: Callable[[http.server.BaseHTTPRequestHandler, str], None] | None = None

    def heartbeat(self) -> int:
        """Send one heartbeat to the control address of the own machine; return the status."""
        self._seq += 1
        beat = {
            "address": self.stage.address(self.ip, APP),
            "info": {
                "service": self.service,
                "version": "v1",
                "slots": self.slots,
                "zone": f"zone-{self.ip.split('.')[2]}",
            },
            "status": {"state": self.state, "seq": self._seq, "coldRemainingS": 0},
            "born": self.born,
        }
        path = f"/knapweedhitch/instances/{self.instance_id}/heartbeat"
        headers = {"Content-Type": "application/json"}
        body = json.dumps(beat).encode()
        return send_http(self.stage.address(self.ip, CONTROL), "POST", path, body, headers)[0]

    def _beat(self) -> None:
        while not self._stop.is_set():
            self.heartbeat()
            self._stop.wait(1.5)

    def close(self) -> None:
        self._stop.set()
        self._server.shutdown()
        self._server.server_close()


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256


def _make_handler(target: Target) -> type[http.server.BaseHTTPRequestHandler]:
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _read_body(self) -> bytes:
            if "chunked" not in self.headers.get("Transfer-Encoding", ""):
                return self.rfile.read(int(self.headers.get("Content-Length", 0)))
            body = b""
            while size := int(self.rfile.readline().strip(), 16):
                body += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return body

        def _respond(self, status: int, body: bytes, headers: dict[str, str]) -> None:
            self.send_response(status)
            load = f"{target.running},0,{target.slots},100"
            for name, value in {**headers, "Server-Load": load}.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def _serve(self) -> None:
            if self.path == "/health":
                status = 200 if target.state == "ready" else 503
                self._respond(status, b"", {"Instance-Id": target.instance_id})
                return
            headers = {name.lower(): value for name, value in self.headers.items()}
            body = self._read_body()
            attempt_id = headers.get("attempt-id", "")
            if headers.get("expect-instance", target.instance_id) != target.instance_id:
                self._respond(421, b"", {"Attempt-Id": attempt_id, "Not-Executed": "1"})
                return
            target.running += 1
            started = time.monotonic() - target.stage.started_s
            target.runs.append((started, attempt_id, self.command, self.path, len(body)))
            target.stage.note(f"target {target.instance_id} runs {attempt_id} ({self.command})")
            time.sleep(target.work_s(self.path, headers))
            target.running -= 1
            if target.send_file is not None:
                with contextlib.suppress(OSError):
                    target.send_file(self, attempt_id)
                return
            answer = f"{target.instance_id} {attempt_id} {len(body)}".encode()
            try:
                self._respond(
                    200, answer, {"Attempt-Id": attempt_id, "Server-Signature": f"sig.{attempt_id}"}
                )
            except OSError:
                target.abandoned[attempt_id] = time.monotonic()
                target.stage.note(f"target {target.instance_id}: caller of {attempt_id} has gone")
                return
            target.answered[attempt_id] = time.monotonic()
            target.stage.note(f"target {target.instance_id} has answered {attempt_id}")

        def do_GET(self) -> None:
            self._serve()

        def do_POST(self) -> None:
            self._serve()

        def log_message(self, format: str, *args: Any) -> None:
            pass

    return Handler
