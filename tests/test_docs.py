"""Tests that the pages for operators match the program."""

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
        """Guards against a reason that operators see and that no page explains."""
        for refusal in vars(exceptions).values():
            if isinstance(refusal, type) and issubclass(refusal, exceptions.Refusal):
                self.assertTrue(f"`{refusal.reason}`" in OPERATORS, refusal.reason)

    def test_exit_codes_changes_and_paths_are_explained(self) -> None:
        """Guards against a script author who has to read the source."""
        codes = [value for name, value in vars(cli).items() if name.startswith("EXIT_")]
        for code in codes:
            self.assertRegex(OPERATORS, rf"(?m)^\| {code} \|")
        for kind in changes_json.KINDS:
            self.assertIn(f"`{kind}`", OPERATORS)
        for _, segments in operator_api._routes:
            self.assertIn(f"/{segments[-1]}".removesuffix("/*"), OPERATORS)

    def test_named_commands_exist(self) -> None:
        """Guards against a page that tells operators to run a command that does not exist."""
        for page in PAGES:
            text = (ROOT / page).read_text(encoding="utf-8")
            for words in re.findall(r"(?m)(?:^    |`)knapweedhitch ([a-z]+(?: [a-z]+)?)", text):
                place: object = cli.Commands()
                for part in words.split():
                    if not callable(place):
                        self.assertTrue(hasattr(place, part), f"{page}: knapweedhitch {words}")
                        place = getattr(place, part)
                self.assertTrue(callable(place), f"{page}: knapweedhitch {words}")

    def test_links_lead_somewhere(self) -> None:
        """Guards against links to pages or headings that have moved."""
        for page in PAGES:
            text = (ROOT / page).read_text(encoding="utf-8")
            for file, heading in LINK.findall(text):
                target = (ROOT / page).parent / file if file else ROOT / page
                self.assertTrue(target.exists(), f"{page}: {file}")
                if heading:
                    found = re.findall(r"(?m)^#+ (.*)$", target.read_text(encoding="utf-8"))
                    slugs = {re.sub(r"[^a-z0-9 -]", "", h.lower()).replace(" ", "-") for h in found}
                    self.assertIn(heading, slugs, page)
