"""A long request is broken off by the node that took it, during that node's planned stop."""

from __future__ import annotations

import http.client
import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stage2 as st  # noqa: E402
from target2 import Target  # noqa: E402

CORES = ["127.0.1.21", "127.0.2.21", "127.0.3.21"]
APPS = {"127.0.1.11": "orders", "127.0.2.11": "orders"}
ENTRY, SERVER = "127.0.1.11", "127.0.2.11"
TIMEOUT_S = 30.0
WORK_S = 12.0
# From the send of the request to the SIGTERM; the run ends well before five sixths of graceS.
SIGTERM_AFTER_S = 9.0


def send_order(stage: st.Stage, attempt_id: str, result: list[tuple[float, int, str]]) -> None:
    conn = http.client.HTTPConnection(stage.address(ENTRY, st.OUTBOUND), timeout=TIMEOUT_S + 2)
    headers = {
        "Host": "a.example",
        "Attempt-Id": attempt_id,
        "Deadline-Ms": str(int(TIMEOUT_S * 1000)),
        "Content-Type": "application/octet-stream",
    }
    started = time.monotonic()
    stage.note(f"client sends {attempt_id}")
    try:
        conn.request("POST", "/r-1/order", b"x" * 1200, headers)
        resp = conn.getresponse()
        resp.read()
        result.append(
            (time.monotonic() - started, resp.status, resp.headers.get("Server-Signature", ""))
        )
    except (OSError, http.client.HTTPException) as exc:
        result.append((time.monotonic() - started, 0, type(exc).__name__))
    finally:
        conn.close()
    stage.note(f"client gets {result[-1][1]} {result[-1][2]!r} after {result[-1][0]:.2f} s")


def play(stage: st.Stage) -> int:
    operator = st.Operator(stage, CORES, random.Random(1))
    for ip in (*CORES, *APPS):
        stage.start(ip, bootstrap=True)
    # The target is beside the other node, so that the node that is stopped serves callers only.
    target = Target(stage, SERVER, "orders", "i-1")
    target.work_s = lambda path, headers: WORK_S if path.endswith("/order") else 0.02
    try:
        first = {
            "routes": [st.route("r-1", 1, "orders", kind="unsafe", timeoutS=TIMEOUT_S)],
            "services": [st.service("orders", 1)],
            "limits": st.LIMITS,
        }
        if operator.patch(first, for_s=20.0) != 200:
            raise st.CannotRun("the first configuration was not accepted")
        wait_served(stage)
        result: list[tuple[float, int, str]] = []
        client = threading.Thread(target=send_order, args=(stage, "order-1", result))
        client.start()
        time.sleep(SIGTERM_AFTER_S)
        if st.has_trouble():
            stage.terminate(ENTRY)
        client.join(TIMEOUT_S)
        time.sleep(max(0.0, WORK_S - result[0][0]) + 0.5)
    finally:
        target.close()
    runs = [run for run in target.runs if run[1] == "order-1"]
    if len(runs) != 1:
        raise st.CannotRun(f"{len(runs)} runs")
    elapsed_s, _, signature = result[0]
    is_own = not signature.startswith("sig.")
    was_at_work = elapsed_s < WORK_S
    stage.note(f"answer after {elapsed_s:.2f} s, own={is_own}, target still at work={was_at_work}")
    # LOST counts a request only around planned work.
    is_lost = st.has_trouble() and is_own and was_at_work
    return st.BROKEN if is_lost else st.HELD


def wait_served(stage: st.Stage) -> None:
    """Wait until a short request is served through the entry node."""
    end_s = time.monotonic() + 20.0
    n = 0
    while time.monotonic() < end_s:
        n += 1
        headers = {"Host": "a.example", "Attempt-Id": f"warm-{n}", "Deadline-Ms": "1000"}
        address = stage.address(ENTRY, st.OUTBOUND)
        if st.send_http(address, "POST", "/r-1/short", b"x", headers, 2.0)[0] == 200:
            return
        time.sleep(0.2)
    raise st.CannotRun("no request was served")


def main() -> int:
    st.end_on_signal()
    stage = st.Stage(HERE, CORES, APPS, tolerated=1)
    try:
        result = play(stage)
    except Exception as exc:  # An error of this script shows nothing of the system.
        stage.note(f"cannot run: {type(exc).__name__}: {exc}")
        result = st.NOT_RUN
    finally:
        stage.close()
    return result


if __name__ == "__main__":
    sys.exit(main())
