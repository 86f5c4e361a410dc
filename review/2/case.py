"""A paused control instance carries out an order of the operator that was replaced meanwhile."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    BOUNDS,
    LIMITS,
    Clients,
    Cluster,
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

CORES = ("127.0.1.20", "127.0.2.20", "127.0.3.20", "127.0.1.21", "127.0.2.21")
APPS = {ip: "robes" for ip in ("127.0.1.10", "127.0.2.10", "127.0.3.10")}
ZONE = "zone-1"
PAUSED = CORES[3]
PAUSE_S = 6.0
OBSERVE_S = 8.0


def case(record: Record, trouble: bool) -> bool:
    with running(Cluster(record, CORES, APPS, machines=2)) as cluster:
        return play(cluster, record, trouble)


def play(cluster: Cluster, record: Record, trouble: bool) -> bool:
    loop = Loop()
    targets = {ip: Target(cluster, ip, f"i-{ip.split('.')[2]}") for ip in APPS}
    for target in targets.values():
        loop.call(target.start())
    cluster.start(*CORES, *APPS)
    operator = Operator(cluster)
    operator.configure(
        {
            "upsert": {
                "routes": [route("r-1", "robes.example", "/x/", "robes")],
                "services": [service("robes")],
                "limits": LIMITS,
            },
            "remove": {"routes": []},
        }
    )
    for ip in APPS:
        wait_until(f"{ip} ready", lambda ip=ip: cluster.is_ready(ip))
    clients = Clients(cluster, "robes.example", "/x/1", per_s=10.0)
    clients.start(*APPS)
    wait_until("every target runs", lambda: len({run.target for run in cluster.runs}) == 3)
    time.sleep(2.0)

    others = tuple(ip for ip in CORES if ip != PAUSED)
    operator.evacuate(ZONE, "start", others)
    record.note(f"{ZONE} is evacuated")
    time.sleep(2.0)
    paused_s = time.monotonic()
    if trouble:
        cluster.signal(signal.SIGSTOP, PAUSED)
    finish = operator.evacuate(ZONE, "finish", (PAUSED, *others))
    record.note(f"finish is acknowledged, asked: {finish.nodes}")
    time.sleep(0.5)
    start = operator.evacuate(ZONE, "start", others[1:] + others[:1])
    record.note(f"start is acknowledged, asked: {start.nodes}")
    time.sleep(max(0.0, paused_s + PAUSE_S - time.monotonic()))
    if trouble:
        cluster.signal(signal.SIGCONT, PAUSED)
    # All machines are in touch again `contactS` after the pause; no order follows.
    calm_s = time.monotonic() + BOUNDS["contactS"]
    from_s = max(start.at_s + BOUNDS["evacuationS"], calm_s)
    time.sleep(max(0.0, from_s + OBSERVE_S - time.monotonic()))
    clients.stop()

    in_zone = {targets[ip].instance_id for ip in APPS if cluster.zone_of(ip) == ZONE}
    # A request counts by the time of its arrival, which is no earlier than that of its sending.
    late = [run for run in cluster.runs if run.target in in_zone and run.at_s > from_s]
    served = sum(1 for at_s, status in clients.statuses if at_s > from_s and status == 200)
    record.note(f"runs in {ZONE} after the bound: {len(late)}; requests served: {served}")
    for target in targets.values():
        loop.call(target.stop())
    return not late


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
