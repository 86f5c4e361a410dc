"""The commented answers template, and the interview that asks the questions on a terminal."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any

from knapweedhitch import questionnaire, questions, yamltext
from knapweedhitch.exceptions import AnswersError, CommandError
from knapweedhitch.questionnaire import Answers
from knapweedhitch.questions import Question

WRAP_CHARS = 90
# Bounds the retries, so that a script that keeps sending invalid answers terminates.
MAX_ATTEMPTS = 5
LIST_KEYS = frozenset({"hosts", "failure_domains"})

ReadLine = Callable[[str], str]
WriteLine = Callable[[str], None]

INTRODUCTION = """\
# Answers to the questionnaire of knapweedhitch. Replace the examples with your own answers, then:
#   knapweedhitch answers check FILE
#   knapweedhitch answers generate FILE FOLDER
# This file is all that is kept: settings and configuration are made from it alone.
"""


def _wrap(text: str, prefix: str) -> Iterator[str]:
    line = prefix
    for word in text.split():
        if len(line) + len(word) + 1 > WRAP_CHARS and line != prefix:
            yield line
            line = prefix
        line += f" {word}"
    yield line


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(str(item) for item in value) + "]"
    return str(value)


def _comment_question(question: Question, indent: str) -> Iterator[str]:
    yield from _wrap(question.text, f"{indent}#")
    accepted = f"Accepted: {question.accepted}."
    if not question.required:
        accepted += f" Without an answer: {_format_value(question.default)}."
    yield from _wrap(accepted, f"{indent}#")
    yield f"{indent}{question.key}: {_format_value(question.example)}"


def _comment_entry(table: Sequence[Question], indent: str) -> Iterator[str]:
    """Yield the lines of one list entry, with the dash on its own line."""
    yield f"{indent}-"
    for question in table:
        yield from _comment_question(question, f"{indent}  ")


def _template_instances() -> Iterator[str]:
    yield "# Each instance, that is each machine that runs the daemon."
    yield "instances:"
    yield from _comment_entry(questions.INSTANCE, "  ")
    for i, domain in enumerate(questions.DOMAINS.example[1:], start=2):
        yield f"  - name: {domain}-1"
        yield f"    address: 10.0.{i}.1"
        yield f"    domain: {domain}"
        yield "    disk: yes"
        yield f"    service: {questions.INSTANCE[4].example}"
        yield "    slots: 8"
        yield "    connections: 200"


def template() -> str:
    """Return a commented example file, which is valid without edits."""
    lines = ["organisation:"]
    for question in questions.ORGANISATION:
        lines.extend(_comment_question(question, "  "))
    lines.extend(["", *_comment_question(questions.DOMAINS, "")])
    lines.extend(["", "# Each service, with what callers do and what must never happen."])
    lines.extend(["services:", *_comment_entry(questions.SERVICE, "  "), "    actions:"])
    lines.extend(_comment_entry(questions.ACTION, "      "))
    lines.append("    never:")
    for question in questions.NEVER:
        lines.extend(_comment_question(question, "      "))
    lines.extend(["", *_template_instances(), "", "promises:"])
    for question in questions.PROMISES:
        lines.extend(_comment_question(question, "  "))
    return INTRODUCTION + "\n".join(lines) + "\n"


class Interview:
    """Ask every question; `read_line` prompts for a reply, `write_line` prints a line."""

    def __init__(self, read_line: ReadLine, write_line: WriteLine) -> None:
        self._read_line = read_line
        self._write_line = write_line

    def run(self) -> tuple[str, AnswersError | None]:
        """Return the answers as YAML and any inconsistency among them; raises CommandError."""
        raw: dict[str, Any] = {"organisation": self._ask_section(questions.ORGANISATION)}
        raw["failure_domains"] = self._ask_question(questions.DOMAINS)
        raw["services"] = self._repeat("service", self._ask_service)
        raw["instances"] = self._repeat("instance", lambda: self._ask_section(questions.INSTANCE))
        raw["promises"] = self._ask_section(questions.PROMISES)
        text = yamltext.dump(raw)
        try:
            answers: Answers = questionnaire.parse_answers(text)
        except AnswersError as exc:
            return text, exc
        return questionnaire.export(answers), None

    def _ask_service(self) -> dict[str, Any]:
        fields = self._ask_section(questions.SERVICE)
        fields["actions"] = self._repeat("action", lambda: self._ask_section(questions.ACTION))
        self._write_line("What must never happen?")
        fields["never"] = self._ask_section(questions.NEVER)
        return fields

    def _ask_section(self, table: Sequence[Question]) -> dict[str, Any]:
        return {question.key: self._ask_question(question) for question in table}

    def _repeat(
        self, entry_kind: str, ask_entry: Callable[[], dict[str, Any]]
    ) -> list[dict[str, Any]]:
        entries: list[dict[str, Any]] = []
        while True:
            self._write_line(f"-- {entry_kind} {len(entries) + 1}")
            entries.append(ask_entry())
            if not self._ask_another(entry_kind):
                return entries

    def _ask_another(self, entry_kind: str) -> bool:
        question = Question(
            "", f"Is there another {entry_kind}?", "yes or no", questions.parse_yes_no, False
        )
        return bool(self._ask_question(question))

    def _ask_question(self, question: Question) -> Any:
        self._write_line(question.text)
        prompt = f"({question.accepted}"
        if not question.required:
            prompt += f"; empty for {_format_value(question.default)}"
        for _ in range(MAX_ATTEMPTS):
            try:
                text = self._read_line(f"{prompt}) ").strip()
            except EOFError:
                raise CommandError("the input ended before the last question") from None
            if not text and not question.required:
                return question.default
            raw = self._parse_input(question, text)
            try:
                value = questionnaire.parse_value(question, raw, question.key or "answer")
            except AnswersError as exc:
                self._write_line(str(exc))
                continue
            return list(value) if isinstance(value, tuple) else value
        raise CommandError(
            f"{question.key or 'answer'}: no accepted answer in {MAX_ATTEMPTS} tries"
        )

    @staticmethod
    def _parse_input(question: Question, text: str) -> Any:
        if question.key in LIST_KEYS:
            return [part.strip() for part in text.strip("[]").split(",") if part.strip()]
        try:
            # A name such as 007 stays a string; only input invalid as a string is parsed as YAML.
            question.parse(text)
            return text
        except (ValueError, TypeError):
            pass
        try:
            return yamltext.load(text)
        except ValueError:
            return text
