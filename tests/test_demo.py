"""Tests of the traffic generator and of the verdict of the demo."""

from __future__ import annotations

import contextlib
import io
import itertools
import random
import re
import unittest
from collections import Counter
from collections.abc import Callable

import trio

from scripts import demo, traffic
from scripts.harness import Endpoint
from scripts.traffic import Call, Sample

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: i1\r\n\r\nok"
BOOKING = Call("booking", "b", "POST", "/", "k1", b"x")
LOOKUP = Call("lookup", "r")


def drive(respond: Callable[[int], bytes], seconds: float = 0.2) -> list[Sample]:
    """Drive lookups to a listener that responds to the nth request with the given bytes."""
    numbers = itertools.count()

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some(10_000):
                data = respond(next(numbers))
                await stream.send_all(data)
                if not data.startswith(b"HTTP/1.1 200"):
                    return

    async def scenario() -> list[Sample]:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            entry = Endpoint("127.0.0.1", listeners[0].socket.getsockname()[1])
            calls, pace = itertools.repeat(LOOKUP), {"seconds": seconds, "rate_per_s": 100.0}
            samples = await traffic.drive([entry], calls, "p", rng=random.Random(1), **pace)
            nursery.cancel_scope.cancel()
        return samples

    return trio.run(scenario)


def sample(call: Call = BOOKING, body: bytes = b"ok") -> Sample:
    """Return a successful sample."""
    return Sample(call, "p", 1.0, 5.0, 200, {}, body)


def run_report(
    samples: list[Sample], repeated: list[Sample], late: int = 0, **runs: int
) -> tuple[int, str]:
    """Return exit code and output of the report."""
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = demo.report(demo.Result(samples, repeated, 3, late, Counter(runs)))
    return code, out.getvalue()


class TrafficTest(unittest.TestCase):
    def test_every_call_gives_one_sample(self) -> None:
        """Guards against a success ratio that ignores failed calls."""
        samples = drive(lambda n: RESPONSE if n % 4 else b"")
        self.assertEqual(len(samples), 20)
        self.assertEqual(sum(s.ok for s in samples), 15)
        self.assertEqual({s.headers.get("x-request-id") for s in samples if s.ok}, {"i1"})

    def test_damaged_answers_count_as_no_answer(self) -> None:
        """Guards against counting a truncated or malformed response as a success."""
        for malformed in (RESPONSE[:-1] + b"", b"SSH-2.0\r\n\r\n", RESPONSE[:20]):
            http10_response = malformed.replace(b"1.1 200", b"1.0 200")
            with self.subTest(data=malformed):
                self.assertEqual(
                    {s.status for s in drive(lambda _, d=http10_response: d, 0.05)}, {0}
                )

    def test_percentiles_are_values_that_occurred(self) -> None:
        """Guards against an interpolated p99, which can hide the slowest of a hundred calls."""
        values = [float(n) for n in range(1, 101)]
        self.assertEqual(traffic.percentile(values, 0.5), 50.0)
        self.assertEqual(traffic.percentile(values, 0.99), 99.0)
        self.assertEqual(traffic.percentile(values[:10], 0.99), 10.0)
        self.assertEqual(traffic.percentile([3.0], 0.5), 3.0)


class VerdictTest(unittest.TestCase):
    def test_broken_promises_fail_the_demo(self) -> None:
        """Guards against a demo that reports success although a promise was broken."""
        self.assertEqual(run_report([sample()], [sample()], k1=1)[0], 0)
        self.assertEqual(run_report([sample()], [], late=1, k1=1)[0], 1)
        self.assertEqual(run_report([sample()], [], k1=2)[0], 1)
        self.assertEqual(run_report([], [sample(), sample(body=b"another booking")], k1=1)[0], 1)

    def test_nothing_run_is_no_proof(self) -> None:
        """Guards against reporting success when no keyed call ran."""
        code, text = run_report([sample()], [sample()])
        self.assertEqual(code, 1)
        self.assertIn("not shown", text)

    def test_refusals_are_named_in_the_table(self) -> None:
        """Guards against a table that omits the refusal reasons of failed calls."""
        refused = Sample(LOOKUP, "p", 1.0, 5.0, 503, {"knapweedhitch-reason": "no-target"})
        _, text = run_report([sample(), refused], [], k1=1)
        self.assertRegex(text, re.compile(r"all +2 +50.00% .*no-target=1"))
