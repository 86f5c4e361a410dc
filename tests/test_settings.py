"""Tests of the settings and the YAML reader."""

from __future__ import annotations

import contextlib
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import yamltext
from knapweedhitch.exceptions import SettingsError
from knapweedhitch.settings import MAX_SETTINGS_BYTES, load_secret, load_settings, parse_settings

BOUNDED = settings(derandomize=True, deadline=None, max_examples=300)
MEMBERS = [{"id": name, "host": "10.0.0.1", "port": 7_001} for name in ("a", "b", "c", "d", "e")]
YAML_PARTS = st.one_of(
    st.sampled_from(["a", ": ", "- ", "\n", "  ", "[", "]", "{", "}", "&x ", "*x", '"', "? ", "|"]),
    st.sampled_from(["!!int ", "!!float ", "!!bool ", "!!timestamp ", "!!binary ", "<<: ", "%"]),
    st.sampled_from(["!!python/object:os.system ", "\\ud800", "_", "0x", "2001-99-99", "1:"]),
    st.sampled_from(["node", "control", "secrets", "\x00", "\ufeff", "é"]),
)
KEYS = st.sampled_from(["id", "members", "config_lease_ms", "callers", "port", 1, None])
ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=3),
    max_leaves=8,
)


def base(**sections: Any) -> dict[str, Any]:
    """Return valid settings with some sections replaced."""
    return {
        "node": {"id": "a", "domain": "east"},
        "secrets": {"peer_secret_file": "/p", "operator_token_file": "/t"},
        "control": {"members": MEMBERS[:3], "data_dir": "/d"},
        **sections,
    }


class SettingsTest(unittest.TestCase):
    def test_defaults_are_consistent(self) -> None:
        """Guards against defaults that fail the checks between sections."""
        self.assertTrue(parse_settings(yamltext.dump(base())).is_control)

    @BOUNDED
    @given(st.lists(YAML_PARTS, max_size=14).map(lambda p: "".join(p).encode()) | st.binary())
    def test_any_file_gives_settings_or_a_settings_error(self, data: bytes) -> None:
        """Guards against other exceptions, and thus tracebacks, for arbitrary file content."""
        with tempfile.NamedTemporaryFile() as file:
            file.write(data)
            file.flush()
            with self.assertRaises(SettingsError):
                load_settings(file.name)

    @BOUNDED
    @given(st.sampled_from(["node", "control", "feed", "listen", "claims", "log"]), ANY_VALUE)
    def test_any_section_gives_settings_or_a_settings_error(self, name: str, raw: Any) -> None:
        """Guards against other exceptions for values of a wrong type."""
        with contextlib.suppress(SettingsError):
            parse_settings(yamltext.dump(base(**{name: raw})))

    def test_huge_number_is_a_settings_error(self) -> None:
        """Guards against an integer too long for Python to format in the error message."""
        text = yamltext.dump(base(log={"max_lines_per_s": 4_242}))
        with self.assertRaisesRegex(SettingsError, "a very large number"):
            parse_settings(text.replace("4242", "0x" + "f" * 5_000))

    def test_oversized_file_is_refused(self) -> None:
        """Guards against exhausting memory with a large file."""
        with tempfile.NamedTemporaryFile() as file:
            file.truncate(MAX_SETTINGS_BYTES + 1)
            with self.assertRaisesRegex(SettingsError, "over"):
                load_settings(file.name)

    def test_secret_that_others_can_read_is_refused(self) -> None:
        """Guards against a peer secret or operator token that other users can read."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "secret"
            for mode, text, accepted in (
                (0o600, "x" * 16, True),
                (0o400, " " + "x" * 16 + "\n", True),
                (0o640, "x" * 16, False),
                (0o604, "x" * 16, False),
                (0o600, "x" * 15, False),
                (0o600, "x" * 4_097, False),
            ):
                path.unlink(missing_ok=True)
                path.write_text(text)
                path.chmod(mode)
                with self.subTest(mode=oct(mode), length=len(text)):
                    if accepted:
                        self.assertEqual(load_secret(str(path)), b"x" * 16)
                    else:
                        with self.assertRaises(SettingsError):
                            load_secret(str(path))
            with self.assertRaises(SettingsError):
                load_secret(folder)


class NodeIdTest(unittest.TestCase):
    def test_node_id_that_is_no_address_has_no_address(self) -> None:
        """Guards against a dial that fails by an unexpected exception since a peer named a node."""
        node = {**base()["node"], "id": "127.0.0.1", "id_is_address": True}
        cfg = parse_settings(yamltext.dump(base(node=node)))
        self.assertEqual(
            str(cfg.control_address("127.0.0.2")), f"127.0.0.2:{cfg.listen.peers.port}"
        )
        self.assertIsNone(cfg.control_address("n9"))


class YamlTest(unittest.TestCase):
    def test_aliases_are_refused(self) -> None:
        """Guards against aliases that expand a few lines until memory is exhausted."""
        rows = ["a: &a [x, x]"] + [
            f"{b}: &{b} [*{a}, *{a}]" for a, b in zip("abcd", "bcde", strict=True)
        ]
        with self.assertRaisesRegex(ValueError, "aliases are not accepted"):
            yamltext.load("\n".join(rows))

    def test_repeated_key_is_refused(self) -> None:
        """Guards against a repeated setting that silently replaces the first one."""
        for text in ("a: 1\na: 2", "x: {b: 1, b: 1}", "- {c: 1, c: 2}"):
            with self.subTest(text=text), self.assertRaisesRegex(ValueError, "occurs twice"):
                yamltext.load(text)

    def test_text_that_is_not_unicode_is_a_value_error(self) -> None:
        """Guards against a settings file that ends the process which reads it again."""
        for text in ('a: "\\ud800"', '"\\udfff": 1'):
            with self.subTest(text), self.assertRaisesRegex(ValueError, "surrogates"):
                yamltext.load(text)

    def test_deep_nesting_is_a_value_error(self) -> None:
        """Guards against a stack overflow from deeply nested brackets."""
        with self.assertRaises(ValueError):
            yamltext.load("[" * 20_000)
