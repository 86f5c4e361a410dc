"""A core machine is replaced as planned; then two others lose their disks."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stage2 as st  # noqa: E402

CORES = ["127.0.1.21", "127.0.2.21", "127.0.3.21", "127.0.1.22", "127.0.2.22"]
OLD, SUCCESSOR = "127.0.1.22", "127.0.1.23"
LOST = ["127.0.2.21", "127.0.2.22"]
DOWN_S = 1.5
# From the end of the replaced machine to the loss of the two disks.
PAUSE_S = 1.0
READ_S = 6.0


def play(stage: st.Stage) -> int:
    operator = st.Operator(stage, list(CORES), random.Random(1))
    for ip in CORES:
        stage.start(ip, bootstrap=True)
    first = {
        "routes": [st.route("r-1", 1, "robes")],
        "services": [st.service("robes", 1)],
        "limits": st.LIMITS,
    }
    if operator.patch(first, for_s=20.0) != 200:
        raise st.CannotRun("the first configuration was not accepted")
    time.sleep(2.0)

    # Planned work: the successor first, then SIGTERM, once the successor has had catchUpS.
    stage.cores.append(SUCCESSOR)
    stage.start(SUCCESSOR)
    time.sleep(st.CATCH_UP_S + 0.2)
    stage.terminate(OLD)
    operator.nodes = [ip for ip in CORES if ip != OLD] + [SUCCESSOR]
    time.sleep(PAUSE_S)
    if operator.patch({"routes": [st.route("r-1", 2, "robes", timeoutS=1.4)]}, for_s=4.0) != 200:
        raise st.CannotRun("the change was not acknowledged")
    if st.has_trouble():
        stage.kill(*LOST)
        for ip in LOST:
            stage.lose_disk(ip)
        time.sleep(DOWN_S)
        for ip in LOST:
            stage.start(ip)
    stage.note(f"all machines are back; wait for recoveryS ({st.RECOVERY_S} s)")
    time.sleep(st.RECOVERY_S + st.CATCH_UP_S)
    for ip in operator.nodes:
        if not stage.is_running(ip):
            raise st.CannotRun(f"{ip} has ended")
    held = operator.read(for_s=READ_S)
    versions = None if held is None else [item["version"] for item in held["routes"]]
    stage.note(f"read back: {'nothing' if held is None else f'route versions {versions}'}")
    status = operator.patch({"routes": [st.route("r-1", 3, "robes")]}, for_s=READ_S)
    stage.note(f"a further valid change: {status}")
    return st.HELD if versions == [2] else st.BROKEN


def main() -> int:
    st.end_on_signal()
    stage = st.Stage(HERE, CORES, {}, tolerated=2)
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
