"""Run the choir deployment on loopback, take a failure domain out and back, show what happened."""

from __future__ import annotations

import argparse
import dataclasses
import itertools
import random
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

import trio

from knapweedhitch import generator, plain, questionnaire
from knapweedhitch.cli import new_key
from knapweedhitch.cli_pages import table
from knapweedhitch.exceptions import OperatorError, OperatorRefused
from knapweedhitch.model import Address
from knapweedhitch.operator_client import OperatorClient, new_change_id
from knapweedhitch.questions import NO_SERVICE
from knapweedhitch.timers import Timers
from scripts import harness, traffic
from scripts.harness import ROOT, Daemon, Endpoint, Harness, HarnessError
from scripts.traffic import INSTANCE_HEADER, RUNS_HEADER, Call, Sample

ANSWERS = ROOT / "examples" / "choir" / "answers.yaml"
OUT_DOMAIN = "warwick"
# The bound of the design page after which a domain that is out gets no new work.
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
    """Hold the running daemons and what the demo knows of them."""

    answers: questionnaire.Answers
    generated: generator.Deployment
    daemons: dict[str, Daemon]
    token: str

    @property
    def entries(self) -> list[Endpoint]:
        """Return the caller listener of every daemon."""
        return [daemon.endpoints["callers"] for daemon in self.daemons.values()]

    def client(self, node_id: str = "") -> OperatorClient:
        """Return an operator client of a node, of a control instance by default."""
        node_id = node_id or self.generated.control[0].name
        place = self.daemons[node_id].endpoints["operator"]
        return OperatorClient(Address(place.host, place.port), self.token)


def start(h: Harness) -> Deployment:
    """Start one daemon for each instance of the answers, then the upstreams beside them."""
    answers = questionnaire.parse_answers(ANSWERS.read_text(encoding="utf-8"))
    generated = generator.generate(answers)
    settings = harness.on_loopback(generated.settings, h.folder)
    daemons = {name: h.start_daemon(name, cfg) for name, cfg in settings.items()}
    h.wait_ready(list(daemons.values()))
    token = (h.folder / "operator.token").read_text(encoding="ascii")
    for one in answers.instances:
        if one.service != NO_SERVICE:
            place = daemons[one.name].endpoints["announce"]
            h.start_stand_in(f"{one.name}-upstream", one.service, one.slots, place)
    return Deployment(answers, generated, daemons, token)


async def until(what: str, check: Any) -> None:
    """Wait until an async check returns true; raises HarnessError after a minute."""
    problem = ""
    with trio.move_on_after(WAIT_S):
        while True:
            try:
                if await check():
                    return
            except OperatorError as exc:
                problem = f": {exc}"
            await trio.sleep(POLL_S)
    raise HarnessError(f"not within {WAIT_S} s: {what}{problem}")


async def everywhere(deployment: Deployment, version: int) -> None:
    """Wait until a version is in force at every daemon."""
    for name in deployment.daemons:
        client = deployment.client(name)

        async def in_force(client: OperatorClient = client) -> bool:
            page = await client.get("/v1/status")
            return bool(page["version"] >= version and page["config_fresh"])

        await until(f"version {version} at {name}", in_force)


async def change(deployment: Deployment, path: str, **fields: Any) -> int:
    """Make a change and return its version."""
    body = {"change_id": new_change_id(), "operator": "demo", **fields}
    answer = await deployment.client().change(path, body)
    return int(answer["version"])


async def apply_answers(deployment: Deployment) -> None:
    """Put the services of the answers into force and wait for their targets."""
    op = {"kind": "apply_all", "services": plain.to_json(deployment.generated.services)}
    versions: list[int] = []

    async def applied() -> bool:
        try:
            versions.append(await change(deployment, "/v1/changes", base_version=None, op=op))
        except OperatorRefused as exc:
            if exc.error != "no-leader":
                raise HarnessError(f"the answers are refused: {exc}") from None
            return False
        return True

    await until("a leader that takes the answers", applied)
    await everywhere(deployment, versions[0])
    expected = Counter(one.service for one in deployment.answers.instances)
    for name in deployment.daemons:
        client = deployment.client(name)

        async def complete(client: OperatorClient = client) -> bool:
            page = await client.get("/v1/services")
            return all(svc["usable"] == expected[svc["name"]] for svc in page["services"])

        await until(f"all upstreams known at {name}", complete)


def mixed_calls(rng: random.Random) -> Iterator[Call]:
    """Yield lookups, bookings with fresh keys and uploads, as in the choir service."""
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
    key = new_key(Timers.wall_ms())
    return Call("booking", "bookings.choir.example", "POST", "/bookings", key, body)


async def repeat_keys(deployment: Deployment, rng: random.Random) -> list[Sample]:
    """Send each of a few bookings several times at once through different entry nodes."""
    samples: list[Sample] = []

    async def one(call: Call, entry: Endpoint) -> None:
        connection = traffic.CallerConnection(entry)
        samples.append(await connection.send(call, "repeated keys"))
        await connection.aclose()

    for _ in range(REPEATED_KEYS):
        call = booking(rng)
        async with trio.open_nursery() as nursery:
            for entry in rng.sample(deployment.entries, REPEATS):
                nursery.start_soon(one, call, entry)
        await one(call, rng.choice(deployment.entries))
    return samples


@dataclasses.dataclass
class Result:
    """Hold everything that the table is made from; times are on the clock of trio."""

    samples: list[Sample]
    repeated: list[Sample]
    domain_of: dict[str, str]
    out_s: float
    in_s: float


async def run_phases(deployment: Deployment, seconds: float, rate_per_s: float) -> Result:
    """Drive the same traffic before, while and after the failure domain is out."""
    rng = random.Random(SEED)
    calls = mixed_calls(rng)
    page = await deployment.client().get("/v1/upstreams")
    domain_of = {one["instance_id"]: one["domain"] for one in page["upstreams"]}
    samples: list[Sample] = []

    async def phase(name: str) -> None:
        samples.extend(
            await traffic.drive(
                deployment.entries, calls, name, seconds=seconds, rate_per_s=rate_per_s, rng=rng
            )
        )

    async def switched(name: str, verb: str) -> float:
        moment = 0.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(phase, name)
            # Traffic runs already when the operator acts.
            await trio.sleep(seconds / 10)
            await change(deployment, f"/v1/domains/{OUT_DOMAIN}/{verb}")
            moment = trio.current_time()
        return moment

    await phase("all domains in")
    out_s = await switched(f"{OUT_DOMAIN} out", "out")
    await phase(f"{OUT_DOMAIN} stays out")
    in_s = await switched(f"{OUT_DOMAIN} back in", "in")
    await phase("all domains in again")
    return Result(samples, await repeat_keys(deployment, rng), domain_of, out_s, in_s)


def calls_while_out(result: Result) -> tuple[int, int]:
    """Return calls into the domain that began within the bound after its take-out, and later."""
    began = [
        sample.started_s
        for sample in result.samples
        if result.domain_of.get(sample.headers.get(INSTANCE_HEADER, "")) == OUT_DOMAIN
        and result.out_s < sample.started_s < result.in_s
    ]
    late = sum(started_s > result.out_s + OUT_BOUND_S for started_s in began)
    return len(began) - late, late


def runs_per_key(samples: Sequence[Sample]) -> Counter[int]:
    """Return how many keys ran how often, by the count of the stand-in upstreams."""
    runs: dict[str, int] = {}
    for sample in samples:
        if sample.call.key and RUNS_HEADER in sample.headers:
            reported = int(sample.headers[RUNS_HEADER])
            runs[sample.call.key] = max(runs.get(sample.call.key, 0), reported)
    return Counter(runs.values())


def different_answers(samples: Sequence[Sample]) -> int:
    """Return the number of keys whose repetitions got different successful answers."""
    answers: dict[str, set[bytes]] = {}
    for sample in samples:
        if sample.ok:
            answers.setdefault(sample.call.key, set()).add(sample.body)
    return sum(len(bodies) > 1 for bodies in answers.values())


def report(result: Result) -> int:
    """Print what happened; return 0 if no promise was broken."""
    rows = []
    for phase, group in itertools.groupby(result.samples, key=lambda sample: sample.phase):
        members = list(group)
        rows.append(traffic.summary_row(phase, "all", members))
        for kind in ("lookup", "booking", "upload"):
            chosen = [sample for sample in members if sample.call.kind == kind]
            rows.append(traffic.summary_row("", kind, chosen))
    rows.append(traffic.summary_row("repeated keys", "booking", result.repeated))
    print(table(COLUMNS, rows))
    named = sum(INSTANCE_HEADER in sample.headers for sample in result.samples)
    early, late = calls_while_out(result)
    runs = runs_per_key([*result.samples, *result.repeated])
    different = different_answers(result.repeated)
    print(f"\nanswers that name their upstream: {named} of {len(result.samples)}")
    print(
        f"calls into {OUT_DOMAIN} while out: {early} in the first {OUT_BOUND_S:.0f} s, {late} later"
    )
    print("runs per key: " + (", ".join(f"{n} ran {r}x" for r, n in sorted(runs.items())) or "-"))
    print(f"keys whose repetitions got different answers: {different}")
    broken = late > 0 or different > 0 or any(count > 1 for count in runs)
    proved = named > 0 and bool(runs)
    verdict = "no promise broken" if proved else "not shown, the upstreams report too little"
    print("result: " + ("a promise was broken" if broken else verdict))
    return 0 if proved and not broken else 1


async def demonstrate(deployment: Deployment, seconds: float, rate_per_s: float) -> Result:
    """Apply the answers and run all phases."""
    await apply_answers(deployment)
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
