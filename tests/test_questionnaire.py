"""Tests of the questionnaire, its template and its interview."""

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


def changed(path: str, value: Any) -> str:
    """Return the choir answers with one answer replaced; a value of ... removes it."""
    raw = choir()
    *parents, last = [int(p) if p.isdigit() else p for p in path.split("/")]
    place: Any = raw
    for part in parents:
        place = place[part]
    if value is ...:
        del place[last]
    else:
        place[last] = value
    return yamltext.dump(raw)


class AnswersTest(unittest.TestCase):
    def test_paid_actions_need_three_domains(self) -> None:
        """Guards against claims whose three holders share a failure domain."""
        raw = choir()
        raw["failure_domains"] = ["toowoomba", "warwick"]
        raw["instances"] = [one for one in raw["instances"] if one["domain"] != "dalby"]
        with self.assertRaisesRegex(AnswersError, "bookings must not run twice"):
            parse_answers(yamltext.dump(raw))

    def test_long_answers_are_cut_in_the_error(self) -> None:
        """Guards against an error line that fills the screen."""
        huge = changed("organisation/first_port", 4_242).replace("4242", "0x" + "f" * 5_000)
        long = [changed("organisation/first_port", one) for one in ("x" * 10_000, ["x"] * 10_000)]
        for text in (huge, *long):
            with self.assertRaises(AnswersError) as caught:
                parse_answers(text)
            self.assertLess(len(str(caught.exception)), 300)

    @BOUNDED
    @given(ANSWERS)
    def test_export_returns_the_answers(self, raw: dict[str, Any]) -> None:
        """Guards against an answer that is lost or changed on the way out."""
        answers = parse_answers(yamltext.dump(raw))
        self.assertEqual(parse_answers(questionnaire.export(answers)), answers)

    @BOUNDED
    @given(st.text(max_size=80) | st.binary(max_size=80).map(lambda b: b.decode("latin-1")))
    def test_any_text_gives_an_answers_error(self, text: str) -> None:
        """Guards against a traceback for a file that holds no answers."""
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
        """Guards against an answer of another type that breaks the check."""
        with contextlib.suppress(AnswersError):
            parse_answers(changed(path, value))


def typed(value: Any) -> str:
    """Return what a person types for a value of the file."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return ", ".join(value) if isinstance(value, list) else str(value)


def section(table: Any, fields: dict[str, Any]) -> list[str]:
    """Return what a person types for one section."""
    return [typed(fields[q.key]) if q.key in fields else "" for q in table]


def repeated(entries: list[list[str]]) -> list[str]:
    """Return entries with the answer to "is there another" after each."""
    more = ["yes"] * (len(entries) - 1) + ["no"]
    return [line for entry, answer in zip(entries, more, strict=True) for line in [*entry, answer]]


def replies(raw: dict[str, Any]) -> list[str]:
    """Return everything that a person types to give the answers of a file."""
    services = [
        section(questions.SERVICE, svc)
        + repeated([section(questions.ACTION, one) for one in svc["actions"]])
        + section(questions.NEVER, svc["never"])
        for svc in raw["services"]
    ]
    return [
        *section(questions.ORGANISATION, raw["organisation"]),
        typed(raw["failure_domains"]),
        *repeated(services),
        *repeated([section(questions.INSTANCE, one) for one in raw["instances"]]),
        *section(questions.PROMISES, raw["promises"]),
    ]


class InterviewTest(unittest.TestCase):
    def run_with(self, lines: list[str]) -> tuple[str, AnswersError | None, list[str]]:
        told: list[str] = []
        # After the last line, input() raises EOFError.
        ask = mock.Mock(side_effect=[*lines, EOFError])
        text, problem = interview.Interview(ask, told.append).run()
        return text, problem, told

    def test_interview_gives_the_same_answers_as_the_file(self) -> None:
        """Guards against an interview that asks less than the file can say."""
        text, problem, _ = self.run_with(replies(choir()))
        self.assertIsNone(problem)
        self.assertEqual(parse_answers(text), parse_answers(yamltext.dump(choir())))

    def test_wrong_reply_is_explained_and_asked_again(self) -> None:
        """Guards against an interview that starts over after one mistake."""
        text, _, told = self.run_with(["Choir Robes", *replies(choir())])
        self.assertEqual(parse_answers(text), parse_answers(yamltext.dump(choir())))
        self.assertTrue(any("small letters" in line for line in told))

    def test_contradiction_keeps_what_was_typed(self) -> None:
        """Guards against a long interview lost at its last check."""
        raw = choir()
        raw["services"][1]["never"]["run_twice"] = False
        text, problem, _ = self.run_with(replies(raw))
        self.assertIn("run_twice", str(problem))
        self.assertIn("bookings", text)

    def test_interview_ends(self) -> None:
        """Guards against an interview that asks a closed input or a script for ever."""
        for lines, problem in (([], "input ended"), (["Choir Robes"] * 100, "5 tries")):
            with self.assertRaisesRegex(CommandError, problem):
                self.run_with(lines)

    def test_template_is_valid_and_asks_everything(self) -> None:
        """Guards against a template that its own check refuses, or that hides a question."""
        text = interview.template()
        parse_answers(text)
        tables = [questions.ORGANISATION, questions.SERVICE, questions.ACTION, questions.NEVER]
        for question in sum([*tables, questions.INSTANCE, questions.PROMISES], ()):
            self.assertIn(f"{question.key}: ", text)
