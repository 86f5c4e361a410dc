"""A heartbeat of another writer, whose id cannot be read, ends the process that gets it."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    BOUNDS,
    CONTROL,
    LIMITS,
    Cluster,
    KeptClient,
    Loop,
    Operator,
    Record,
    Target,
    call_http,
    route,
    run_case,
    running,
    service,
    wait_until,
)

CORES = ("127.0.1.20", "127.0.2.20", "127.0.3.20")
APPS = {"127.0.1.10": "robes", "127.0.2.10": "robes", "127.0.3.10": "catalogue"}
NODE = "127.0.1.10"
CLIENTS = 8
WORK_S = 0.25
ROUNDS = 3
RESTART_S = 1.0
# Bytes that are no UTF-8, percent-encoded as in any request target.
UNREADABLE_ID = "%ff%fe"
# More than this many cut requests break the rule.
ALLOWED_CUTS = 3


def case(record: Record, trouble: bool) -> bool:
    with running(Cluster(record, CORES, APPS, machines=1)) as cluster:
        return play(cluster, record, trouble)


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
    cluster.bootstrap = False
    ends = 0
    for _ in range(ROUNDS):
        # In touch: nothing has happened to the machine for `contactS`.
        time.sleep(BOUNDS["contactS"] + 1.0)
        if trouble:
            send_foreign_heartbeat(cluster, record)
        time.sleep(2.0)
        code = cluster.exit_code(NODE)
        if code is not None:
            ends += 1
            record.note(f"the process of {NODE} has ended by itself with code {code}")
            time.sleep(RESTART_S)
            cluster.start(NODE)
            wait_until("ready again", lambda: cluster.is_ready(NODE))
    for client in clients:
        client.stop()

    ran = {run.request_id for run in cluster.runs}
    cut = [request_id for client in clients for _, request_id in client.cut if request_id in ran]
    record.note(
        f"ends of the process: {ends}; requests that a target ran and whose kept "
        f"connection was closed without an answer: {len(cut)}"
    )
    for target in targets.values():
        loop.call(target.stop())
    return len(cut) <= ALLOWED_CUTS


def send_foreign_heartbeat(cluster: Cluster, record: Record) -> None:
    """Send a heartbeat with an unreadable id, as another writer may."""
    body = {
        "address": f"{NODE}:{cluster.base + 9}",
        "info": {"service": "robes", "version": "v1", "zone": cluster.zone_of(NODE), "slots": 6},
        "status": {"state": "ready", "seq": 1, "coldRemainingS": 0},
        "born": int(time.time() * 1_000),
    }
    path = f"/knapweedhitch/instances/{UNREADABLE_ID}/heartbeat"
    headers = {"Content-Type": "application/json"}
    data = json.dumps(body).encode()
    status, _, _ = call_http(cluster.address(NODE, CONTROL), "POST", path, data, headers)
    record.line("foreign_heartbeat", path=path, answer=status or "none")


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
