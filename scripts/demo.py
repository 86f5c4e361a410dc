"""Run the choir deployment on loopback, take a failure domain out and back in, and report."""

from __future__ import annotations

import argparse
import dataclasses
import itertools
import json
import random
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

import trio

from knapweedhitch import generator, plain, questionnaire
from knapweedhitch.cli_pages import table
from knapweedhitch.exceptions import OperatorError, OperatorRefused
from knapweedhitch.idempotency import generate_uuid7
from knapweedhitch.model import Address
from knapweedhitch.operator_client import OperatorClient, new_change_id, parse_address
from knapweedhitch.questions import NO_SERVICE
from knapweedhitch.timers import Timers
from scripts import harness, traffic
from scripts.harness import ROOT, Daemon, Endpoint, Harness, HarnessError
from scripts.traffic import Call, Sample

ANSWERS = ROOT / "examples" / "choir" / "answers.yaml"
OUT_DOMAIN = "warwick"
# Bound of the design page after which a domain that is out receives no new calls.
OUT_BOUND_S = 3.0
WAIT_S = 60.0
POLL_S = 0.1
UPLOAD_BYTES = 262_144
REPEATS = 4
REPEATED_KEYS = 10
SEED = 7
COLUMNS = ("phase", "kind", "calls", "success", "p50 ms", "p99 ms", "not answered by an upstream")


@dataclasses.dataclass
class Deployment:
    """Describe the running deployment: answers, generated settings, daemons and operator token."""

    answers: questionnaire.Answers
    generated: generator.Deployment
    daemons: dict[str, Daemon]
    token: str

    @property
    def entries(self) -> list[Endpoint]:
        """Return the caller listener of every daemon."""
        return [daemon.endpoints["callers"] for daemon in self.daemons.values()]

    def client(self, node_id: str = "") -> OperatorClient:
        """Return an operator client for a node, by default for a control instance."""
        node_id = node_id or self.generated.control[0].name
        endpoint = self.daemons[node_id].endpoints["operator"]
        return OperatorClient(Address(endpoint.host, endpoint.port), self.token)


def start(h: Harness) -> Deployment:
    """Start one daemon for each instance of the answers, then the upstreams beside them."""
    answers = questionnaire.parse_answers(ANSWERS.read_text(encoding="utf-8"))
    generated = generator.generate(answers)
    settings = harness.assign_loopback_ports(generated.settings, h.folder)
    daemons = {name: h.start_daemon(name, cfg) for name, cfg in settings.items()}
    h.wait_ready(list(daemons.values()))
    token = (h.folder / "operator.token").read_text(encoding="ascii")
    for instance in answers.instances:
        if instance.service != NO_SERVICE:
            endpoint = daemons[instance.name].endpoints["announce"]
            h.start_stand_in(
                f"{instance.name}-upstream", instance.service, instance.slots, endpoint
            )
    return Deployment(answers, generated, daemons, token)


async def wait_until(description: str, check: Any) -> None:
    """Poll an async check until it returns true; raises HarnessError after WAIT_S seconds."""
    problem = ""
    with trio.move_on_after(WAIT_S):
        while True:
            try:
                if await check():
                    return
            except OperatorError as exc:
                problem = f": {exc}"
            await trio.sleep(POLL_S)
    raise HarnessError(f"not within {WAIT_S} s: {description}{problem}")


async def wait_in_force(deployment: Deployment, version: int) -> None:
    """Wait until a version is in force at every daemon."""
    for name in deployment.daemons:
        client = deployment.client(name)

        async def in_force(client: OperatorClient = client) -> bool:
            page = await client.get("/v1/status")
            return bool(page["version"] >= version and page["config_fresh"])

        await wait_until(f"version {version} at {name}", in_force)


async def change(deployment: Deployment, path: str, **fields: Any) -> int:
    """Submit a change and return its version."""
    body = {"change_id": new_change_id(), "operator": "demo", **fields}
    response = await deployment.client().change(path, body)
    return int(response["version"])


async def apply_answers(deployment: Deployment) -> None:
    """Apply the services of the answers and wait until all targets are usable everywhere."""
    op = {"kind": "apply_all", "services": plain.to_json(deployment.generated.services)}
    versions: list[int] = []

    async def has_applied() -> bool:
        try:
            base = (await deployment.client().get("/v1/config"))["version"]
            versions.append(await change(deployment, "/v1/changes", base_version=base, op=op))
        except OperatorRefused as exc:
            if exc.error != "no-leader":
                raise HarnessError(f"the answers are refused: {exc}") from None
            return False
        return True

    await wait_until("a leader that accepts the answers", has_applied)
    await wait_in_force(deployment, versions[0])
    expected = Counter(instance.service for instance in deployment.answers.instances)
    for name in deployment.daemons:
        client = deployment.client(name)

        async def has_all_targets(client: OperatorClient = client) -> bool:
            page = await client.get("/v1/services")
            return all(svc["usable"] == expected[svc["name"]] for svc in page["services"])

        await wait_until(f"all upstreams known at {name}", has_all_targets)


def mixed_calls(rng: random.Random) -> Iterator[Call]:
    """Yield lookups, bookings with fresh keys and uploads in the mix of the choir example."""
    upload = rng.randbytes(UPLOAD_BYTES)
    while True:
        draw = rng.random()
        if draw < 0.75:
            yield Call("lookup", "robes.choir.example", path=f"/robes/{rng.randrange(1_000)}")
        elif draw < 0.95:
            yield booking(rng)
        else:
            host = "wardrobe.choir.example"
            yield Call("upload", host, "POST", f"/sheets/{rng.randrange(1_000)}", body=upload)


def booking(rng: random.Random) -> Call:
    """Return a booking with a fresh key."""
    body = b'{"robe": %d}' % rng.randrange(1_000)
    key = generate_uuid7(Timers.wall_ms())
    return Call("booking", "bookings.choir.example", "POST", "/bookings", key, body)


async def wait_for_bookings(deployment: Deployment) -> None:
    """Wait until every entry node accepts bookings; holders refuse keys older than their start."""
    rng = random.Random(SEED)
    for entry in deployment.entries:

        async def accepts_booking(entry: Endpoint = entry) -> bool:
            connection = traffic.CallerConnection(entry)
            sample = await connection.send(booking(rng), "start")
            await connection.aclose()
            return sample.ok

        await wait_until(f"a booking through {entry}", accepts_booking)


async def repeat_keys(deployment: Deployment, rng: random.Random) -> list[Sample]:
    """Send each of several bookings concurrently through different entry nodes, then once more."""
    samples: list[Sample] = []

    async def send_call(call: Call, entry: Endpoint) -> None:
        connection = traffic.CallerConnection(entry)
        samples.append(await connection.send(call, "repeated keys"))
        await connection.aclose()

    for _ in range(REPEATED_KEYS):
        call = booking(rng)
        async with trio.open_nursery() as nursery:
            for entry in rng.sample(deployment.entries, REPEATS):
                nursery.start_soon(send_call, call, entry)
        await send_call(call, rng.choice(deployment.entries))
    return samples


@dataclasses.dataclass
class Upstream:
    """Describe the address and the failure domain of a stand-in upstream."""

    address: Endpoint
    domain: str

    async def runs(self) -> Counter[str]:
        """Return the number of runs by key or target; raises HarnessError."""
        connection = traffic.CallerConnection(self.address)
        sample = await connection.send(Call("state", "stand-in", path="/stand-in/state"), "")
        await connection.aclose()
        if not sample.ok:
            raise HarnessError(f"the stand-in upstream at {self.address} does not report its runs")
        return Counter(json.loads(sample.body)["runs"])


@dataclasses.dataclass
class Result:
    """Collect the data of the report; the runs are counted by the upstreams."""

    samples: list[Sample]
    repeated_samples: list[Sample]
    early_runs: int
    late_runs: int
    runs: Counter[str]


async def find_upstreams(deployment: Deployment) -> list[Upstream]:
    """Return every announced upstream."""
    page = await deployment.client().get("/v1/upstreams")
    upstreams = []
    for row in page["upstreams"]:
        endpoint = parse_address(row["address"])
        upstreams.append(Upstream(Endpoint(endpoint.host, endpoint.port), row["domain"]))
    return upstreams


async def total_runs(upstreams: Sequence[Upstream]) -> Counter[str]:
    """Return the total runs of the upstreams by key or target."""
    total: Counter[str] = Counter()
    for upstream in upstreams:
        total += await upstream.runs()
    return total


async def run_phases(deployment: Deployment, seconds: float, rate_per_s: float) -> Result:
    """Drive the same traffic before, during and after the removal of the failure domain."""
    rng = random.Random(SEED)
    calls = mixed_calls(rng)
    upstreams = await find_upstreams(deployment)
    domain_upstreams = [upstream for upstream in upstreams if upstream.domain == OUT_DOMAIN]
    samples: list[Sample] = []
    counts: list[int] = []

    async def run_phase(name: str) -> None:
        samples.extend(
            await traffic.drive(
                deployment.entries, calls, name, seconds=seconds, rate_per_s=rate_per_s, rng=rng
            )
        )

    async def count_domain_runs() -> None:
        counts.append((await total_runs(domain_upstreams)).total())

    async def take_out_and_in() -> None:
        # Traffic is already running when the operator acts.
        await trio.sleep(seconds / 10)
        await change(deployment, f"/v1/domains/{OUT_DOMAIN}/out", allow_last=False)
        await count_domain_runs()
        await trio.sleep(OUT_BOUND_S)
        await count_domain_runs()
        await trio.sleep(max(0.0, 2 * seconds - OUT_BOUND_S))
        await count_domain_runs()
        await change(deployment, f"/v1/domains/{OUT_DOMAIN}/in")

    await run_phase("all domains in")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_out_and_in)
        for name in (f"{OUT_DOMAIN} taken out", f"{OUT_DOMAIN} is out", f"{OUT_DOMAIN} back in"):
            await run_phase(name)
    await run_phase("all domains in again")
    repeated_samples = await repeat_keys(deployment, rng)
    early_runs, late_runs = counts[1] - counts[0], counts[2] - counts[1]
    return Result(samples, repeated_samples, early_runs, late_runs, await total_runs(upstreams))


def runs_per_key(result: Result) -> Counter[int]:
    """Return the number of keys by their number of runs."""
    keys = {
        sample.call.key for sample in [*result.samples, *result.repeated_samples] if sample.call.key
    }
    return Counter(result.runs[key] for key in keys)


def count_conflicting_keys(samples: Sequence[Sample]) -> int:
    """Return the number of keys whose successful responses differ."""
    bodies_by_key: dict[str, set[bytes]] = {}
    for sample in samples:
        if sample.ok:
            bodies_by_key.setdefault(sample.call.key, set()).add(sample.body)
    return sum(len(bodies) > 1 for bodies in bodies_by_key.values())


def report(result: Result) -> int:
    """Print the report; return 0 if no promise was broken."""
    rows = []
    for phase, group in itertools.groupby(result.samples, key=lambda sample: sample.phase):
        phase_samples = list(group)
        rows.append(traffic.summary_row(phase, "all", phase_samples))
        for kind in ("lookup", "booking", "upload"):
            kind_samples = [sample for sample in phase_samples if sample.call.kind == kind]
            rows.append(traffic.summary_row("", kind, kind_samples))
    rows.append(traffic.summary_row("repeated keys", "booking", result.repeated_samples))
    print(table(COLUMNS, rows))
    runs = runs_per_key(result)
    conflicting_count = count_conflicting_keys(result.repeated_samples)
    bound = f"{OUT_BOUND_S:.0f} s"
    print(f"\nruns in {OUT_DOMAIN} while out: {result.early_runs} within {bound}", end="")
    print(f", {result.late_runs} later")
    print("runs per key: " + (", ".join(f"{n} ran {r}x" for r, n in sorted(runs.items())) or "-"))
    print(f"keys whose repetitions got different answers: {conflicting_count}")
    is_broken = (
        result.late_runs > 0 or conflicting_count > 0 or any(run_count > 1 for run_count in runs)
    )
    # Without a keyed call that ran, the run proves nothing.
    has_proof = runs[1] > 0
    verdict = "no promise broken" if has_proof else "not shown, because no keyed call ran"
    print("result: " + ("a promise was broken" if is_broken else verdict))
    return 0 if has_proof and not is_broken else 1


async def demonstrate(deployment: Deployment, seconds: float, rate_per_s: float) -> Result:
    """Apply the answers and run all phases."""
    await apply_answers(deployment)
    await wait_for_bookings(deployment)
    return await run_phases(deployment, seconds, rate_per_s)


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0, help="length of each phase")
    parser.add_argument("--rate", type=float, default=60.0, help="calls per second")
    options = parser.parse_args()
    try:
        with Harness() as h:
            print(f"starting the deployment of {ANSWERS.relative_to(ROOT)} on loopback ...")
            deployment = start(h)
            print(f"{len(deployment.daemons)} daemons are ready; applying the answers ...")
            result = trio.run(demonstrate, deployment, options.seconds, options.rate)
            print("stopping the daemons as planned ...")
            h.stop_all(list(deployment.daemons.values()))
    except (HarnessError, OperatorError) as exc:
        print(f"demo: {exc}", file=sys.stderr)
        return 1
    return report(result)


if __name__ == "__main__":
    sys.exit(main())
