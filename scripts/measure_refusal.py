"""Measure on the virtual clock how long nodes refuse work after the loss of the leader."""

from __future__ import annotations

import argparse
import statistics
import sys
from collections import Counter
from pathlib import Path

import trio
from trio.testing import MockClock

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.state_cluster import until
from tests.state_nodes import World

STEP_S = 0.005
WATCHED_S = 6.0
NODES = tuple(f"n{number}" for number in range(10))


async def refusals(seed: int) -> list[float]:
    """Return for each remaining node for how many milliseconds it refused work."""
    refused: Counter[str] = Counter()
    async with trio.open_nursery() as nursery:
        world = World(nursery, 3, seed)
        await world.start(*NODES)
        await until(lambda: all(host.feed.is_fresh() for host in world.hosts.values()))
        # The loss comes at any point of the polls and heartbeats.
        await trio.sleep(2.0 + world.rng.random())
        leader = next(
            name
            for name, host in world.hosts.items()
            if host.control.replica is not None and host.control.replica.is_leader
        )
        await world.remove(leader)
        left = {name: host.feed for name, host in world.hosts.items() if name != leader}
        for _ in range(int(WATCHED_S / STEP_S)):
            await trio.sleep(STEP_S)
            refused.update(name for name, feed in left.items() if not feed.is_fresh())
        assert all(feed.is_fresh() for feed in left.values()), f"seed {seed}: still stale"
        nursery.cancel_scope.cancel()
    return [refused[name] * STEP_S * 1_000.0 for name in left]


def main() -> None:
    """Print p50, p99 and max over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    args = parser.parse_args()
    times: list[float] = []
    for seed in range(args.seeds):
        times += trio.run(refusals, seed, clock=MockClock(autojump_threshold=0))
    cuts = statistics.quantiles(times, n=100, method="inclusive")
    never = sum(time == 0.0 for time in times)
    print(
        f"{args.seeds} seeds, {len(times)} nodes: p50 {cuts[49]:.0f} ms, p99 {cuts[98]:.0f} ms, "
        f"max {max(times):.0f} ms; {never} nodes refused nothing"
    )


if __name__ == "__main__":
    main()
