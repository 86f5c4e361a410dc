"""Run one seed: processes, targets, clients, faults and checks, and the final kill of all."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import time
from pathlib import Path

import trio

from tests.soak import checks, clients, faults
from tests.soak.cluster import Cluster
from tests.soak.fleet import Fleet
from tests.soak.ledger import Ending, Ledger, Violation
from tests.soak.operators import Operator
from tests.soak.targets import Behaviour

JUDGE_INTERVAL_S = 1.0
LAG_INTERVAL_S = 0.02
# Configurations and load reports spread before the traffic starts.
SETTLE_S = 2.0
READ_BACK_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Describe one seed of the soak."""

    seed: int
    seconds: float
    nodes: int
    faults: tuple[str, ...] = ()
    habits: tuple[str, ...] = tuple(clients.HABITS)
    cores: int = 5
    # Time of traffic after all processes were killed, right after an evacuation; 0 for none.
    final_s: float = 0.0
    # Share of a core that each app node gets.
    cpu_share: float = 1.0
    # Shortest and longest deadline of pipelined requests.
    deadlines_s: tuple[float, float] = (0.5, 5.0)
    behaviour: Behaviour = dataclasses.field(default_factory=Behaviour)


@dataclasses.dataclass(frozen=True)
class Result:
    """Describe what a seed showed."""

    verdict: str
    answered: int
    violations: tuple[Violation, ...]


def parse_behaviour(text: str) -> Behaviour:
    """Return a behaviour from `name=value,...`; raises ValueError and KeyError."""
    values: dict[str, object] = {}
    defaults = Behaviour()
    for pair in filter(None, text.split(",")):
        name, _, value = pair.partition("=")
        kind = type(getattr(defaults, name))
        if kind is tuple:
            number = type(getattr(defaults, name)[0])
            values[name] = tuple(number(part) for part in parse_range(value))
        else:
            values[name] = value == "1" if kind is bool else kind(value)
    return dataclasses.replace(defaults, **values)  # type: ignore[arg-type]


def parse_range(text: str) -> tuple[float, float]:
    """Return the two numbers of `FIRST-LAST`; raises ValueError."""
    first, _, last = text.partition("-")
    return float(first), float(last)


async def run_seed(plan: Plan, folder: Path) -> Result:
    """Run one seed and return its verdict."""
    started_s = time.monotonic()
    world = World(plan, folder)
    try:
        async with trio.open_nursery() as nursery:
            await world.run(nursery)
            nursery.cancel_scope.cancel()
        await world.read_back()
        world.judge.judge(float("inf"))
    finally:
        world.cluster.kill_all()
        world.ledger.close()
    return summarize(plan, world.ledger, time.monotonic() - started_s)


class World:
    """Run the parts of one seed together."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.ledger = Ledger(folder)
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self.cluster = Cluster(self.ledger, self._rng, plan.cores, plan.nodes)
        self._operator = Operator(self.cluster, self.ledger, self._new_rng())
        self._fleet = Fleet(self.cluster, self.ledger, self._new_rng(), plan.behaviour)
        self.judge = checks.Judge(self.cluster, self.ledger, self._operator)

    def _new_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    async def run(self, nursery: trio.Nursery) -> None:
        """Start everything, and play the traffic and the faults."""
        cluster = self.cluster
        cluster.start(*cluster.cores, *cluster.apps)
        nursery.start_soon(cluster.watch)
        self._fleet.start(nursery)
        await self._operator.configure_first()
        await cluster.wait_ready(cluster.apps)
        cluster.bootstrap = False
        await trio.sleep(SETTLE_S)
        nursery.start_soon(self._judge_regularly)
        nursery.start_soon(self._measure_lag)
        async with trio.open_nursery() as traffic:
            for ip in cluster.apps:
                self._start_clients(traffic, ip)
                if self._plan.cpu_share < 1.0:
                    traffic.start_soon(cluster.limit_processor, ip, self._plan.cpu_share)
            context = faults.Context(
                cluster,
                self.ledger,
                self._operator,
                self._fleet,
                self._new_rng(),
                trio.CapacityLimiter(1),
                set(),
            )
            with trio.move_on_after(self._plan.seconds):
                await faults.play(context, self._plan.faults)
            if self._plan.final_s:
                await self._play_final_fault(nursery)
            # Running faults end, such as a suspension, before the clients do.
            traffic.cancel_scope.cancel()

    async def _play_final_fault(self, nursery: trio.Nursery) -> None:
        """Kill all processes right after an evacuation, and go on with the traffic."""
        cluster, zone = self.cluster, self._rng.choice(self.cluster.zones)
        acknowledged = trio.Event()
        nursery.start_soon(self._operator.evacuate, zone, math.inf, acknowledged)
        await acknowledged.wait()
        cluster.kill_all()
        cluster.start(*cluster.cores, *cluster.apps, is_planned=False)
        await trio.sleep(self._plan.final_s)

    def _start_clients(self, nursery: trio.Nursery, ip: str) -> None:
        gate = clients.Gate(self.cluster, ip)
        nursery.start_soon(gate.run)
        for name in self._plan.habits:
            entry = clients.HABITS[name]
            for number in range(entry.clients_per_node):
                rng = self._new_rng()
                label = f"{name}-{number}"
                client = clients.Client(
                    self.cluster, self.ledger, rng, ip, gate, label, self._plan.deadlines_s
                )
                nursery.start_soon(client.run, entry)

    async def _measure_lag(self) -> None:
        """Record when this process gets to run later than it should."""
        while True:
            at_s = time.monotonic()
            await trio.sleep(LAG_INTERVAL_S)
            end_s = time.monotonic()
            late_s = end_s - at_s - LAG_INTERVAL_S
            if late_s > LAG_INTERVAL_S:
                self.ledger.lags.append((at_s, end_s, late_s))

    async def _judge_regularly(self) -> None:
        while True:
            await trio.sleep(JUDGE_INTERVAL_S)
            self.judge.judge_finished()

    async def read_back(self) -> None:
        """Kill all processes, start the control instances again and read the configuration."""
        cluster = self.cluster
        cluster.kill_all()
        cluster.start(*cluster.cores)
        end_s = time.monotonic() + READ_BACK_TIMEOUT_S
        config = None
        while config is None and time.monotonic() < end_s:
            await trio.sleep(0.2)
            config = await self._operator.read_back()
        checks.check_read_back(self._operator, self.ledger, config)


def summarize(plan: Plan, ledger: Ledger, took_s: float) -> Result:
    """Return the verdict line of a seed."""
    requests = [r for r in ledger.requests.values() if r.habit != "call"]
    endings = collections.Counter(r.ending for r in requests)
    statuses = collections.Counter(r.status for r in requests if r.ending is Ending.ANSWERED)
    rules = collections.Counter(v.rule for v in ledger.violations)
    beside_deadline = sum("passed at that moment" in v.text for v in ledger.violations)
    while_sent = sum("while it was sent" in v.text for v in ledger.violations)
    broken = " ".join(f"{rule}={count}" for rule, count in sorted(rules.items())) or "held"
    broken += (
        f" (beside a deadline: {beside_deadline}, of these while it was sent: {while_sent})"
        if beside_deadline
        else ""
    )
    events = collections.Counter(event.kind for event in ledger.events)
    parts = [
        f"seed={plan.seed} nodes={plan.nodes} faults={','.join(plan.faults) or 'none'}: {broken};",
        f"{len(requests)} requests,",
        ", ".join(f"{ending.value} {count}" for ending, count in endings.most_common()),
        f"({', '.join(f'{status}: {count}' for status, count in statuses.most_common())});",
        f"runs {sum(len(r.runs) for r in requests)};",
        " ".join(f"{kind}={count}" for kind, count in sorted(events.items())),
        f"{took_s:.0f} s; {ledger.folder}",
    ]
    return Result(" ".join(parts), endings[Ending.ANSWERED], tuple(ledger.violations))
