"""Tests of verdicts on requests under which upstreams ended."""

from __future__ import annotations

import itertools
import sys
import unittest
from collections.abc import Callable
from types import FrameType

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch.identity import NO_BODY, IdentifiedBody, Identifier
from knapweedhitch.model import UpstreamEnd
from knapweedhitch.settings import SuspectSettings
from knapweedhitch.suspects import COMMON_TO_TWO, MANY_ENDS, SuspectTable
from tests.test_forward import Body
from tests.test_peers import run_on_mock_clock

BAD, OTHER, THIRD = (bytes([n]) * 8 + NO_BODY for n in (1, 2, 3))


def end(number: int, *requests: bytes, unidentified: int = 0, service: str = "s") -> UpstreamEnd:
    """Return the end of an upstream."""
    return UpstreamEnd(service, f"i{number}", number, requests, unidentified)


class TableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1_000_000.0
        self.cfg = SuspectSettings()
        self.table = SuspectTable(self.cfg, lambda: self.now)

    def add(self, *ends: UpstreamEnd) -> None:
        """Add ends 100 ms apart."""
        for item in ends:
            self.now += 100.0
            self.assertTrue(self.table.add_end(item, self.now))

    def quarantined(self) -> set[bytes]:
        """Return the quarantined requests."""
        return {verdict.request for verdict in self.table.verdicts()}

    def test_three_ends_quarantine(self) -> None:
        """Guards against a request that ends a fourth upstream."""
        self.add(end(1, BAD, OTHER), end(2, BAD, OTHER, THIRD), end(9, THIRD))
        self.assertEqual(self.quarantined(), set())
        self.assertTrue(self.table.is_suspect(BAD))
        self.add(end(3, BAD))
        self.assertEqual(self.quarantined(), {BAD})
        verdict = self.table.verdict(BAD)
        assert verdict is not None
        self.assertEqual(verdict.evidence, MANY_ENDS)
        self.assertEqual(verdict.until_ms, self.now + self.cfg.evidence_ttl_ms)

    def test_two_ends_quarantine_the_only_request_common_to_all(self) -> None:
        """Guards against a third upstream that ends although two have told the request apart."""
        self.add(end(1, BAD, OTHER), end(2, BAD, THIRD))
        self.assertEqual(self.quarantined(), {BAD})
        verdict = self.table.verdict(BAD)
        assert verdict is not None
        self.assertEqual(verdict.evidence, COMMON_TO_TWO)
        self.assertEqual([h.end.instance_id for h in verdict.ends], ["i1", "i2"])
        self.now += self.cfg.two_ends_ttl_ms
        self.assertEqual(self.quarantined(), set())

    def test_companions_of_a_quarantined_request_are_no_suspects(self) -> None:
        """Guards against requests that are held guilty since they ran beside a guilty one."""
        self.add(end(1, BAD, OTHER), end(2, BAD, THIRD))
        self.assertFalse(self.table.is_suspect(OTHER) or self.table.is_suspect(THIRD))

    def test_two_requests_at_the_same_two_ends_are_not_told_apart(self) -> None:
        """Guards against a verdict by guess."""
        self.add(end(1, BAD, OTHER), end(2, BAD, OTHER))
        self.assertEqual(self.quarantined(), set())

    def test_requests_that_could_not_be_identified_leave_a_doubt(self) -> None:
        """Guards against a verdict while the guilty request may be one that was not read."""
        self.add(end(1, BAD), end(2, BAD, unidentified=1))
        self.assertEqual(self.quarantined(), set())

    def test_upstreams_that_crash_by_themselves_quarantine_nobody(self) -> None:
        """Guards against a retry that is held guilty because it met two flapping upstreams."""
        self.add(end(1, OTHER), end(2, BAD), end(3, THIRD), end(4, BAD))
        self.assertEqual(self.quarantined(), set())

    def test_an_end_without_the_request_lifts_a_verdict_by_two(self) -> None:
        """Guards against a verdict that stands although upstreams crash by themselves."""
        self.add(end(1, BAD, OTHER), end(2, BAD, THIRD))
        self.assertEqual(self.quarantined(), {BAD})
        self.add(end(3))
        self.assertEqual(self.quarantined(), set())

    def test_ends_of_another_service_are_no_evidence(self) -> None:
        """Guards against a request that is judged by the ends of other services."""
        self.add(end(1, BAD), end(2, BAD, service="t"))
        self.assertEqual(self.quarantined(), set())

    def test_success_clears_and_later_ends_count_again(self) -> None:
        """Guards against a request that stays guilty although it ran well after the ends."""
        self.add(end(1, BAD), end(2, BAD), end(3, BAD))
        self.assertTrue(self.table.clear(BAD, 1, self.now))
        self.assertEqual(self.quarantined(), set())
        self.assertTrue(self.table.is_empty)
        self.add(end(4, BAD), end(5, BAD), end(6, BAD))
        self.assertEqual(self.quarantined(), {BAD})

    def test_a_known_clearance_is_not_new(self) -> None:
        """Guards against nodes that pass the same clearance on to each other without end."""
        mark = self.table.next_mark(BAD, 7)
        self.assertTrue(self.table.clear(BAD, mark, self.now))
        self.assertFalse(self.table.clear(BAD, mark, self.now + 50.0))
        self.assertGreater(self.table.next_mark(BAD, 3), mark)

    def test_two_deadly_requests_are_both_quarantined_by_three_ends(self) -> None:
        """Guards against two faulty requests of which only one is found."""
        self.add(*(end(n, BAD, THIRD) for n in (1, 3, 5)), *(end(n, OTHER) for n in (2, 4, 6)))
        self.assertEqual(self.quarantined(), {BAD, OTHER, THIRD})

    def test_the_same_end_counts_once(self) -> None:
        """Guards against an end that several nodes tell and that counts for each."""
        self.add(end(1, BAD))
        self.assertFalse(self.table.add_end(end(1, BAD), self.now))

    def test_request_whose_verdict_has_just_expired_is_a_suspect(self) -> None:
        """Guards against tries after a short verdict that run together with other suspects."""
        self.add(end(1, BAD), end(2, BAD))
        self.assertFalse(self.table.is_suspect(BAD))
        self.now += self.cfg.two_ends_ttl_ms
        self.assertIsNone(self.table.verdict(BAD))
        self.assertTrue(self.table.is_suspect(BAD))
        self.table.expire()
        self.assertTrue(self.table.is_suspect(BAD))

    def test_evidence_expires(self) -> None:
        """Guards against a verdict without end, and against evidence that nobody drops."""
        self.add(end(1, BAD), end(2, BAD), end(3, BAD))
        self.now += self.cfg.evidence_ttl_ms
        self.assertEqual(self.quarantined(), set())
        self.table.expire()
        self.assertTrue(self.table.is_empty)
        self.assertEqual(self.table.evidence(), ([], []))
        self.assertFalse(self.table.add_end(end(4, BAD), self.now - self.cfg.evidence_ttl_ms))

    def test_evidence_is_bounded(self) -> None:
        """Guards against memory that grows with a flood of ends and of cleared requests."""
        for n in range(2 * self.cfg.max_ends_held):
            self.table.add_end(end(n, n.to_bytes(16, "big")), self.now + n)
        for n in range(2 * self.cfg.max_cleared_held):
            self.table.clear(n.to_bytes(16, "big"), 1, self.now + n)
        ends, cleared = self.table.evidence()
        self.assertEqual(len(ends), self.cfg.max_ends_held)
        # An end that was dropped must not look new when another node tells of it.
        self.assertFalse(self.table.add_end(end(0, bytes(16)), self.now))
        self.assertEqual(len(cleared), self.cfg.max_cleared_held)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.sets(st.sampled_from((BAD, OTHER, THIRD))), min_size=1, max_size=4))
    def test_the_order_of_messages_does_not_matter(self, at_ends: list[set[bytes]]) -> None:
        """Guards against nodes that come to different verdicts by the same evidence."""
        ends = [end(n, *sorted(requests)) for n, requests in enumerate(at_ends)]
        outcomes = set()
        for order in itertools.permutations(range(len(ends))):
            table = SuspectTable(self.cfg, lambda: self.now)
            for n in order:
                table.add_end(ends[n], self.now + n)
                if n == 0:
                    table.clear(OTHER, 1, self.now + 0.5)
            known = (v.request for v in table.verdicts())
            outcomes.add((frozenset(known), frozenset(table.suspects()), table.digest()))
        self.assertEqual(len(outcomes), 1)


class CostTest(unittest.TestCase):
    def test_a_change_does_not_judge_all_requests_again(self) -> None:
        """Guards against nodes that stop for seconds after a zone has crashed: the evidence that a
        node got in one comparison took 7.8 s, and each success of a suspect 90 ms.
        """
        cfg = SuspectSettings()
        table = SuspectTable(cfg, lambda: 1_000.0)
        ends = [
            UpstreamEnd("s", f"i{n}", 1, tuple(b"%08d%08d" % (n, m) for m in range(64)))
            for n in range(cfg.max_ends_held)
        ]
        for end in ends[:-1]:
            table.add_end(end, 900.0)
        last = ends[-1]
        self.assertLess(count_calls(lambda: table.add_end(last, 900.0)), 2_000)
        self.assertLess(count_calls(lambda: table.clear(last.requests[0], 1, 950.0)), 2_000)
        self.assertFalse(table.is_suspect(last.requests[0]))
        self.assertEqual(len(table.suspects()), 64 * cfg.max_ends_held - 1)


class ClearanceTest(unittest.TestCase):
    def test_a_dropped_clearance_accuses_nobody_again(self) -> None:
        """Guards against innocent requests that become suspects again and again, and so run one
        after another at each upstream for minutes, once more were cleared than are held.
        """
        table = SuspectTable(SuspectSettings(max_cleared_held=2), lambda: 1_000.0)
        requests = tuple(bytes([n]) * 16 for n in range(4))
        table.add_end(UpstreamEnd("s", "i0", 1, requests), 900.0)
        for mark, request in enumerate(requests[:3]):
            self.assertTrue(table.clear(request, mark, 950.0))
        self.assertEqual(len(table.evidence()[1]), 2)
        self.assertEqual(list(table.suspects()), [requests[3]])
        self.assertFalse(table.knows_head(requests[0][:8]))
        table.add_end(UpstreamEnd("s", "i1", 1, requests[:1]), 960.0)
        self.assertEqual(set(table.suspects()), {requests[0], requests[3]})

    def test_all_go_by_the_mark_of_a_clearance(self) -> None:
        """Guards against nodes that judge differently by the order in which two clearances came."""
        for marks in ((1, 2), (2, 1)):
            table = SuspectTable(SuspectSettings(), lambda: 1_000.0)
            table.add_end(UpstreamEnd("s", "i0", 1, (BAD,)), 900.0)
            for mark in marks:
                # The wall clock of the node with the later clearance is behind.
                table.clear(BAD, mark, {1: 950.0, 2: 850.0}[mark])
            self.assertTrue(table.is_suspect(BAD), marks)


def count_calls(fn: Callable[[], object]) -> int:
    """Return the number of calls that a function makes, which no load of the machine changes."""
    calls = 0

    def count(_frame: FrameType, event: str, _arg: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    before = sys.getprofile()
    sys.setprofile(count)
    try:
        fn()
    finally:
        sys.setprofile(before)
    return calls


class IdentityTest(unittest.TestCase):
    def test_heads_differ_by_each_field_and_by_the_key(self) -> None:
        """Guards against requests that are taken for another one, and digests without the key."""
        identifier = Identifier(b"secret", 100)
        fields = ("s", "r", "GET", b"/a?b=1")
        heads = {identifier.head(*fields), Identifier(b"other", 100).head(*fields)}
        changes: tuple[tuple[int, str | bytes], ...] = ((0, "t"), (1, "q"), (2, "PUT"), (3, b"/a"))
        for position, value in changes:
            changed = (*fields[:position], value, *fields[position + 1 :])
            heads.add(identifier.head(*changed))  # type: ignore[arg-type]
        self.assertEqual(len(heads), 6)

    @run_on_mock_clock
    async def test_bodies_are_told_apart_up_to_the_limit(self) -> None:
        """Guards against a digest that depends on the parts of a body, and lost bytes."""
        identifier = Identifier(b"secret", 10)
        bodies = [(b"0123456789",), (b"01234", b"56789"), (b"0123456789A",), (b"012345678",), ()]
        digests = []
        for parts in bodies:
            body = IdentifiedBody(Body(*parts), identifier)
            await body.identify()
            digests.append(body.digest)
            received = b""
            while (part := await body.receive()) is not None:
                received += part
            self.assertEqual(received, b"".join(parts))
        self.assertEqual(digests[0], digests[1])
        self.assertEqual(len(set(digests)), 4)
        longer = IdentifiedBody(Body(b"0123456789", b"B"), identifier)
        await longer.identify()
        self.assertEqual(longer.digest, digests[2])
