"""Steps of the disk and replication fault tables."""

from __future__ import annotations

import random
from typing import Any

import trio
from behave import given, then, when
from trio.testing import MockClock

from knapweedhitch import snapshot
from knapweedhitch.changes import DomainOut
from knapweedhitch.exceptions import CorruptFile, StorageError
from knapweedhitch.messages import LogEntry
from knapweedhitch.store import Store
from tests.faulty_disk import FaultyDisk
from tests.state_cluster import Cluster, encode_change, wait_until, with_cluster

FILES = ("log", "snapshot", "identity")


async def _write(store: Store, count: int) -> None:
    first_index = store.last_index + 1
    new = [LogEntry(3, first_index + n, "change", b"body") for n in range(count)]
    store.stage(new)
    await store.flush(new)


@given("disk with a snapshot, 20 synced entries and a vote")
def make_disk(context: Any) -> None:
    async def make() -> None:
        context.disk = FaultyDisk(random.Random(5))
        context.store = await Store.open(context.disk, "k", "c1")
        await _write(context.store, 300)
        await context.store.save_snapshot(snapshot.Snapshot(300, 3, {}, "g", b"state"))
        await _write(context.store, 20)
        await context.store.set_term(3, "c2")

    trio.run(make)


@when("disk suffers {fault}")
def disk_fault(context: Any, fault: str) -> None:
    disk = context.disk
    if "in a write" in fault or "failed sync" in fault:
        if "full disk" in fault:
            disk.free_bytes = 50
        disk.failing_syncs = 1
        try:
            trio.run(_write, context.store, 3)
            raise AssertionError("a failed write was acknowledged")
        except StorageError:
            disk.free_bytes, disk.failing_syncs = None, 0
    if "loss of" in fault:
        for name in FILES if "everything" in fault else [fault.rsplit(" ", 1)[1]]:
            del disk.files[name]
    for _ in range(2 if "two" in fault else "power loss" in fault):
        disk.lose_power()
    if "bit flip" in fault:
        disk.flip_bit(fault.rsplit(" ", 1)[1], 40)
    context.disk = disk.reopened()


@then("disk is reopened as {result}")
def disk_result(context: Any, result: str) -> None:
    old = context.store
    try:
        reopened = trio.run(Store.open, context.disk, "k", "c1")
    except CorruptFile as exc:
        assert result == f"CorruptFile that names {exc.path}", exc
        return
    if result.startswith("empty"):
        assert reopened.is_empty and reopened.disk_id != old.disk_id
        return
    assert result.startswith("complete"), result
    assert (reopened.term, reopened.vote, reopened.disk_id) == (3, "c2", old.disk_id)
    unfinished = reopened.last_index - 320
    assert unfinished == 0 or ("unfinished" in result and unfinished == 3), unfinished


@given("replica group of {size:d} with 5 accepted changes")
def replica_group(context: Any, size: int) -> None:
    context.size, context.faults = size, []


@when("replica fault: {fault}")
def replica_fault(context: Any, fault: str) -> None:
    context.faults.append(fault)


async def _lose_disk(cluster: Cluster, name: str, *, repair: bool, flip: bool = False) -> None:
    await cluster.crash(name)
    if flip:
        cluster.nodes[name].disk.flip_bit("log", 200)
    await cluster.restart(name, empty=not flip)
    if repair:
        disk_id = cluster.nodes[name].replica.state.store.disk_id
        await wait_until(lambda: cluster.voters().get(name) == disk_id)


async def _inject_fault(cluster: Cluster, fault: str) -> None:
    leader = cluster.leader()
    leader_id = leader.node_id if leader is not None else ""
    up = [n for n in cluster.names if cluster.is_up(n) and n != leader_id]
    at_leader = "leader" in fault
    name = leader_id if at_leader else next(iter(up), leader_id)
    net, disk = cluster.network, cluster.nodes[name].disk if name else None
    if fault.startswith(("crash", "power")):
        for victim in cluster.names if "everyone" in fault else [name]:
            await cluster.crash(victim, power="power" in fault)
    elif fault == "restart":
        for victim in cluster.names:
            if not cluster.is_up(victim):
                await cluster.restart(victim)
    elif fault.startswith(("lost disk", "damaged")):
        victim = up[-1] if "next" in fault else name
        repair = "without" not in fault
        await _lose_disk(cluster, victim, repair=repair, flip="damaged" in fault)
    elif fault.startswith("older copy"):
        copy = cluster.nodes[name].disk.copy()
        await cluster.change()
        # Followers learn what the leader has synced with the next append, 100 ms later.
        await trio.sleep(0.2)
        disk_id = await cluster.restore(name, copy)
        await wait_until(lambda: cluster.voters().get(name, disk_id) != disk_id)
    elif fault.startswith(("isolation", "one-way")):
        others = [n for n in cluster.names if n != name]
        if "to the" not in fault:
            net.cut |= {(name, n) for n in others}
        if "from the" not in fault:
            net.cut |= {(n, name) for n in others}
    elif "messages" in fault:
        net.loss = 0.2
    elif "duplicates" in fault:
        net.duplication, net.latency_ms = 0.5, (0.5, 150.0)
    elif (disk is not None and "disk" in fault) or "sync" in fault:
        assert disk is not None
        disk.latency_ms = 700.0 if "slow" in fault else 0.0
        disk.failing_syncs = int("sync" in fault)
        disk.free_bytes = 5 if "full" in fault else None
    else:
        assert fault == "nothing", fault


async def _run_faults(cluster: Cluster, faults: list[str], result: str) -> None:
    for _ in range(5):
        await cluster.change()
    for fault in faults:
        await _inject_fault(cluster, fault)
    if result == "accepts nothing":
        for _ in range(100):
            await trio.sleep(0.1)
            for name in cluster.names:
                if cluster.is_up(name):
                    body = encode_change(DomainOut("x"))
                    assert await cluster.propose(name, body, 100.0) is None
        ages = [n.replica.freshness_age_ms() for n in cluster.nodes.values() if n.scope]
        assert not any(age is not None for age in ages), ages
    else:
        bound_s = float(result.removeprefix("accepts within ").removesuffix(" s"))
        await cluster.change(bound_s * 1_000.0)
    for node in cluster.nodes.values():
        node.disk.free_bytes = None
    await cluster.check_nothing_lost()


@then("replica group has lost nothing after the repair")
def replica_nothing_lost(context: Any) -> None:
    async def main() -> None:
        with trio.fail_after(300):
            await with_cluster(
                lambda c: _run_faults(c, context.faults, context.result), context.size, seed=3
            )

    trio.run(main, clock=MockClock(autojump_threshold=0))


@then("replica group {result}")
def replica_result(context: Any, result: str) -> None:
    context.result = result
