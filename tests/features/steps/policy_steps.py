"""Steps of the policy tables."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio
from behave import given, then, when

from knapweedhitch.admission import Admission
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import KeyInvalid, Outcome, Refusal
from knapweedhitch.idempotency import key_time_ms
from knapweedhitch.model import UpstreamState, Warmth
from knapweedhitch.retry import RetryPolicy
from tests.decision_fakes import (
    BAD,
    SVC,
    kernel,
    picker,
    record,
    run,
    sample,
    target,
    warm_up,
)


@given('policy targets where the first one is "{state}"')
def targets_with_state(context: Any, state: str) -> None:
    context.state = state


@when("policy picks one")
def pick_one(context: Any) -> None:
    async def main() -> None:
        made = kernel()
        pick = picker(made)
        first, second = target(1, domain="d2"), target(2)
        excluded: frozenset[str] = frozenset()
        if context.state == "leaving":
            first = target(1, domain="d2", state=UpstreamState.LEAVING)
        elif context.state == "draining":
            first = dataclasses.replace(first, draining=True)
        elif context.state == "domain out":
            made.get("config").take_out("d2")
        elif context.state == "cold full":
            pick.observe("i1", sample(2, 2, warmth=Warmth.COLD))
        elif context.state == "excluded":
            excluded = frozenset({"i1"})
        else:
            pick.pick(SVC, (first, second), excluded, "d1", "n1")
            for _ in range(5):
                pick.finished("i1", BAD)
        context.result = pick.pick(SVC, (first, second), excluded, "d1", "n1")

    run(main)


@then('policy notes "{note}" for the first one and picks the other')
def noted(context: Any, note: str) -> None:
    notes = {c.instance_id: c.note for c in context.result.considered}
    assert notes == {"i1": note, "i2": ""}, notes
    assert context.result.target.upstream.instance_id == "i2"


@given("policy has seen {n:d} calls")
def seen_calls(context: Any, n: int) -> None:
    context.calls = n


@when(
    'policy is asked for a retry of a "{kind}" call with outcome "{outcome}" '
    "and {left:d} retries left"
)
def asked_for_retry(context: Any, kind: str, outcome: str, left: int) -> None:
    async def main() -> bool:
        policy = RetryPolicy(kernel())
        for _ in range(context.calls):
            policy.call_started()
        return policy.may_retry("x", kind == "idempotent", Outcome(outcome), 1_000.0, left)

    context.answer = "yes" if run(main) else "no"


@then('policy answers "{answer}"')
def answered(context: Any, answer: str) -> None:
    assert context.answer == answer, context.answer


@given('policy admission with {slots:d} slots that is "{state}"')
def admission_with_state(context: Any, slots: int, state: str) -> None:
    context.slots, context.state = slots, state


@when("policy admits one call more than fits")
def admit_one_too_many(context: Any) -> None:
    async def main() -> Refusal | None:
        adm = Admission(kernel())
        if context.state != "unannounced":
            leaving = context.state == "leaving"
            state = UpstreamState.LEAVING if leaving else UpstreamState.SERVING
            adm.set_upstream(record(slots=context.slots, state=state))
        if context.state == "full":
            warm_up(adm, context.slots)
        adm.set_draining(context.state == "draining")
        adm.set_domain_out(context.state == "domain out")
        refusals: list[Refusal] = []

        async def admit() -> None:
            try:
                await adm.admit(Deadline.after_ms(1_000.0))
            except Refusal as exc:
                refusals.append(exc)

        async with trio.open_nursery() as nursery:
            # One waits in the queue of a cold upstream; the next one is refused at once.
            for _ in range(adm.limit + (2 if context.state == "cold" else 1)):
                nursery.start_soon(admit)
        return refusals[0] if refusals else None

    context.refusal = run(main)


@then('policy refuses it as "{reason}" and not run')
def refused(context: Any, reason: str) -> None:
    assert context.refusal is not None
    assert context.refusal.reason == reason, context.refusal
    assert context.refusal.outcome is Outcome.NOT_RUN


@when('policy reads the key "{key}"')
def read_key(context: Any, key: str) -> None:
    try:
        context.found = str(key_time_ms(key))
    except KeyInvalid as exc:
        context.found = exc.reason


@then('policy finds "{result}"')
def found(context: Any, result: str) -> None:
    assert context.found == result, context.found
