"""Generation of the settings of instances and the configuration of services from answers."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from knapweedhitch import plain, questionnaire, yamltext
from knapweedhitch.model import ServiceConfig
from knapweedhitch.questionnaire import Answers, Instance, ServiceAnswers
from knapweedhitch.questions import NO_SERVICE

LOOPBACK = "127.0.0.1"
ANSWERS_FILE = "answers.yaml"
SERVICES_FILE = "services.json"
MIB = 1_048_576
KIB = 1_024
MS_PER_S = 1_000
# Time for an accepted domain change to reach every reachable node, with a margin.
PUSH_MARGIN_MS = 1_000
MAX_CLOCK_SKEW_MS = 2_000
MIN_ACTIVATION_DELAY_MS = 10_000
MIN_DRAIN_TIMEOUT_MS = 60_000
MIN_FIRST_BYTE_TIMEOUT_MS = 10_000
MIN_CLAIMS = 1_000
# Twice the peak rate leaves room for bursts while older claims have not expired.
CLAIMS_FACTOR = 2
MAX_CLAIMS = 1_000_000
MAX_IDLE_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Represent the generated deployment: settings by instance name, and the services."""

    answers: Answers
    control: tuple[Instance, ...]
    settings: Mapping[str, dict[str, Any]]
    services: tuple[ServiceConfig, ...]


def choose_control(answers: Answers) -> tuple[Instance, ...]:
    """Return 1, 3 or 5 instances with a disk, each the first of its failure domain."""
    # Always the first of a domain, so that an instance added later never replaces a log member.
    chosen: list[Instance] = []
    for domain in answers.failure_domains:
        candidates = [
            instance
            for instance in answers.instances
            if instance.domain == domain and instance.disk
        ]
        chosen.extend(candidates[:1])
    count = max(n for n in (1, 3, 5) if n <= len(chosen))
    return tuple(chosen[:count])


def service_config(svc: ServiceAnswers, answers: Answers) -> ServiceConfig:
    """Return the configuration of one service."""
    wait_ms = svc.never.wait_longer_than_ms
    upload_ms = svc.upload_takes_up_to_s * MS_PER_S if svc.has("upload") else 0
    return ServiceConfig(
        name=svc.name,
        hosts=svc.hosts,
        require_key=svc.never.needs_key,
        default_deadline_ms=wait_ms,
        max_deadline_ms=max(wait_ms, upload_ms),
        max_body_bytes=max(1, svc.largest_upload_mb) * MIB,
        hedge=svc.has("lookup") and not svc.never.copy_lookups,
        claim_retention_s=answers.promises.keep_paid_answers_min * 60,
        max_recorded_answer_bytes=svc.largest_paid_answer_kb * KIB,
    )


def generate(answers: Answers) -> Deployment:
    """Return the deployment for valid answers; equal answers give equal deployments."""
    control = choose_control(answers)
    services = tuple(service_config(svc, answers) for svc in answers.services)
    shared_settings = _shared_settings(answers, control, services)
    settings = {
        instance.name: _instance_settings(instance, answers, control, shared_settings)
        for instance in answers.instances
    }
    return Deployment(answers, control, settings, services)


def _instance_settings(
    instance: Instance,
    answers: Answers,
    control: tuple[Instance, ...],
    shared_settings: dict[str, Any],
) -> dict[str, Any]:
    organisation = answers.organisation
    port = organisation.first_port
    sections = {
        "node": {
            "id": instance.name,
            "domain": instance.domain,
            "region": organisation.region,
            "cluster": organisation.name,
        },
        "listen": {
            "callers": {"host": instance.address, "port": port},
            "peers": {"host": instance.address, "port": port + 1},
            "announce": {"host": LOOPBACK, "port": port + 2},
            "operator": {"host": LOOPBACK, "port": port + 3},
        },
        **shared_settings,
        "upstream": {
            **shared_settings["upstream"],
            "max_idle_connections": min(MAX_IDLE_CONNECTIONS, instance.connections),
        },
    }
    if instance in control:
        sections["control"] = {**shared_settings["control"], "data_dir": organisation.data_folder}
    return sections


def _shared_settings(
    answers: Answers, control: tuple[Instance, ...], services: tuple[ServiceConfig, ...]
) -> dict[str, Any]:
    """Return the sections that are identical on all instances."""
    folder = answers.organisation.settings_folder
    longest_wait_ms = max(svc.default_deadline_ms for svc in services)
    longest_call_ms = max(svc.max_deadline_ms for svc in services)
    return {
        "secrets": {
            "peer_secret_file": f"{folder}/peer.secret",
            "operator_token_file": f"{folder}/operator.token",
        },
        "control": _control_settings(answers, control),
        "feed": _feed_settings(answers),
        "membership": {"seeds": _seeds(answers, control)},
        "upstream": {"first_byte_timeout_ms": max(MIN_FIRST_BYTE_TIMEOUT_MS, longest_wait_ms)},
        "claims": {"max_claims": _max_claims(answers), "max_clock_skew_ms": MAX_CLOCK_SKEW_MS},
        "stop": {"drain_timeout_ms": max(MIN_DRAIN_TIMEOUT_MS, longest_call_ms)},
    }


def _control_settings(answers: Answers, control: tuple[Instance, ...]) -> dict[str, Any]:
    lease_ms = _lease_ms(answers)
    port = answers.organisation.first_port + 1
    return {
        "members": [{"id": c.name, "host": c.address, "port": port} for c in control],
        "activation_delay_ms": max(
            MIN_ACTIVATION_DELAY_MS, lease_ms + 2 * MAX_CLOCK_SKEW_MS + PUSH_MARGIN_MS
        ),
        # A new leader must be elected before the leases granted by the old one expire.
        "election_timeout_ms": min(1_000, lease_ms // 2),
    }


def _lease_ms(answers: Answers) -> int:
    return answers.promises.domains_out_within_s * MS_PER_S - PUSH_MARGIN_MS


def _feed_settings(answers: Answers) -> dict[str, Any]:
    lease_ms = _lease_ms(answers)
    return {
        "config_lease_ms": lease_ms,
        "poll_interval_ms": min(500, lease_ms // 4),
        "call_timeout_ms": min(1_000, lease_ms // 2),
    }


def _seeds(answers: Answers, control: tuple[Instance, ...]) -> list[dict[str, Any]]:
    seeds = list(control)
    for domain in answers.failure_domains:
        seeds.append(next(instance for instance in answers.instances if instance.domain == domain))
    port = answers.organisation.first_port + 1
    addresses = dict.fromkeys(seed.address for seed in seeds)
    return [{"host": address, "port": port} for address in addresses]


def _max_claims(answers: Answers) -> int:
    promises = answers.promises
    expected = promises.keep_paid_answers_min * promises.paid_calls_per_min
    return min(MAX_CLAIMS, max(MIN_CLAIMS, CLAIMS_FACTOR * expected))


def render(deployment: Deployment) -> dict[str, str]:
    """Return the text of every generated file by file name."""
    files = {
        f"instances/{instance.name}.yaml": _header(instance, deployment)
        + yamltext.dump(deployment.settings[instance.name])
        for instance in deployment.answers.instances
    }
    services = [plain.to_json(svc) for svc in deployment.services]
    files[SERVICES_FILE] = json.dumps(services, indent=2) + "\n"
    files[ANSWERS_FILE] = questionnaire.export(deployment.answers)
    return files


def _header(instance: Instance, deployment: Deployment) -> str:
    lines = [f"# Generated from the answers of {deployment.answers.organisation.name}."]
    if instance.service != NO_SERVICE:
        port = deployment.answers.organisation.first_port + 2
        lines.append(
            f"# The upstream announces at http://{LOOPBACK}:{port}: service {instance.service}, "
            f"{instance.slots} slots, {instance.connections} connections."
        )
    return "".join(f"{line}\n" for line in lines)
