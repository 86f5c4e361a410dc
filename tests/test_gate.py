"""Tests of the gate: refusals before and after the admission queue."""

from __future__ import annotations

import unittest

import trio
from msgspec import structs

from knapweedhitch.model import DomainStatus, UpstreamState
from knapweedhitch.settings import RoutingSettings
from tests.request_world import World, in_node

EAST_OUT = {"east": DomainStatus(True, 2)}


def make_config_stale(world: World) -> None:
    world.config.fresh = False


def take_domain_out(world: World) -> None:
    world.config.current = structs.replace(world.config.current, domains=EAST_OUT)


def refuse_calls(world: World) -> None:
    world.kernel.get("drain").refusing = True


def announce_leaving(world: World) -> None:
    announce = world.kernel.get("announce")
    announce.put(structs.replace(announce.current, state=UpstreamState.LEAVING))


def replace_instance(world: World) -> None:
    announce = world.kernel.get("announce")
    announce.put(structs.replace(announce.current, instance_id="other"))


class GateTest(unittest.TestCase):
    @in_node()
    async def test_admission_is_notified_when_its_domain_goes_out_and_returns(
        self, world: World
    ) -> None:
        """Guards against leases that stay valid while their domain is out, and against a return
        of the domain without a ramp.
        """
        for domains, expected in ((EAST_OUT, [True]), ({}, [True, False])):
            world.config.publish(structs.replace(world.config.current, domains=domains))
            world.config.publish(world.config.current)
            self.assertEqual(world.admission.domain_out_changes, expected)

    @in_node()
    async def test_checks_are_repeated_after_queueing(self, world: World) -> None:
        """Guards against a queued call that reaches an upstream that must get no new calls."""
        up = world.add_upstream("up-1", local=True)
        record = world.kernel.get("announce").current
        config = world.config.current
        cases = [
            (make_config_stale, "config-stale"),
            (take_domain_out, "domain-out"),
            (refuse_calls, "node-draining"),
        ]
        cases += [(replace_instance, "no-target"), (announce_leaving, "upstream-draining")]
        for change, expected in cases:
            with self.subTest(expected=expected):
                world.admission.slots = trio.Semaphore(0)
                caller = world.caller()
                await caller.send(b"POST / HTTP/1.1\r\nHost: shop.test\r\n\r\n")
                await trio.testing.wait_all_tasks_blocked()
                change(world)
                world.admission.slots.release()
                response = await caller.read_response()
                system_headers = {
                    k: v for k, v in response.headers.items() if k.startswith("knapweed")
                }
                self.assertEqual(
                    system_headers,
                    {"knapweedhitch-reason": expected, "knapweedhitch-outcome": "not-run"},
                )
                self.assertEqual(world.admission.slots.value, 1, "the slot was not released")
                world.config.current, world.config.fresh = config, True
                world.kernel.get("drain").refusing = False
                world.kernel.get("announce")._set_current(record, "restored")
        self.assertEqual(up.requests, [])

    @in_node()
    async def test_checks_are_repeated_after_the_wait_for_a_body(self, world: World) -> None:
        """Guards against a call that reaches an upstream after its domain went out or it began to
        leave, because the body of the caller began late.
        """
        up = world.add_upstream("up-1", local=True)
        cases = [(take_domain_out, "domain-out"), (announce_leaving, "upstream-draining")]
        record = world.kernel.get("announce").current
        config = world.config.current
        for change, expected in cases:
            with self.subTest(expected=expected):
                caller = world.caller()
                await caller.send(
                    b"POST / HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 2\r\n\r\n"
                )
                await trio.testing.wait_all_tasks_blocked()
                change(world)
                await caller.send(b"ab")
                response = await caller.read_response()
                world.config.current = config
                world.kernel.get("announce")._set_current(record, "restored")
                self.assertEqual(response.headers.get("knapweedhitch-reason"), expected)
                self.assertEqual(response.headers.get("knapweedhitch-outcome"), "not-run")
        self.assertEqual(up.requests, [])

    @in_node(routing=RoutingSettings(call_id_separator="."))
    async def test_run_is_the_parent_of_calls_that_extend_its_id(self, world: World) -> None:
        """Guards against calls of a repeated run that cannot be told from those of callers."""
        world.add_upstream("up-1", local=True)
        gate = world.kernel.get("gate")
        caller = world.caller()
        head = "POST / HTTP/1.1\r\nHost: shop.test\r\nX-Request-Id: r1\r\n"
        await caller.send(f"{head}x-stand-in: delay_ms=1000\r\n\r\n".encode())
        await trio.sleep(0.5)
        self.assertEqual(gate.find_parent("r1.1").request_id, "r1")
        self.assertIsNone(gate.find_parent("r1"))
        self.assertIsNone(gate.find_parent("r2.1"))
        await caller.read_response("POST")
        self.assertIsNone(gate.find_parent("r1.1"))

    @in_node()
    async def test_a_slot_is_released_with_the_result(self, world: World) -> None:
        """Guards against slots not released after a failure, and against load not reported."""
        world.add_upstream("up-1", local=True)
        for behaviour in ("size=1", "cut_after=0,size=1", "status=503", "delay_ms=9000"):
            await world.caller().call("POST", behaviour=behaviour)
        results = [(r.ok, r.status, r.timed_out, r.shed) for r in world.admission.results]
        expected = [(True, 200, False, False), (False, 0, False, False)]
        expected += [(False, 503, False, True), (False, 0, True, False)]
        self.assertEqual(results, expected)
        self.assertEqual(world.admission.slots.value, 9)
        self.assertEqual({name for name, _ in world.picker.observed}, {"up-1"})
        for name in ("total", "queue", "connect", "first_byte", "added"):
            self.assertIn(name, world.counters.snapshot().histograms)
