"""Valid answers for tests: the choir example and a strategy of small deployments."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from hypothesis import strategies as st

from knapweedhitch import yamltext

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


def example(name: str) -> dict[str, Any]:
    """Return the raw answers of a shipped example."""
    raw: dict[str, Any] = yamltext.load((EXAMPLES / name / "answers.yaml").read_text())
    return raw


def choir() -> dict[str, Any]:
    """Return the raw answers of the choir example."""
    return example("choir")


@st.composite
def _service(draw: st.DrawFn, index: int, domains: int) -> dict[str, Any]:
    kinds = draw(st.lists(st.sampled_from(["lookup", "change", "paid", "upload"]), min_size=1))
    if domains < 3:
        kinds = [kind for kind in kinds if kind != "paid"] or ["lookup"]
    paid = "paid" in kinds
    wait_ms = draw(st.integers(100, 600_000))
    upload_s = draw(st.integers(1, 21_600))
    return {
        "name": f"svc{index}",
        "hosts": [f"svc{index}.example"],
        "actions": [{"what": f"do {kind}", "kind": kind} for kind in kinds],
        "largest_upload_mb": draw(st.integers(1, 100_000)),
        "upload_takes_up_to_s": upload_s,
        "uploads_state_their_time": True,
        "largest_paid_answer_kb": draw(st.integers(1, 1_024)),
        "never": {
            "run_twice": paid or (domains > 2 and draw(st.booleans())),
            "run_without_proof": domains > 2 and draw(st.booleans()),
            "wait_longer_than_ms": wait_ms,
            "cut_uploads": draw(st.booleans()),
            "copy_lookups": draw(st.booleans()),
        },
    }


@st.composite
def _answers(draw: st.DrawFn) -> dict[str, Any]:
    domains = [f"d{i}" for i in range(draw(st.integers(1, 6)))]
    services = [draw(_service(i, len(domains))) for i in range(draw(st.integers(1, 3)))]
    names = [svc["name"] for svc in services]
    # One instance with a disk in each domain, then at least one for each service.
    places = [(domain, True) for domain in domains]
    places += [(draw(st.sampled_from(domains)), draw(st.booleans())) for _ in names]
    instances = []
    for i, (domain, disk) in enumerate(places):
        own = i - len(domains)
        instances.append(
            {
                "name": f"i{i}",
                "address": f"10.0.0.{i + 1}",
                "domain": domain,
                "disk": disk,
                "service": names[own] if own >= 0 else draw(st.sampled_from([*names, "none"])),
                "slots": draw(st.integers(1, 10_000)),
                "connections": draw(st.integers(10_000, 100_000)),
            }
        )
    return {
        "organisation": {"name": "org", "region": "north"},
        "failure_domains": domains,
        "services": services,
        "instances": instances,
        "promises": {
            "keep_paid_answers_min": draw(st.integers(5, 1_440)),
            "paid_calls_per_min": draw(st.integers(1, 690)),
            "domains_out_within_s": draw(st.integers(2, 10)),
        },
    }


ANSWERS = _answers()
