"""Tests that the documentation for operators matches the code."""

from __future__ import annotations

import re
import unittest

from knapweedhitch import changes_json, cli, exceptions, operator_api
from scripts.harness import ROOT

PAGES = ("README.md", "docs/index.md", "docs/operators.md", "docs/GLOSSARY.md")
OPERATORS = (ROOT / "docs/operators.md").read_text(encoding="utf-8")
LINK = re.compile(r"\]\(([^)#]*)(?:#([^)]*))?\)")


class DocsTest(unittest.TestCase):
    def test_every_refusal_is_explained(self) -> None:
        """Guards against a refusal reason that the documentation for operators doesn't explain."""
        for refusal in vars(exceptions).values():
            if isinstance(refusal, type) and issubclass(refusal, exceptions.Refusal):
                self.assertTrue(f"`{refusal.reason}`" in OPERATORS, refusal.reason)

    def test_exit_codes_changes_and_paths_are_explained(self) -> None:
        """Guards against undocumented exit codes, kinds of changes and paths."""
        codes = [value for name, value in vars(cli).items() if name.startswith("EXIT_")]
        for code in codes:
            self.assertRegex(OPERATORS, rf"(?m)^\| {code} \|")
        for kind in changes_json.KINDS:
            self.assertIn(f"`{kind}`", OPERATORS)
        for _, segments in operator_api._routes:
            self.assertIn(f"/{segments[-1]}".removesuffix("/*"), OPERATORS)

    def test_named_commands_exist(self) -> None:
        """Guards against a documented command that doesn't exist."""
        for page in PAGES:
            text = (ROOT / page).read_text(encoding="utf-8")
            for words in re.findall(r"(?m)(?:^    |`)knapweedhitch ([a-z]+(?: [a-z]+)?)", text):
                command: object = cli.Commands()
                for part in words.split():
                    if not callable(command):
                        self.assertTrue(hasattr(command, part), f"{page}: knapweedhitch {words}")
                        command = getattr(command, part)
                self.assertTrue(callable(command), f"{page}: knapweedhitch {words}")

    def test_links_point_to_existing_pages_and_headings(self) -> None:
        """Guards against links to missing pages or headings."""
        for page in PAGES:
            text = (ROOT / page).read_text(encoding="utf-8")
            for file, heading in LINK.findall(text):
                target = (ROOT / page).parent / file if file else ROOT / page
                self.assertTrue(target.exists(), f"{page}: {file}")
                if heading:
                    headings = re.findall(r"(?m)^#+ (.*)$", target.read_text(encoding="utf-8"))
                    slugs = {
                        re.sub(r"[^a-z0-9 -]", "", h.lower()).replace(" ", "-") for h in headings
                    }
                    self.assertIn(heading, slugs, page)
