"""The commented template of the answers, and the interview that asks for them one by one."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any

from knapweedhitch import questionnaire, questions, yamltext
from knapweedhitch.exceptions import AnswersError, CommandError
from knapweedhitch.questionnaire import Answers
from knapweedhitch.questions import Question

WRAP_CHARS = 90
# A script that feeds wrong answers must come to an end.
MAX_TRIES = 5
LIST_KEYS = frozenset({"hosts", "failure_domains"})

Ask = Callable[[str], str]
Tell = Callable[[str], None]

INTRODUCTION = """\
# Answers to the questionnaire of knapweedhitch. Replace the examples with your own answers, then:
#   knapweedhitch answers check FILE
#   knapweedhitch answers generate FILE FOLDER
# This file is all that is kept: settings and configuration are made from it alone.
"""


def _wrapped(text: str, prefix: str) -> Iterator[str]:
    line = prefix
    for word in text.split():
        if len(line) + len(word) + 1 > WRAP_CHARS and line != prefix:
            yield line
            line = prefix
        line += f" {word}"
    yield line


def _shown(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(str(one) for one in value) + "]"
    return str(value)


def _commented(question: Question, indent: str) -> Iterator[str]:
    yield from _wrapped(question.text, f"{indent}#")
    accepted = f"Accepted: {question.accepted}."
    if not question.required:
        accepted += f" Without an answer: {_shown(question.default)}."
    yield from _wrapped(accepted, f"{indent}#")
    yield f"{indent}{question.key}: {_shown(question.example)}"


def _entry(table: Sequence[Question], indent: str) -> Iterator[str]:
    """Yield the lines of one list entry; the dash stands in a line of its own."""
    yield f"{indent}-"
    for question in table:
        yield from _commented(question, f"{indent}  ")


def _template_instances() -> Iterator[str]:
    yield "# Each instance, that is each machine that runs the daemon."
    yield "instances:"
    yield from _entry(questions.INSTANCE, "  ")
    for i, domain in enumerate(questions.DOMAINS.example[1:], start=2):
        yield f"  - name: {domain}-1"
        yield f"    address: 10.0.{i}.1"
        yield f"    domain: {domain}"
        yield "    disk: yes"
        yield f"    service: {questions.INSTANCE[4].example}"
        yield "    slots: 8"
        yield "    connections: 200"


def template() -> str:
    """Return a commented file of example answers that are valid as they stand."""
    lines = ["organisation:"]
    for question in questions.ORGANISATION:
        lines.extend(_commented(question, "  "))
    lines.extend(["", *_commented(questions.DOMAINS, "")])
    lines.extend(["", "# Each service, with what callers do and what must never happen."])
    lines.extend(["services:", *_entry(questions.SERVICE, "  "), "    actions:"])
    lines.extend(_entry(questions.ACTION, "      "))
    lines.append("    never:")
    for question in questions.NEVER:
        lines.extend(_commented(question, "      "))
    lines.extend(["", *_template_instances(), "", "promises:"])
    for question in questions.PROMISES:
        lines.extend(_commented(question, "  "))
    return INTRODUCTION + "\n".join(lines) + "\n"


class Interview:
    """Ask every question on a terminal; ask and tell are the two sides of it."""

    def __init__(self, ask: Ask, tell: Tell) -> None:
        self._ask = ask
        self._tell = tell

    def run(self) -> tuple[str, AnswersError | None]:
        """Return the answers as YAML and what does not fit together; raises CommandError."""
        raw: dict[str, Any] = {"organisation": self._section(questions.ORGANISATION)}
        raw["failure_domains"] = self._question(questions.DOMAINS)
        raw["services"] = self._repeat("service", self._service)
        raw["instances"] = self._repeat("instance", lambda: self._section(questions.INSTANCE))
        raw["promises"] = self._section(questions.PROMISES)
        text = yamltext.dump(raw)
        try:
            answers: Answers = questionnaire.parse_answers(text)
        except AnswersError as exc:
            return text, exc
        return questionnaire.export(answers), None

    def _service(self) -> dict[str, Any]:
        fields = self._section(questions.SERVICE)
        fields["actions"] = self._repeat("action", lambda: self._section(questions.ACTION))
        self._tell("What must never happen?")
        fields["never"] = self._section(questions.NEVER)
        return fields

    def _section(self, table: Sequence[Question]) -> dict[str, Any]:
        return {question.key: self._question(question) for question in table}

    def _repeat(self, what: str, one: Callable[[], dict[str, Any]]) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        while True:
            self._tell(f"-- {what} {len(found) + 1}")
            found.append(one())
            if not self._another(what):
                return found

    def _another(self, what: str) -> bool:
        another = Question("", f"Is there another {what}?", "yes or no", questions.yes_no, False)
        return bool(self._question(another))

    def _question(self, question: Question) -> Any:
        self._tell(question.text)
        shown = f"({question.accepted}"
        if not question.required:
            shown += f"; empty for {_shown(question.default)}"
        for _ in range(MAX_TRIES):
            try:
                text = self._ask(f"{shown}) ").strip()
            except EOFError:
                raise CommandError("the input ended before the last question") from None
            if not text and not question.required:
                return question.default
            raw = self._scalar(question, text)
            try:
                value = questionnaire.parse_value(question, raw, question.key or "answer")
            except AnswersError as exc:
                self._tell(str(exc))
                continue
            return list(value) if isinstance(value, tuple) else value
        raise CommandError(f"{question.key or 'answer'}: no accepted answer in {MAX_TRIES} tries")

    @staticmethod
    def _scalar(question: Question, text: str) -> Any:
        if question.key in LIST_KEYS:
            return [part.strip() for part in text.strip("[]").split(",") if part.strip()]
        try:
            # A name such as 007 stays a text; only what is not accepted as text is read as YAML.
            question.parse(text)
            return text
        except (ValueError, TypeError):
            pass
        try:
            return yamltext.load(text)
        except ValueError:
            return text
