"""Case 12: a frozen node loses the end of a chunked body and uses the connection again."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage3  # noqa: E402

# Ten machines, of which one stands still at a time.
CORES = ["127.0.1.20", "127.0.2.20", "127.0.3.20", "127.0.1.21", "127.0.2.21"]
UPLOADED = ["127.0.1.10", "127.0.2.10", "127.0.3.10"]
APPS = {**dict.fromkeys(UPLOADED, "archiv"), "127.0.1.11": "sablony", "127.0.2.11": "sablony"}
# Two of the three targets answer early, two of five uploads, for 6 s at a time.
EARLY = ("127.0.1.10", "127.0.2.10")
SPELL_S, PAUSE_S, SPELLS = 6.0, 2.0, 4
MIN_EARLY = 8
PART = b"p" * 16_384
PARTS = 6
# The target answers when it has read this much of a body of 96 KiB.
ANSWER_AFTER_BYTES = 2 * 16_384


class Upload:
    """What the target and the client of one round tell each other, outside the system."""

    def __init__(self) -> None:
        self.target: stage3.Target | None = None
        self.began = asyncio.Event()
        self.is_early = False
        self.may_answer = asyncio.Event()
        self.answered = asyncio.Event()
        self.rest = "nothing"
        self.ended = asyncio.Event()


async def run(fleet: stage3.Fleet, trouble: bool) -> bool:
    uploads: dict[str, Upload] = {}
    wrong: list[str] = []
    spells = stage3.Spells(SPELL_S, PAUSE_S, SPELLS)

    async def serve(target, request, reader, writer) -> bool:
        upload = uploads.get(request.attempt_id)
        if upload is None:
            return await target.run_plain(request, reader, writer)
        upload.is_early = target.ip in EARLY and spells.takes(target.ip)
        upload.target = target
        if not upload.is_early:
            upload.began.set()
            try:
                return await target.run_plain(request, reader, writer)
            finally:
                upload.ended.set()
        # An early answer: the connection is kept and the rest of the body is read later.
        target.runs.append((request.attempt_id, time.monotonic()))
        read = 0
        while read < ANSWER_AFTER_BYTES:
            read += len(await stage3.read_chunk(reader))
        upload.began.set()
        await upload.may_answer.wait()
        target.respond(writer, request, 200, b"stored", target.signed())
        await writer.drain()
        upload.answered.set()
        try:
            while chunk := await stage3.read_chunk(reader):
                read += len(chunk)
            upload.rest = f"end after {read} bytes"
        except ValueError as exc:
            upload.rest = f"OTHER BYTES after {read} bytes: {exc}"
            wrong.append(request.attempt_id)
            return False
        except (EOFError, asyncio.IncompleteReadError, ConnectionError) as exc:
            # A sender may close in the middle of a body that nobody needs.
            upload.rest = f"closed after {read} bytes: {exc!r}"
            return False
        finally:
            fleet.record.line(f"target {target.ip} {request.attempt_id} body: {upload.rest}")
            upload.ended.set()
        return True

    for target in fleet.targets.values():
        target.serve = serve
    await fleet.open()
    config = {
        "routes": [
            stage3.route_item("nahrani", "archiv", "upload"),
            stage3.route_item("adresar", "archiv", "safe"),
        ],
        "services": [stage3.service_item("archiv"), stage3.service_item("sablony")],
        "limits": stage3.LIMITS,
    }
    if not await fleet.patch(config, limit_s=30):
        raise stage3.CannotRun("the first configuration was not accepted")
    await fleet.wait_ready()
    await wait_until_served(fleet)
    spells.begin()
    number = 0
    while spells.left_s > 0:
        await play_round(fleet, trouble, number, uploads)
        number += 1
    early = sum(upload.is_early for upload in uploads.values())
    fleet.record.line(f"uploads {len(uploads)}, early {early}")
    if early < MIN_EARLY:
        raise stage3.CannotRun(f"only {early} uploads were answered early")
    fleet.record.line(f"uploads whose target got other bytes: {wrong}")
    return not wrong


async def wait_until_served(fleet: stage3.Fleet) -> None:
    for ip in UPLOADED:
        for _ in range(100):
            status = await look_up(fleet, ip)
            if status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise stage3.CannotRun(f"no response through {ip}")


async def look_up(fleet: stage3.Fleet, ip: str) -> int:
    attempt = secrets.token_hex(8)
    headers = {"Host": "adresar.example", "Attempt-Id": attempt, "Deadline-Ms": "1200"}
    status, _ = await stage3.send(
        fleet.address(ip, "outbound"), "GET", "/x/1", b"", 2.0, headers
    )
    fleet.record.line(f"client {ip} lookup {attempt}: {status}")
    return status


async def read_answer(reader: asyncio.StreamReader) -> int:
    try:
        async with asyncio.timeout(3.0):
            return (await stage3.read_response(reader))[0]
    except TimeoutError:
        return 0


async def play_round(
    fleet: stage3.Fleet, trouble: bool, number: int, uploads: dict[str, Upload]
) -> None:
    entry = UPLOADED[number % len(UPLOADED)]
    attempt = secrets.token_hex(8)
    upload = uploads[attempt] = Upload()
    host, _, port = fleet.address(entry, "outbound").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        "POST /x/sheet HTTP/1.1\r\nHost: nahrani.example\r\n"
        f"Attempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    for _ in range(PARTS):
        writer.write(b"%x\r\n%s\r\n" % (len(PART), PART))
    await writer.drain()
    fleet.record.line(f"client {entry} upload {attempt}: {PARTS * len(PART)} bytes sent")
    try:
        async with asyncio.timeout(3.0):
            await upload.began.wait()
    except TimeoutError:
        fleet.record.line(f"upload {attempt} did not reach a target")
        writer.close()
        return
    node = upload.target.ip
    if not upload.is_early:
        writer.write(b"0\r\n\r\n")
        status = await read_answer(reader)
        fleet.record.line(f"client {entry} upload {attempt}: {status}, not early")
        writer.close()
        await asyncio.sleep(0.05)
        return
    # Long enough for all that was sent so far to arrive.
    await asyncio.sleep(0.15)
    if trouble:
        fleet.signal(node, signal.SIGSTOP)
        await asyncio.sleep(0.5)
    upload.may_answer.set()
    await upload.answered.wait()
    await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    fleet.record.line(f"client {entry} upload {attempt}: end sent")
    await asyncio.sleep(0.1)
    if trouble:
        fleet.signal(node, signal.SIGCONT)
    status = await read_answer(reader)
    fleet.record.line(f"client {entry} upload {attempt}: {status}, early")
    writer.close()
    # The next requests of this machine.
    for _ in range(2):
        await look_up(fleet, node)
    try:
        async with asyncio.timeout(1.0):
            await upload.ended.wait()
    except TimeoutError:
        fleet.record.line(f"target {node} {attempt}: the rest of the body has not come")


if __name__ == "__main__":
    sys.exit(stage3.main(lambda folder: stage3.Fleet(folder, CORES, APPS), run, FOLDER))
