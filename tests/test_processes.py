"""Tests of keyed calls during which one of the real processes involved is killed."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from tests.process_callers import Response
from tests.process_world import (
    CONTROL,
    NODES,
    NOT_RUN,
    WorldTest,
    fresh_key,
    process_test,
)


class KilledCallsTest(WorldTest):
    nodes = NODES
    control = CONTROL

    async def repeat(self, key: str, entries: Iterable[str], behaviour: str) -> list[Response]:
        """Send a call with the key through each of the nodes."""
        return [
            await self.world.call(name, "POST", "/book", key=key, behaviour=behaviour, body=b"{}")
            for name in entries
        ]

    async def kill_during_call(self, component: str) -> None:
        """Kill one process on the path of a keyed call in flight, then retry the call."""
        world, key, behaviour = self.world, fresh_key(), "delay_ms=1500"
        responses: list[Response] = []

        async def send_first_call() -> None:
            responses.append(
                await world.call("edge", "POST", "/book", key=key, behaviour=behaviour, body=b"{}")
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_first_call)
            try:
                target = await world.wait_running(key)
            except AssertionError as exc:
                raise AssertionError(f"{exc}; the first call got {responses}") from None
            child = {
                "entry": world.daemons["edge"],
                "node": world.daemons[target],
                "upstream": world.upstreams[target],
            }[component]
            world.harness.kill(child)
            others = [n for n, daemon in world.daemons.items() if daemon.alive]
            responses += await self.repeat(key, others, behaviour)
        await trio.sleep(1.5)
        responses += await self.repeat(key, others, behaviour)
        # The run count of a killed upstream is lost.
        lost_runs = 1 if component == "upstream" else 0
        runs = await world.count_runs(key)
        self.assertEqual(runs.total() + lost_runs, 1, (runs, responses))
        not_run_responses = [response for response in responses if response.outcome == NOT_RUN]
        self.assertEqual(
            not_run_responses, [], f"not-run was reported for {key}, which ran at {target}"
        )

    @process_test
    async def test_entry_node_killed_during_keyed_call(self) -> None:
        """Guards against a second run when the entry node dies during the call."""
        await self.kill_during_call("entry")

    @process_test
    async def test_target_node_killed_during_keyed_call(self) -> None:
        """Guards against a retry at another node after the target node died during the call."""
        await self.kill_during_call("node")

    @process_test
    async def test_upstream_killed_during_keyed_call(self) -> None:
        """Guards against not-run or a second run after the upstream died during the call."""
        await self.kill_during_call("upstream")

    @process_test
    async def test_holders_restarted_between_tries(self) -> None:
        """Guards against restarted claim holders, which lost their claims, granting a used key."""
        world = self.world
        holders = await world.claim_holders()
        other_nodes = [n for n in world.daemons if n not in holders and n != "edge"]
        recorded_key, lost_key = fresh_key(), fresh_key()
        first = await world.call("edge", "POST", "/book", key=recorded_key, body=b"{}")
        self.assertEqual(first.status, 200, first)
        async with trio.open_nursery() as nursery:

            async def send_lost_call() -> None:
                await world.call(
                    "edge", "POST", "/book", key=lost_key, behaviour="delay_ms=500", body=b"{}"
                )

            nursery.start_soon(send_lost_call)
            await world.wait_running(lost_key)
            world.harness.kill(world.daemons["edge"])
        responses: list[Response] = []
        for holder in holders[:2]:
            world.harness.kill(world.daemons[holder])
            world.restart_node(holder)
            world.harness.wait_ready([world.daemons[holder]])
            responses += await self.repeat(recorded_key, other_nodes, "")
            responses += await self.repeat(lost_key, other_nodes, "delay_ms=500")
        await world.restore()
        responses += await self.repeat(recorded_key, world.daemons, "")
        responses += await self.repeat(lost_key, world.daemons, "delay_ms=500")
        for key in (recorded_key, lost_key):
            self.assertEqual((await world.count_runs(key)).total(), 1, responses)
        self.assertEqual([r for r in responses if r.outcome == NOT_RUN], [])
        fresh = await world.call(other_nodes[0], "POST", "/book", key=fresh_key(), body=b"{}")
        self.assertEqual(fresh.status, 200, fresh)

    @process_test
    async def test_many_callers_of_one_key_at_once(self) -> None:
        """Guards against two entry nodes that both win the claim of one key concurrently."""
        world = self.world
        responses: dict[str, list[Response]] = {fresh_key(): [] for _ in range(5)}

        async def send_call(key: str, name: str) -> None:
            responses[key].append(
                await world.call(name, "POST", key=key, behaviour="delay_ms=50", body=b"{}")
            )

        async with trio.open_nursery() as nursery:
            for key in responses:
                for name in world.daemons:
                    nursery.start_soon(send_call, key, name)
        for key, key_responses in responses.items():
            self.assertLessEqual((await world.count_runs(key)).total(), 1)
            repeated_response = await world.call(
                "b2", "POST", key=key, behaviour="delay_ms=50", body=b"{}"
            )
            bodies = {r.body for r in [*key_responses, repeated_response] if r.status == 200}
            self.assertLessEqual(len(bodies), 1, key_responses)
