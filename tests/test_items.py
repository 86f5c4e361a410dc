"""Tests of configuration items: the highest version of a name wins, whatever the order."""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterable

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from knapweedhitch import items as itemrules
from knapweedhitch.exceptions import InvalidChange, ItemConflict
from knapweedhitch.items import (
    BackendItem,
    ItemPatch,
    Items,
    LimitsItem,
    Removal,
    RouteItem,
    RoutePart,
    merge,
)


def route(name: str = "r1", version: int = 1, **fields: object) -> RouteItem:
    values: dict[str, object] = {
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "idempotent": True,
        "timeout_ms": 1_000.0,
        "target_latency_ms": 400.0,
        "priority": 1,
        "parts": (RoutePart("s1", 1.0),),
        "max_attempts": 2,
        "document": f"{name}@{version}",
    }
    return RouteItem(name, version, **{**values, **fields})  # type: ignore[arg-type]


def backend(name: str = "s1", version: int = 1) -> BackendItem:
    return BackendItem(name, version, 100, 3_000.0, 16.0, "/health", f"{name}@{version}")


def patch(
    routes: Iterable[RouteItem] = (),
    backends: Iterable[BackendItem] = (),
    limits: LimitsItem | None = None,
    gone: Iterable[Removal] = (),
    gone_backends: Iterable[Removal] = (),
) -> ItemPatch:
    return ItemPatch(tuple(routes), tuple(backends), limits, tuple(gone), tuple(gone_backends))


BASE = merge(Items(), patch([route()], [backend(), backend("s2")]))


class MergeTest(unittest.TestCase):
    def test_lower_version_changes_nothing(self) -> None:
        """Guards against an older change that is redelivered and reverts a newer one."""
        five = route(version=5, document="five")
        newer = merge(BASE, patch([five]))
        for other in (route(version=1), route(version=4, document="other"), five):
            self.assertIs(merge(newer, patch([other])), newer)

    def test_version_held_with_other_content_is_refused(self) -> None:
        """Guards against two operators who both believe that a version has their content."""
        newer = merge(BASE, patch([route(version=5)], gone=[Removal("r7", 5)]))
        limits = LimitsItem(1, 1, 2, 3.0, 4.0, "limits")
        newer = merge(newer, patch(limits=limits))
        cases = {
            "content": patch([route(version=5, document="other")]),
            "removal": patch(gone=[Removal("r1", 5)]),
            "removed": patch([route("r7", 5)]),
            "limits": patch(limits=LimitsItem(1, 9, 2, 3.0, 4.0, "other")),
            "beside a new item": patch([route("r8", 9), route(version=5, document="other")]),
        }
        for name, conflicting in cases.items():
            with self.subTest(name), self.assertRaises(ItemConflict):
                merge(newer, conflicting)

    def test_removal_lasts_until_a_higher_version(self) -> None:
        """Guards against a removed route that returns when an older change is redelivered."""
        gone = merge(BASE, patch(gone=[Removal("r1", 3)]))
        self.assertNotIn("r1", gone.routes)
        self.assertIs(merge(gone, patch([route(version=2)])), gone)
        self.assertIn("r1", merge(gone, patch([route(version=4)])).routes)

    def test_late_removal_leaves_a_newer_item(self) -> None:
        """Guards against a late removal that deletes a newer item of the same name."""
        newer = merge(BASE, patch([route(version=5)]))
        self.assertIn("r1", merge(newer, patch(gone=[Removal("r1", 4)])).routes)

    def test_accepted_call_is_never_refused_later(self) -> None:
        """Guards against refusing a repeated request whose service has since been removed."""
        old = patch([route("r9", 2, parts=(RoutePart("s2", 1.0),))])
        held = merge(BASE, old)
        later = merge(held, patch(gone=[Removal("r9", 3)], gone_backends=[Removal("s2", 9)]))
        self.assertIs(merge(later, old), later)

    def test_invalid_calls_change_nothing(self) -> None:
        """Guards against an invalid request whose valid part takes effect."""
        cases = {
            "unknown service": route(version=2, parts=(RoutePart("nobody", 1.0),)),
            "same place": route("r2", 2, path_prefix="/r1/"),
            "no weight": route(version=2, parts=(RoutePart("s1", 0.0),)),
            "long timeout": route(version=2, timeout_ms=600_001.0),
            "no attempts": route(version=2, max_attempts=0),
            "bare prefix": route(version=2, path_prefix="r1/"),
        }
        for name, bad in cases.items():
            with self.subTest(name), self.assertRaises(InvalidChange):
                merge(BASE, patch([route("r3", 2), bad]))

    def test_items_of_removals_only_are_known(self) -> None:
        """Guards against a node that waits for a configuration although it has one."""
        self.assertTrue(Items().is_empty)
        for kind in ("removed_routes", "removed_backends", "removed_customers"):
            self.assertFalse(Items(**{kind: {"a": 1}}).is_empty)  # type: ignore[arg-type]

    def test_version_below_zero_is_refused(self) -> None:
        """Guards against an item that is acknowledged and never in force."""
        cases = (
            patch([route("new", -1)]),
            patch([], [backend("new", -1)]),
            patch(limits=LimitsItem(-1, 1, 1, 1.0, 1.0, "")),
            patch(gone=[Removal("r1", -1)]),
            patch(gone_backends=[Removal("s2", -1)]),
        )
        for case in cases:
            with self.subTest(case), self.assertRaises(InvalidChange):
                merge(BASE, case)

    def test_service_in_use_is_not_removed(self) -> None:
        """Guards against a route whose service is removed."""
        with self.assertRaises(InvalidChange):
            merge(BASE, patch(gone_backends=[Removal("s1", 2)]))

    def test_state_round_trip_keeps_every_field(self) -> None:
        """Guards against a snapshot that loses versions of removed items."""
        limits = LimitsItem(1, 1, 2, 3.0, 4.0, "limits")
        held = merge(BASE, patch([route("r2")], (), limits, [Removal("r1", 2)]))
        self.assertEqual(itemrules.from_state(itemrules.to_state(held)), held)


class OperatorsMachine(RuleBasedStateMachine):
    """Two operators send, send again and race; an oracle keeps the highest version."""

    def __init__(self) -> None:
        super().__init__()
        self.held = BASE
        self.oracle: dict[str, tuple[int, str | None]] = {"r1": (1, "r1@1")}
        self.sent: list[ItemPatch] = []
        self.rng = random.Random(7)

    def _apply(self, one: ItemPatch) -> None:
        try:
            self.held = merge(self.held, one)
        except ItemConflict:
            assert any(
                self.oracle.get(name, (-1, ""))[0] == version
                for name, version in [(i.name, i.version) for i in one.routes]
                + [(r.name, r.version) for r in one.removed_routes]
            )
            return
        for item in one.routes:
            if item.version > self.oracle.get(item.name, (-1, None))[0]:
                self.oracle[item.name] = (item.version, item.document)
        for removal in one.removed_routes:
            if removal.version > self.oracle.get(removal.name, (-1, None))[0]:
                self.oracle[removal.name] = (removal.version, None)

    @rule(
        name=st.sampled_from(["r1", "r2", "r3"]), version=st.integers(1, 9), who=st.integers(1, 2)
    )
    def upsert(self, name: str, version: int, who: int) -> None:
        one = patch([route(name, version, document=f"{name}@{version} by {who}")])
        self.sent.append(one)
        self._apply(one)

    @rule(name=st.sampled_from(["r1", "r2", "r3"]), version=st.integers(1, 9))
    def remove(self, name: str, version: int) -> None:
        one = patch(gone=[Removal(name, version)])
        self.sent.append(one)
        self._apply(one)

    @rule()
    def send_again(self) -> None:
        if self.sent:
            self._apply(self.rng.choice(self.sent))

    @rule()
    def leader_changes(self) -> None:
        self.held = itemrules.from_state(itemrules.to_state(self.held))

    @invariant()
    def highest_version_is_held(self) -> None:
        live = {name: doc for name, (_, doc) in self.oracle.items() if doc is not None}
        assert {name: item.document for name, item in self.held.routes.items()} == live


class OperatorsTest(unittest.TestCase):
    def test_two_operators_agree_with_the_oracle(self) -> None:
        """Guards against a change that is lost or reverted when two operators race."""
        run_state_machine_as_test(
            OperatorsMachine,
            settings=settings(
                max_examples=60,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
