"""Tests of processes whose output is not read, as real platform processes and on pipes."""

from __future__ import annotations

import fcntl
import os
import signal
import threading
from typing import IO

from tests.platform_world import APPS, CORES, PlatformWorld, send_http

# The smallest pipe of Linux; some ten log lines fill it.
PIPE_BYTES = 4_096
N_REQUESTS = 40
# Bound on the time from SIGTERM to the end, of which the drain takes up to 5.5 s.
STOP_S = 8.0


class UnreadOutputTest(PlatformWorld):
    """Run an entry node and a control instance with pipes as their standard output and error."""

    PIPED = (APPS[1], CORES[0])

    def setUp(self) -> None:
        self.read_ends: dict[str, int] = {}
        super().setUp()

    def tearDown(self) -> None:
        super().tearDown()
        for fd in self.read_ends.values():
            os.close(fd)

    def open_log(self, ip: str) -> IO[bytes]:
        if ip not in self.PIPED:
            return super().open_log(ip)
        self.read_ends[ip], write_end = os.pipe()
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        return open(write_end, "wb", buffering=0)

    def close_readers(self) -> None:
        while self.read_ends:
            os.close(self.read_ends.popitem()[1])

    def check_service(self) -> None:
        """Check requests through the entry node, its readiness and a read of the configuration."""
        for i in range(N_REQUESTS):
            status, body = self.get_response(APPS[1], request_id=f"r{i}")
            self.assertEqual(status, 200, f"request {i}: {body!r}")
        ready = self.address(APPS[1], "ready")
        self.assertEqual(send_http(ready, "GET", "/knapweedhitch/readiness")[0], 200)
        self.assertEqual(self.read_config(), self.patch["upsert"])

    def check_stop(self) -> None:
        for ip in self.PIPED:
            self.processes[ip].send_signal(signal.SIGTERM)
        codes = [self.processes[ip].wait(STOP_S) for ip in self.PIPED]
        self.assertEqual(codes, [0, 0])

    def serve_first_request(self) -> None:
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        self.wait_until("response", lambda: self.send_request(APPS[1]), 200)

    def test_process_whose_output_is_not_read_serves_and_stops(self) -> None:
        """Guards against a log write that blocks all requests until somebody reads the output."""
        self.serve_first_request()
        self.check_service()
        self.check_stop()

    def test_reader_that_comes_back_gets_all_lines(self) -> None:
        """Guards against lines that are lost or torn while the reader of a process is late."""
        self.serve_first_request()
        self.check_service()
        lines: dict[str, list[str]] = {ip: [] for ip in self.PIPED}
        readers = [
            threading.Thread(target=self.read_lines, args=(ip, lines[ip]), daemon=True)
            for ip in self.PIPED
        ]
        for reader in readers:
            reader.start()
        self.check_stop()
        for ip, reader in zip(self.PIPED, readers, strict=True):
            reader.join(STOP_S)
            torn = [line for line in lines[ip] if not line.startswith("time=")]
            self.assertEqual(torn, [])
            self.assertTrue(any("event=stopped" in line for line in lines[ip]), lines[ip][-3:])
        requests = [line for line in lines[APPS[1]] if "event=request " in line]
        for i in range(N_REQUESTS):
            self.assertTrue(any(f"id=r{i} " in line for line in requests), f"request {i}")

    def read_lines(self, ip: str, lines: list[str]) -> None:
        """Read the output of a process until it has ended."""
        with open(self.read_ends.pop(ip), encoding="utf-8") as output:
            lines.extend(output)

    def test_process_whose_reader_has_gone_serves_and_stops(self) -> None:
        """Guards against an end, or the exit code of a failure, after the log reader has closed."""
        self.serve_first_request()
        self.close_readers()
        self.check_service()
        self.check_stop()
