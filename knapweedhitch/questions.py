"""The questions of the questionnaire, each with its text, parser, example and default."""

from __future__ import annotations

import dataclasses
import ipaddress
import re
from collections.abc import Callable
from typing import Any

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,40}[a-z0-9])?")
HOST = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
FOLDER = re.compile(r"/[A-Za-z0-9._/-]{1,200}")
MAX_LINE_CHARS = 200
NO_SERVICE = "none"
KINDS = ("lookup", "change", "paid", "upload")


class _Required:
    """Mark a question without a default."""


REQUIRED = _Required()


@dataclasses.dataclass(frozen=True)
class Question:
    """Describe one question; `parse` returns the parsed value or raises ValueError."""

    key: str
    text: str
    accepted: str
    parse: Callable[[Any], Any]
    example: Any
    default: Any = REQUIRED

    @property
    def required(self) -> bool:
        """Return whether the question needs an answer."""
        return self.default is REQUIRED


def pattern_parser(pattern: re.Pattern[str]) -> Callable[[Any], str]:
    """Return a parser of strings that match the whole pattern."""

    def parse(raw: Any) -> str:
        if not isinstance(raw, str) or not pattern.fullmatch(raw):
            raise ValueError
        return raw

    return parse


def integer_parser(low: int, high: int) -> Callable[[Any], int]:
    """Return a parser of integers within inclusive bounds."""

    def parse(raw: Any) -> int:
        if type(raw) is not int or not low <= raw <= high:
            raise ValueError
        return raw

    return parse


def parse_yes_no(raw: Any) -> bool:
    """Parse yes or no, which YAML loads as a boolean; raises ValueError."""
    if type(raw) is not bool:
        raise ValueError
    return raw


def parse_line(raw: Any) -> str:
    """Parse one line of text; raises ValueError."""
    if not isinstance(raw, str) or not raw.strip() or len(raw) > MAX_LINE_CHARS:
        raise ValueError
    if not raw.isprintable():
        raise ValueError
    return raw


def parse_ip_address(raw: Any) -> str:
    """Parse an IP address and return its canonical form; raises ValueError."""
    if not isinstance(raw, str):
        raise ValueError
    address = ipaddress.ip_address(raw)
    if address.is_unspecified or address.is_multicast or "%" in raw:
        raise ValueError
    return str(address)


def parse_kind(raw: Any) -> str:
    """Parse the kind of an action; raises ValueError."""
    if raw not in KINDS:
        raise ValueError
    return str(raw)


def name_list_parser(pattern: re.Pattern[str], max_length: int) -> Callable[[Any], tuple[str, ...]]:
    """Return a parser of lists of distinct names."""
    parse_name = pattern_parser(pattern)

    def parse(raw: Any) -> tuple[str, ...]:
        if not isinstance(raw, list) or not 1 <= len(raw) <= max_length:
            raise ValueError
        parsed_names = tuple(parse_name(item) for item in raw)
        if len(set(parsed_names)) != len(parsed_names):
            raise ValueError
        return parsed_names

    return parse


_NAME_RULE = "a name of small letters, digits and hyphens, up to 42 characters"
_YES_NO_RULE = "yes or no"

ORGANISATION = (
    Question(
        "name", "What is the organisation called?", _NAME_RULE, pattern_parser(NAME), "hill-choirs"
    ),
    Question(
        "region", "In which region do its instances run?", _NAME_RULE, pattern_parser(NAME), "north"
    ),
    Question(
        "first_port",
        "Which four ports in a row may the daemon use (for callers, other instances, the upstream "
        "beside it, operators)? Give the first one.",
        "a whole number from 1024 to 65532",
        integer_parser(1_024, 65_532),
        7_000,
        7_000,
    ),
    Question(
        "settings_folder",
        "In which folder do the settings and the two secret files lie on each instance?",
        "an absolute path without spaces",
        pattern_parser(FOLDER),
        "/etc/knapweedhitch",
        "/etc/knapweedhitch",
    ),
    Question(
        "data_folder",
        "In which folder may instances with a disk keep the shared state?",
        "an absolute path without spaces",
        pattern_parser(FOLDER),
        "/var/lib/knapweedhitch",
        "/var/lib/knapweedhitch",
    ),
)

DOMAINS = Question(
    "failure_domains",
    "Which groups of instances can fail together or be taken out together (a building, a room)? "
    "Three or more let the service go on while one is out.",
    "a list of 1 to 20 different names",
    name_list_parser(NAME, 20),
    ["east", "west", "south"],
)

INSTANCE = (
    Question("name", "What is this instance called?", _NAME_RULE, pattern_parser(NAME), "east-1"),
    Question("address", "Which IP address has it?", "an IP address", parse_ip_address, "10.0.1.1"),
    Question(
        "domain",
        "In which failure domain is it?",
        "one of failure_domains",
        pattern_parser(NAME),
        "east",
    ),
    Question(
        "disk",
        "Has it a disk that keeps files over a restart? Control instances are chosen among these.",
        _YES_NO_RULE,
        parse_yes_no,
        True,
        False,
    ),
    Question(
        "service",
        "Which service runs beside it? Say none if it only takes calls or keeps state.",
        "the name of a service, or none",
        pattern_parser(NAME),
        "catalogue",
        NO_SERVICE,
    ),
    Question(
        "slots",
        "How many calls can that service work on at once here?",
        "a whole number from 1 to 10000",
        integer_parser(1, 10_000),
        8,
        1,
    ),
    Question(
        "connections",
        "How many connections does it accept at once? No fewer than slots.",
        "a whole number from 1 to 100000",
        integer_parser(1, 100_000),
        200,
        100,
    ),
)

ACTION = (
    Question("what", "What do callers do?", "a line of text", parse_line, "look up a robe"),
    Question(
        "kind",
        "Which kind is it? lookup only reads. change writes, and doing it again does no harm. "
        "paid costs money or must happen only once. upload sends a large file.",
        ", ".join(KINDS),
        parse_kind,
        "lookup",
    ),
)

SERVICE = (
    Question("name", "What is this service called?", _NAME_RULE, pattern_parser(NAME), "catalogue"),
    Question(
        "hosts",
        "Under which host names do callers reach it?",
        "a list of 1 to 20 different host names in small letters",
        name_list_parser(HOST, 20),
        ["catalogue.example"],
    ),
    Question(
        "largest_upload_mb",
        "How large can an upload be, in MB?",
        "a whole number from 0 to 100000",
        integer_parser(0, 100_000),
        20,
        0,
    ),
    Question(
        "upload_takes_up_to_s",
        "How many seconds can the slowest upload take?",
        "a whole number from 1 to 21600",
        integer_parser(1, 21_600),
        60,
        60,
    ),
    Question(
        "uploads_state_their_time",
        "Do callers that upload send the header Knapweedhitch-Deadline-Ms with the time they need?",
        _YES_NO_RULE,
        parse_yes_no,
        False,
        False,
    ),
    Question(
        "largest_paid_answer_kb",
        "How large can the answer of a paid action be, in KB? It is kept and given again to a "
        "caller who asks again.",
        "a whole number from 1 to 1024",
        integer_parser(1, 1_024),
        64,
        64,
    ),
)

NEVER = (
    Question(
        "run_twice",
        "Must an action never be run twice? Callers then send an Idempotency-Key with each call "
        "that changes something.",
        _YES_NO_RULE,
        parse_yes_no,
        False,
        False,
    ),
    Question(
        "run_without_proof",
        "Must an action never run without a proof that it ran? Callers then send a key too, and "
        "get the kept answer when they ask again.",
        _YES_NO_RULE,
        parse_yes_no,
        False,
        False,
    ),
    Question(
        "wait_longer_than_ms",
        "After how many milliseconds must a caller no longer wait?",
        "a whole number from 100 to 600000",
        integer_parser(100, 600_000),
        2_000,
        5_000,
    ),
    Question(
        "cut_uploads",
        "Must an upload in progress never be cut?",
        _YES_NO_RULE,
        parse_yes_no,
        False,
        False,
    ),
    Question(
        "copy_lookups",
        "Must a slow lookup never be sent to a second instance as well? Second copies make the "
        "slowest lookups faster and add at most 5% of calls.",
        _YES_NO_RULE,
        parse_yes_no,
        False,
        False,
    ),
)

PROMISES = (
    Question(
        "keep_paid_answers_min",
        "How many minutes can pass before a caller asks again about a paid action? Its answer is "
        "kept that long.",
        "a whole number from 5 to 1440",
        integer_parser(5, 1_440),
        60,
        60,
    ),
    Question(
        "paid_calls_per_min",
        "How many paid actions run in the busiest minute, in all services together?",
        "a whole number from 1 to 100000",
        integer_parser(1, 100_000),
        100,
        100,
    ),
    Question(
        "domains_out_within_s",
        "Within how many seconds must a failure domain that was taken out get no new work? Shorter "
        "times make a lost control majority felt sooner.",
        "a whole number from 2 to 10",
        integer_parser(2, 10),
        3,
        3,
    ),
)
