"""Tests of orders without a version: one that was held up must not undo one that replaced it."""

from __future__ import annotations

import itertools
import types
import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing
from trio.testing import MockClock

from knapweedhitch.caller import Caller
from knapweedhitch.changes import (
    Change,
    DomainIn,
    DomainOut,
    NodeDrain,
    NodeUndrain,
    Operation,
    PutService,
    StampedChange,
    encode_stamped,
    new_change_id,
)
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    ConsensusError,
    KnapweedhitchError,
    OrderAbandoned,
    OrderRedirected,
    PeerError,
    VersionConflict,
)
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.messages import Propose
from knapweedhitch.model import Configuration
from knapweedhitch.operator_client import MAX_REDIRECTS
from knapweedhitch.operator_http import (
    Handler,
    OperatorConnection,
    OperatorRequest,
    OperatorResponse,
)
from knapweedhitch.orders import REPEAT_WINDOW_MS, SETTLE_MS, Orders
from knapweedhitch.settings import OperatorSettings
from tests.state_cluster import encode_change, make_settings, service_config, wait_until
from tests.state_nodes import World

ORDER = b"POST /v1/order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
ZONE = "d1"


def run(fn: Callable[[World], Awaitable[None]], size: int = 3) -> None:
    """Run a test on simulated control instances with a virtual clock."""

    async def main() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                world = World(nursery, size)
                await world.start()
                await fn(world)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def orders_of(world: World, name: str) -> Orders:
    """Return the submission of orders at a node."""
    host = world.hosts[name]
    return Orders(host.control.submit, host.feed, Counters())


async def order(
    world: World,
    name: str,
    op: Operation,
    caller: Caller | None = None,
    seen_version: int | None = None,
) -> int:
    """Submit an order at a node and follow its redirects while the caller waits."""
    orders, caller = orders_of(world, name), caller or Caller()
    for redirects in itertools.count():
        change = Change(new_change_id(), None, "op", op)
        try:
            return await orders.submit(change, caller, seen_version)
        except OrderRedirected as exc:
            if caller.has_left or redirects == MAX_REDIRECTS:
                raise
            seen_version = exc.version
    raise AssertionError("the loop ends by a result or an error")


async def order_until_accepted(world: World, names: tuple[str, ...], op: Operation) -> None:
    """Send an order to one node after the other until one accepts it."""
    for name in names * 10:
        caller = Caller()
        try:
            with trio.move_on_after(1.0):
                await order(world, name, op, caller)
                return
        except (ConsensusError, PeerError, OrderRedirected):
            pass
        caller.mark_left()
    raise AssertionError("no node accepted the order")


class OrderTest(unittest.TestCase):
    def test_order_held_up_on_its_way_does_not_undo_a_later_one(self) -> None:
        """Guards against a domain that is back in service because an order to return it, which its
        caller had given up and replaced, reaches the leader late.
        """

        async def check(world: World) -> None:
            await wait_until(lambda: world.hosts["c1"].control.leader_id is not None)
            leader = world.hosts["c1"].control.leader_id
            first, *others = (name for name in world.hosts if name != leader)
            await order(world, leader, DomainOut(ZONE))
            await wait_until(lambda: all(_is_out(world, name) for name in world.hosts))
            held_up = _HeldUpOrders(world, first, leader)
            results: list[object] = []
            gave_up = Caller()

            async def submit_held_up() -> None:
                try:
                    results.append(await order(world, first, DomainIn(ZONE), gave_up))
                except KnapweedhitchError as exc:
                    results.append(exc)

            world.nursery.start_soon(submit_held_up)
            await wait_until(lambda: held_up.count == 1)
            gave_up.mark_left()
            await order_until_accepted(world, (*others, leader), DomainIn(ZONE))
            await order_until_accepted(world, (*others, leader), DomainOut(ZONE))
            held_up.release()
            await trio.sleep(5.0)
            self.assertGreaterEqual(held_up.delivered, 1)
            for name in world.hosts:
                self.assertTrue(_is_out(world, name), (name, results))

        run(check)

    def test_order_whose_caller_has_left_is_not_submitted(self) -> None:
        """Guards against a process that wakes from a pause and carries out an order which its
        caller has replaced meanwhile: 58 to 60 requests reached an evacuated zone.
        """

        async def check(world: World) -> None:
            caller = Caller()
            caller.mark_left()
            with self.assertRaises(OrderAbandoned):
                await order(world, "c1", DomainOut(ZONE), caller)
            self.assertFalse(_is_out(world, "c1"))

            # The end of the connection arrives just behind the order.
            late = Caller()
            world.nursery.start_soon(_leave_after, late, SETTLE_MS / 2)
            with self.assertRaises(OrderAbandoned):
                await order(world, "c1", DomainOut(ZONE), late)
            self.assertFalse(_is_out(world, "c1"))

            # The same for an order that its caller, which did not follow a redirect, sent again.
            await order(world, "c1", DomainOut(ZONE))
            await order(world, "c1", DomainIn(ZONE))
            orders = orders_of(world, "c1")
            with self.assertRaises(OrderRedirected):
                await orders.submit(evacuating(ZONE), Caller(), None)
            late = Caller()
            world.nursery.start_soon(_leave_after, late, SETTLE_MS / 2)
            with self.assertRaises(OrderAbandoned):
                await orders.submit(evacuating(ZONE), late, None)
            self.assertFalse(_is_out(world, "c1"))

        run(check, size=1)

    def test_order_that_changes_the_state_is_redirected(self) -> None:
        """Guards against an order of the past that a slow link delivers: it cannot be told from a
        new one, and 21 to 25 requests reached an evacuated zone.
        """

        async def check(world: World) -> None:
            orders = orders_of(world, "c1")
            # The first order about a domain cannot have been replaced, but its return can: by an
            # evacuation that was accepted after another one had been given up.
            await orders.submit(evacuating(ZONE), Caller(), None)
            with self.assertRaises(OrderRedirected) as redirect:
                await orders.submit(returning(ZONE), Caller(), None)
            await orders.submit(returning(ZONE), Caller(), redirect.exception.version)
            with self.assertRaises(OrderRedirected) as redirect:
                await orders.submit(evacuating(ZONE), Caller(), None)
            await orders.submit(evacuating(ZONE), Caller(), redirect.exception.version)
            # An order for what is in force changes nothing, and needs no version.
            await orders.submit(evacuating(ZONE), Caller(), None)
            for _ in range(2):
                with self.assertRaises(OrderRedirected) as redirect:
                    await orders.submit(returning(ZONE), Caller(), None)
                self.assertEqual(redirect.exception.version, 4)
            self.assertTrue(_is_out(world, "c1"))

        run(check, size=1)

    def test_redirected_order_that_was_replaced_changes_nothing(self) -> None:
        """Guards against a caller that followed a redirect, whose second request comes late."""

        async def check(world: World) -> None:
            await order(world, "c1", DomainOut(ZONE))
            followed_version = 1
            await order(world, "c1", DomainIn(ZONE))
            # Also an order for what is in force replaces those before it.
            await order(world, "c1", DomainOut(ZONE))
            await order(world, "c1", DomainOut(ZONE))
            for version in (followed_version, 3):
                with self.assertRaises(OrderRedirected) as redirect:
                    await orders_of(world, "c1").submit(returning(ZONE), Caller(), version)
                self.assertEqual(redirect.exception.version, 4)
            self.assertTrue(_is_out(world, "c1"))

        run(check, size=1)

    def test_order_for_what_is_in_force_replaces_earlier_ones(self) -> None:
        """Guards against a held-up order that undoes a later one, because that one found what it
        asked for in force and left no trace.
        """
        machine = ConfigurationMachine(make_settings("c1").control)
        self.assertEqual(apply_order(machine, NodeDrain("n1"), seen=0), "")
        self.assertEqual(apply_order(machine, NodeDrain("n1"), seen=1), "")
        self.assertEqual(apply_order(machine, NodeUndrain("n1"), seen=1), "VersionConflict")
        self.assertEqual(apply_order(machine, DomainOut(ZONE), seen=0), "")
        self.assertEqual(apply_order(machine, DomainOut(ZONE), seen=3), "")
        self.assertEqual(apply_order(machine, DomainIn(ZONE), seen=3), "VersionConflict")
        self.assertEqual(apply_order(machine, NodeUndrain("n1"), seen=2), "")

    def test_caller_that_follows_no_redirect_is_served_at_its_return(self) -> None:
        """Guards against callers without redirects whose orders are never carried out, and against
        a single order of the past that is taken for such a return.
        """

        async def check(world: World) -> None:
            await order(world, "c1", DomainOut(ZONE))
            orders = orders_of(world, "c1")
            for change, is_out in ((returning(ZONE), False), (evacuating(ZONE), True)):
                with self.assertRaises(OrderRedirected):
                    await orders.submit(change, Caller(), None)
                await orders.submit(change, Caller(), None)
                self.assertEqual(_is_out(world, "c1"), is_out)
            await order(world, "c1", DomainIn(ZONE))
            # The return counts only for what was in force at the redirect, and for a while.
            with self.assertRaises(OrderRedirected):
                await orders.submit(evacuating(ZONE), Caller(), None)
            await order(world, "c1", DomainIn(ZONE))
            with self.assertRaises(OrderRedirected):
                await orders.submit(evacuating(ZONE), Caller(), None)
            await trio.sleep(REPEAT_WINDOW_MS / 1_000 + 0.1)
            with self.assertRaises(OrderRedirected):
                await orders.submit(evacuating(ZONE), Caller(), None)
            # A caller that follows redirects does not return, so another order is no return.
            with self.assertRaises(OrderRedirected):
                await orders.submit(evacuating(ZONE), Caller(), 0)
            with self.assertRaises(OrderRedirected):
                await orders.submit(evacuating(ZONE), Caller(), None)
            self.assertFalse(_is_out(world, "c1"))

        run(check, size=1)

    def test_waiting_caller_gets_its_order_in_spite_of_others(self) -> None:
        """Guards against an order that is refused although its caller waits, because its node knew
        an older state or another operator was faster.
        """

        async def check(world: World) -> None:
            host = world.hosts["c1"]
            await order(world, "c1", DomainOut(ZONE))
            lagging = types.SimpleNamespace(current=Configuration())
            orders = Orders(host.control.submit, lagging, Counters())
            change = Change("a" * 128, None, "op", DomainIn(ZONE))
            with self.assertRaises(OrderRedirected) as redirect:
                await orders.submit(change, Caller(), None)
            version = await orders.submit(change, Caller(), redirect.exception.version)
            self.assertEqual(version, 2)
            # The same order again gives its first result, whatever its first attempts met.
            self.assertEqual(await orders.submit(change, Caller(), None), 2)

        run(check, size=1)

    def test_order_is_submitted_once_for_each_request(self) -> None:
        """Guards against an order that its node tries again while nobody waits for it."""
        attempts: list[Change] = []

        async def submit(change: Change) -> int:
            attempts.append(change)
            raise VersionConflict(change.seen_version or 0, len(attempts))

        async def main() -> None:
            config = types.SimpleNamespace(current=Configuration())
            orders = Orders(submit, config, Counters())
            for version in (None, 1, 2):
                with self.assertRaises(OrderRedirected):
                    await orders.submit(returning(ZONE), Caller(), version)

        trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual([change.seen_version for change in attempts], [0, 1, 2])

    def test_unrelated_change_does_not_refuse_an_order(self) -> None:
        """Guards against an urgent order that waits for its turn among many configurations."""
        machine = ConfigurationMachine(make_settings("c1").control)
        machine.apply(encode_change(DomainOut(ZONE)))
        machine.apply(encode_change(PutService(service_config("a")), base=1))
        self.assertEqual(apply_order(machine, DomainIn(ZONE), seen=1), "")
        self.assertEqual(apply_order(machine, DomainOut("d2"), seen=1), "")
        self.assertEqual(apply_order(machine, DomainOut(ZONE), seen=2), "VersionConflict")

    def test_late_drain_of_a_node_is_refused_behind_many_changes(self) -> None:
        """Guards against a held-up drain that is accepted because the history no longer has the
        order that replaced it.
        """
        machine = ConfigurationMachine(make_settings("c1", max_history_entries=10).control)
        self.assertEqual(apply_order(machine, NodeDrain("n1"), seen=0), "")
        self.assertEqual(apply_order(machine, NodeUndrain("n1"), seen=1), "")
        for number in range(12):
            self.assertEqual(apply_order(machine, NodeDrain(f"m{number}"), seen=2 + number), "")
        self.assertEqual(apply_order(machine, NodeDrain("n1"), seen=1), "VersionConflict")
        self.assertEqual(apply_order(machine, NodeDrain("n1"), seen=14), "")

    def test_orders_of_a_node_conflict_only_with_each_other(self) -> None:
        """Guards against operators who drain many nodes at once and are refused, and against a
        held-up order that ends or starts a drain anew, also after a restart from a snapshot.
        """
        machine = ConfigurationMachine(make_settings("c1").control)
        for name in ("n1", "n2", "n3"):
            self.assertEqual(apply_order(machine, NodeDrain(name), seen=0), "")
        self.assertEqual(apply_order(machine, NodeUndrain("n1"), seen=1), "")
        restored = ConfigurationMachine(make_settings("c1").control)
        restored.restore(machine.snapshot())
        for copy in (machine, restored):
            self.assertEqual(apply_order(copy, NodeDrain("n1"), seen=3), "VersionConflict")
            self.assertEqual(apply_order(copy, NodeUndrain("n2"), seen=2), "")


class CallerTest(unittest.TestCase):
    def serve(self, *parts: bytes, closes: bool, handler: Handler | None = None) -> list[bool]:
        """Return, for each request of a connection, whether its caller has left meanwhile."""
        left: list[bool] = []

        async def handle(request: OperatorRequest) -> OperatorResponse:
            await request.caller.wait_until_left(100.0)
            left.append(request.caller.has_left)
            return OperatorResponse(b"{}")

        async def main() -> None:
            client, server = trio.testing.memory_stream_pair()
            conn = OperatorConnection(
                server, OperatorSettings(), lambda request: None, handler or handle
            )
            for part in parts:
                await client.send_all(part)
            if closes:
                await client.aclose()
            with trio.move_on_after(5.0):
                await conn.serve()

        trio.run(main, clock=MockClock(autojump_threshold=0))
        return left

    def test_closed_connection_behind_a_request_is_noticed(self) -> None:
        """Guards against a paused process that takes an order for one whose caller still waits."""
        self.assertEqual(self.serve(ORDER, closes=True), [True])
        self.assertEqual(self.serve(ORDER, closes=False), [False])

    def test_order_from_a_closed_connection_is_not_carried_out(self) -> None:
        """Guards against a process that wakes from a pause and reads an order together with the end
        of its caller's connection: the handler ran before the end was noticed.
        """
        for op in (DomainOut(ZONE), DomainIn(ZONE)):
            machine = ConfigurationMachine(make_settings("c1").control)
            if isinstance(op, DomainIn):
                machine.apply(encode_change(DomainOut(ZONE)))
            results: list[Exception] = []

            async def submit(change: Change, log: ConfigurationMachine = machine) -> int:
                return log.apply(encode_stamped(StampedChange(change, 1_000, {}))).unwrap()

            orders = Orders(submit, machine, Counters())

            async def handle(
                request: OperatorRequest, orders: Orders = orders, op: Operation = op
            ) -> OperatorResponse:
                try:
                    change = Change(new_change_id(), None, "op", op)
                    await orders.submit(change, request.caller, None)
                except OrderAbandoned as exc:
                    results.append(exc)  # noqa: B023
                return OperatorResponse(b"{}")

            with self.subTest(op=op.kind):
                version = machine.current.version
                self.serve(ORDER, closes=True, handler=handle)
                self.assertEqual((len(results), machine.current.version), (1, version))

    def test_requests_sent_ahead_are_kept(self) -> None:
        """Guards against a request that is lost because it was read while another one ran."""
        self.assertEqual(self.serve(ORDER + ORDER[:20], ORDER[20:], closes=False), [False, False])


def evacuating(domain: str) -> Change:
    """Return a new order to take a domain out."""
    return Change(new_change_id(), None, "op", DomainOut(domain))


def returning(domain: str) -> Change:
    """Return a new order to take a domain back."""
    return Change(new_change_id(), None, "op", DomainIn(domain))


def apply_order(machine: ConfigurationMachine, op: Operation, seen: int) -> str:
    """Apply an order that was read at a version and return its error."""
    change = Change(new_change_id(), None, "op", op, seen)
    return machine.apply(encode_stamped(StampedChange(change, 1_000, {}))).error


class _HeldUpOrders:
    """Deliver the orders that one node sends to another only when they are released."""

    def __init__(self, world: World, src: str, dst: str) -> None:
        self._endpoint = world.network.endpoints[src]
        self._dst = dst
        self._call = self._endpoint.call
        self._released = trio.Event()
        self.count = self.delivered = 0
        self._endpoint.call = self._hold_up  # type: ignore[method-assign]

    def release(self) -> None:
        self._released.set()

    async def _hold_up(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
        if node_id != self._dst or not isinstance(msg, Propose):
            return await self._call(node_id, msg, timeout_ms)
        self.count += 1
        with trio.CancelScope(shield=True):
            await self._released.wait()
            self.delivered += 1
            return await self._call(node_id, msg, timeout_ms)


async def _leave_after(caller: Caller, delay_ms: float) -> None:
    await trio.sleep(delay_ms / 1_000)
    caller.mark_left()


def _is_out(world: World, name: str) -> bool:
    return world.hosts[name].feed.current.is_domain_out(ZONE)
