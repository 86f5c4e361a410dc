"""A process stops answering while nobody reads its log."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    BOUNDS,
    LIMITS,
    Cluster,
    KeptClient,
    Loop,
    Operator,
    Record,
    Target,
    route,
    run_case,
    running,
    service,
    wait_until,
)

CORES = ("127.0.1.20", "127.0.2.20", "127.0.3.20")
APPS = {"127.0.1.10": "robes", "127.0.2.10": "robes", "127.0.3.10": "catalogue"}
NODE = "127.0.1.10"
CLIENTS = 6
WORK_S = 0.03
# How long the log collector does not read.
PAUSE_S = 10.0
# The rule is broken by this many, if they are more than half of those unanswered at the timeout.
MIN_LOST = 8


def case(record: Record, trouble: bool) -> bool:
    with running(Cluster(record, CORES, APPS, machines=1)) as cluster:
        cluster.piped = frozenset({NODE})
        try:
            return play(cluster, record, trouble)
        finally:
            cluster.reads_logs.set()


def play(cluster: Cluster, record: Record, trouble: bool) -> bool:
    loop = Loop()
    targets = {ip: Target(cluster, ip, f"i-{ip.split('.')[2]}", WORK_S) for ip in APPS}
    for target in targets.values():
        loop.call(target.start())
    cluster.start(*CORES, *APPS)
    Operator(cluster).configure(
        {
            "upsert": {
                "routes": [route("r-1", "robes.example", "/x/", "robes")],
                "services": [service("robes"), service("catalogue")],
                "limits": LIMITS,
            },
            "remove": {"routes": []},
        }
    )
    for ip in APPS:
        wait_until(f"{ip} ready", lambda ip=ip: cluster.is_ready(ip))
    clients = [
        KeptClient(cluster, NODE, f"k{number}", "robes.example", "/x/1")
        for number in range(CLIENTS)
    ]
    wait_until("requests run", lambda: len(cluster.runs) > CLIENTS)
    time.sleep(BOUNDS["contactS"] + 1.0)
    from_s = time.monotonic()
    if trouble:
        cluster.reads_logs.clear()
        record.note("the log collector stops reading")
    time.sleep(PAUSE_S)
    was_ready = cluster.is_ready(NODE)
    to_s = time.monotonic()
    cluster.reads_logs.set()
    record.note("the log collector reads again")
    time.sleep(3.0)
    for client in clients:
        client.stop()

    sent = sum(from_s <= at_s < to_s for client in clients for at_s, _ in client.sent)
    late = sum(from_s <= at_s < to_s for client in clients for at_s, _ in client.late)
    lost = sum(from_s <= at_s < to_s for client in clients for at_s, _ in client.unanswered)
    record.note(
        f"requests: {sent}, unanswered at their timeout: {late}, 0.5 s later: {lost}; "
        f"node answers its readiness check: {was_ready}"
    )
    for target in targets.values():
        loop.call(target.stop())
    return not (lost >= MIN_LOST and lost > late / 2)


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
