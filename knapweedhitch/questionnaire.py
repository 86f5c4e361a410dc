"""The answers of a team: read, check, show again."""

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
    """Hold the answers about the organisation."""

    name: str
    region: str
    first_port: int
    settings_folder: str
    data_folder: str


@dataclasses.dataclass(frozen=True)
class Instance:
    """Hold the answers about one instance."""

    name: str
    address: str
    domain: str
    disk: bool
    service: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True)
class Action:
    """Hold one thing that callers do with a service."""

    what: str
    kind: str


@dataclasses.dataclass(frozen=True)
class Never:
    """Hold what must never happen in a service."""

    run_twice: bool
    run_without_proof: bool
    wait_longer_than_ms: int
    cut_uploads: bool
    copy_lookups: bool

    @property
    def needs_key(self) -> bool:
        """Tell whether calls that change something need an idempotency key."""
        return self.run_twice or self.run_without_proof


@dataclasses.dataclass(frozen=True)
class ServiceAnswers:
    """Hold the answers about one service."""

    name: str
    hosts: tuple[str, ...]
    largest_upload_mb: int
    upload_takes_up_to_s: int
    uploads_state_their_time: bool
    largest_paid_answer_kb: int
    actions: tuple[Action, ...]
    never: Never

    def has(self, kind: str) -> bool:
        """Tell whether callers do anything of a kind."""
        return any(action.kind == kind for action in self.actions)


@dataclasses.dataclass(frozen=True)
class Promises:
    """Hold what the organisation promises its callers and operators."""

    keep_paid_answers_min: int
    paid_calls_per_min: int
    domains_out_within_s: int


@dataclasses.dataclass(frozen=True)
class Answers:
    """Hold all answers of one organisation."""

    organisation: Organisation
    failure_domains: tuple[str, ...]
    services: tuple[ServiceAnswers, ...]
    instances: tuple[Instance, ...]
    promises: Promises


def _shown(answer: Any) -> Any:
    """Return a simple answer as it is, and any other one as text that fits an error line."""
    if isinstance(answer, (bool, float)) or answer is None:
        return answer
    if isinstance(answer, int) and abs(answer) < 1 << 64:
        return answer
    if isinstance(answer, str) and len(answer) <= yamltext.SHOWN_CHARS:
        return answer
    return yamltext.short_repr(answer)


def parse_value(question: Question, raw: Any, place: str) -> Any:
    """Return the accepted answer of one question; raises AnswersError."""
    try:
        return question.parse(raw)
    except (ValueError, TypeError):
        raise AnswersError(place, _shown(raw), question.accepted) from None


def _mapping(raw: Any, keys: Iterable[str], place: str) -> dict[str, Any]:
    known = tuple(keys)
    accepted = f"a mapping of {', '.join(known)}"
    if not isinstance(raw, dict):
        raise AnswersError(place, _shown(raw), accepted)
    for key in raw:
        if key not in known:
            raise AnswersError(place, _shown(key), accepted)
    return raw


def _fields(table: Sequence[Question], raw: dict[str, Any], place: str) -> dict[str, Any]:
    found = {}
    for question in table:
        answer = raw.get(question.key)
        if answer is None and not question.required:
            found[question.key] = question.default
        else:
            found[question.key] = parse_value(question, answer, f"{place}.{question.key}")
    return found


def _section(table: Sequence[Question], raw: Any, place: str) -> dict[str, Any]:
    return _fields(table, _mapping(raw, (q.key for q in table), place), place)


def _list(raw: Any, most: int, place: str) -> list[Any]:
    if not isinstance(raw, list) or not 1 <= len(raw) <= most:
        raise AnswersError(place, _shown(raw), f"a list of 1 to {most} entries")
    return raw


def _entry_place(section: str, raw: Any, index: int) -> str:
    name = raw.get("name") if isinstance(raw, dict) else None
    good = isinstance(name, str) and questions.NAME.fullmatch(name)
    return f"{section}.{name}" if good else f"{section}[{index}]"


def _service(raw: Any, index: int) -> ServiceAnswers:
    place = _entry_place("services", raw, index)
    keys = [question.key for question in questions.SERVICE]
    fields = _mapping(raw, [*keys, "actions", "never"], place)
    actions = tuple(
        Action(**_section(questions.ACTION, one, f"{place}.actions[{i}]"))
        for i, one in enumerate(_list(fields.get("actions"), MAX_ACTIONS, f"{place}.actions"))
    )
    never = fields.get("never")
    never_fields = _section(questions.NEVER, {} if never is None else never, f"{place}.never")
    return ServiceAnswers(
        **_fields(questions.SERVICE, fields, place), actions=actions, never=Never(**never_fields)
    )


def _instance(raw: Any, index: int) -> Instance:
    place = _entry_place("instances", raw, index)
    return Instance(**_section(questions.INSTANCE, raw, place))


def parse_answers(text: str) -> Answers:
    """Return the checked answers of a YAML text; raises AnswersError that names the question."""
    if len(text) > MAX_ANSWERS_BYTES:
        raise AnswersError("answers", f"{len(text)} bytes", f"at most {MAX_ANSWERS_BYTES} bytes")
    try:
        raw = yamltext.load(text)
    except ValueError as exc:
        raise AnswersError("answers", _shown(text), f"valid YAML ({exc})") from None
    sections = [field.name for field in dataclasses.fields(Answers)]
    raw = _mapping(raw, sections, "answers")
    promises = raw.get("promises")
    answers = Answers(
        organisation=Organisation(
            **_section(questions.ORGANISATION, raw.get("organisation"), "organisation")
        ),
        failure_domains=parse_value(
            questions.DOMAINS, raw.get("failure_domains"), "failure_domains"
        ),
        services=tuple(
            _service(one, i)
            for i, one in enumerate(_list(raw.get("services"), MAX_SERVICES, "services"))
        ),
        instances=tuple(
            _instance(one, i)
            for i, one in enumerate(_list(raw.get("instances"), MAX_INSTANCES, "instances"))
        ),
        promises=Promises(
            **_section(questions.PROMISES, {} if promises is None else promises, "promises")
        ),
    )
    check(answers)
    return answers


def check(answers: Answers) -> None:
    """Check that the answers agree with each other; raises AnswersError."""
    _check_unique("instances", "name", [one.name for one in answers.instances])
    _check_unique("instances", "address", [one.address for one in answers.instances])
    _check_unique("services", "name", [svc.name for svc in answers.services])
    _check_unique("services", "hosts", [host for svc in answers.services for host in svc.hosts])
    known = {svc.name for svc in answers.services}
    for one in answers.instances:
        _check_instance(one, answers, known)
    used_domains = {one.domain for one in answers.instances}
    for domain in answers.failure_domains:
        if domain not in used_domains:
            raise AnswersError("failure_domains", domain, "only domains that have an instance")
    used_services = {one.service for one in answers.instances}
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


def _check_instance(one: Instance, answers: Answers, known: set[str]) -> None:
    place = f"instances.{one.name}"
    if one.domain not in answers.failure_domains:
        raise AnswersError(
            f"{place}.domain", one.domain, f"one of {', '.join(answers.failure_domains)}"
        )
    if one.service != NO_SERVICE and one.service not in known:
        some = ", ".join(svc.name for svc in answers.services[:20])
        raise AnswersError(f"{place}.service", one.service, f"{some} or {NO_SERVICE}")
    if one.connections < one.slots:
        raise AnswersError(
            f"{place}.connections", one.connections, f"at least the {one.slots} of slots"
        )


def _check_service(svc: ServiceAnswers, answers: Answers, used: set[str]) -> None:
    place = f"services.{svc.name}"
    if svc.name == NO_SERVICE:
        raise AnswersError(f"{place}.name", svc.name, "another name; none means no service")
    if svc.name not in used:
        raise AnswersError(f"{place}.name", svc.name, "services that run beside an instance")
    if svc.has("paid") and not svc.never.run_twice:
        raise AnswersError(f"{place}.never.run_twice", False, "yes, because an action is paid")
    if svc.never.needs_key and len(answers.failure_domains) < 3:
        raise AnswersError(
            "failure_domains",
            ", ".join(answers.failure_domains),
            f"three or more, because {svc.name} must not run twice or without a proof",
        )
    _check_uploads(svc, place)


def _check_uploads(svc: ServiceAnswers, place: str) -> None:
    if svc.has("upload") and not svc.largest_upload_mb:
        raise AnswersError(f"{place}.largest_upload_mb", 0, "1 or more, because callers upload")
    too_slow = svc.upload_takes_up_to_s * MS_PER_S > svc.never.wait_longer_than_ms
    would_be_cut = svc.has("upload") and too_slow and not svc.uploads_state_their_time
    if svc.never.cut_uploads and would_be_cut:
        # Without the header an upload gets the short time of all other calls.
        raise AnswersError(
            f"{place}.uploads_state_their_time",
            False,
            "yes; or a never.wait_longer_than_ms of at least upload_takes_up_to_s "
            f"({svc.upload_takes_up_to_s * MS_PER_S})",
        )


def _check_control(answers: Answers) -> None:
    with_disk = {one.domain for one in answers.instances if one.disk}
    needed = 3 if len(answers.failure_domains) >= 3 else 1
    if len(with_disk) < needed:
        raise AnswersError(
            "instances.disk",
            f"yes in {len(with_disk)} failure domains",
            f"yes for at least one instance in each of {needed} failure domains",
        )


def to_plain(answers: Answers) -> dict[str, Any]:
    """Return the answers as plain values, all of them, in the order of the questions."""

    def plain(value: Any) -> Any:
        if dataclasses.is_dataclass(value):
            return {f.name: plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
        if isinstance(value, tuple):
            return [plain(one) for one in value]
        return value

    result: dict[str, Any] = plain(answers)
    return result


def export(answers: Answers) -> str:
    """Return the answers as YAML; nothing else is needed to leave or to start again."""
    return yamltext.dump(to_plain(answers))
