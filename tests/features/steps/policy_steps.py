"""Steps of policy.feature."""

from __future__ import annotations

from typing import Any

import trio
from behave import given, then, when

from knapweedhitch.admission import Admission
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import Outcome, Refusal
from knapweedhitch.model import UpstreamState
from tests.decision_fakes import (
    kernel,
    record,
    run,
    warm_up,
)


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
            # A cold upstream queues one call and refuses the next one at once.
            for _ in range(adm.limit + (2 if context.state == "cold" else 1)):
                nursery.start_soon(admit)
        return refusals[0] if refusals else None

    context.refusal = run(main)


@then('policy refuses it as "{reason}" and not run')
def refused(context: Any, reason: str) -> None:
    assert context.refusal is not None
    assert context.refusal.reason == reason, context.refusal
    assert context.refusal.outcome is Outcome.NOT_RUN
