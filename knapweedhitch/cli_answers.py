"""The `answers` commands: template, check, interactive, generate, apply, export, diff."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Protocol

from knapweedhitch import (
    changes_json,
    differences,
    generator,
    interview,
    plain,
    questionnaire,
    settings,
)
from knapweedhitch.exceptions import AnswersError, CommandError, SettingsError
from knapweedhitch.model import ServiceConfig
from knapweedhitch.questionnaire import Answers


class Context(Protocol):
    """Define the part of `cli.Context` that these commands use."""

    as_json: bool

    def show(self, value: Any, page: Any = None) -> None: ...

    def get(self, path: str) -> Any: ...

    def change(self, path: str, body: dict[str, Any], change_id: str = "") -> dict[str, Any]: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """Represent a parsed command that has not run yet."""

    _fn: Callable[[], None]

    def execute(self) -> None:
        """Run the command."""
        self._fn()


def command(fn: Callable[..., None]) -> Callable[..., Pending]:
    """Defer a command until the whole command line is parsed."""

    # fire calls a method before it detects a surplus argument.
    @functools.wraps(fn)
    def defer(*args: Any, **kwargs: Any) -> Pending:
        return Pending(functools.partial(fn, *args, **kwargs))

    return defer


@contextlib.contextmanager
def expect_known_format() -> Iterator[None]:
    """Raise CommandError if a response of the daemon doesn't match the format of this version."""
    try:
        yield
    except (LookupError, TypeError, AttributeError, ValueError):
        raise CommandError(
            "the daemon responds in the format of another version; add --json to see it"
        ) from None


def read_answers(path: str) -> Answers:
    """Return the validated answers of a file or of a generated folder; raises CommandError."""
    return questionnaire.parse_answers(_read_text(_answers_path(path)))


def _answers_path(path: str) -> Path:
    file_path = Path(path)
    return file_path / generator.ANSWERS_FILE if file_path.is_dir() else file_path


def _read_text(path: Path) -> str:
    try:
        return settings.read_text(str(path), questionnaire.MAX_ANSWERS_BYTES)
    except SettingsError as exc:
        raise CommandError(str(exc)) from None


def _write_text(path: Path, text: str, *, force: bool) -> None:
    if path.exists() and not force:
        raise CommandError(f"{path}: exists; add --force to replace it")
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")
    except OSError as exc:
        raise CommandError(f"{path}: cannot be written: {exc.strerror}") from None


def _running_services(context: Context) -> tuple[int, tuple[ServiceConfig, ...]]:
    page = context.get("/v1/config")
    with expect_known_format():
        services = [changes_json.parse_service(raw) for raw in page["services"].values()]
        return int(page["version"]), tuple(services)


@dataclasses.dataclass(frozen=True)
class Difference:
    """Describe how the services of answers differ from the version in force."""

    version: int
    services: tuple[ServiceConfig, ...]
    lines: list[str]

    def plain(self) -> dict[str, Any]:
        """Return the difference as JSON types."""
        return {"version": self.version, "difference": self.lines}

    def text(self) -> str:
        """Return the difference as text."""
        return "\n".join(self.lines) or "no difference"


def difference(context: Context, path: str) -> Difference:
    """Return what the answers in a file would change."""
    deployment = generator.generate(read_answers(path))
    version, running_services = _running_services(context)
    lines = differences.of_services(running_services, deployment.services)
    return Difference(version, deployment.services, lines)


class AnswerCommands:
    """Answer the questionnaire and generate settings and configuration from the answers."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def template(self, *, output: str = "", force: bool = False) -> None:
        """Print a commented example of an answers file, or write it to --output."""
        if output:
            _write_text(Path(output), interview.template(), force=bool(force))
        else:
            print(interview.template(), end="")

    @command
    def check(self, file: str) -> None:
        """Check answers; an invalid one is reported with its question and the accepted values."""
        deployment = generator.generate(read_answers(file))
        services = [svc.name for svc in deployment.services]
        control = [instance.name for instance in deployment.control]
        count = len(deployment.settings)
        facts = {"instances": count, "services": services, "control_instances": control}
        text = (
            f"ok: {count} instances, services {', '.join(services)}, "
            f"control instances {', '.join(control)}"
        )
        self._context.show(facts, lambda _: text)

    @command
    def interactive(self, file: str, *, force: bool = False) -> None:
        """Ask every question and write the answers to a file."""
        path = Path(file)
        if path.exists() and not force:
            raise CommandError(f"{path}: exists; add --force to replace it")
        text, problem = interview.Interview(input, lambda line: print(line)).run()
        _write_text(path, text, force=True)
        print(f"written to {path}")
        if problem is not None:
            raise problem

    @command
    def generate(self, file: str, folder: str, *, force: bool = False) -> None:
        """Write the settings of every instance and the services to a folder."""
        files = generator.render(generator.generate(read_answers(file)))
        target = Path(folder)
        existing = [name for name in files if (target / name).exists()]
        if existing and not force:
            raise CommandError(f"{target / existing[0]}: exists; add --force to replace it")
        for name, text in files.items():
            _write_text(target / name, text, force=True)
        self._context.show({"files": sorted(files)}, lambda _: f"{len(files)} files in {target}")

    @command
    def export(self, folder: str) -> None:
        """Print the answers of a generated folder; fails if one of its files was edited."""
        text = _read_text(_answers_path(folder))
        answers = questionnaire.parse_answers(text)
        if Path(folder).is_dir():
            for name, expected in generator.render(generator.generate(answers)).items():
                if name != generator.ANSWERS_FILE and _read_text(Path(folder) / name) != expected:
                    raise AnswersError(name, "edited by hand", "the file as it is generated")
        print(questionnaire.export(answers), end="")

    @command
    def diff(self, old: str, new: str) -> None:
        """Show the differences in settings and services between old and new answers."""
        before = generator.generate(read_answers(old))
        after = generator.generate(read_answers(new))
        lines = differences.of_services(before.services, after.services)
        old_files, new_files = generator.render(before), generator.render(after)
        for files in (old_files, new_files):
            del files[generator.ANSWERS_FILE], files[generator.SERVICES_FILE]
        lines += differences.of_files(old_files, new_files)
        text = "\n".join(lines) or "no difference"
        self._context.show({"difference": lines}, lambda _: text)

    @command
    def apply(self, file: str, *, yes: bool = False, change_id: str = "") -> None:
        """Show the difference, ask for confirmation, and apply the services of the answers."""
        delta = difference(self._context, file)
        if not self._context.as_json:
            print(delta.text())
        if not delta.lines and not change_id:
            self._context.show(delta.plain(), lambda _: f"in force is version {delta.version}")
            return
        if not yes and not self._confirmed():
            raise CommandError("nothing was changed; add --yes to apply without the question")
        op = {"kind": "apply_all", "services": plain.to_json(delta.services)}
        body = {"base_version": delta.version, "op": op}
        response = self._context.change("/v1/changes", body, change_id)
        result = {"difference": delta.lines, **response}
        self._context.show(result, lambda _: f"in force since version {response['version']}")

    @staticmethod
    def _confirmed() -> bool:
        if not sys.stdin.isatty():
            return False
        return input("Apply this difference? (yes or no) ").strip().lower() in ("yes", "y")
