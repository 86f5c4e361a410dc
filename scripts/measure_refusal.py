"""Measure on a virtual clock how long nodes refuse calls after the loss of the leader."""

from __future__ import annotations

import argparse
import statistics
import sys
from collections import Counter
from pathlib import Path

import trio
from trio.testing import MockClock

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.state_cluster import wait_until
from tests.state_nodes import World

STEP_S = 0.005
OBSERVATION_S = 6.0
NODES = tuple(f"n{number}" for number in range(10))


async def measure_refused_ms(seed: int) -> list[float]:
    """Return for each remaining node how long it refused calls, in ms."""
    refused_steps: Counter[str] = Counter()
    async with trio.open_nursery() as nursery:
        world = World(nursery, 3, seed)
        await world.start(*NODES)
        await wait_until(lambda: all(host.feed.is_fresh() for host in world.hosts.values()))
        # The leader is lost at a random point of the poll and heartbeat intervals.
        await trio.sleep(2.0 + world.rng.random())
        leader = next(
            name
            for name, host in world.hosts.items()
            if host.control.replica is not None and host.control.replica.is_leader
        )
        await world.remove(leader)
        feeds = {name: host.feed for name, host in world.hosts.items() if name != leader}
        for _ in range(int(OBSERVATION_S / STEP_S)):
            await trio.sleep(STEP_S)
            refused_steps.update(name for name, feed in feeds.items() if not feed.is_fresh())
        assert all(feed.is_fresh() for feed in feeds.values()), f"seed {seed}: still stale"
        nursery.cancel_scope.cancel()
    return [refused_steps[name] * STEP_S * 1_000.0 for name in feeds]


def main() -> None:
    """Print p50, p99 and maximum over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    args = parser.parse_args()
    refused_ms: list[float] = []
    for seed in range(args.seeds):
        refused_ms += trio.run(measure_refused_ms, seed, clock=MockClock(autojump_threshold=0))
    cuts = statistics.quantiles(refused_ms, n=100, method="inclusive")
    unaffected = sum(duration_ms == 0.0 for duration_ms in refused_ms)
    print(
        f"{args.seeds} seeds, {len(refused_ms)} nodes: p50 {cuts[49]:.0f} ms, "
        f"p99 {cuts[98]:.0f} ms, max {max(refused_ms):.0f} ms; {unaffected} nodes refused nothing"
    )


if __name__ == "__main__":
    main()
