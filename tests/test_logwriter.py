"""Tests of the writer of log lines, on real pipes and in short processes."""

from __future__ import annotations

import errno
import fcntl
import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from knapweedhitch import counters, logwriter
from knapweedhitch.logwriter import LineWriter
from scripts.harness import ROOT

# The smallest pipe of Linux.
PIPE_BYTES = 4_096
LINE = "x" * 99
MAX_BYTES = 20_000
TIMEOUT_S = 10.0


def small_pipe() -> tuple[int, int]:
    """Return the ends of a pipe of PIPE_BYTES."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    return read_end, write_end


def read_until(fd: int, end: bytes) -> list[str]:
    """Return the lines that arrive until the bytes `end` have come."""
    data = b""
    while end not in data:
        data += os.read(fd, 65_536)
    return data.decode().splitlines()


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.read_end, self.write_end = small_pipe()
        self.writer = LineWriter(self.write_end, MAX_BYTES)

    def tearDown(self) -> None:
        # The descriptors stay open until a blocked thread has ended.
        os.set_blocking(self.read_end, False)
        end_s = time.monotonic() + TIMEOUT_S
        while not self.writer.close(0.01) and time.monotonic() < end_s:
            try:
                os.read(self.read_end, 65_536)
            except BlockingIOError:
                pass
        os.close(self.read_end)
        os.close(self.write_end)

    def test_full_buffer_drops_lines_and_reports_them_to_the_reader(self) -> None:
        """Guards against memory that grows while nobody reads, and lines that vanish uncounted."""
        started_s = time.monotonic()
        for i in range(1_000):
            self.writer.write(f"{LINE} {i}")
        self.assertLess(time.monotonic() - started_s, TIMEOUT_S)
        dropped = self.writer.dropped()[logwriter.BUFFER_FULL]
        self.assertGreater(dropped, 1_000 - (MAX_BYTES + PIPE_BYTES) / 100)
        self.assertLess(self.writer._buffered_bytes, MAX_BYTES + 1)
        report = f"{dropped} lines dropped"
        lines = read_until(self.read_end, f"{report}\n".encode())
        kept = 1_000 - dropped
        self.assertEqual(lines, [*(f"{LINE} {i}" for i in range(kept)), report])
        self.writer.write("later")
        self.assertEqual(read_until(self.read_end, b"later\n"), ["later"])

    def test_line_longer_than_a_pipe_takes_at_once_is_whole(self) -> None:
        """Guards against a long line that is split or overtaken by the next one."""
        lines = ["y" * 10_000, "short"]
        for line in lines:
            self.writer.write(line)
        self.assertEqual(read_until(self.read_end, b"short\n"), lines)

    def test_flags_of_the_pipe_stay_and_a_non_blocking_one_is_awaited(self) -> None:
        """Guards against an error in other processes that share the pipe, or from their flags."""
        self.writer.write(LINE)
        self.assertTrue(os.get_blocking(self.write_end))
        os.set_blocking(self.write_end, False)
        for i in range(100):
            self.writer.write(f"{LINE} {i}")
        self.assertEqual(len(read_until(self.read_end, b" 99\n")), 101)
        self.assertEqual(self.writer.dropped(), {})

    def test_closed_reader_is_counted(self) -> None:
        """Guards against BrokenPipeError in the code that logs."""
        read_end, write_end = os.pipe()
        os.close(read_end)
        writer = LineWriter(write_end)
        for _ in range(3):
            writer.write(LINE)
        self.assertTrue(writer.close(TIMEOUT_S))
        self.assertEqual(writer.dropped(), {logwriter.WRITE_FAILED: 3})
        os.close(write_end)

    def test_close_is_bounded_while_nobody_reads(self) -> None:
        """Guards against a process that cannot end because its output is not read."""
        for _ in range(100):
            self.writer.write(LINE)
        started_s = time.monotonic()
        self.assertFalse(self.writer.close(0.1))
        self.assertLess(time.monotonic() - started_s, TIMEOUT_S)

    def test_pipe_that_cannot_be_opened_again_is_written_by_the_thread(self) -> None:
        """Guards against lines that are lost, or go to another file, where /proc is restricted."""
        other_end = os.open(os.devnull, os.O_WRONLY)
        for result in (OSError(errno.EACCES, "refused"), other_end):
            with self.subTest(result=result):
                with mock.patch.object(logwriter.os, "open", side_effect=[result]):
                    writer = LineWriter(self.write_end)
                writer.write(LINE)
                self.assertTrue(writer.close(TIMEOUT_S))
                self.assertEqual(read_until(self.read_end, b"\n"), [LINE])

    def test_thread_that_cannot_start_is_counted(self) -> None:
        """Guards against an error in the code that logs when there is no room for a thread."""
        with mock.patch("threading.Thread.start", side_effect=RuntimeError):
            for _ in range(100):
                self.writer.write(LINE)
        self.assertGreater(self.writer.dropped()[logwriter.WRITE_FAILED], 50)
        self.assertEqual(self.writer._buffered_bytes, 0)


class FileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "log"
        self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT)
        self.addCleanup(os.close, self.fd)
        self.writer = LineWriter(self.fd)

    def test_line_of_an_idle_process_comes_soon(self) -> None:
        """Guards against lines that operators see only after the next one, or when it stops."""
        self.addCleanup(self.writer.close, TIMEOUT_S)
        for i in range(2):
            self.writer.write(f"line {i}")
            end_s = time.monotonic() + 1.0
            while f"line {i}\n" not in self.path.read_text():
                self.assertLess(time.monotonic(), end_s)
                time.sleep(0.01)

    def test_lines_of_a_burst_share_system_calls(self) -> None:
        """Guards against the cost of a system call for each line of a busy process."""
        with mock.patch.object(logwriter.os, "write", wraps=os.write) as write:
            for _ in range(400):
                self.writer.write(LINE)
            self.writer.close(TIMEOUT_S)
        self.assertEqual(self.path.read_text(), f"{LINE}\n" * 400)
        self.assertLess(write.call_count, 100)

    def test_full_disk_is_counted_and_splits_no_later_line(self) -> None:
        """Guards against an end by a full disk, and a line that joins half of an earlier one."""
        results = [3, OSError(errno.ENOSPC, "full"), 12, 1_000]
        written: list[bytes] = []

        def write(fd: int, data: bytes) -> int:
            result = results.pop(0) if results else 1_000
            if isinstance(result, OSError):
                raise result
            written.append(bytes(data[:result]))
            return len(written[-1])

        with mock.patch.object(logwriter.os, "write", write):
            self.writer.write("half a line")
            end_s = time.monotonic() + TIMEOUT_S
            while len(results) > 2 and time.monotonic() < end_s:
                time.sleep(0.01)
            self.writer.write("whole line")
            self.assertTrue(self.writer.close(TIMEOUT_S))
        self.assertEqual(b"".join(written), b"hal\n1 lines dropped\nwhole line\n")
        self.assertEqual(self.writer.dropped(), {logwriter.WRITE_FAILED: 1})


class ProcessEndTest(unittest.TestCase):
    """Run short processes whose standard output is a full pipe or a file."""

    CODE = (
        "import sys; from knapweedhitch import logs;"
        "from knapweedhitch.settings import LogSettings;"
        "logs.setup_buffered(LogSettings(), sys.stdout);"
        "[logs.event('line', number=i, text='x' * 100) for i in range({count})];"
    )

    def run_code(self, stdout: int, end: str, count: int) -> int:
        code = self.CODE.format(count=count) + end
        command = [sys.executable, "-c", code]
        return subprocess.run(command, stdout=stdout, cwd=ROOT, timeout=TIMEOUT_S).returncode

    def test_process_with_blocked_output_ends(self) -> None:
        """Guards against an interpreter that waits at its end for a reader of its output."""
        for end, code in (("sys.exit(3)", 3), ("import os; os._exit(4)", 4)):
            read_end, write_end = small_pipe()
            with self.subTest(end=end):
                self.assertEqual(self.run_code(write_end, end, 200), code)
            os.close(write_end)
            data = os.read(read_end, 65_536)
            os.close(read_end)
            self.assertTrue(data.endswith(b"\n"), "the last line is torn")

    def test_last_lines_of_a_process_are_written(self) -> None:
        """Guards against an end whose reason is still in the buffer."""
        with tempfile.TemporaryFile() as file:
            self.assertEqual(self.run_code(file.fileno(), "", 50), 0)
            file.seek(0)
            lines = file.read().decode().splitlines()
        self.assertEqual(len(lines), 50)
        self.assertIn("event=line number=49", lines[-1])


class ErrorOutputTest(unittest.TestCase):
    """Run processes that fail early, with a full pipe or a file as their standard error."""

    FAULT = "from knapweedhitch import output; output.protect_stderr(); 1 / 0"
    # The settings file does not exist.
    FAILURES = (
        (["-m", "knapweedhitch.platform", "app"], 2, "cannot be read"),
        (["-m", "knapweedhitch.daemon", "run", "/nowhere/s.yaml"], 2, "cannot be read"),
        (["-c", FAULT], 1, "ZeroDivisionError: division by zero"),
    )

    def run_process(self, args: list[str], stderr: int) -> int:
        env = {**os.environ, "KNAPWEEDHITCH_BOOT": "/nowhere/boot.yaml"}
        command = [sys.executable, *args]
        return subprocess.run(
            command, stderr=stderr, env=env, cwd=ROOT, timeout=TIMEOUT_S
        ).returncode

    def test_early_failure_ends_the_process_while_nobody_reads(self) -> None:
        """Guards against a process that is not started again, as it waits to print its error."""
        for args, code, _ in self.FAILURES:
            read_end, write_end = small_pipe()
            os.write(write_end, b"x" * PIPE_BYTES)
            with self.subTest(args=args):
                self.assertEqual(self.run_process(args, write_end), code)
            os.close(write_end)
            os.close(read_end)

    def test_early_failure_is_printed(self) -> None:
        """Guards against an error that is still in the buffer when the process ends."""
        for args, code, problem in self.FAILURES:
            with self.subTest(args=args), tempfile.TemporaryFile() as file:
                self.assertEqual(self.run_process(args, file.fileno()), code)
                file.seek(0)
                self.assertRegex(file.read().decode(), f"{problem}.*\\n\\Z")


class MetricsTest(unittest.TestCase):
    def test_dropped_lines_are_on_the_metrics_page(self) -> None:
        """Guards against lines that are lost without a trace for operators."""
        registry = counters.Counters()
        with mock.patch("knapweedhitch.output.dropped", return_value={"buffer-full": 7}):
            found = registry.snapshot().counters
        self.assertEqual(found, {("log_lines_dropped", "buffer-full"): 7})
