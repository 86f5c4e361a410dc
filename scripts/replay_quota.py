"""Compare ways to hold the quotas of many customers over many nodes, by the real decisions."""

from __future__ import annotations

import argparse
import dataclasses
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable

import logbook
import trio
import trio.testing

from knapweedhitch.budget import TokenBucket
from knapweedhitch.items import CustomerItem
from knapweedhitch.settings import QuotaSettings
from tests.quota_world import QuotaWorld, allowed_in_window, customer

CUSTOMERS, NODES, VOTERS = 88, 91, 5
TOTAL_PER_S, SKEW, QUOTA_FACTOR, FLOOD_FACTOR = 420.0, 1.2, 1.6, 7.5
WARM_UP_S = 6.0
CFG = QuotaSettings()
WINDOW_S = CFG.window_ms / 1_000


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Describe one request of a customer at a node."""

    at_s: float
    customer: str
    node: int


@dataclasses.dataclass(frozen=True)
class Case:
    """Describe a load: its flooding customers, failed voters and entry nodes over time."""

    name: str
    flood: bool = False
    moves: bool = False
    lost_voter: bool = False


CASES = (
    Case("usual, at all nodes"),
    Case("usual, one node then all", moves=True),
    Case("one customer at 7.5 times", flood=True),
    Case("the same, one node then all", flood=True, moves=True),
    Case("usual, one voter lost", lost_voter=True),
)


@dataclasses.dataclass
class Result:
    """Summarize a case under one way to hold the quotas."""

    within: int = 0
    wrongly_refused: int = 0
    most_over: float = -math.inf
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    p99_ms: float = 0.0


def make_customers() -> dict[str, CustomerItem]:
    """Return customers with a quota of QUOTA_FACTOR times their usual rate, one second as burst."""
    weights = [1.0 / (rank + 1) ** SKEW for rank in range(CUSTOMERS)]
    rates = [TOTAL_PER_S * weight / sum(weights) * QUOTA_FACTOR for weight in weights]
    return {f"c{n}": customer(f"c{n}", rate, rate) for n, rate in enumerate(rates)}


def make_arrivals(
    case: Case, items: dict[str, CustomerItem], seconds: float, seed: int
) -> list[Arrival]:
    """Return random arrivals; the largest customer but three floods from WARM_UP_S on."""
    rng = random.Random(seed)
    arrivals = []
    for number, (name, item) in enumerate(items.items()):
        at_s, usual = 0.0, item.rate_per_s / QUOTA_FACTOR
        while True:
            floods = case.flood and number == 3 and at_s > WARM_UP_S
            at_s += rng.expovariate(usual * (FLOOD_FACTOR if floods else 1.0))
            if at_s >= seconds:
                break
            is_first_half = at_s < (WARM_UP_S + seconds) / 2
            node = 0 if case.moves and is_first_half else rng.randrange(NODES)
            arrivals.append(Arrival(at_s, name, node))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def admit_by_buckets(
    arrivals: Iterable[Arrival], items: dict[str, CustomerItem], parts: int
) -> list[bool]:
    """Return which requests pass where each of some nodes has a fixed share, or a counter."""
    clock = [0.0]
    buckets: dict[tuple[str, int], TokenBucket] = {}
    admitted = []
    for arrival in arrivals:
        clock[0] = arrival.at_s * 1_000.0
        key = (arrival.customer, arrival.node % parts)
        if key not in buckets:
            item = items[arrival.customer]
            burst = max(1.0, item.burst / parts)
            buckets[key] = TokenBucket(item.rate_per_s / parts, burst, lambda: clock[0])
        admitted.append(buckets[key].take())
    return admitted


def judge(
    arrivals: list[Arrival],
    ran: list[tuple[float, str] | None],
    items: dict[str, CustomerItem],
    reference: list[bool],
) -> Result:
    """Return a result; a single counter tells how many requests should pass in each window."""
    result = Result()
    inside: dict[str, deque[float]] = {name: deque() for name in items}
    due: Counter[tuple[str, int]] = Counter()
    passed: Counter[tuple[str, int]] = Counter()
    for arrival, request, is_within in zip(arrivals, ran, reference, strict=True):
        if arrival.at_s > WARM_UP_S:
            window = (arrival.customer, int(arrival.at_s / WINDOW_S))
            due[window] += is_within
            passed[window] += request is not None
    result.within = due.total()
    result.wrongly_refused = sum(max(0, due[key] - passed[key]) for key in due)
    for at_s, name in sorted(request for request in ran if request is not None):
        recent = inside[name]
        recent.append(at_s)
        while recent[0] <= at_s - WINDOW_S:
            recent.popleft()
        over = len(recent) - allowed_in_window([items[name]], CFG)
        result.most_over = max(result.most_over, over)
    return result


def replay_shares(parts: int) -> Callable[..., Result]:
    """Return the replay of one counter, or of a fixed share for each node."""

    def replay(
        case: Case,
        arrivals: list[Arrival],
        items: dict[str, CustomerItem],
        reference: list[bool],
        seed: int,
    ) -> Result:
        admitted = admit_by_buckets(arrivals, items, parts)
        pairs = zip(arrivals, admitted, strict=True)
        ran = [(a.at_s, a.customer) if passed else None for a, passed in pairs]
        return judge(arrivals, ran, items, reference)

    return replay


def replay_parts(
    case: Case,
    arrivals: list[Arrival],
    items: dict[str, CustomerItem],
    reference: list[bool],
    seed: int,
) -> Result:
    """Replay arrivals through the service of each node and voter, in virtual time."""
    ran: list[tuple[float, str] | None] = [None] * len(arrivals)

    async def send(world: QuotaWorld, number: int, arrival: Arrival) -> None:
        outcome = await world.request(f"n{arrival.node}", arrival.customer)
        if outcome == "ran":
            ran[number] = (trio.current_time(), arrival.customer)

    async def main() -> tuple[int, int, list[float]]:
        async with trio.open_nursery() as nursery:
            world = QuotaWorld(nursery, items.values(), voters=VOTERS, nodes=NODES, seed=seed)
            await world.start()
            for number, arrival in enumerate(arrivals):
                await trio.sleep(max(0.0, arrival.at_s - trio.current_time()))
                if case.lost_voter and arrival.at_s > WARM_UP_S:
                    world.nodes.pop("v2", None)
                nursery.start_soon(send, world, number, arrival)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        waits = sorted(wait for tally in world.tallies.values() for wait in tally.waits_ms)
        return world.messages, world.bytes, waits

    messages, n_bytes, waits = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    result = judge(arrivals, ran, items, reference)
    node_seconds = NODES * arrivals[-1].at_s
    # Each message has a sender and a receiver, of which about one is an entry node.
    result.messages_per_s = messages / node_seconds
    result.bytes_per_s = n_bytes / node_seconds
    result.p99_ms = waits[int(len(waits) * 0.99)]
    return result


WAYS: tuple[tuple[str, Callable[..., Result]], ...] = (
    ("one counter", replay_shares(1)),
    ("fixed shares", replay_shares(NODES)),
    ("parts at voters", replay_parts),
)


def main() -> None:
    """Print one line for each case and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=26.0, help="including 6 s of warm-up")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(
        "| load | quota held by | wrongly refused | most over the bound | messages/s a node |"
        " B/s a node | p99 wait |"
    )
    print("|---|---|---|---|---|---|---|")
    items = make_customers()
    with logbook.NullHandler().applicationbound():
        for case in CASES:
            arrivals = make_arrivals(case, items, args.seconds, args.seed)
            reference = admit_by_buckets(arrivals, items, 1)
            for name, replay in WAYS:
                result = replay(case, arrivals, items, reference, args.seed)
                share = result.wrongly_refused / result.within
                print(
                    f"| {case.name} | {name} | {share:.2%} | {result.most_over:+.0f} | "
                    f"{result.messages_per_s:.1f} | {result.bytes_per_s:.0f} | "
                    f"{result.p99_ms:.1f} ms |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
