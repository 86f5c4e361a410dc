"""Tests of the command-line tool."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import tempfile
import time
import unittest
import uuid
from pathlib import Path
from typing import Any
from unittest import mock

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from knapweedhitch import cli
from knapweedhitch.messages import VersionReport
from tests import operator_fakes
from tests.operator_fakes import MemoryClient, World

logging.disable(logging.CRITICAL)

CHOIR = "examples/choir/answers.yaml"


def call(world: World | None, *args: str, faults: tuple[str, ...] = ()) -> tuple[int, str, str]:
    """Run a command against a world; return its exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stdout(out))
        stack.enter_context(contextlib.redirect_stderr(err))
        if world is not None:
            stack.enter_context(
                mock.patch.object(cli.Context, "client", lambda _: MemoryClient(world, *faults))
            )
            stack.enter_context(
                mock.patch.object(cli.Context, "_run", staticmethod(operator_fakes.run))
            )
        code = cli.run(args)
    return code, out.getvalue(), err.getvalue()


class CommandTest(unittest.TestCase):
    def test_pages_are_rendered_as_text_and_as_json(self) -> None:
        """Guards against a command that can't render the daemon's response."""
        pages = ["status", "services", "upstreams", "members", "config show", "config history"]
        pages += ["suspects show", "suspects find robes GET /robes/9"]
        for page in pages:
            with self.subTest(page=page):
                code, out, err = call(World(), *page.split())
                self.assertEqual((code, err), (0, ""))
                self.assertTrue(out.strip())
                code, out, _ = call(World(), *page.split(), "--json")
                self.assertIsInstance(json.loads(out), dict)
        world = World()
        call(world, "domain", "out", "east")
        self.assertRegex(
            call(world, "config", "history")[1], "2027-01-15.*ann .*domain_out\n.*-> true"
        )
        self.assertIn("lagging: n2,n3", call(World(), "status")[1])
        self.assertIn("picked", call(World(), "explain", "req-1")[1])
        self.assertEqual(call(World(), "metrics")[0], 0)

    def test_exit_codes_distinguish_the_outcomes(self) -> None:
        """Guards against a script that continues after a refusal, a lost response or a conflict."""
        last_domain_world = World()
        last_domain_world.membership.domains = {"n1": "east"}
        up_to_date_world = World()
        up_to_date_world.membership.domains = {"n1": "east"}
        up_to_date_world.control.versions = lambda: {"n1": VersionReport("n1", 7, 1.0)}  # type: ignore[method-assign]
        cases = [
            (World(), ["domain", "out", "east"], (), 0),
            (World(), ["domain", "in", "south"], (), 0),
            (World(), ["node", "drain", "n2"], ("lost",), 0),
            (last_domain_world, ["domain", "out", "east"], (), 1),
            (last_domain_world, ["domain", "out", "east", "--allow-last"], (), 0),
            (World(), ["domain", "out", "eats"], (), 1),
            (World(), ["explain", "nothing"], (), 1),
            (World(), ["domain", "out"], (), 2),
            (World(), ["domain", "out", "east", "west"], (), 2),
            (World(), ["domain", "out", "east", "--alow-last"], (), 2),
            (World(), ["domain", "off", "east"], (), 2),
            (World(), ["answers", "check", "/nowhere.yaml"], (), 2),
            (World(), ["wait", "6", "--seconds=1"], (), 3),
            (up_to_date_world, ["wait", "7"], (), 0),
            (up_to_date_world, ["wait", "8", "--seconds", "1"], (), 3),
            (World(control=False), ["wait", "7"], (), 1),
            (World(), ["wait", "soon"], (), 2),
            (World(), ["status"], ("refused",), 3),
            (World(), ["node", "drain", "n2"], ("lost", "refused", "refused"), 3),
            (World(), ["node", "drain", "n2"], ("lost",) * 3, 3),
        ]
        for world, args, faults, expected in cases:
            with self.subTest(args=args, faults=faults):
                code, _, err = call(world, *args, faults=faults)
                self.assertEqual(code, expected, err)
                self.assertEqual(len(err.splitlines()), 0 if code == 0 else 1)

    def test_verdicts_are_shown_found_and_lifted(self) -> None:
        """Guards against a verdict that operators can neither look up nor lift."""
        world = World()
        digest = world.guard.head.hex() + 16 * "0"
        out = call(world, "suspects", "show")[1]
        self.assertRegex(out, f"{digest} +robes +common-to-two +[0-9]+ +i0:1000,i1:999")
        self.assertRegex(out, "0{32} +other")
        self.assertIn(digest, call(world, "suspects", "find", "robes", "GET", "/robes/9?size=4")[1])
        self.assertNotIn(digest, call(world, "suspects", "find", "robes", "GET", "/robes/9")[1])
        self.assertEqual(call(world, "suspects", "lift", digest)[0], 0)
        self.assertEqual(world.guard.lifted, [bytes.fromhex(digest)])
        for unknown in (32 * "a", "a", digest.upper() + "0"):
            self.assertEqual(call(world, "suspects", "lift", unknown)[0], 1)

    def test_surplus_argument_changes_nothing(self) -> None:
        """Guards against `domain out a b` taking out a before it reports the usage error."""
        world = World()
        call(world, "domain", "out", "east", "west")
        call(world, "node", "drain", "n2", "--yess")
        self.assertEqual(world.control.changes, [])

    def test_numeric_names_stay_strings(self) -> None:
        """Guards against argument parsing that turns the node 0123 into the node 123."""
        for name in ("0123", "1e5", "None", "True", "1,2", "[a]", "'x'"):
            with self.subTest(name=name):
                self.assertIn(name, call(World(), "domain", "out", name)[2])

    def test_switch_does_not_consume_the_next_argument(self) -> None:
        """Guards against `--json explain X` parsing `explain` as the value of the switch."""
        self.assertEqual(call(World(), "--json", "explain", "req-1")[0], 0)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(
            st.sampled_from(["domain", "out", "in", "answers", "check", "--json", "--help", "-"])
            | st.text(max_size=6),
            max_size=4,
        )
    )
    def test_any_words_give_an_exit_code(self, words: list[str]) -> None:
        """Guards against a traceback for a mistyped command."""
        # Fire reads its own flags after a lone --; one of them starts an interpreter.
        code, _, err = call(World(), *[word for word in words if word != "--"])
        self.assertIn(code, {0, 1, 2, 3, 4})
        self.assertNotIn("Traceback", err)

    def test_key_carries_its_time(self) -> None:
        """Guards against generated keys that daemons refuse as expired or without a timestamp."""
        key = uuid.UUID(call(None, "key")[1].strip())
        self.assertEqual((key.version, key.variant), (7, uuid.RFC_4122))
        self.assertAlmostEqual(key.int >> 80, time.time() * 1_000, delta=60_000)

    def test_command_reaches_a_listener_over_tcp(self) -> None:
        """Guards against a listener that works only on memory streams, or stays open after stop."""

        async def scenario(folder: Path) -> tuple[tuple[int, str, str], list[Any]]:
            world = World()
            token = operator_fakes.write_token(folder)
            secrets = structs.replace(world.kernel.cfg.secrets, operator_token_file=str(token))
            world.kernel.cfg = structs.replace(world.kernel.cfg, secrets=secrets)
            async with trio.open_nursery() as nursery:
                world.kernel._nursery = nursery
                await world.api.start()
                connection_args = ("--address", str(world.api.address), "--token-file", str(token))
                command = ("domain", "out", "east", *connection_args)
                result = await trio.to_thread.run_sync(lambda: call(None, *command))
                await world.api.stop()
            with self.assertRaises(OSError):
                await trio.open_tcp_stream("127.0.0.1", world.api.address.port)
            return result, world.control.changes

        with tempfile.TemporaryDirectory() as folder:
            result, changes = trio.run(scenario, Path(folder))
        self.assertEqual(result, (0, "east is out since version 8\n", ""))
        self.assertEqual(len(changes), 1)

    def test_missing_and_world_readable_files_are_named(self) -> None:
        """Guards against an error that doesn't name a missing or world-readable file."""
        code, _, err = call(None, "status", "--settings", "/nowhere/s.yaml")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere/s.yaml", err)
        with tempfile.TemporaryDirectory() as folder:
            token = operator_fakes.write_token(Path(folder))
            token.chmod(0o644)
            args = ("--address", "127.0.0.1:1", "--token-file", str(token))
            code, _, err = call(None, "status", *args)
            self.assertEqual(code, 2)
            self.assertIn("chmod 600", err)
            token.chmod(0o600)
            self.assertEqual(call(None, "status", *args)[0], 3)


class AnswerCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_export_of_a_generated_folder_returns_the_answers(self) -> None:
        """Guards against an export that loses answers or ignores edits to generated files."""
        generated_folder, second_folder = str(self.folder / "a"), str(self.folder / "b")
        self.assertEqual(call(None, "answers", "generate", CHOIR, generated_folder)[0], 0)
        exported = call(None, "answers", "export", generated_folder)[1]
        (self.folder / "again.yaml").write_text(exported)
        call(None, "answers", "generate", str(self.folder / "again.yaml"), second_folder)
        self.assertEqual(
            call(None, "answers", "diff", generated_folder, second_folder)[1], "no difference\n"
        )
        edited = self.folder / "a" / "services.json"
        edited.write_text(edited.read_text() + " ")
        code, _, err = call(None, "answers", "export", generated_folder)
        self.assertEqual(code, 1)
        self.assertIn("services.json", err)

    def test_files_are_overwritten_only_with_force(self) -> None:
        """Guards against a template that overwrites an existing answers file."""
        file = str(self.folder / "answers.yaml")
        self.assertEqual(call(None, "answers", "template", "--output", file)[0], 0)
        self.assertEqual(call(None, "answers", "template", "--output", file)[0], 2)
        self.assertEqual(call(None, "answers", "template", "--output", file, "--force")[0], 0)
        self.assertEqual(call(None, "answers", "check", file)[0], 0)

    def test_changed_answer_shows_as_settings_and_service(self) -> None:
        """Guards against a diff that omits changes in settings or services."""
        changed = self.folder / "changed.yaml"
        text = Path(CHOIR).read_text()
        changed.write_text(text.replace("wait_longer_than_ms: 5000", "wait_longer_than_ms: 20000"))
        code, out, _ = call(None, "answers", "diff", CHOIR, str(changed))
        self.assertEqual(code, 0)
        self.assertIn("~ bookings.default_deadline_ms: 5000 -> 20000", out)
        self.assertIn("+  first_byte_timeout_ms: 20000", out)

    def test_apply_shows_the_difference_and_asks_before_the_change(self) -> None:
        """Guards against services applied without showing the difference and asking first."""
        world = World()
        code, out, err = call(world, "answers", "apply", CHOIR)
        self.assertEqual((code, world.control.changes), (2, []))
        self.assertIn("+ service bookings", out)
        self.assertIn("--yes", err)
        code, out, _ = call(world, "answers", "apply", CHOIR, "--yes", "--json")
        self.assertEqual((code, json.loads(out)["version"]), (0, 8))
        applied = world.control.changes[0]
        self.assertEqual((applied.base_version, len(applied.op.services)), (7, 3))  # type: ignore[arg-type]

    def test_apply_of_an_old_difference_is_a_conflict(self) -> None:
        """Guards against overwriting a concurrent change that the operator hasn't seen."""
        world = World()
        world.control.errors = [operator_fakes.VersionConflict(7, 9, "other")]
        code, _, err = call(world, "answers", "apply", CHOIR, "--yes")
        self.assertEqual((code, "current version 9" in err), (4, True))

    def test_unreadable_answers_are_named(self) -> None:
        """Guards against a traceback for a missing or binary file."""
        bad = self.folder / "bad.yaml"
        bad.write_bytes(b"\xff\xfe\x00")
        for path in (str(bad), "/nowhere/a.yaml"):
            code, _, err = call(None, "answers", "check", path)
            self.assertEqual((code, path in err), (2, True))
