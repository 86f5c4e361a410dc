"""Tests of route matching and of the weighted split among services."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from knapweedhitch.items import Items, RoutePart
from knapweedhitch.routetable import RouteTable, WeightedSplit
from tests.test_items import route


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        """Guards against matching a route with a shorter prefix or of another host."""
        routes = {
            "short": route("short", path_prefix="/a/"),
            "long": route("long", path_prefix="/a/b/"),
            "root": route("root", path_prefix="/", host="other.example"),
        }
        table = RouteTable(Items(routes=routes))
        cases = [
            ("h.example", b"/a/b/c", "long"),
            ("H.Example:80", b"/a/x?y=/a/b/", "short"),
            ("h.example", b"/ab/", None),
            ("other.example", b"/a/b/c", "root"),
            ("nobody.example", b"/a/b/c", None),
        ]
        for host, target, expected in cases:
            with self.subTest(host=host, target=target):
                matched = table.match(host, target)
                self.assertEqual(matched.name if matched else None, expected)


class WeightedSplitTest(unittest.TestCase):
    def test_shares_hold_over_many_nodes_with_few_requests(self) -> None:
        """Guards against all nodes sending their first requests to the largest part."""
        item = route(parts=(RoutePart("s1", 90.0), RoutePart("s2", 10.0)))
        counts: Counter[str] = Counter()
        for seed in range(40):
            split = WeightedSplit(random.Random(seed))
            counts.update(split.choose(item) for _ in range(10))
        self.assertAlmostEqual(counts["s2"] / 400, 0.1, delta=0.03)

    def test_zero_weight_gets_nothing(self) -> None:
        """Guards against requests to a service that operators have removed from a route."""
        item = route(parts=(RoutePart("s1", 1.0), RoutePart("s2", 0.0)))
        split = WeightedSplit(random.Random(1))
        self.assertEqual({split.choose(item) for _ in range(50)}, {"s1"})

    def test_new_version_uses_its_weights_at_once(self) -> None:
        """Guards against applying the credits of old weights after a change."""
        split = WeightedSplit(random.Random(1))
        old = route(version=1, parts=(RoutePart("s1", 1.0), RoutePart("s2", 1.0)))
        new = route(version=2, parts=(RoutePart("s1", 0.0), RoutePart("s2", 1.0)))
        for _ in range(5):
            split.choose(old)
        self.assertEqual({split.choose(new) for _ in range(20)}, {"s2"})
