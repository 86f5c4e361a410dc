"""Seeded random pipelines on one connection, with fake targets."""

from __future__ import annotations

import dataclasses
import random
import unittest

import trio

from knapweedhitch.budget import ByteBudget
from knapweedhitch.exceptions import Outcome, UpstreamFailed
from knapweedhitch.exchange import CallSpec, ResponseSink
from knapweedhitch.model import CallResult
from tests.test_pipelining import LARGE_BYTES, Caller, respond_after, run_caller
from tests.test_relay import Handler

SEEDS = range(40)
SAFE, PAID, UNKNOWN = "/safe/", "/paid/", "/nowhere/"


@dataclasses.dataclass(frozen=True)
class Plan:
    """Describe one request, when it is sent, and what its target does."""

    number: int
    path: str
    body_bytes: int
    deadline_ms: int
    gap_s: float
    delay_s: float
    pause_s: float
    response_bytes: int
    fails: bool
    # Whether the node of the target is silent, so that another attempt runs beside the first.
    is_silent: bool

    @property
    def request(self) -> bytes:
        """Return the bytes of the request."""
        lines = [
            f"{'GET' if self.path == SAFE else 'POST'} {self.path}{self.number} HTTP/1.1",
            "Host: h.example",
            f"X-Id: r{self.number}",
            f"X-Deadline: {self.deadline_ms}",
        ]
        if self.path != SAFE:
            lines.append(f"Content-Length: {self.body_bytes}")
        return "\r\n".join([*lines, "", ""]).encode("ascii") + b"b" * self.body_bytes

    async def run(self, spec: CallSpec, sink: ResponseSink) -> CallResult:
        """Play the target."""
        if self.fails:
            sink.mark_dispatched()
            raise UpstreamFailed(Outcome.UNKNOWN)
        if self.is_silent and spec.on_silence is not None:
            await trio.sleep(self.delay_s / 2)
            spec.on_silence()
        return await respond_after(self.delay_s, self.response_bytes, self.pause_s)(spec, sink)


def make_plan(rng: random.Random, number: int) -> Plan:
    """Return a random request; the size of its response tells it from its neighbours."""
    path = rng.choices((SAFE, PAID, UNKNOWN), (8, 3, 1))[0]
    return Plan(
        number=number,
        path=path,
        body_bytes=0 if path == SAFE else rng.choice((0, 5, 3_000)),
        deadline_ms=rng.choice((100, 400, 900, 1_900)),
        gap_s=rng.choice((0.0, 0.0, 0.05, 0.3, 1.0)),
        delay_s=rng.choice((0.0, 0.01, 0.1, 0.5, 1.5)),
        # A longer one than `routing.transfer_grace_ms` may cut a response.
        pause_s=rng.choice((0.0, 0.05, 0.3)),
        response_bytes=rng.choice((10, 1_000, LARGE_BYTES)) + number,
        fails=rng.random() < 0.1,
        is_silent=rng.random() < 0.3,
    )


class SeedTest(unittest.TestCase):
    def test_each_request_of_a_pipeline_gets_its_own_response_in_order(self) -> None:
        """Guards against requests that vanish, and responses that come in the place of others."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_pipeline(seed)

    def check_pipeline(self, seed: int) -> None:
        rng = random.Random(seed)
        plans = [make_plan(rng, number) for number in range(rng.randint(2, 8))]
        handlers: dict[str, Handler] = {f"r{plan.number}": plan.run for plan in plans}
        # Retries of safe requests need handlers too.
        handlers |= {f"retry-{i}": plans[0].run for i in range(30)}
        waiting_bytes = ByteBudget(rng.choice((0, LARGE_BYTES, 10 * LARGE_BYTES)))
        lengths: list[int] = []
        statuses: list[int] = []

        async def send(caller: Caller) -> None:
            for plan in plans:
                await trio.sleep(plan.gap_s)
                await caller.stream.send_all(plan.request)

        async def play(caller: Caller) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, caller)
                with trio.move_on_after(20):
                    for _ in plans:
                        response = await caller.read()
                        statuses.append(response.status)
                        lengths.append(len(response.body))
                nursery.cancel_scope.cancel()

        world = run_caller(handlers, play, waiting_bytes)
        self.assertEqual(len(statuses), len(plans), statuses)
        for plan, status, length in zip(plans, statuses, lengths, strict=True):
            if status == 200:
                self.assertEqual(length, plan.response_bytes)
            self.assertEqual(status == 404, plan.path == UNKNOWN, statuses)
        paid = [spec.request_id for spec in world.specs if spec.method == "POST"]
        self.assertEqual(len(paid), len(set(paid)))
        self.assertEqual((waiting_bytes.used_bytes, world.relay.active), (0, {}))
