"""Faults that are injected from outside, in series that overlap."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Awaitable, Callable, Sequence

import trio

from tests.soak.cluster import Cluster
from tests.soak.fleet import Fleet
from tests.soak.ledger import Ledger
from tests.soak.operators import Operator


@dataclasses.dataclass(frozen=True)
class Context:
    """Hold what faults act on."""

    cluster: Cluster
    ledger: Ledger
    operator: Operator
    fleet: Fleet
    rng: random.Random


Fault = Callable[[Context], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def fault(fn: Fault) -> Fault:
    """Register a series of faults under the name of its function."""
    FAULTS[fn.__name__] = fn
    return fn


async def play(context: Context, names: Sequence[str]) -> None:
    """Play series of faults side by side until cancelled."""
    async with trio.open_nursery() as nursery:
        for name in names:
            rng = random.Random(context.rng.random())
            nursery.start_soon(FAULTS[name], dataclasses.replace(context, rng=rng))
        await trio.sleep_forever()
