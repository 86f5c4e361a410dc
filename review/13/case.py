"""Case 13: an order that has run is answered 503, the promise that it has not."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage3  # noqa: E402

CORES = ["127.0.1.20", "127.0.2.20", "127.0.3.20"]
# One target of eight fails two of five of its requests for 6 s, after it has run them.
HOSTS = (10, 11, 12)
APPS = {f"127.0.{zone}.{host}": "expedice" for zone in (1, 2, 3) for host in HOSTS}
APPS.pop("127.0.3.12")
GREY = "127.0.1.10"
SPELL_S = 6.0
MIN_ORDERS = 100
PROMISES = (408, 421, 429, 503)


async def run(fleet: stage3.Fleet, trouble: bool) -> bool:
    failed = 0
    spells = stage3.Spells(SPELL_S, 0.0, 1)

    async def serve(target, request, reader, writer) -> bool:
        nonlocal failed
        request.body = await stage3.read_body(reader, request)
        target.runs.append((request.attempt_id, time.monotonic()))
        fleet.record.line(f"target {target.ip} runs {request.attempt_id}")
        await asyncio.sleep(target.work_s)
        is_failed = trouble and target.ip == GREY and spells.takes(GREY)
        failed += is_failed
        # Without Not-Executed: no statement that the request has not run.
        status = 503 if is_failed else 200
        target.respond(writer, request, status, b"done", target.signed())
        return True

    for target in fleet.targets.values():
        target.serve = serve
    await fleet.open()
    config = {
        "routes": [stage3.route_item("odeslani", "expedice", "unsafe")],
        "services": [stage3.service_item("expedice")],
        "limits": stage3.LIMITS,
    }
    if not await fleet.patch(config, limit_s=30):
        raise stage3.CannotRun("the first configuration was not accepted")
    await fleet.wait_ready()
    await asyncio.sleep(2.0)
    broken: list[str] = []
    orders = 0
    spells.begin()

    async def call(ip: str) -> None:
        nonlocal orders
        while spells.left_s > 0:
            orders += 1
            attempt = secrets.token_hex(8)
            headers = {"Host": "odeslani.example", "Attempt-Id": attempt, "Deadline-Ms": "4000"}
            status, _ = await stage3.send(
                fleet.address(ip, "outbound"), "POST", "/x/order", b"{}", 5.0, headers
            )
            runs = sum(a == attempt for t in fleet.targets.values() for a, _ in t.runs)
            fleet.record.line(f"client {ip} order {attempt}: {status} runs={runs}")
            if status in PROMISES and runs:
                broken.append(attempt)
            await asyncio.sleep(0.2)

    await asyncio.gather(*(call(ip) for ip in APPS))
    if orders < MIN_ORDERS:
        raise stage3.CannotRun(f"only {orders} orders were sent")
    fleet.record.line(f"orders {orders}, failed after the run: {failed}; answered as not run: {broken}")
    return not broken


if __name__ == "__main__":
    sys.exit(stage3.main(lambda folder: stage3.Fleet(folder, CORES, APPS), run, FOLDER))
