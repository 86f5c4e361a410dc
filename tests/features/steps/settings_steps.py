"""Steps of settings.feature."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from knapweedhitch import yamltext
from knapweedhitch.exceptions import SettingsError
from knapweedhitch.settings import parse_settings


@given("settings of a control instance")
def _base(context: Any) -> None:
    member = {"id": "n1", "host": "10.0.0.1", "port": 7001}
    context.settings_raw = {
        "node": {"id": "n1", "domain": "east"},
        "secrets": {"peer_secret_file": "/p", "operator_token_file": "/t"},
        "control": {"members": [member], "data_dir": "/d"},
    }


@when('settings have {value} at "{path}"')
def _change(context: Any, value: str, path: str) -> None:
    section, key = path.split("/")
    context.settings_raw.setdefault(section, {})[key] = yamltext.load(value)


@then('settings are refused at "{place}"')
def _refused(context: Any, place: str) -> None:
    try:
        parse_settings(yamltext.dump(context.settings_raw), "s.yaml")
    except SettingsError as exc:
        assert exc.place == f"s.yaml: {place}", exc.place
        assert "\n" not in str(exc), str(exc)
    else:
        raise AssertionError("the settings are accepted")


@then("settings are accepted")
def _accepted(context: Any) -> None:
    parse_settings(yamltext.dump(context.settings_raw), "s.yaml")
