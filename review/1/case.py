"""A target deregisters at a node that has just restarted, and goes on getting requests."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    BOUNDS,
    HEARTBEAT_S,
    LIMITS,
    CannotRun,
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

CORES = ("127.0.1.20", "127.0.2.20", "127.0.3.20")
# Clients use the node of another service, which sends all their requests to the other two.
APPS = {"127.0.1.10": "robes", "127.0.2.10": "robes", "127.0.3.10": "catalogue"}
NODE, ENTRY = "127.0.1.10", "127.0.3.10"
CLIENTS = 8
MAX_ROUNDS = 5
WORK_S = 0.12
# The target serves this long after it has deregistered, then it exits.
SERVES_ON_S = 9.0


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
    clients = Clients(cluster, "robes.example", "/x/1", per_s=20.0)
    # Nothing happens to the node that takes the requests of clients. They keep both targets busy.
    clients.start(*[ENTRY] * CLIENTS)
    leaving = targets[NODE]
    wait_until("both targets run", lambda: len({run.target for run in cluster.runs}) == 2)
    time.sleep(3.0)

    cluster.bootstrap = False
    for _ in range(MAX_ROUNDS):
        acked_s, acks = restart_after_heartbeat(cluster, leaving, trouble)
        wait_for_runs(cluster, leaving, acked_s + 0.3)
        if leaving.acks == acks or not trouble:
            break
        # On a slow machine the next heartbeat may come first; the target does not leave yet.
        time.sleep(BOUNDS["contactS"])
    else:
        raise CannotRun("the node started too slowly to be used before the next heartbeat")
    record.note(
        f"{leaving.instance_id} gets requests; its last heartbeat was acknowledged "
        f"{time.monotonic() - acked_s:.2f} s ago"
    )
    loop.call(leaving.stop_heartbeats())
    status = loop.call(leaving.deregister())
    left_s = time.monotonic()
    record.line("deregister_answer", target=leaving.instance_id, status=status)
    record.note(f"deregistration answered with {status}")
    time.sleep(SERVES_ON_S)
    clients.stop()

    late = [
        run
        for run in cluster.runs
        if run.target == leaving.instance_id and run.at_s > left_s + BOUNDS["drainS"]
    ]
    last_s = max((run.at_s for run in late), default=left_s) - left_s
    record.note(
        f"runs later than drainS after the acknowledgement: {len(late)}, last {last_s:.2f} s"
    )
    for target in targets.values():
        loop.call(target.stop())
    if not 200 <= status < 300:
        record.note("the deregistration was not acknowledged, so the rule says nothing")
        return True
    return not late


def wait_for_runs(cluster: Cluster, target: Target, from_s: float) -> None:
    """Wait until the target has got a request after a time; raises CannotRun."""
    name = target.instance_id
    wait_until(
        "used again", lambda: any(r.target == name and r.at_s > from_s for r in cluster.runs)
    )


def restart_after_heartbeat(cluster: Cluster, target: Target, trouble: bool) -> tuple[float, int]:
    """Kill and start the node right after a heartbeat; return its time and the number so far."""
    acks = target.acks
    wait_until("next heartbeat", lambda: target.acks > acks, 2 * HEARTBEAT_S)
    acked_s = time.monotonic()
    if trouble:
        cluster.kill(NODE)
        cluster.start(NODE)
    return acked_s, target.acks


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
