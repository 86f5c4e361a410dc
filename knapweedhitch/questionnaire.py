"""Parsing, validation and export of the answers to the questionnaire."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any

from knapweedhitch import questions, yamltext
from knapweedhitch.exceptions import AnswersError
from knapweedhitch.questions import NO_SERVICE, Question

MAX_ANSWERS_BYTES = 4_194_304
MAX_INSTANCES = 15_000
MAX_SERVICES = 2_200
MAX_ACTIONS = 100
# The upper bound of claims.max_claims.
MAX_CLAIMS = 1_000_000
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class Organisation:
    """Represent the answers about the organisation."""

    name: str
    region: str
    first_port: int
    settings_folder: str
    data_folder: str


@dataclasses.dataclass(frozen=True)
class Instance:
    """Represent the answers about one instance."""

    name: str
    address: str
    domain: str
    disk: bool
    service: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True)
class Action:
    """Describe one action that callers perform on a service."""

    what: str
    kind: str


@dataclasses.dataclass(frozen=True)
class Never:
    """Describe what must never happen in a service."""

    run_twice: bool
    run_without_proof: bool
    wait_longer_than_ms: int
    cut_uploads: bool
    copy_lookups: bool

    @property
    def needs_key(self) -> bool:
        """Return whether calls that change something need an idempotency key."""
        return self.run_twice or self.run_without_proof


@dataclasses.dataclass(frozen=True)
class ServiceAnswers:
    """Represent the answers about one service."""

    name: str
    hosts: tuple[str, ...]
    largest_upload_mb: int
    upload_takes_up_to_s: int
    uploads_state_their_time: bool
    largest_paid_answer_kb: int
    actions: tuple[Action, ...]
    never: Never

    def has(self, kind: str) -> bool:
        """Return whether callers perform an action of the kind."""
        return any(action.kind == kind for action in self.actions)


@dataclasses.dataclass(frozen=True)
class Promises:
    """Describe what the organisation promises its callers and operators."""

    keep_paid_answers_min: int
    paid_calls_per_min: int
    domains_out_within_s: int


@dataclasses.dataclass(frozen=True)
class Answers:
    """Represent all answers of one organisation."""

    organisation: Organisation
    failure_domains: tuple[str, ...]
    services: tuple[ServiceAnswers, ...]
    instances: tuple[Instance, ...]
    promises: Promises


def _short_answer(answer: Any) -> Any:
    """Return a short scalar unchanged and any other answer as a bounded string."""
    if isinstance(answer, (bool, float)) or answer is None:
        return answer
    if isinstance(answer, int) and abs(answer) < 1 << 64:
        return answer
    if isinstance(answer, str) and len(answer) <= yamltext.MAX_REPR_CHARS:
        return answer
    return yamltext.short_repr(answer)


def parse_value(question: Question, raw: Any, path: str) -> Any:
    """Parse the answer to one question; raises AnswersError."""
    try:
        return question.parse(raw)
    except (ValueError, TypeError):
        raise AnswersError(path, _short_answer(raw), question.accepted) from None


def _check_mapping(raw: Any, keys: Iterable[str], path: str) -> dict[str, Any]:
    allowed_keys = tuple(keys)
    accepted = f"a mapping of {', '.join(allowed_keys)}"
    if not isinstance(raw, dict):
        raise AnswersError(path, _short_answer(raw), accepted)
    for key in raw:
        if key not in allowed_keys:
            raise AnswersError(path, _short_answer(key), accepted)
    return raw


def _parse_fields(table: Sequence[Question], raw: dict[str, Any], path: str) -> dict[str, Any]:
    fields = {}
    for question in table:
        answer = raw.get(question.key)
        if answer is None and not question.required:
            fields[question.key] = question.default
        else:
            fields[question.key] = parse_value(question, answer, f"{path}.{question.key}")
    return fields


def _parse_section(table: Sequence[Question], raw: Any, path: str) -> dict[str, Any]:
    return _parse_fields(table, _check_mapping(raw, (q.key for q in table), path), path)


def _check_list(raw: Any, max_length: int, path: str) -> list[Any]:
    if not isinstance(raw, list) or not 1 <= len(raw) <= max_length:
        raise AnswersError(path, _short_answer(raw), f"a list of 1 to {max_length} entries")
    return raw


def _entry_path(section: str, raw: Any, index: int) -> str:
    name = raw.get("name") if isinstance(raw, dict) else None
    is_valid_name = isinstance(name, str) and questions.NAME.fullmatch(name)
    return f"{section}.{name}" if is_valid_name else f"{section}[{index}]"


def _parse_service(raw: Any, index: int) -> ServiceAnswers:
    path = _entry_path("services", raw, index)
    keys = [question.key for question in questions.SERVICE]
    fields = _check_mapping(raw, [*keys, "actions", "never"], path)
    actions = tuple(
        Action(**_parse_section(questions.ACTION, action, f"{path}.actions[{i}]"))
        for i, action in enumerate(
            _check_list(fields.get("actions"), MAX_ACTIONS, f"{path}.actions")
        )
    )
    never = fields.get("never")
    never_fields = _parse_section(questions.NEVER, {} if never is None else never, f"{path}.never")
    return ServiceAnswers(
        **_parse_fields(questions.SERVICE, fields, path),
        actions=actions,
        never=Never(**never_fields),
    )


def _parse_instance(raw: Any, index: int) -> Instance:
    path = _entry_path("instances", raw, index)
    return Instance(**_parse_section(questions.INSTANCE, raw, path))


def parse_answers(text: str) -> Answers:
    """Parse and validate answers in YAML; raises AnswersError that names the question."""
    if len(text) > MAX_ANSWERS_BYTES:
        raise AnswersError("answers", f"{len(text)} bytes", f"at most {MAX_ANSWERS_BYTES} bytes")
    try:
        raw = yamltext.load(text)
    except ValueError as exc:
        raise AnswersError("answers", _short_answer(text), f"valid YAML ({exc})") from None
    sections = [field.name for field in dataclasses.fields(Answers)]
    raw = _check_mapping(raw, sections, "answers")
    promises = raw.get("promises")
    answers = Answers(
        organisation=Organisation(
            **_parse_section(questions.ORGANISATION, raw.get("organisation"), "organisation")
        ),
        failure_domains=parse_value(
            questions.DOMAINS, raw.get("failure_domains"), "failure_domains"
        ),
        services=tuple(
            _parse_service(entry, i)
            for i, entry in enumerate(_check_list(raw.get("services"), MAX_SERVICES, "services"))
        ),
        instances=tuple(
            _parse_instance(entry, i)
            for i, entry in enumerate(_check_list(raw.get("instances"), MAX_INSTANCES, "instances"))
        ),
        promises=Promises(
            **_parse_section(questions.PROMISES, {} if promises is None else promises, "promises")
        ),
    )
    check_consistency(answers)
    return answers


def check_consistency(answers: Answers) -> None:
    """Check that the answers are consistent with each other; raises AnswersError."""
    _check_unique("instances", "name", [instance.name for instance in answers.instances])
    _check_unique("instances", "address", [instance.address for instance in answers.instances])
    _check_unique("services", "name", [svc.name for svc in answers.services])
    _check_unique("services", "hosts", [host for svc in answers.services for host in svc.hosts])
    service_names = {svc.name for svc in answers.services}
    for instance in answers.instances:
        _check_instance(instance, answers, service_names)
    used_domains = {instance.domain for instance in answers.instances}
    for domain in answers.failure_domains:
        if domain not in used_domains:
            raise AnswersError("failure_domains", domain, "only domains that have an instance")
    used_services = {instance.service for instance in answers.instances}
    for svc in answers.services:
        _check_service(svc, answers, used_services)
    claims = answers.promises.keep_paid_answers_min * answers.promises.paid_calls_per_min
    if claims > MAX_CLAIMS:
        raise AnswersError(
            "promises.keep_paid_answers_min",
            answers.promises.keep_paid_answers_min,
            f"at most {MAX_CLAIMS // answers.promises.paid_calls_per_min} with "
            f"paid_calls_per_min {answers.promises.paid_calls_per_min}",
        )
    _check_control(answers)


def _check_unique(section: str, key: str, values: Sequence[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise AnswersError(f"{section}.{key}", value, "each one only once")
        seen.add(value)


def _check_instance(instance: Instance, answers: Answers, service_names: set[str]) -> None:
    path = f"instances.{instance.name}"
    if instance.domain not in answers.failure_domains:
        raise AnswersError(
            f"{path}.domain", instance.domain, f"one of {', '.join(answers.failure_domains)}"
        )
    if instance.service != NO_SERVICE and instance.service not in service_names:
        names = ", ".join(svc.name for svc in answers.services[:20])
        raise AnswersError(f"{path}.service", instance.service, f"{names} or {NO_SERVICE}")
    if instance.connections < instance.slots:
        raise AnswersError(
            f"{path}.connections", instance.connections, f"at least the {instance.slots} of slots"
        )


def _check_service(svc: ServiceAnswers, answers: Answers, used_services: set[str]) -> None:
    path = f"services.{svc.name}"
    if svc.name == NO_SERVICE:
        raise AnswersError(f"{path}.name", svc.name, "another name; none means no service")
    if svc.name not in used_services:
        raise AnswersError(f"{path}.name", svc.name, "services that run beside an instance")
    if svc.has("paid") and not svc.never.run_twice:
        raise AnswersError(f"{path}.never.run_twice", False, "yes, because an action is paid")
    if svc.never.needs_key and len(answers.failure_domains) < 3:
        raise AnswersError(
            "failure_domains",
            ", ".join(answers.failure_domains),
            f"three or more, because {svc.name} must not run twice or without a proof",
        )
    _check_uploads(svc, path)


def _check_uploads(svc: ServiceAnswers, path: str) -> None:
    if svc.has("upload") and not svc.largest_upload_mb:
        raise AnswersError(f"{path}.largest_upload_mb", 0, "1 or more, because callers upload")
    too_slow = svc.upload_takes_up_to_s * MS_PER_S > svc.never.wait_longer_than_ms
    would_be_cut = svc.has("upload") and too_slow and not svc.uploads_state_their_time
    if svc.never.cut_uploads and would_be_cut:
        # Without the header, an upload gets the default deadline of all other calls.
        raise AnswersError(
            f"{path}.uploads_state_their_time",
            False,
            "yes; or a never.wait_longer_than_ms of at least upload_takes_up_to_s "
            f"({svc.upload_takes_up_to_s * MS_PER_S})",
        )


def _check_control(answers: Answers) -> None:
    with_disk = {instance.domain for instance in answers.instances if instance.disk}
    needed = 3 if len(answers.failure_domains) >= 3 else 1
    if len(with_disk) < needed:
        raise AnswersError(
            "instances.disk",
            f"yes in {len(with_disk)} failure domains",
            f"yes for at least one instance in each of {needed} failure domains",
        )


def to_plain(answers: Answers) -> dict[str, Any]:
    """Return all answers as plain values, in the order of the questions."""

    def plain(value: Any) -> Any:
        if dataclasses.is_dataclass(value):
            return {f.name: plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
        if isinstance(value, tuple):
            return [plain(item) for item in value]
        return value

    result: dict[str, Any] = plain(answers)
    return result


def export(answers: Answers) -> str:
    """Return the answers as YAML, from which the whole deployment can be generated again."""
    return yamltext.dump(to_plain(answers))
