"""Tests of the configuration rules, versions and change ids."""

from __future__ import annotations

import unittest
import zlib

import cbor2
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from msgspec import structs

from knapweedhitch import changes, configuration
from knapweedhitch.changes import Change, Operation, StampedChange
from knapweedhitch.exceptions import CodecError, InvalidChange, VersionConflict
from knapweedhitch.history import ChangeResult, ConfigurationMachine
from knapweedhitch.model import ClaimGroup
from tests.state_cluster import make_settings, service_config
from tests.test_items import patch, route

LIMITS = make_settings("c1", 1, max_change_ids=50, max_history_entries=20).control


def apply(
    machine: ConfigurationMachine,
    op: Operation,
    base: int | None = None,
    change_id: str = "",
    *,
    wall_ms: int = 0,
    serving: dict[str, frozenset[str]] | None = None,
) -> ChangeResult:
    change = Change(change_id or changes.new_change_id(), base, "op", op)
    return machine.apply(changes.encode_stamped(StampedChange(change, wall_ms, serving or {})))


class RulesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = ConfigurationMachine(LIMITS)
        apply(self.machine, changes.PutService(service_config("a")), 0)

    def assert_refused(self, result: ChangeResult, text: str) -> None:
        with self.assertRaisesRegex(InvalidChange, text):
            result.unwrap()

    def test_bad_services_are_refused_by_field(self) -> None:
        """Guards against a service that no node can serve."""
        good = service_config("b")
        cases = [
            ({"name": "B"}, "service name"),
            ({"hosts": ()}, "hosts"),
            ({"hosts": ("a.example",)}, "used by service a and b"),
            ({"hosts": ("X.example",)}, "not a host name"),
            ({"default_deadline_ms": 70_000}, "deadline"),
            ({"max_body_bytes": 0}, "max_body_bytes"),
            ({"max_ejected_ratio": 2.0}, "max_ejected_ratio"),
        ]
        for fields, text in cases:
            with self.subTest(text=text):
                op = changes.PutService(structs.replace(good, **fields))
                self.assert_refused(apply(self.machine, op, 1), text)
        self.assertEqual(self.machine.current.version, 1)

    def test_last_domain_needs_explicit_permission(self) -> None:
        """Guards against two operators who take out the last two domains of a service."""
        serving = {"a": frozenset({"d1", "d2"})}
        self.assertEqual(apply(self.machine, changes.DomainOut("d1"), serving=serving).unwrap(), 2)
        refused = apply(self.machine, changes.DomainOut("d2"), serving=serving)
        self.assert_refused(refused, "allow_last")
        allowed = apply(self.machine, changes.DomainOut("d2", allow_last=True), serving=serving)
        self.assertEqual(allowed.unwrap(), 3)

    def test_claim_groups_never_start_in_the_past(self) -> None:
        """Guards against a key with two claim groups."""

        def add(epoch: int, from_ms: int, wall_ms: int, service: str = "a") -> ChangeResult:
            group = ClaimGroup(service, epoch, from_ms, ("x", "y", "z"))
            return apply(self.machine, changes.AddClaimGroup(group), wall_ms=wall_ms)

        add(1, 0, 100).unwrap()
        self.assert_refused(add(1, 0, 100), "not the next")
        self.assert_refused(add(2, 100, 100), "past")
        self.assert_refused(add(1, 0, 100, "zz"), "no service")
        add(2, 10_000, 100).unwrap()
        apply(self.machine, changes.RemoveService("a"), self.machine.current.version).unwrap()
        apply(
            self.machine,
            changes.PutAllServices((service_config("a"),)),
            self.machine.current.version,
        ).unwrap()
        self.assert_refused(add(1, 0, 20_000), "not the next")
        add(3, 30_000, 20_000).unwrap()
        retention_ms = 3_600_000 + configuration.GROUP_MARGIN_MS
        add(4, retention_ms + 50_000, retention_ms + 30_000).unwrap()
        epochs = [g.epoch for g in self.machine.current.claim_groups["a"]]
        self.assertEqual(epochs, [2, 3, 4])

    def test_many_claim_groups_are_added_atomically(self) -> None:
        """Guards against a partly applied change, and one that decompresses without a bound."""

        def add(*services: str) -> ChangeResult:
            groups = [ClaimGroup(name, 1, 0, ("x", "y", "z")) for name in services]
            return apply(self.machine, changes.AddClaimGroups.pack(groups))

        self.assert_refused(add("a", "zz"), "no service")
        self.assert_refused(add("a", "a"), "not the next")
        for packed in (b"", b"x", zlib.compress(b"\x00" * 600_000), zlib.compress(b"\x07")):
            self.assert_refused(apply(self.machine, changes.AddClaimGroups(packed)), "not a list")
        self.assertEqual(self.machine.current.claim_groups, {})
        add("a").unwrap()
        self.assertEqual(self.machine.current.claim_groups["a"][0].holders, ("x", "y", "z"))

    def test_state_and_snapshot_keep_every_field(self) -> None:
        """Guards against a field that is lost in a state transfer or a snapshot."""
        group = ClaimGroup("a", 1, 0, ("x",))
        for op in (
            changes.AddClaimGroup(group),
            changes.DomainOut("d1"),
            changes.NodeDrain("n1"),
            changes.DomainIn("d2"),
        ):
            apply(self.machine, op, change_id=op.kind).unwrap()
        restored = ConfigurationMachine(LIMITS)
        restored.restore(self.machine.snapshot())
        self.assertEqual(restored.current, self.machine.current)
        self.assertEqual(restored.history(), self.machine.history())
        self.assertEqual(restored.snapshot(), self.machine.snapshot())
        self.assertEqual(restored.result_of("domain_out"), self.machine.result_of("domain_out"))
        state = configuration.to_state(self.machine.current)
        self.assertEqual(configuration.from_state(state), self.machine.current)
        for damaged in (b"", state[:-3], state + b"x", b"x" * 40):
            with self.assertRaises(CodecError):
                configuration.from_state(damaged)
        with self.assertRaisesRegex(CodecError, "over 10 bytes"):
            configuration.from_state(state, 10)

    def test_undecodable_entry_is_refused_by_every_replica(self) -> None:
        """Guards against an undecodable log entry that stops every replica."""
        for body in (b"", b"\xff", changes.encode_stamped(_make_stamped_change())[:-1]):
            self.assertEqual(self.machine.apply(body).error, "InvalidChange")

    def test_history_shows_the_difference(self) -> None:
        """Guards against a history that does not show what a change altered."""
        apply(self.machine, changes.DomainOut("d1")).unwrap()
        last = self.machine.history(1)[-1]
        self.assertEqual((last.version, last.kind, last.operator), (2, "domain_out", "op"))
        self.assertEqual(len(last.diff), 1)
        self.assertTrue(last.diff[0].startswith("+ domains d1"))


def _make_stamped_change() -> StampedChange:
    return StampedChange(Change("x", None, "op", changes.DomainIn("d")), 0, {})


class StampedChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        routes = [route(f"route-{number}", document="{} " * 100) for number in range(800)]
        change = Change(changes.new_change_id(), None, "op", changes.PatchItems(patch(routes)))
        self.stamped = StampedChange(change, 1, {})

    def test_change_of_many_routes_is_short(self) -> None:
        """Guards against a change that fills thin links, so that requests wait for seconds."""
        data = changes.encode_stamped(self.stamped)
        self.assertEqual(changes.decode_stamped(data), self.stamped)
        self.assertLess(len(data), len(changes.encode_change(self.stamped.change)) / 5)

    def test_damaged_or_endless_changes_are_refused(self) -> None:
        """Guards against a change that ends the process or takes its memory."""
        data = cbor2.loads(changes.encode_stamped(self.stamped))
        endless = zlib.compress(bytes(changes.MAX_UNPACKED_CHANGE_BYTES + 1))
        for bad in (data[:-10], data + b"x", b"", b"no zlib", endless):
            with self.assertRaises(InvalidChange):
                changes.decode_stamped(cbor2.dumps(bad))


class VersionsMachine(RuleBasedStateMachine):
    """Compare versions, change ids and domains with a simple model."""

    @initialize()
    def begin(self) -> None:
        self.machine = ConfigurationMachine(LIMITS)
        self.sent: dict[str, tuple[Operation, int | None, ChangeResult]] = {}
        self.out: dict[str, bool] = {}
        self.number = 0

    def send(self, op: Operation, base: int | None) -> ChangeResult:
        self.number += 1
        change_id = f"change-{self.number}"
        result = apply(self.machine, op, base, change_id)
        self.sent[change_id] = (op, base, result)
        return result

    @rule(racers=st.integers(2, 4))
    def race(self, racers: int) -> None:
        base = self.machine.current.version
        ops = [changes.PutService(service_config(f"s{n}")) for n in range(racers)]
        results = [self.send(op, base) for op in ops]
        assert [r.error for r in results] == ["", *["VersionConflict"] * (racers - 1)]
        winner = f"change-{self.number - racers + 1}"
        for number, result in enumerate(results[1:], start=self.number - racers + 2):
            try:
                result.unwrap()
            except VersionConflict as exc:
                assert winner in exc.winner and f"change-{number} " in exc.winner
                assert (exc.base_version, exc.current_version) == (base, base + 1)

    @rule(domain=st.sampled_from(["d1", "d2"]), out=st.booleans())
    def move_domain(self, domain: str, out: bool) -> None:
        op = changes.DomainOut(domain) if out else changes.DomainIn(domain)
        assert self.send(op, None).error == ""
        self.out[domain] = out

    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        if not self.sent:
            return
        change_id = data.draw(st.sampled_from(sorted(self.sent)[-LIMITS.max_change_ids :]))
        op, base, first = self.sent[change_id]
        if self.machine.result_of(change_id) is None:
            return
        before = self.machine.current
        assert apply(self.machine, op, base, change_id) == first
        assert self.machine.current is before

    @rule(back=st.integers(1, 5))
    def old_base(self, back: int) -> None:
        base = self.machine.operator_version - back
        if base >= 0:
            result = self.send(changes.PutService(service_config("s1")), base)
            assert result.error == "VersionConflict"
            newer = self.send(changes.PutService(service_config("s1")), base + 1_000)
            assert newer.error == "VersionConflict"

    @rule()
    def restart(self) -> None:
        again = ConfigurationMachine(LIMITS)
        again.restore(self.machine.snapshot())
        self.machine = again

    @invariant()
    def versions_count_accepted_changes(self) -> None:
        if hasattr(self, "machine"):
            accepted = [r.version for _, _, r in self.sent.values() if not r.error]
            assert accepted == list(range(1, self.machine.current.version + 1))
            for domain, out in self.out.items():
                assert self.machine.current.is_domain_out(domain) == out


class VersionsUnderRaces(VersionsMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against two winners of a race, a change applied twice and a wrong domain state."""

    settings = settings(derandomize=True, deadline=None, max_examples=100, stateful_step_count=30)
