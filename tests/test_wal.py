"""Tests of the log file, the snapshot file and the store."""

from __future__ import annotations

import os
import random
import tempfile
import threading
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar
from unittest import mock

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from knapweedhitch import snapshot, wal
from knapweedhitch.disk import FolderDisk
from knapweedhitch.exceptions import (
    CorruptFile,
    DataFolderLocked,
    DiskFull,
    StorageError,
    StoreClosed,
    SyncFailed,
)
from knapweedhitch.messages import LogEntry
from knapweedhitch.store import Store
from tests.faulty_disk import FaultyDisk

T = TypeVar("T")

STALL_S = 2.0


def run(fn: Callable[[], Awaitable[T]]) -> T:
    return trio.run(fn)


def entries(first: int, last: int, term: int = 1) -> list[LogEntry]:
    return [LogEntry(term, index, "change", b"%d" % index) for index in range(first, last + 1)]


async def append(store: Store, new: list[LogEntry]) -> None:
    store.stage(new)
    await store.flush(new)


class ScanTest(unittest.TestCase):
    data = wal.frame(0, ["first"]) + wal.frame(1, ["second", bytes(20)])

    def test_every_truncation_keeps_the_complete_frames(self) -> None:
        """Guards against a torn tail that hides or invents records."""
        first = len(wal.frame(0, ["first"]))
        for size in range(len(self.data)):
            for zeros in (0, len(self.data) - size):
                torn = self.data[:size] + bytes(zeros)
                with self.subTest(size=size, zeros=zeros):
                    result = wal.scan("log", torn)
                    self.assertEqual(len(result.frames), 0 if size < first else 1)

    def test_every_flipped_bit_is_refused_with_its_offset(self) -> None:
        """Guards against damage to synced records that is mistaken for a torn tail."""
        first = len(wal.frame(0, ["first"]))
        for bit in range(len(self.data) * 8):
            damaged = bytearray(self.data)
            damaged[bit // 8] ^= 1 << (bit % 8)
            with self.subTest(bit=bit), self.assertRaises(CorruptFile) as caught:
                wal.scan("log", bytes(damaged))
            self.assertEqual(caught.exception.offset, 0 if bit // 8 < first else first)
            self.assertEqual(caught.exception.path, "log")

    def test_repeated_or_missing_frames_are_refused(self) -> None:
        """Guards against frames that a misdirected write has repeated or dropped."""
        frames = [wal.frame(number, [number]) for number in range(3)]
        for order in ([0, 0, 1], [0, 2], [1, 2]):
            with self.subTest(order=order), self.assertRaises(CorruptFile):
                wal.scan("log", b"".join(frames[n] for n in order))

    def test_records_after_a_torn_tail_are_readable(self) -> None:
        """Guards against records that are unreadable because they follow a torn write."""

        async def check() -> None:
            disk = FaultyDisk()
            await disk.append("log", self.data[:-3])
            log = wal.WriteAheadLog(disk, "log")
            self.assertEqual(await log.load(), (["first"],))
            await log.append(["third"])
            reopened_log = wal.WriteAheadLog(disk, "log")
            self.assertEqual(await reopened_log.load(), (["first"], ["third"]))

        run(check)

    def test_incomplete_snapshot_is_refused(self) -> None:
        """Guards against a state restored from an incomplete snapshot."""
        data = snapshot.encode(snapshot.Snapshot(5, 1, {"c1": "x"}, "g", b"state"))
        self.assertEqual(snapshot.decode(data).index, 5)
        for damaged in (b"", data[:-1], data + data, data + b"\0", wal.frame(0, [1, 2])):
            with self.assertRaises(CorruptFile):
                snapshot.decode(damaged)


class FolderDiskTest(unittest.TestCase):
    def test_store_on_a_real_folder_survives_a_restart(self) -> None:
        """Guards against acknowledged state that a restart loses because it was only in memory."""

        async def check() -> None:
            with tempfile.TemporaryDirectory() as folder:
                disk = FolderDisk(folder)
                store = await Store.open(disk, "k", "c1")
                await store.set_term(3, "c2")
                await append(store, entries(1, 300))
                await store.replace_tail(entries(300, 301, term=3))
                await store.save_snapshot(snapshot.Snapshot(290, 1, {}, "g", b"s"))
                with self.assertRaises(DataFolderLocked):
                    FolderDisk(folder)
                await store.close()
                reopened = await Store.open(FolderDisk(folder), "k", "c1")
                self.assertEqual(
                    (reopened.term, reopened.vote, reopened.last_index),
                    (3, "c2", 301),
                )
                self.assertEqual((reopened.first_index, reopened.last_term), (91, 3))
                self.assertEqual(reopened.disk_id, store.disk_id)
                await reopened.close()
                with self.assertRaisesRegex(StorageError, "belongs to k/c1"):
                    await Store.open(FolderDisk(folder), "k", "c9")

        run(check)

    def test_a_stalled_sync_does_not_delay_the_stop(self) -> None:
        """Guards against a process that is killed at a planned stop because its disk stalls."""
        released = threading.Event()

        async def main() -> float:
            with tempfile.TemporaryDirectory() as folder:
                disk = FolderDisk(folder)
                await disk.append("log", b"data")
                started_s = trio.current_time()
                with trio.move_on_after(0.05):
                    await disk.sync("log")
                took_s = trio.current_time() - started_s
                released.set()
                await disk.close()
                return took_s

        with mock.patch("os.fsync", lambda _fd: released.wait(STALL_S)):
            self.assertLess(trio.run(main), STALL_S / 2)

    def test_a_stalled_disk_does_not_hold_up_other_tasks(self) -> None:
        """Guards against a control instance that answers nobody while its disk hangs."""
        operations: tuple[tuple[str, Callable[[FolderDisk], Awaitable[Any]]], ...] = (
            ("open", lambda disk: disk.append("new", b"data")),
            ("write", lambda disk: disk.append("log", b"data")),
            ("ftruncate", lambda disk: disk.truncate("log", 2)),
            ("replace", lambda disk: disk.rename("log", "old")),
            ("listdir", lambda disk: disk.names()),
        )
        for call, operation in operations:
            with self.subTest(call):
                self.assertLess(trio.run(self.time_of_other_task, call, operation), STALL_S / 2)

    async def time_of_other_task(
        self, call: str, operation: Callable[[FolderDisk], Awaitable[Any]]
    ) -> float:
        """Return the seconds that a sleep of 50 ms takes while a system call waits for the disk."""
        released = threading.Event()
        real = getattr(os, call)

        def stall(*args: Any, **kwargs: Any) -> Any:
            released.wait(STALL_S)
            return real(*args, **kwargs)

        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(folder)
            await disk.append("log", b"first")
            started_s = trio.current_time()
            with mock.patch(f"os.{call}", stall):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(operation, disk)
                    await trio.sleep(0.05)
                    took_s = trio.current_time() - started_s
                    released.set()
            await disk.close()
        return took_s

    def test_stop_leaves_a_file_open_that_is_being_written(self) -> None:
        """Guards against the rest of a write that goes to the next file with the same number."""
        released = threading.Event()
        real = os.write

        def write_slowly(fd: int, data: bytes) -> int:
            released.wait(STALL_S)
            return real(fd, bytes(data[:2]))

        async def main() -> bytes:
            with tempfile.TemporaryDirectory() as folder:
                disk = FolderDisk(folder)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(disk.append, "log", b"data")
                    await trio.sleep(0.05)
                    await disk.close()
                    released.set()
                data = (Path(folder) / "log").read_bytes()
                await disk.close()
                with self.assertRaises(StorageError):
                    await disk.append("log", b"without the lock of the folder")
                return data

        with mock.patch("os.write", write_slowly):
            self.assertEqual(trio.run(main), b"data")


class StoreFaultTest(unittest.TestCase):
    def test_failed_write_closes_the_store_for_good(self) -> None:
        """Guards against acknowledging writes after a failed sync or a full disk."""

        async def check(error: type[StorageError], **fault: Any) -> None:
            disk = FaultyDisk()
            store = await Store.open(disk, "k", "c1")
            for name, value in fault.items():
                setattr(disk, name, value)
            with self.assertRaises(error):
                await store.set_term(1, "c1")
            disk.free_bytes = None
            for attempt in (store.set_term(2, "c1"), store.flush([])):
                with self.assertRaises(StoreClosed):
                    await attempt
            self.assertEqual((store.term, store.vote), (0, ""))

        run(lambda: check(SyncFailed, failing_syncs=1))
        run(lambda: check(DiskFull, free_bytes=10))

    def test_missing_files_are_never_taken_for_an_empty_log(self) -> None:
        """Guards against a member that lost its votes with a file but kept its identity."""

        async def check(missing: str) -> None:
            disk = FaultyDisk()
            store = await Store.open(disk, "k", "c1")
            await append(store, entries(1, 300))
            await store.save_snapshot(snapshot.Snapshot(300, 1, {}, "g", b"s"))
            del disk.files[missing]
            if missing == "identity":
                reopened = await Store.open(disk.reopened(), "k", "c1")
                self.assertNotEqual(reopened.disk_id, store.disk_id)
                self.assertTrue(reopened.is_empty)
                return
            with self.assertRaises(CorruptFile):
                await Store.open(disk.reopened(), "k", "c1")

        for missing in ("identity", "log", "snapshot"):
            with self.subTest(missing=missing):
                run(lambda m=missing: check(m))


class LogMachine(RuleBasedStateMachine):
    """Compare a store with a list; crashes may keep or lose only what was not acknowledged."""

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.disk = FaultyDisk(random.Random(seed))
        self.store = run(lambda: Store.open(self.disk, "k", "c1"))
        self.terms: list[int] = []
        self.vote: tuple[int, str] = (0, "")
        self.snapshot_index = 0

    def reopen(self) -> None:
        self.disk = self.disk.reopened()
        self.store = run(lambda: Store.open(self.disk, "k", "c1"))

    @rule(count=st.integers(1, 40))
    def append(self, count: int) -> None:
        first = len(self.terms) + 1
        run(lambda: append(self.store, entries(first, first + count - 1, self.vote[0])))
        self.terms += [self.vote[0]] * count

    @rule(back=st.integers(1, 5))
    def replace_tail(self, back: int) -> None:
        first = max(self.snapshot_index + 1, len(self.terms) + 1 - back)
        run(lambda: self.store.replace_tail(entries(first, first, self.vote[0])))
        self.terms[first - 1 :] = [self.vote[0]]

    @rule(step=st.integers(1, 3), vote=st.sampled_from(["", "c1", "c2"]))
    def set_term(self, step: int, vote: str) -> None:
        self.vote = (self.vote[0] + step, vote)
        run(lambda: self.store.set_term(*self.vote))

    @rule(back=st.integers(0, 10))
    def snapshot(self, back: int) -> None:
        index = len(self.terms) - back
        if index > self.snapshot_index:
            snap = snapshot.Snapshot(index, self.terms[index - 1], {}, "g", b"s")
            run(lambda: self.store.save_snapshot(snap))
            self.snapshot_index = index

    @rule(power=st.booleans())
    def crash(self, power: bool) -> None:
        if power:
            self.disk.lose_power()
        self.reopen()

    @rule(count=st.integers(1, 5), power=st.booleans(), full=st.none() | st.integers(0, 200))
    def crash_in_a_write(self, count: int, power: bool, full: int | None) -> None:
        first = len(self.terms) + 1
        self.disk.failing_syncs, self.disk.free_bytes = 1, full
        with unittest.TestCase().assertRaises(StorageError):
            run(lambda: append(self.store, entries(first, first + count - 1, self.vote[0])))
        self.disk.failing_syncs, self.disk.free_bytes = 0, None
        if power:
            self.disk.lose_power()
        self.reopen()
        # A batch that was not acknowledged is kept or lost as a whole.
        kept = self.store.last_index - len(self.terms)
        assert kept in (0, count)
        self.terms += [self.vote[0]] * kept

    @rule(name=st.sampled_from(["log", "snapshot", "identity"]), offset=st.integers(0, 5_000))
    def flip_bit(self, name: str, offset: int) -> None:
        if name in self.disk.files:
            self.disk.flip_bit(name, offset)
            with unittest.TestCase().assertRaises(CorruptFile):
                self.reopen()
            self.disk.flip_bit(name, offset)
            self.reopen()

    @invariant()
    def holds_what_was_acknowledged(self) -> None:
        if not hasattr(self, "store"):
            return
        store = self.store
        assert (store.term, store.vote) == self.vote
        assert store.last_index == len(self.terms)
        held = [store.term_at(i) for i in range(store.first_index, store.last_index + 1)]
        assert held == self.terms[store.first_index - 1 :]
        assert store.first_index <= self.snapshot_index + 1


class LogUnderFaults(LogMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against acknowledged records lost in a crash, and against undetected damage."""

    settings = settings(derandomize=True, deadline=None, max_examples=60, stateful_step_count=25)
