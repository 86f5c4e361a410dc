"""Valid answers for tests: the shipped examples and a strategy for small deployments."""

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


def _service(index: int, domains: int) -> st.SearchStrategy[dict[str, Any]]:
    # Paid actions need claims, and claims need three failure domains.
    keyed = st.booleans() if domains >= 3 else st.just(False)
    kinds = ["lookup", "change", "upload", "paid"][: 4 if domains >= 3 else 3]
    never = {
        "run_twice": keyed,
        "run_without_proof": keyed,
        "wait_longer_than_ms": st.integers(100, 600_000),
        "cut_uploads": st.booleans(),
        "copy_lookups": st.booleans(),
    }
    fields = {
        "name": st.just(f"svc{index}"),
        "hosts": st.just([f"svc{index}.example"]),
        "actions": st.lists(
            st.fixed_dictionaries({"what": st.just("act"), "kind": st.sampled_from(kinds)}),
            min_size=1,
        ),
        "largest_upload_mb": st.integers(1, 100_000),
        "upload_takes_up_to_s": st.integers(1, 21_600),
        "uploads_state_their_time": st.just(True),
        "largest_paid_answer_kb": st.integers(1, 1_024),
        "never": st.fixed_dictionaries(never),
    }
    return st.fixed_dictionaries(fields).map(_make_consistent)


def _make_consistent(service: dict[str, Any]) -> dict[str, Any]:
    paid = any(action["kind"] == "paid" for action in service["actions"])
    service["never"]["run_twice"] = service["never"]["run_twice"] or paid
    return service


@st.composite
def _answers(draw: st.DrawFn) -> dict[str, Any]:
    domains = [f"d{i}" for i in range(draw(st.integers(1, 6)))]
    services = [draw(_service(i, len(domains))) for i in range(draw(st.integers(1, 3)))]
    names = [svc["name"] for svc in services]
    # One instance with a disk in each domain, then one for each service.
    instance_specs = [(domain, True, draw(st.sampled_from([*names, "none"]))) for domain in domains]
    instance_specs += [
        (draw(st.sampled_from(domains)), draw(st.booleans()), name) for name in names
    ]
    instances = [
        {"name": f"i{i}", "address": f"10.0.0.{i + 1}", "domain": domain, "disk": disk}
        | {"service": name, "slots": draw(st.integers(1, 9_999)), "connections": 10_000}
        for i, (domain, disk, name) in enumerate(instance_specs)
    ]
    promises = {
        "keep_paid_answers_min": st.integers(5, 1_440),
        "paid_calls_per_min": st.integers(1, 690),
        "domains_out_within_s": st.integers(2, 10),
    }
    return {
        "organisation": {"name": "org", "region": "north"},
        "failure_domains": domains,
        "services": services,
        "instances": instances,
        "promises": draw(st.fixed_dictionaries(promises)),
    }


ANSWERS = _answers()
