"""Tests of the mutation list and of the verdicts on mutations."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from scripts import mutations
from scripts.mutations import ROOT, Edit, Mutation

TEST = "tests.test_it.ItTest.test_value"
FILES = {
    "knapweedhitch/__init__.py": "VALUE = 1\nOTHER = 2\n",
    "tests/__init__.py": "",
    "tests/test_it.py": "import unittest\nimport knapweedhitch\n\n\n"
    "class ItTest(unittest.TestCase):\n"
    "    def test_value(self):\n        self.assertEqual(knapweedhitch.VALUE, 1)\n",
}


class MutationsTest(unittest.TestCase):
    def test_every_old_text_occurs_once(self) -> None:
        """Guards against a mutation list that is out of date with the code."""
        for mutation in mutations.load():
            with self.subTest(mutation.id):
                mutations.mutate_files(ROOT, mutation)

    def test_verdicts_distinguish_caught_surviving_and_broken_mutations(self) -> None:
        """Guards against counting a surviving or an invalid mutation as caught."""
        cases = (
            ("VALUE = 1", "VALUE = 3", TEST, "caught"),
            ("OTHER = 2", "OTHER = 3", TEST, "SURVIVED"),
            ("VALUE = 9", "VALUE = 3", TEST, "broken"),
            ("VALUE = 1", "VALUE = (", TEST, "broken"),
            ("VALUE = 1", "VALUE = missing", TEST, "broken"),
            ("VALUE = 1", "raise ImportError", TEST, "broken"),
            ("VALUE = 1", "VALUE = 3", "tests.test_missing.ItTest", "broken"),
        )
        with tempfile.TemporaryDirectory() as folder:
            tree = Path(folder).resolve()
            for name, text in FILES.items():
                (tree / name).parent.mkdir(exist_ok=True)
                (tree / name).write_text(text, encoding="utf-8")
            self.assertEqual(mutations.baseline(tree, [TEST]), "")
            for old, new, test, expected in cases:
                edit = Edit("knapweedhitch/__init__.py", old, new)
                verdict = mutations.judge(tree, Mutation("m", "P1", (edit,), test))
                self.assertEqual(verdict.result, expected, verdict.detail)
                for name, text in FILES.items():
                    self.assertEqual((tree / name).read_text(encoding="utf-8"), text)
