"""Faults that are injected from outside, in series that overlap."""

from __future__ import annotations

import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence

import trio

from tests.soak.cluster import Cluster
from tests.soak.fleet import Fleet
from tests.soak.ledger import Event, Ledger
from tests.soak.operators import Operator
from tests.soak.relay import LinkState

# A control instance that is back counts as lost for this long, as on the platform.
CATCH_UP_S = 4.0
# Signals come in each phase of a start, which takes about this long.
START_PHASE_S = 0.8


@dataclasses.dataclass(frozen=True)
class Context:
    """Hold what faults act on."""

    cluster: Cluster
    ledger: Ledger
    operator: Operator
    fleet: Fleet
    rng: random.Random
    # At most one control instance is ended or suspended at a time.
    core_limit: trio.CapacityLimiter
    # Processes that a fault ends, starts or suspends now.
    taken: set[str]

    def take_process(self, core_ratio: float = 0.2) -> str:
        """Return a process that no other fault holds, or nothing."""
        cluster = self.cluster
        ips = cluster.cores if self.rng.random() < core_ratio else cluster.apps
        free = [ip for ip in ips if ip not in self.taken]
        # Most nodes remain for the traffic.
        if ips is cluster.apps and len(free) <= len(ips) * 5 // 8:
            return ""
        return self.rng.choice(free) if free else ""


Fault = Callable[[Context], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
# Not faults of the platform, but of the soak, which show that its checks can fail.
UNSOUND = ("unrecorded_kills", "feigned_orders")


def series(gap_s: tuple[float, float]) -> Callable[[Fault], Fault]:
    """Register a fault that is begun again and again, with these gaps in seconds."""

    def register(fn: Fault) -> Fault:
        async def repeat(context: Context) -> None:
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.sleep(context.rng.uniform(*gap_s))
                    nursery.start_soon(fn, context)

        FAULTS[fn.__name__] = repeat
        return fn

    return register


async def play(context: Context, names: Sequence[str]) -> None:
    """Play series of faults side by side until cancelled."""
    async with trio.open_nursery() as nursery:
        for name in names:
            rng = random.Random(context.rng.random())
            nursery.start_soon(FAULTS[name], dataclasses.replace(context, rng=rng))
        await trio.sleep_forever()


async def act(context: Context, ip: str, fn: Callable[[], Awaitable[None]]) -> None:
    """Run a fault on one process while no other fault ends or suspends it."""
    if not ip:
        return
    context.taken.add(ip)
    try:
        if ip not in context.cluster.cores:
            await fn()
            return
        async with context.core_limit:
            await fn()
            await trio.sleep(CATCH_UP_S)
    finally:
        context.taken.discard(ip)


@series(gap_s=(0.3, 2.0))
async def stops(context: Context) -> None:
    """Stop a process with SIGTERM and start it again."""
    ip = context.take_process()

    async def restart() -> None:
        await context.cluster.stop(ip)
        await trio.sleep(context.rng.uniform(0.0, 1.0))
        context.cluster.start(ip)
        await trio.sleep(START_PHASE_S)

    await act(context, ip, restart)


@series(gap_s=(2.0, 5.0))
async def early_stops(context: Context) -> None:
    """Stop a process, and stop it once more while it starts."""
    ip = context.take_process()

    async def restart_twice() -> None:
        await context.cluster.stop(ip)
        context.cluster.start(ip)
        await trio.sleep(context.rng.uniform(0.0, START_PHASE_S))
        await context.cluster.stop(ip)
        context.cluster.start(ip)
        await trio.sleep(START_PHASE_S)

    await act(context, ip, restart_twice)


@series(gap_s=(0.2, 1.0))
async def reloads(context: Context) -> None:
    """Change a settings file, mostly with SIGHUP, also while its process starts or stops."""
    ip = context.rng.choice((*context.cluster.cores, *context.cluster.apps))
    context.cluster.write_settings(ip)
    if context.rng.random() < 0.8:
        context.cluster.reload(ip)


@series(gap_s=(2.0, 5.0))
async def kills(context: Context) -> None:
    """Kill a process and start it again."""
    ip = context.take_process()

    async def restart() -> None:
        context.cluster.kill(ip)
        await trio.sleep(context.rng.uniform(0.2, 1.5))
        context.cluster.start(ip, is_planned=False)
        await trio.sleep(START_PHASE_S)

    await act(context, ip, restart)


@series(gap_s=(2.0, 6.0))
async def freezes(context: Context) -> None:
    """Suspend a process for some seconds."""
    ip = context.take_process()
    await act(context, ip, lambda: context.cluster.freeze(ip, context.rng.uniform(0.3, 5.0)))


@series(gap_s=(0.5, 2.0))
async def configs(context: Context) -> None:
    """Move a route to another service."""
    await context.operator.move_route()


@series(gap_s=(8.0, 12.0))
async def evacuations(context: Context) -> None:
    """Evacuate a zone, and take it back."""
    zone = context.rng.choice(context.cluster.zones)
    await context.operator.evacuate(zone, context.rng.uniform(6.0, 9.0))


@series(gap_s=(1.0, 3.0))
async def departures(context: Context) -> None:
    """Replace a target that leaves as planned."""
    ip = pick_target(context)
    if ip:
        await context.fleet.replace(ip, drains=context.rng.random() < 0.6)


@series(gap_s=(2.0, 5.0))
async def retirements(context: Context) -> None:
    """Stop the node of a target that has left, as at the end of a machine."""
    ip = pick_target(context)
    if ip in context.taken:
        return

    async def retire() -> None:
        context.fleet.targets[ip].is_leaving = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.fleet.leave, ip, context.rng.random() < 0.6)
            await trio.sleep(context.rng.uniform(0.5, 6.0))
            await context.cluster.stop(ip)
        context.cluster.start(ip)
        context.fleet.start_target(ip)
        await trio.sleep(START_PHASE_S)

    await act(context, ip, retire)


@series(gap_s=(2.0, 5.0))
async def unrecorded_kills(context: Context) -> None:
    """Kill a process without a record, to show that the checks can fail."""
    context.cluster.children[context.rng.choice(context.cluster.apps)].signal(signal.SIGKILL)


@series(gap_s=(2.0, 5.0))
async def feigned_orders(context: Context) -> None:
    """Take orders as acknowledged without sending them, to show that the checks can fail."""
    context.operator.feigns = True


@series(gap_s=(3.0, 8.0))
async def target_crashes(context: Context) -> None:
    """End a target without a word, and start another one at its address."""
    ip = pick_target(context)
    if ip:
        await context.fleet.crash(ip)


@series(gap_s=(1.0, 3.0))
async def links(context: Context) -> None:
    """Disturb the connections to a target for some seconds."""
    ip = pick_target(context)
    if not ip:
        return
    rng, relay = context.rng, context.fleet.relays[ip]
    for_s = rng.uniform(0.2, 4.0)
    kind = rng.choice(("reset", *(state.value for state in LinkState if state.value != "sound")))
    now_s = time.monotonic()
    context.ledger.add_event(Event(now_s, f"link-{kind}", ip, now_s + for_s))
    if kind == "reset":
        relay.reset_all()
        return
    relay.state, relay.delay_s = LinkState(kind), rng.uniform(0.05, 1.0)
    try:
        await trio.sleep(for_s)
    finally:
        relay.state = LinkState.SOUND


def pick_target(context: Context) -> str:
    """Return the node of a target that stays, unless it is the last one of its service."""
    staying = [ip for ip, target in context.fleet.targets.items() if not target.is_leaving]
    ip = context.rng.choice(staying)
    service = context.cluster.service_of[ip]
    others = [other for other in staying if context.cluster.service_of[other] == service]
    return ip if len(others) > 1 else ""
