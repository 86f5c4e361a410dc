"""Fuzz tests of settings files and answers: valid files with mutated fields."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import yamltext
from knapweedhitch.exceptions import AnswersError, SettingsError
from knapweedhitch.platform.settings import parse_settings as parse_platform_settings
from knapweedhitch.questionnaire import parse_answers
from knapweedhitch.settings import Settings, parse_settings
from knapweedhitch.settingsfile import SettingsFile
from tests.answers_strategy import choir
from tests.outside_bytes import mutated
from tests.test_platform import BOOT_SETTINGS

# Reading YAML takes 10 ms for each example.
BOUNDED = settings(derandomize=True, deadline=None, max_examples=60)

SETTINGS = {
    "node": {"id": "n0", "domain": "d0"},
    "secrets": {"peer_secret_file": "/unused", "operator_token_file": "/unused"},
    "control": {"members": [{"id": "n0", "host": "127.0.0.1", "port": 7_000}], "data_dir": "/d"},
    "listen": {"peers": {"host": "127.0.0.1", "port": 7_000}},
    "routing": {"retry_ratio": 0.5, "hedge_percentile": 95.0},
    "log": {"level": "INFO"},
}
# Scalars that YAML reads in a way of its own.
ODD_YAML = (
    "1" + ":1" * 400 + ".5",
    "0x" + "f" * 5_000,
    "0001-01-01 00:00:00 +23:59",
    "9999-12-31 23:59:59 -23:59",
    "2001-99-99",
    "!!int x",
    "!!float 1:x",
    "!!binary é",
    "!!timestamp x",
    "!!set {a, b}",
    "!!omap [a: 1]",
    "!!pairs [a]",
    "!!python/object:os.system x",
    "{[1]: 2}",
    "? {a: 1}\n: 2",
    "&a [*a]",
    "<<: 1",
    "{<<: [1]}",
    "%YAML 9.9",
    '"\\ud800"',
    '"\\UFFFFFFFF"',
    "[" * 2_000,
    ".nan",
    "-.inf",
    "1_000",
    "!<tag:yaml.org,2002:null> x",
)


class FileTest(unittest.TestCase):
    def check(self, parse: Callable[[str], Any], text: str, error: type[Exception]) -> None:
        try:
            parse(text)
        except error as exc:
            self.assertLess(len(str(exc)), 2_000)

    def documents(self, raw: Any) -> st.SearchStrategy[str]:
        return mutated((raw,), ODD_YAML).map(_dump_yaml)

    def test_number_of_a_settings_file_that_overflows_is_refused(self) -> None:
        """Guards against a settings file whose reload ends the process with OverflowError."""
        # YAML 1.1 has numbers of base 60.
        text = yamltext.dump(SETTINGS).replace("0.5", "1" + ":1" * 400 + ".5")
        with self.assertRaisesRegex(SettingsError, "not valid YAML"):
            parse_settings(text)

    def test_file_that_the_parser_fails_on_is_refused(self) -> None:
        """Guards against a reload that ends the process by an error of the parser."""

        def fail(text: str, place: str) -> Settings:
            raise RuntimeError("unexpected")

        with (
            tempfile.NamedTemporaryFile("w") as file,
            self.assertRaisesRegex(SettingsError, "cannot be parsed: RuntimeError"),
        ):
            SettingsFile(file.name, fail).reload()

    @BOUNDED
    @given(st.data())
    def test_settings_are_read_or_refused(self, data: st.DataObject) -> None:
        """Guards against a settings file that ends a running process at its reload."""
        text = data.draw(self.documents(SETTINGS))
        self.check(parse_settings, text, SettingsError)
        text = data.draw(self.documents(BOOT_SETTINGS))
        self.check(lambda text: parse_platform_settings(text, "boot"), text, SettingsError)

    @BOUNDED
    @given(st.data())
    def test_answers_are_read_or_refused(self, data: st.DataObject) -> None:
        """Guards against a traceback in place of the question that has a wrong answer."""
        self.check(parse_answers, data.draw(self.documents(choir())), AnswersError)


_MARK = "placeholder-of-yaml-"


def _dump_yaml(value: Any) -> str:
    """Return a document as YAML in which some scalars are written in odd ways."""
    found: list[str] = []

    def convert(item: Any) -> Any:
        if isinstance(item, str) and item in ODD_YAML:
            found.append(item)
            return f"{_MARK}{len(found) - 1}"
        if isinstance(item, list):
            return [convert(part) for part in item]
        if isinstance(item, dict):
            return {key: convert(part) for key, part in item.items()}
        return item

    try:
        text = yamltext.dump(convert(value))
    except (RecursionError, ValueError):
        text = "[" * 2_000
    for number, odd in reversed(list(enumerate(found))):
        text = text.replace(f"{_MARK}{number}", odd)
    return text
