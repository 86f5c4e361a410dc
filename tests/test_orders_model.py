"""Random orders over links that lose and delay requests, against a simple oracle."""

from __future__ import annotations

import dataclasses
import random
import unittest

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from knapweedhitch.caller import Caller
from knapweedhitch.changes import (
    Change,
    DomainIn,
    DomainOut,
    NodeDrain,
    NodeUndrain,
    Operation,
    StampedChange,
    encode_stamped,
)
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import OrderRedirected
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.model import Configuration
from knapweedhitch.operator_client import MAX_REDIRECTS
from knapweedhitch.orders import REPEAT_WINDOW_MS, Orders
from tests.state_cluster import make_settings

# The order that stops traffic and the one that starts it again, for each kind of subject.
DOMAIN_ORDERS = (DomainOut("d1", allow_last=True), DomainIn("d1"))
NODE_ORDERS = (NodeDrain("n1"), NodeUndrain("n1"))
NODES = 5
ORDERS = 12
# An operator gives an order up after this many instances, each of which it asks once.
MAX_ASKED = 4
MANY_SEEDS = settings(derandomize=True, deadline=None, max_examples=400)


@dataclasses.dataclass(frozen=True)
class Request:
    """Describe one request of an operator to a node."""

    node: int
    op: Operation
    seen_version: int | None


class Node:
    """Submit orders to the log, with a configuration that may lag behind it."""

    def __init__(self, log: ConfigurationMachine) -> None:
        self.log = log
        self.current = Configuration()
        self.orders = Orders(self.submit, self, Counters())

    async def submit(self, change: Change) -> int:
        """Append a change to the log."""
        return self.log.apply(encode_stamped(StampedChange(change, 1_000, {}))).unwrap()


class Operator:
    """Send orders to nodes in turn, and check that the last acknowledged one stays in force."""

    def __init__(self, seed: int, ops: tuple[Operation, Operation], late_gap_s: float) -> None:
        self.rng = random.Random(seed)
        self.ops = ops
        self.late_gap_s = late_gap_s
        self.log = ConfigurationMachine(make_settings("c1").control)
        self.nodes = [Node(self.log) for _ in range(NODES)]
        self.late: list[Request] = []
        self.in_force: Operation | None = None
        self.change_count = 0

    async def run(self) -> None:
        """Send random orders."""
        for _ in range(ORDERS):
            op = self.rng.choice(self.ops)
            self.in_force = None
            for node in self.rng.sample(range(NODES), MAX_ASKED):
                if await self.send(Request(node, op, None)):
                    self.in_force = op
                    self.check()
                    break
            while self.late and self.rng.random() < 0.6:
                await self.deliver_late()

    async def send(self, request: Request) -> bool:
        """Send a request and follow its redirects; return whether it is acknowledged."""
        for _ in range(MAX_REDIRECTS + 1):
            fate = self.rng.choice(("answered", "answered", "lost", "late"))
            if fate == "late":
                self.late.append(request)
                return False
            version = await self.deliver(request)
            if fate == "lost":
                return False
            if version is None:
                return True
            request = dataclasses.replace(request, seen_version=version)
        return False

    async def deliver(self, request: Request) -> int | None:
        """Deliver a request; return the version of a redirect, None if it is acknowledged."""
        node = self.nodes[request.node]
        if self.rng.random() < 0.7:
            node.current = self.log.current
        self.change_count += 1
        change = Change(f"c{self.change_count}", None, "op", request.op)
        try:
            await node.orders.submit(change, Caller(), request.seen_version)
        except OrderRedirected as exc:
            return exc.version
        return None

    async def deliver_late(self) -> None:
        """Deliver a request whose caller has left, which the node cannot know."""
        await trio.sleep(self.late_gap_s)
        self.late.sort(key=lambda _: self.rng.random())
        await self.deliver(self.late.pop())
        self.check()

    def check(self) -> None:
        """Check that the domain is as the last order left it, if that was acknowledged."""
        current = self.log.current
        is_out = current.is_domain_out("d1") or "n1" in current.draining_nodes
        if self.in_force == self.ops[0]:
            assert is_out, "a late order started the traffic"
        elif self.in_force is not None and self.late_gap_s:
            assert not is_out, "a late order stopped the traffic"


class LateOrdersTest(unittest.TestCase):
    @MANY_SEEDS
    @given(st.integers(0, 2**32), st.sampled_from((DOMAIN_ORDERS, NODE_ORDERS)))
    def test_no_late_order_undoes_one_that_stops_traffic(
        self, seed: int, ops: tuple[Operation, Operation]
    ) -> None:
        """Guards against an order that any delay or lost response lets undo its successor."""
        trio.run(Operator(seed, ops, 0.0).run, clock=MockClock(autojump_threshold=0))

    @MANY_SEEDS
    @given(st.integers(0, 2**32), st.sampled_from((DOMAIN_ORDERS, NODE_ORDERS)))
    def test_no_late_order_undoes_one_that_starts_traffic(
        self, seed: int, ops: tuple[Operation, Operation]
    ) -> None:
        """Guards against a domain or node that an order of the past takes out of service."""
        gap_s = REPEAT_WINDOW_MS / 1_000 + 1.0
        trio.run(Operator(seed, ops, gap_s).run, clock=MockClock(autojump_threshold=0))
