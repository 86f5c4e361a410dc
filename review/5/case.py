"""A zone that is taken back ends the processes beside targets that may get nothing while cold."""

from __future__ import annotations

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
ZONE = "zone-1"
APPS = {
    "127.0.1.10": "robes",
    "127.0.1.11": "robes",
    "127.0.2.10": "stock",
    "127.0.3.10": "stock",
}
IN_ZONE = tuple(ip for ip, name in APPS.items() if name == "robes")
CLIENTS = 6
WORK_S = 0.2
EVACUATED_S = 6.0
# More than this many cut requests break the rule.
ALLOWED_CUTS = 3


def case(record: Record, trouble: bool) -> bool:
    with running(Cluster(record, CORES, APPS, machines=1)) as cluster:
        return play(cluster, record, trouble)


def play(cluster: Cluster, record: Record, trouble: bool) -> bool:
    loop = Loop()
    targets = [Target(cluster, ip, f"i-{ip[6]}-{ip[8:]}", WORK_S, slots=9) for ip in APPS]
    for target in targets:
        loop.call(target.start())
    cluster.start(*CORES, *APPS)
    operator = Operator(cluster)
    operator.configure(
        {
            "upsert": {
                "routes": [
                    route("r-1", "robes.example", "/x/", "robes"),
                    route("r-2", "stock.example", "/x/", "stock"),
                ],
                # The targets of robes are to get no request while they are cold.
                "services": [{**service("robes"), "coldPerS": 0}, service("stock")],
                "limits": LIMITS,
            },
            "remove": {"routes": []},
        }
    )
    for ip in APPS:
        wait_until(f"{ip} ready", lambda ip=ip: cluster.is_ready(ip))
    # Other nodes use the targets in the zone.
    others = Clients(cluster, "robes.example", "/x/1", per_s=10.0)
    others.start(*[ip for ip in APPS if ip not in IN_ZONE] * 2)
    # Callers in the zone use sound targets in other zones, which stay in use all the time.
    clients = [
        KeptClient(cluster, ip, f"k{ip[8:]}-{number}", "stock.example", "/x/1")
        for ip in IN_ZONE
        for number in range(CLIENTS)
    ]
    wait_until("every target runs", lambda: len({run.target for run in cluster.runs}) == len(APPS))
    time.sleep(BOUNDS["contactS"] + 1.0)
    if trouble:
        operator.evacuate(ZONE, "start", CORES)
        time.sleep(EVACUATED_S)
        operator.evacuate(ZONE, "finish", CORES)
        record.note(f"{ZONE} is taken back")
    time.sleep(4.0)
    ended = [ip for ip in APPS if cluster.exit_code(ip) is not None]
    for client in clients:
        client.stop()
    others.stop()

    ran = {run.request_id for run in cluster.runs}
    cut = [request_id for client in clients for _, request_id in client.cut if request_id in ran]
    record.note(
        f"processes that ended by themselves: {ended}; requests that a target ran and whose kept "
        f"connection was closed without an answer: {len(cut)}"
    )
    for target in targets:
        loop.call(target.stop())
    return len(cut) <= ALLOWED_CUTS


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
