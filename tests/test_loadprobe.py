"""Tests of how often a node probes its local upstream."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import trio
from msgspec import structs

from knapweedhitch.counters import Counters
from knapweedhitch.kernel import Kernel
from knapweedhitch.loadprobe import LoadProbe, _ProbeResponse
from knapweedhitch.model import Address, UpstreamRecord
from knapweedhitch.settings import HeaderSettings, UpstreamSettings, replace
from tests.decision_fakes import FakeTimers, TrioTestCase, settings

RECORD = UpstreamRecord("robes", Address("127.0.0.1", 80), 9, 220, "i1", 1)
HEADERS = HeaderSettings(leaving="x-leaving", instance="x-instance")
SECONDS = 10.0
# How long before the end of the count a configuration comes into force.
CONFIG_S = 0.01


class CountingProbe(LoadProbe):
    """Count the probes instead of sending them."""

    count = 0

    async def _probe(self, record: UpstreamRecord) -> Any:
        self.count += 1


class ProbeRateTest(TrioTestCase):
    def setUp(self) -> None:
        self.on_config: list[Callable[[Any], None]] = []
        self.config = SimpleNamespace(
            current=SimpleNamespace(version=1), subscribe=self.on_config.append
        )

    async def count_probes(
        self, gap_ms: float, idle_ms: float = 0.0, *, has_report: bool = True
    ) -> int:
        """Return the probes within SECONDS at an upstream with calls at these intervals."""
        cfg = replace(settings(), upstream=UpstreamSettings(probe_interval_ms=80))
        kernel = Kernel(cfg)
        load = SimpleNamespace(
            load_age_ms=1_000.0, idle_ms=idle_ms, call_gap_ms=gap_ms, has_report=has_report
        )
        kernel.add("announce", SimpleNamespace(current=RECORD, has_reported=True))
        kernel.add("admission", load)
        kernel.add("config", self.config)
        kernel.add("counters", Counters())
        kernel.add("timers", FakeTimers())
        probe = CountingProbe(kernel)
        async with trio.open_nursery() as nursery:
            kernel._nursery = nursery
            await probe.start()
            await trio.sleep(SECONDS - CONFIG_S)
            self.probes_before_config = probe.count
            self.config.current.version = 1
            for fn in self.on_config:
                fn(self.config.current)
            await trio.sleep(CONFIG_S)
            nursery.cancel_scope.cancel()
        return probe.count

    async def test_probes_follow_the_rate_of_calls(self) -> None:
        """Guards against health checks that load an upstream with few calls: 29,627 were sent for
        6,982 requests in a large fleet.
        """
        self.assertLessEqual(await self.count_probes(gap_ms=500.0), 2 * SECONDS * 2)
        self.assertGreaterEqual(await self.count_probes(gap_ms=100.0), 120)
        self.assertEqual(await self.count_probes(gap_ms=100.0, idle_ms=60_000.0), 0)

    async def test_announced_upstream_is_probed_until_it_responds(self) -> None:
        """Guards against a restarted node that sends calls before it knows the limit of its
        upstream, and against frequent probes of one that does not respond.
        """
        unused_ms = 60_000.0
        count = await self.count_probes(gap_ms=100.0, idle_ms=unused_ms, has_report=False)
        self.assertGreaterEqual(count, SECONDS * 3)
        self.assertLessEqual(count, SECONDS * 4 + 1)

    async def test_first_probe_waits_for_the_configuration(self) -> None:
        """Guards against a restarted node whose first probe has the wrong path, and which asks its
        upstream only 250 ms later.
        """
        self.config.current.version = 0
        count = await self.count_probes(gap_ms=100.0, has_report=False)
        self.assertEqual((self.probes_before_config, count), (0, 1))


class ProbeResponseTest(TrioTestCase):
    async def test_response_of_another_upstream_tells_nothing(self) -> None:
        """Guards against an upstream that gets no calls, because the one that took over its address
        before it says that it leaves.
        """
        kernel = Kernel(replace(settings(), headers=HEADERS))
        counters, passed = Counters(), []
        probe = LoadProbe(kernel)
        probe._counters = counters
        probe._announce = SimpleNamespace(record_report=passed.append)
        probe._admission = SimpleNamespace(record_probe=lambda *args: passed.append(args))
        for instance, count in ((b"i1", 2), (b"i9", 0)):
            response = _ProbeResponse(5.0)
            response.headers = ((b"x-leaving", b"1"), (b"x-instance", instance))
            passed.clear()
            probe._pass_response(RECORD, response)
            self.assertEqual(len(passed), count)
        self.assertEqual(counters.get("probes_misdirected"), 1)

    async def test_probe_of_an_odd_record_ends_without_an_error(self) -> None:
        """Guards against a process that ends because it cannot write an id into a header."""
        kernel = Kernel(replace(settings(), headers=HEADERS))
        probe = LoadProbe(kernel)
        counters = probe._counters = Counters()
        probe._timers = FakeTimers()
        probe._announce = SimpleNamespace(record_report=lambda report: None)
        probe._admission = SimpleNamespace(record_probe=lambda *args: None)

        async def respond(record: UpstreamRecord, response: _ProbeResponse) -> None:
            response.headers = ((b"x-instance", b"i1"),)

        probe._exchange = respond
        await probe._probe(structs.replace(RECORD, instance_id="\ufffd\ufffe"))
        self.assertEqual(counters.get("probes_misdirected"), 1)
