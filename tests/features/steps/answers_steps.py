"""Steps for answers.feature."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from knapweedhitch import generator, plain, questionnaire, yamltext
from knapweedhitch.exceptions import AnswersError
from tests.answers_strategy import example


def set_value(raw: Any, path: str, value: Any) -> None:
    """Set the value at a path of keys and indexes."""
    *parents, last = [int(part) if part.isdigit() else part for part in path.split("/")]
    for part in parents:
        raw = raw.setdefault(part, {}) if isinstance(raw, dict) else raw[part]
    raw[last] = value


@given('answers of the "{name}" example')
def _example(context: Any, name: str) -> None:
    context.answers_raw = example(name)


@when('answers have {value} at "{path}"')
def _change(context: Any, value: str, path: str) -> None:
    set_value(context.answers_raw, path, yamltext.load(value))


def _deployment(context: Any) -> generator.Deployment:
    return generator.generate(questionnaire.parse_answers(yamltext.dump(context.answers_raw)))


@then('answers are refused at "{question}" and would accept "{accepted}"')
def _refused(context: Any, question: str, accepted: str) -> None:
    try:
        _deployment(context)
    except AnswersError as exc:
        assert exc.question.startswith(question), exc.question
        assert accepted in exc.accepted, exc.accepted
        assert "\n" not in str(exc), str(exc)
    else:
        raise AssertionError("the answers are accepted")


@then('answers give the service "{name}" the {field} {result}')
def _service(context: Any, name: str, field: str, result: str) -> None:
    services = {svc.name: svc for svc in _deployment(context).services}
    actual = plain.to_json(services[name])[field]
    assert actual == yamltext.load(result), actual


@then("answers give every instance the setting {section}.{key} {result}")
def _setting(context: Any, section: str, key: str, result: str) -> None:
    for settings in _deployment(context).settings.values():
        assert settings[section][key] == int(result), settings[section][key]
