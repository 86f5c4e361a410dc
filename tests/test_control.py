"""Tests of the control service with real feeds and replicas on a simulated network."""

from __future__ import annotations

import random
import unittest
from base64 import b64encode
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from knapweedhitch.changes import (
    Change,
    DomainIn,
    DomainOut,
    PutAllServices,
    PutService,
    new_change_id,
)
from knapweedhitch.exceptions import InvalidChange, NotLeader, ProposalUnknown, VersionConflict
from knapweedhitch.model import ClaimGroup
from tests.state_cluster import service_config, wait_until
from tests.state_nodes import WALL_START_MS, World


def run(fn: Callable[[World], Awaitable[None]], size: int = 1) -> None:
    """Run a test function on simulated nodes with a virtual clock."""

    async def main() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await fn(World(nursery, size))
                nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class ControlTest(unittest.TestCase):
    def test_change_submitted_at_any_node_is_in_force_at_every_node(self) -> None:
        """Guards against a change that takes effect only at the control instances."""

        async def check(world: World) -> None:
            await world.start("n1", "n2")
            for name in ("n1", "c1", "n2"):
                version = await world.submit(name, DomainOut("d1"))
                accepted_s = trio.current_time()
                feeds = [host.feed for host in world.hosts.values()]
                await wait_until(
                    lambda f=feeds, v=version: all(
                        x.current.version == v and x.is_fresh() for x in f
                    )
                )
                self.assertLess(trio.current_time() - accepted_s, 1.0)
            reports = world.hosts["c1"].control.versions
            in_force = dict.fromkeys(world.hosts, 3)
            await wait_until(lambda: {n: r.version for n, r in reports().items()} == in_force)

        for size in (1, 3):
            with self.subTest(size=size):
                run(check, size)

    def test_proof_of_a_single_control_instance_is_never_in_the_future(self) -> None:
        """Guards against a negative age, which other nodes treat as no proof."""

        async def main() -> None:
            # The real clock advances between two reads; the virtual clock does not.
            async with trio.open_nursery() as nursery:
                world = World(nursery, 1)
                await world.start("n1")
                await wait_until(world.hosts["n1"].feed.is_fresh)
                replica = world.hosts["c1"].control.replica
                for _ in range(1_000):
                    self.assertGreaterEqual(replica.freshness_age_ms(), 0.0)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_concurrent_operators_do_not_take_out_both_domains(self) -> None:
        """Guards against two operators who each see the other domain as the one that remains."""

        async def check(world: World) -> None:
            await world.start("n1", "n2")
            world.membership.add("t1", "d1", "a")
            world.membership.add("t2", "d2", "a")
            await world.submit("n1", PutService(service_config("a")), 0)
            refused: list[str] = []

            async def take_out(name: str, domain: str) -> None:
                try:
                    await world.submit(name, DomainOut(domain))
                except InvalidChange:
                    refused.append(domain)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_out, "n1", "d1")
                nursery.start_soon(take_out, "n2", "d2")
            self.assertEqual(len(refused), 1)

        run(check)

    def test_resent_change_gives_the_first_result(self) -> None:
        """Guards against applying a change twice when it is retried after a lost reply."""

        async def check(world: World) -> None:
            await world.start("n1")
            out = Change("out-1", None, "op", DomainOut("d1"))
            submit = world.hosts["n1"].control.submit
            self.assertEqual(await submit(out), 1)
            self.assertEqual(await world.submit("n1", DomainIn("d1")), 2)
            self.assertEqual(await submit(out), 1)
            self.assertFalse(world.hosts["c1"].feed.current.is_domain_out("d1"))

        run(check)

    def test_typed_errors_reach_the_node_that_submitted(self) -> None:
        """Guards against a conflict that looks like a failure to reach the leader."""

        async def check(world: World) -> None:
            await world.start("n1")
            world.membership.add("t1", "d1", "a")
            await world.submit("n1", PutService(service_config("a")), 0, change_id="first")
            with self.assertRaisesRegex(VersionConflict, "first.*second"):
                await world.submit("n1", PutService(service_config("b")), 0, change_id="second")
            with self.assertRaisesRegex(InvalidChange, "last one that serves a"):
                await world.submit("n1", DomainOut("d1"))
            await world.submit("n1", DomainOut("d1", allow_last=True))

        run(check)

    def test_submit_without_a_control_instance_ends_as_not_processed(self) -> None:
        """Guards against an unknown result when nothing was sent."""

        async def check(world: World) -> None:
            await world.add("n1")
            with self.assertRaises(NotLeader):
                await world.submit("n1", DomainOut("d1"), timeout_ms=1_000)

        run(check)

    def test_submit_over_a_silent_link_ends_as_unknown(self) -> None:
        """Guards against reporting a definite result although the reply was lost."""

        async def check(world: World) -> None:
            await world.start("n1")
            world.network.cut = {("c1", "n1")}
            with self.assertRaises(ProposalUnknown):
                await world.submit("n1", DomainOut("d1"), timeout_ms=3_000)
            self.assertEqual(world.hosts["c1"].feed.current.version, 1)

        run(check)

    def test_change_submitted_during_a_leader_loss_is_retried(self) -> None:
        """Guards against operators who must find the new leader after a leader loss."""

        async def check(world: World) -> None:
            await world.start("n1")
            await world.submit("n1", DomainOut("d1"))
            leader = next(h for h in world.hosts.values() if h.control.replica.is_leader)
            await world.remove(leader.node_id)
            change = Change(new_change_id(), None, "op", DomainOut("d2"))
            self.assertEqual(await world.hosts["n1"].control.submit(change, 8_000), 2)

        run(check, size=3)

    def test_change_at_a_follower_waits_no_longer_for_a_replaced_leader(self) -> None:
        """Guards against changes that wait for a suspended leader after the next one is known."""

        async def check(world: World) -> None:
            await world.start("n1")
            await world.submit("n1", DomainOut("d1"))
            replicas = {n: world.hosts[n].control.replica for n in ("c1", "c2", "c3")}
            old = next(name for name, replica in replicas.items() if replica.is_leader)
            follower = next(name for name in replicas if name != old)
            world.isolate(old)
            took_s: list[float] = []

            async def submit() -> None:
                await world.submit(follower, DomainOut("d2"))
                took_s.append(trio.current_time() - start_s)

            start_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await wait_until(lambda: replicas[follower].leader_id not in (None, old))
                known_s = trio.current_time() - start_s
            self.assertLess(took_s[0] - known_s, 0.2)

        run(check, size=3)


def record_changes(world: World) -> list[tuple[float, int]]:
    """Return a list that collects the time and the size of each accepted change."""
    sent: list[tuple[float, int]] = []
    world.hosts["c1"].control.machine.subscribe(
        lambda record: sent.append((trio.current_time(), len(record.body)))
    )
    return sent


def check_minutes(sent: list[tuple[float, int]]) -> None:
    """Check that no change exceeds its size limit and no minute exceeds 3 KB/s."""
    for at_s, n_bytes in sent:
        assert n_bytes <= 524_288, n_bytes
        minute = sum(n for other_s, n in sent if at_s <= other_s < at_s + 60)
        assert minute <= 60 * 3_000, (at_s, minute)


class ClaimGroupTest(unittest.TestCase):
    def test_first_group_spans_three_domains_and_a_lost_holder_is_replaced(self) -> None:
        """Guards against a group in a single domain, and against one that is never repaired."""

        async def check(world: World) -> None:
            await world.start()
            for number in range(6):
                world.membership.add(f"t{number}", f"d{number % 3}", "a")
            await world.submit("c1", PutService(service_config("a")), 0)
            feed = world.hosts["c1"].feed
            await wait_until(lambda: "a" in feed.current.claim_groups)
            group = feed.current.claim_groups["a"][0]
            self.assertEqual((group.epoch, group.from_wall_ms, len(group.holders)), (1, 0, 3))
            domains = {world.membership.all[h].domain for h in group.holders}
            self.assertEqual(len(domains), 3)
            del world.membership.all[group.holders[0]]
            lost_s = trio.current_time()
            await trio.sleep(4)
            self.assertEqual(len(feed.current.claim_groups["a"]), 1)
            await wait_until(lambda: len(feed.current.claim_groups["a"]) == 2)
            second = feed.current.claim_groups["a"][1]
            self.assertEqual(set(second.holders) & set(group.holders), set(group.holders[1:]))
            self.assertGreaterEqual(
                second.from_wall_ms, WALL_START_MS + (lost_s + 5 + 10) * 1_000 - 1_000
            )

        run(check)

    def test_lost_domain_of_a_large_deployment_is_repaired_within_10_s(self) -> None:
        """Guards against claim groups that stay broken for minutes, and against a flooded feed."""

        async def check(world: World) -> None:
            rng = random.Random(7)
            await world.start()
            for number in range(60):
                # At 90 bytes for a holder a group takes about 300 bytes.
                name = f"n{number}-{rng.randbytes(43).hex()}"
                world.membership.add(name, f"d{number % 3}", "none")
            spare = [f"n{n}-{rng.randbytes(43).hex()}" for n in range(60, 80)]
            services = tuple(service_config(f"s{n}-{rng.randbytes(8).hex()}") for n in range(2_200))
            await world.submit("c1", PutAllServices(services), 0)
            feed = world.hosts["c1"].feed
            await wait_until(lambda: len(feed.current.claim_groups) == 2_200, 400_000)
            await trio.sleep(61)
            sent = record_changes(world)
            for node_id, member in list(world.membership.all.items()):
                if member.domain == "d0":
                    del world.membership.all[node_id]
            for name in spare:
                world.membership.add(name, "d3", "none")
            lost_s = trio.current_time()
            await wait_until(lambda: all(len(g) == 2 for g in feed.current.claim_groups.values()))
            # The first change waits for claim_group_repair_ms, which is 5 s.
            self.assertLess(trio.current_time() - lost_s, 5 + 10)
            check_minutes(sent)

        run(check)

    def test_incompressible_groups_are_spread_over_minutes(self) -> None:
        """Guards against more than 3 KB/s for a node when the groups do not compress."""

        async def check(world: World) -> None:
            await world.start()
            services = [service_config(f"s{n}") for n in range(2_200)]
            await world.submit("c1", PutAllServices(tuple(services)), 0)
            host, rng = world.hosts["c1"], random.Random(7)
            sent, started_s = record_changes(world), trio.current_time()
            left = [
                ClaimGroup(
                    svc.name, 1, 0, tuple(str(b64encode(rng.randbytes(95))) for _ in range(3))
                )
                for svc in services
            ]
            await wait_until(lambda: host.control.replica.freshness_age_ms() is not None)
            while left:
                await host.control.propose_groups(left[:1_000])
                left = [g for g in left if g.service not in host.feed.current.claim_groups]
                await trio.sleep(1)
            # 2,200 groups of 300 bytes are 660,000 bytes; 162,000 go in a minute.
            self.assertLess(trio.current_time() - started_s, 5 * 60)
            check_minutes(sent)

        run(check)

    def test_claim_group_changes_do_not_conflict_with_operator_changes(self) -> None:
        """Guards against operator changes that conflict with groups added by the leader."""

        async def check(world: World) -> None:
            await world.start()
            world.membership.add("t1", "d1", "a")
            version = await world.submit("c1", PutService(service_config("a")), 0)
            await wait_until(lambda: bool(world.hosts["c1"].feed.current.claim_groups))
            await world.submit("c1", PutService(service_config("b")), version)

        run(check)
