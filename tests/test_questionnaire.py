"""Tests of the questionnaire, the template and the interview."""

from __future__ import annotations

import contextlib
import unittest
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import interview, questionnaire, questions, yamltext
from knapweedhitch.exceptions import AnswersError, CommandError
from knapweedhitch.questionnaire import parse_answers
from tests.answers_strategy import ANSWERS, choir

BOUNDED = settings(derandomize=True, deadline=None, max_examples=150)
SCALAR = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.dates() | st.binary(max_size=3)
)
KEYS = st.sampled_from(["name", "hosts", "never", 1, None])
ANY_VALUE = st.recursive(
    SCALAR | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner),
    max_leaves=6,
)


def changed_answers(path: str, value: Any) -> str:
    """Return the choir answers with the answer at a path replaced, or removed by `...`."""
    raw = choir()
    *parents, last = [int(p) if p.isdigit() else p for p in path.split("/")]
    container: Any = raw
    for part in parents:
        container = container[part]
    if value is ...:
        del container[last]
    else:
        container[last] = value
    return yamltext.dump(raw)


class AnswersTest(unittest.TestCase):
    def test_paid_actions_need_three_domains(self) -> None:
        """Guards against claim holders that share a failure domain when there are only two."""
        raw = choir()
        raw["failure_domains"] = ["toowoomba", "warwick"]
        raw["instances"] = [
            instance for instance in raw["instances"] if instance["domain"] != "dalby"
        ]
        with self.assertRaisesRegex(AnswersError, "bookings must not run twice"):
            parse_answers(yamltext.dump(raw))

    def test_long_answers_are_cut_in_the_error(self) -> None:
        """Guards against an error message of unbounded length."""
        huge_number = changed_answers("organisation/first_port", 4_242).replace(
            "4242", "0x" + "f" * 5_000
        )
        long = [
            changed_answers("organisation/first_port", value)
            for value in ("x" * 10_000, ["x"] * 10_000)
        ]
        for text in (huge_number, *long):
            with self.assertRaises(AnswersError) as caught:
                parse_answers(text)
            self.assertLess(len(str(caught.exception)), 300)

    @BOUNDED
    @given(ANSWERS)
    def test_export_returns_the_answers(self, raw: dict[str, Any]) -> None:
        """Guards against an answer that the export loses or changes."""
        answers = parse_answers(yamltext.dump(raw))
        self.assertEqual(parse_answers(questionnaire.export(answers)), answers)

    @BOUNDED
    @given(st.text(max_size=80) | st.binary(max_size=80).map(lambda b: b.decode("latin-1")))
    def test_any_text_gives_an_answers_error(self, text: str) -> None:
        """Guards against a traceback for a file without answers."""
        with self.assertRaises(AnswersError):
            parse_answers(text)

    @BOUNDED
    @given(
        st.one_of(
            st.sampled_from(["organisation", "organisation/name", "failure_domains", "services"]),
            st.sampled_from(["services/0", "services/1/never", "services/1/actions", "instances"]),
            st.sampled_from(["services/2/hosts", "instances/3", "instances/3/address", "promises"]),
            st.sampled_from(["promises/x"]),
        ),
        ANY_VALUE,
    )
    def test_any_value_gives_answers_or_an_answers_error(self, path: str, value: Any) -> None:
        """Guards against a validation crash on an answer of an unexpected type."""
        with contextlib.suppress(AnswersError):
            parse_answers(changed_answers(path, value))


def format_reply(value: Any) -> str:
    """Return the typed reply for a value of the file."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return ", ".join(value) if isinstance(value, list) else str(value)


def section_replies(table: Any, fields: dict[str, Any]) -> list[str]:
    """Return the typed replies for one section."""
    return [format_reply(fields[q.key]) if q.key in fields else "" for q in table]


def entry_replies(entries: list[list[str]]) -> list[str]:
    """Return the replies for all entries, each followed by the reply to "is there another"."""
    more = ["yes"] * (len(entries) - 1) + ["no"]
    return [line for entry, answer in zip(entries, more, strict=True) for line in [*entry, answer]]


def all_replies(raw: dict[str, Any]) -> list[str]:
    """Return all typed replies that produce the answers of a file."""
    services = [
        section_replies(questions.SERVICE, svc)
        + entry_replies([section_replies(questions.ACTION, action) for action in svc["actions"]])
        + section_replies(questions.NEVER, svc["never"])
        for svc in raw["services"]
    ]
    return [
        *section_replies(questions.ORGANISATION, raw["organisation"]),
        format_reply(raw["failure_domains"]),
        *entry_replies(services),
        *entry_replies(
            [section_replies(questions.INSTANCE, instance) for instance in raw["instances"]]
        ),
        *section_replies(questions.PROMISES, raw["promises"]),
    ]


class InterviewTest(unittest.TestCase):
    def run_with(self, lines: list[str]) -> tuple[str, AnswersError | None, list[str]]:
        output_lines: list[str] = []
        # After the last line, input() raises EOFError.
        read_line = mock.Mock(side_effect=[*lines, EOFError])
        text, problem = interview.Interview(read_line, output_lines.append).run()
        return text, problem, output_lines

    def test_interview_gives_the_same_answers_as_the_file(self) -> None:
        """Guards against an interview that leaves out questions of the answers file."""
        text, problem, _ = self.run_with(all_replies(choir()))
        self.assertIsNone(problem)
        self.assertEqual(parse_answers(text), parse_answers(yamltext.dump(choir())))

    def test_wrong_reply_is_explained_and_asked_again(self) -> None:
        """Guards against an interview that restarts after one invalid reply."""
        text, _, output_lines = self.run_with(["Choir Robes", *all_replies(choir())])
        self.assertEqual(parse_answers(text), parse_answers(yamltext.dump(choir())))
        self.assertTrue(any("small letters" in line for line in output_lines))

    def test_contradiction_keeps_the_typed_replies(self) -> None:
        """Guards against losing all replies when the final consistency check fails."""
        raw = choir()
        raw["services"][1]["never"]["run_twice"] = False
        text, problem, _ = self.run_with(all_replies(raw))
        self.assertIn("run_twice", str(problem))
        self.assertIn("bookings", text)

    def test_interview_ends_on_closed_input_or_repeated_invalid_replies(self) -> None:
        """Guards against an endless interview on closed input or repeated invalid replies."""
        for lines, problem in (([], "input ended"), (["Choir Robes"] * 100, "5 tries")):
            with self.assertRaisesRegex(CommandError, problem):
                self.run_with(lines)

    def test_template_is_valid_and_asks_everything(self) -> None:
        """Guards against a template that fails validation or leaves out a question."""
        text = interview.template()
        parse_answers(text)
        tables = [questions.ORGANISATION, questions.SERVICE, questions.ACTION, questions.NEVER]
        for question in sum([*tables, questions.INSTANCE, questions.PROMISES], ()):
            self.assertIn(f"{question.key}: ", text)
