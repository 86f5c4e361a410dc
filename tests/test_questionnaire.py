"""Tests of the questionnaire, its template and its interview."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import interview, questionnaire, questions, yamltext
from knapweedhitch.exceptions import AnswersError, CommandError
from knapweedhitch.questionnaire import parse_answers
from tests.answers_strategy import ANSWERS, choir

BOUNDED = settings(derandomize=True, deadline=None, max_examples=150)


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
    def test_wrong_answers_name_question_answer_and_accepted(self) -> None:
        """Guards against an error that does not tell a new team what to write instead."""
        cases: list[tuple[str, Any, str, str]] = [
            ("organisation/name", "Choir Robes", "organisation.name", "small letters"),
            ("organisation/name", ..., "organisation.name", "a name"),
            ("organisation/first_port", 80, "organisation.first_port", "1024 to 65532"),
            ("organisation/colour", "red", "organisation", "a mapping of name"),
            ("failure_domains", [], "failure_domains", "a list of 1 to 20"),
            ("failure_domains", ["dalby", "dalby"], "failure_domains", "different names"),
            ("services", {}, "services", "a list of 1 to 2200"),
            ("services/0/hosts", "robes.choir.example", "services.robes.hosts", "a list"),
            ("services/0/hosts", ["Robes.example"], "services.robes.hosts", "small letters"),
            ("services/0/name", 7, "services[0].name", "a name"),
            ("services/0/actions/0/kind", "read", "services.robes.actions[0].kind", "lookup"),
            ("services/0/never/wait_longer_than_ms", "2 s", "wait_longer_than_ms", "100 to 600000"),
            ("services/0/never/run_twice", "maybe", "services.robes.never.run_twice", "yes or no"),
            ("instances/0/address", "dalby-1", "toowoomba-robes.address", "an IP address"),
            ("instances/0/address", "0.0.0.0", "toowoomba-robes.address", "an IP address"),
            ("instances/0/slots", True, "instances.toowoomba-robes.slots", "1 to 10000"),
            ("promises/domains_out_within_s", 1, "domains_out_within_s", "2 to 10"),
        ]
        self.refused(cases)

    def test_answers_that_contradict_each_other_are_refused(self) -> None:
        """Guards against a configuration that breaks one answer to keep another."""
        cases: list[tuple[str, Any, str, str]] = [
            ("instances/1/name", "toowoomba-robes", "instances.name", "only once"),
            ("instances/1/address", "10.20.1.11", "instances.address", "only once"),
            ("services/1/hosts", ["robes.choir.example"], "services.hosts", "only once"),
            ("instances/0/domain", "roma", "toowoomba-robes.domain", "one of toowoomba"),
            ("instances/0/service", "robe", "toowoomba-robes.service", "robes"),
            ("instances/0/connections", 8, "toowoomba-robes.connections", "at least the 9"),
            ("failure_domains", ["toowoomba", "warwick", "dalby", "roma"], "failure_domains", "an"),
            ("services/1/never/run_twice", False, "bookings.never.run_twice", "because"),
            ("services/2/largest_upload_mb", 0, "wardrobe.largest_upload_mb", "1 or more"),
            ("services/2/uploads_state_their_time", False, "uploads_state_their_time", "yes; or"),
            ("promises/keep_paid_answers_min", 1_440, "keep_paid_answers_min", "with"),
            ("instances/2/disk", False, "instances.disk", "3 failure domains"),
        ]
        raw = choir()
        raw["promises"]["paid_calls_per_min"] = 1_000
        self.refused(cases[:-2] + cases[-1:])
        raw["promises"]["keep_paid_answers_min"] = 1_440
        with self.assertRaisesRegex(AnswersError, "keep_paid_answers_min.*at most 1000"):
            parse_answers(yamltext.dump(raw))

    def refused(self, cases: list[tuple[str, Any, str, str]]) -> None:
        for path, value, question, accepted in cases:
            with self.subTest(path=path), self.assertRaises(AnswersError) as caught:
                parse_answers(changed(path, value))
            self.assertIn(question, caught.exception.question)
            self.assertIn(accepted, caught.exception.accepted)
            self.assertNotIn("\n", str(caught.exception))

    def test_paid_actions_need_three_domains(self) -> None:
        """Guards against claims whose three holders share a failure domain."""
        raw = choir()
        raw["failure_domains"] = ["toowoomba", "warwick"]
        raw["instances"] = [one for one in raw["instances"] if one["domain"] != "dalby"]
        with self.assertRaisesRegex(AnswersError, "bookings must not run twice"):
            parse_answers(yamltext.dump(raw))

    def test_long_answers_are_cut_in_the_error(self) -> None:
        """Guards against an error line that fills the screen."""
        for value in ("x" * 10_000, ["x"] * 10_000, 10**4_000):
            with self.assertRaises(AnswersError) as caught:
                parse_answers(changed("organisation/first_port", value))
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
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers()
            | st.floats()
            | st.text(max_size=5)
            | st.dates()
            | st.binary(max_size=3),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(["name", "hosts", "never", 1, None]), inner),
            max_leaves=6,
        ),
    )
    def test_any_value_gives_answers_or_an_answers_error(self, path: str, value: Any) -> None:
        """Guards against an answer of another type that breaks the check."""
        try:
            parse_answers(changed(path, value))
        except AnswersError:
            pass


class InterviewTest(unittest.TestCase):
    @staticmethod
    def replies(raw: dict[str, Any]) -> list[str]:
        """Return what a person types to give the answers."""

        def typed(value: Any) -> str:
            if isinstance(value, bool):
                return "yes" if value else "no"
            return ", ".join(value) if isinstance(value, list) else str(value)

        def section(table: Any, fields: dict[str, Any]) -> list[str]:
            return [typed(fields[q.key]) if q.key in fields else "" for q in table]

        lines = section(questions.ORGANISATION, raw["organisation"])
        lines.append(typed(raw["failure_domains"]))
        for i, svc in enumerate(raw["services"]):
            lines += section(questions.SERVICE, svc)
            for j, action in enumerate(svc["actions"]):
                lines += section(questions.ACTION, action)
                lines.append("yes" if j + 1 < len(svc["actions"]) else "no")
            lines += section(questions.NEVER, svc["never"])
            lines.append("yes" if i + 1 < len(raw["services"]) else "no")
        for i, one in enumerate(raw["instances"]):
            lines += section(questions.INSTANCE, one)
            lines.append("yes" if i + 1 < len(raw["instances"]) else "no")
        return lines + section(questions.PROMISES, raw["promises"])

    def run_with(self, lines: list[str]) -> tuple[str, AnswersError | None, list[str]]:
        told: list[str] = []
        left = iter(lines)

        def ask(_: str) -> str:
            try:
                return next(left)
            except StopIteration:
                raise EOFError from None

        text, problem = interview.Interview(ask, told.append).run()
        return text, problem, told

    def test_interview_gives_the_same_answers_as_the_file(self) -> None:
        """Guards against an interview that asks less than the file can say."""
        text, problem, _ = self.run_with(self.replies(choir()))
        self.assertIsNone(problem)
        self.assertEqual(parse_answers(text), parse_answers(yamltext.dump(choir())))

    def test_wrong_reply_is_explained_and_asked_again(self) -> None:
        """Guards against an interview that starts over after one mistake."""
        text, _, told = self.run_with(["Choir Robes", *self.replies(choir())])
        self.assertEqual(parse_answers(text), parse_answers(yamltext.dump(choir())))
        self.assertTrue(any("small letters" in line for line in told))

    def test_contradiction_keeps_what_was_typed(self) -> None:
        """Guards against a long interview lost at its last check."""
        raw = choir()
        raw["services"][1]["never"]["run_twice"] = False
        text, problem, _ = self.run_with(self.replies(raw))
        self.assertIn("run_twice", str(problem))
        self.assertIn("bookings", text)

    def test_interview_ends(self) -> None:
        """Guards against an interview that asks a closed input or a script for ever."""
        for lines in ([], ["Choir Robes"] * 100):
            with self.assertRaises(CommandError):
                self.run_with(lines)

    def test_template_is_valid_and_asks_everything(self) -> None:
        """Guards against a template that its own check refuses, or that hides a question."""
        text = interview.template()
        parse_answers(text)
        for table in (
            questions.ORGANISATION,
            questions.SERVICE,
            questions.ACTION,
            questions.NEVER,
            questions.INSTANCE,
            questions.PROMISES,
        ):
            for question in table:
                self.assertIn(f"{question.key}: ", text)
