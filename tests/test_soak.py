"""Tests of the soak: each of its checks, and two short runs of the platform programs."""

from __future__ import annotations

import dataclasses
import math
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import trio
import trio.testing

from scripts.harness import Child
from tests.soak import checks, world
from tests.soak.clients import find_mixed
from tests.soak.cluster import Cluster
from tests.soak.ledger import Ending, Event, Ledger, Request, Run, RunState
from tests.soak.operators import ItemVersion, Operator
from tests.soak.targetconn import Received
from tests.soak.targets import Behaviour, Target, make_body
from tests.soak.wire import Response

ENTRY, NODE = "127.2.1.100", "127.2.2.101"
CORE = "127.2.1.20"
# Far enough from the start of the clock for events before a request.
SENT_S = 1_000.0


class ChecksTest(unittest.TestCase):
    """Guards against checks that report nothing, or that report what the pages allow."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ledger = Ledger(Path(folder.name))
        self.addCleanup(self.ledger.close)
        cluster = mock.Mock(cores=(CORE,))
        cluster.zone_of = Cluster.zone_of
        self.operator = Operator(cluster, self.ledger, random.Random(1))
        self.judge = checks.Judge(cluster, self.ledger, self.operator)

    def add_request(self, *runs: Run, **fields: Any) -> Request:
        request = Request(
            id=f"{len(self.ledger.requests):016x}",
            habit="kept-0",
            entry=ENTRY,
            method="GET",
            host="lists.example",
            path="/l/1",
            kind="safe",
            deadline_s=3.0,
            route_timeout_s=6.0,
            sent_s=SENT_S,
            ending=Ending.ANSWERED,
            ended_s=SENT_S + 1.0,
            status=200,
            runs=list(runs),
        )
        self.ledger.requests[request.id] = dataclasses.replace(request, **fields)
        return self.ledger.requests[request.id]

    def make_run(self, **fields: Any) -> Run:
        run = Run("0", "i-1", NODE, "files", SENT_S, SENT_S + 0.1, RunState.ANSWERED, 200)
        return dataclasses.replace(run, ended_s=SENT_S + 0.2, **fields)

    def add_event(self, kind: str, subject: str, at_s: float, *, is_planned: bool = False) -> None:
        self.ledger.add_event(Event(at_s, kind, subject, at_s, is_planned))

    def broken_rules(self) -> list[str]:
        self.judge.judge(float("inf"))
        return [violation.rule for violation in self.ledger.violations]

    def test_sound_requests_hold(self) -> None:
        self.add_request(self.make_run())
        self.add_request(kind="unsafe", status=503)
        self.add_request(self.make_run(), ending=Ending.ABANDONED)
        self.assertEqual(self.broken_rules(), [])

    def test_request_that_ran_and_is_cut_is_lost(self) -> None:
        self.add_request(self.make_run(), ending=Ending.RESET, status=0)
        self.add_request(self.make_run(), ending=Ending.CLOSED, status=0, ahead=2)
        self.assertEqual(self.broken_rules(), ["LOST", "LOST"])

    def test_cause_beside_a_lost_request(self) -> None:
        """Guards against a cause that names a request which had been answered before."""
        cut: dict[str, Any] = {"ending": Ending.RESET, "status": 0, "connection": "c"}
        self.add_request(self.make_run(), connection="c", deadline_s=1.0, received_bytes=10)
        lost = self.add_request(self.make_run(), **cut)
        self.add_request(self.make_run(), **cut, deadline_s=1.0)
        self.assertEqual(self.broken_rules(), ["LOST"])
        text = self.ledger.violations[0].text
        self.assertTrue(text.startswith(lost.id))
        self.assertEqual(text.count("passed at that moment"), 1)
        self.assertNotIn("while it was sent", text)

    def test_cut_that_the_pages_allow(self) -> None:
        cut: dict[str, Any] = {"ending": Ending.RESET, "status": 0}
        self.add_request(**cut)
        self.add_request(self.make_run(), **cut, deadline_s=1.0)
        broken = self.make_run(state=RunState.BROKEN)
        first = self.add_request(broken, **cut, received_bytes=70_000)
        self.add_request(self.make_run(), **cut, behind=first.id)
        self.assertEqual(self.broken_rules(), [])

    def test_target_that_breaks_off_excuses_no_cut_without_a_response(self) -> None:
        broken = self.make_run(state=RunState.BROKEN)
        self.add_request(broken, ending=Ending.RESET, status=0, received_bytes=0)
        self.assertEqual(self.broken_rules(), ["LOST"])

    def test_kill_of_the_entry_excuses_a_cut_and_a_planned_stop_does_not(self) -> None:
        self.add_request(self.make_run(), ending=Ending.RESET, status=0)
        self.add_event("SIGKILL", ENTRY, SENT_S + 0.5)
        self.assertEqual(self.broken_rules(), [])
        late_s = SENT_S + 100.0
        fields: dict[str, Any] = {"sent_s": late_s, "ended_s": late_s + 1.0, "status": 0}
        self.add_request(self.make_run(started_s=late_s), ending=Ending.RESET, **fields)
        # Read, not passed on, and cut later than the slack.
        self.add_request(ending=Ending.RESET, **fields)
        self.add_event("SIGTERM", ENTRY, late_s + 0.5, is_planned=True)
        self.assertEqual(self.broken_rules(), ["LOST", "LOST"])

    def test_lag_of_the_soak_excuses_only_a_request_that_did_not_run(self) -> None:
        self.add_event("SIGTERM", ENTRY, SENT_S - 0.5, is_planned=True)
        cut: dict[str, Any] = {"ending": Ending.CLOSED, "status": 0, "ended_s": SENT_S + 0.3}
        self.ledger.lags.append((SENT_S + 0.1, SENT_S + 0.25, 0.13))
        self.add_request(**cut)
        self.add_request(**{**cut, "ended_s": SENT_S + 0.4})
        self.add_request(self.make_run(), **cut)
        self.assertEqual(self.broken_rules(), ["LOST", "LOST"])

    def test_unsafe_request_that_runs_twice(self) -> None:
        runs = [self.make_run(), self.make_run(target="i-2")]
        self.add_request(*runs)
        self.add_request(*runs, kind="unsafe")
        self.assertEqual(self.broken_rules(), ["TWICE"])

    def test_refusal_of_a_request_that_ran(self) -> None:
        for status in (408, 421, 429, 503):
            self.add_request(self.make_run(), kind="unsafe", status=status)
        self.add_request(self.make_run(), kind="unsafe", status=502)
        self.assertEqual(self.broken_rules(), ["REFUSED"] * 4)

    def test_response_that_is_not_that_of_the_request(self) -> None:
        request = self.add_request(self.make_run())
        signature = f"sig.{request.id}.i-1.100"
        headers = {"server-signature": signature, "attempt-id": request.id}
        body = make_body(signature, 100)
        cases = [
            ("", Response(200, headers, body)),
            ("", Response(503, {}, b"")),
            ("a success without a signature", Response(200, {}, b"")),
            ("body", Response(200, headers, body[:-1])),
            ("body", Response(200, headers, b"x" * 100)),
            ("signature", Response(200, {"server-signature": "sig.other.i-1.100"}, body)),
        ]
        for problem, response in cases:
            with self.subTest(problem=problem, status=response.status):
                self.assertEqual(find_mixed(request, response)[: len(problem)], problem)
                self.assertEqual(bool(find_mixed(request, response)), bool(problem))
        request.problem = "body"
        self.assertEqual(self.broken_rules(), ["MIXED"])

    def test_request_that_no_client_sent_or_that_was_changed(self) -> None:
        target = mock.Mock(instance_id="i-1", _ledger=self.ledger)
        target._cluster.service_of = {ENTRY: "orders"}
        request = self.add_request()
        headers = {"caller-service": "orders"}
        sound = Received("GET", "/l/1", headers, b"")
        run = self.make_run(request_id=request.id)
        Target.check_request(target, sound, run)
        self.assertEqual(self.ledger.violations, [])
        for received in (
            dataclasses.replace(sound, method="POST"),
            dataclasses.replace(sound, path="/l/1?q=2"),
            dataclasses.replace(sound, body=b"x"),
            dataclasses.replace(sound, headers={"caller-service": "forged"}),
        ):
            Target.check_request(target, received, run)
        Target.check_request(target, sound, self.make_run(request_id="f" * 16))
        self.assertEqual([v.rule for v in self.ledger.violations], ["UNASKED"] * 5)

    def test_run_after_a_departure_or_an_evacuation(self) -> None:
        self.add_event("drain-acked", "i-1", SENT_S - 1.0, is_planned=True)
        self.add_request(self.make_run())
        self.add_request(self.make_run(arrived_s=SENT_S + 1.5))
        self.operator.evacuations.append(("zone-3", SENT_S - 6.0, SENT_S + 1.0))
        third_zone = "127.2.3.102"
        self.add_request(self.make_run(ip=third_zone, target="i-3"))
        self.add_request(self.make_run(ip=third_zone, target="i-3", arrived_s=SENT_S + 1.1))
        self.add_request(self.make_run(ip=third_zone, target="i-3", arrived_s=SENT_S - 1.1))
        self.assertEqual(self.broken_rules(), ["DRAIN", "EVAC"])

    def test_return_of_a_zone_ends_all_evacuations_of_it(self) -> None:
        """Guards against a report for a zone that one of two overlapping orders took back."""

        async def order(path: str, body: bytes) -> bool:
            return True

        async def evacuate_twice() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.operator.evacuate, "zone-3", 0.0)
                nursery.start_soon(self.operator.evacuate, "zone-3", math.inf)
                await trio.testing.wait_all_tasks_blocked()
                await trio.sleep(0.05)
                ends = [finished_s for _, _, finished_s in self.operator.evacuations]
                nursery.cancel_scope.cancel()
            self.assertEqual([math.isinf(end_s) for end_s in ends], [False, False])

        with mock.patch.object(self.operator, "_order", order):
            trio.run(evacuate_twice)

    def test_run_that_only_an_older_configuration_allows(self) -> None:
        def version(number: int, service: str, acknowledged_s: float) -> ItemVersion:
            item = {"name": "lists", "version": number}
            return ItemVersion("lists", number, service, item, SENT_S - 50.0, acknowledged_s)

        self.operator.versions += [version(7, "files", SENT_S - 40.0)]
        self.operator.versions += [version(8, "catalogue", SENT_S - 3.0)]
        self.add_request(self.make_run())
        self.add_request(self.make_run(), sent_s=SENT_S - 1.5)
        self.add_request(self.make_run(service="catalogue"))
        self.assertEqual(self.broken_rules(), ["CONFIG"])
        for config in (None, {"routes": [self.operator.versions[0].item]}, {"routes": []}):
            self.ledger.violations.clear()
            checks.check_read_back(self.operator, self.ledger, config)
            self.assertEqual([v.rule for v in self.ledger.violations], ["CONFIG"])
        self.ledger.violations.clear()
        newest = {"routes": [self.operator.versions[1].item]}
        checks.check_read_back(self.operator, self.ledger, newest)
        self.assertEqual(self.ledger.violations, [])


class RunTest(unittest.TestCase):
    """Guards against broken promises that only show between real processes."""

    def play(self, plan: world.Plan) -> world.Result:
        with tempfile.TemporaryDirectory() as folder:
            result = trio.run(world.run_seed, plan, Path(folder))
        self.assertEqual(result.violations, (), result.verdict)
        self.assertGreater(result.answered, 100, result.verdict)
        return result

    def test_stops_configurations_and_departures(self) -> None:
        """Guards against requests that a planned stop or change cuts, repeats or misplaces."""
        behaviour = Behaviour(response_bytes=(100, 30_000))
        faults = ("stops", "configs", "departures")
        self.play(world.Plan(1, 10.0, nodes=4, cores=3, faults=faults, behaviour=behaviour))

    def test_response_that_waits_for_its_turn(self) -> None:
        """Guards against the deadline of a waiting response that ends those on its connection."""
        # Many responses wait, and nodes pass large ones on while they come.
        behaviour = Behaviour(slow_ratio=0.25, response_bytes=(70_000, 100_000))
        habits = ("pipeline", "kept")
        self.play(world.Plan(2, 8.0, nodes=4, cores=3, habits=habits, behaviour=behaviour))


class EndedProcessTest(unittest.TestCase):
    """Guards against a process that ends otherwise than it should, without a report."""

    def run_child(self, code: str) -> tuple[Cluster, Ledger, str]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ledger = Ledger(Path(folder.name))
        self.addCleanup(ledger.close)
        cluster = Cluster(ledger, random.Random(1), cores=1, nodes=1)
        ip = cluster.apps[0]
        path = Path(folder.name) / "child.log"
        with path.open("wb") as log:
            process = subprocess.Popen([sys.executable, "-c", code], stdout=log, stderr=log)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        cluster.children[ip] = Child(ip, process, path)
        while "ready" not in path.read_text() and process.poll() is None:
            time.sleep(0.02)
        return cluster, ledger, ip

    def rules(self, ledger: Ledger) -> list[str]:
        return [violation.rule for violation in ledger.violations]

    def test_code_other_than_0_after_sigterm(self) -> None:
        """Guards against a stop that a default signal handler or an error ends."""
        sound = "import signal,sys,time;signal.signal(15, lambda *_: sys.exit(0));"
        for code, expected in ((sound, []), ("import time;", ["EXIT"])):
            cluster, ledger, ip = self.run_child(f"{code}print('ready',flush=True);time.sleep(60)")
            trio.run(cluster.stop, ip)
            self.assertEqual(self.rules(ledger), expected)

    def test_signal_before_any_code_ran(self) -> None:
        """Guards against a report of what no code can prevent, and of nothing else."""
        for age_s, expected in ((0.04, []), (0.06, ["EXIT"])):
            cluster, ledger, ip = self.run_child("import time;print('ready');time.sleep(60)")
            now_s = time.monotonic()
            ledger.add_event(Event(now_s - age_s, "started", ip, is_planned=True))
            with mock.patch.object(time, "monotonic", return_value=now_s):
                cluster.children[ip].signal(signal.SIGTERM)
                trio.run(cluster.stop, ip)
            self.assertEqual(self.rules(ledger), expected)

    def test_process_that_ends_by_itself(self) -> None:
        """Guards against a process that ends with no fault."""
        cluster, ledger, ip = self.run_child("print('ready')")
        cluster.children[ip].wait(10.0)

        async def watch() -> None:
            with mock.patch.object(cluster, "start"), trio.move_on_after(1.0):
                await cluster.watch()

        trio.run(watch)
        self.assertEqual(self.rules(ledger), ["ENDED"])


if __name__ == "__main__":
    unittest.main()
