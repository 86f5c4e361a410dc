"""Strategies for bytes from outside: valid messages with a few fields mutated."""

from __future__ import annotations

import json
import math
from typing import Any

import cbor2
from hypothesis import strategies as st

Path = tuple[Any, ...]

INVALID_UTF8 = (b"\xff", b"\xc0\x80", b"\xed\xa0\x80")


def nested(depth: int, is_object: bool = False) -> Any:
    """Return a value of nested lists or objects."""
    value: Any = 0
    for _ in range(depth):
        value = {"a": value} if is_object else [value]
    return value


# Wrong types, numbers out of range, text that no later step can encode, and deep nesting.
ODD_SCALARS: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    1 << 31,
    1 << 63,
    1 << 70,
    10**400,
    -0.5,
    1e308,
    math.inf,
    -math.inf,
    math.nan,
    "",
    "x",
    "x" * 5_000,
    "\x00",
    "a\nb",
    "\ud800",
    "é" * 80,
    "::1",
    "999.1.1.1",
    "1.2.3.4.5:1",
    [],
    {},
    [None],
    {"name": None},
    {1: 2},
    nested(60),
    nested(60, is_object=True),
    nested(700),
    nested(700, is_object=True),
)
ODD_VALUES = st.sampled_from(ODD_SCALARS) | st.integers() | st.floats() | st.text(max_size=20)


def paths_of(value: Any, prefix: Path = ()) -> list[Path]:
    """Return the paths of all values in a document, except that of the document."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return []
    paths = []
    for key, item in items:
        paths += [(*prefix, key), *paths_of(item, (*prefix, key))]
    return paths


def _as_lists(value: Any) -> Any:
    if isinstance(value, (list, tuple)):
        return [_as_lists(item) for item in value]
    if isinstance(value, dict):
        return {key: _as_lists(item) for key, item in value.items()}
    return value


def _mutate(document: Any, path: Path, kind: str, value: Any) -> None:
    *parents, last = path
    container = document
    for step in parents:
        container = container[step]
    if kind == "replace":
        container[last] = value
    elif kind == "remove":
        del container[last]
    elif isinstance(container, dict):
        container["additional"] = value
    else:
        container.insert(last, value)


def _depth_and_entry(path: Path) -> tuple[int, int]:
    return len(path), path[-1] if isinstance(path[-1], int) else 0


@st.composite
def mutated(draw: st.DrawFn, documents: tuple[Any, ...], extra: tuple[Any, ...] = ()) -> Any:
    """Draw a valid document and replace, remove or add up to three of its values."""
    document = _as_lists(draw(st.sampled_from(documents)))
    values = st.sampled_from(extra) | ODD_VALUES if extra else ODD_VALUES
    n_mutations = draw(st.integers(1, 3))
    paths = paths_of(document)
    drawn = draw(st.lists(st.sampled_from(range(len(paths))), max_size=n_mutations, unique=True))
    # The longest first, and the last entries of a list first, so that no mutation changes the path
    # of another one.
    for path in sorted((paths[i] for i in drawn), key=_depth_and_entry, reverse=True):
        kind = draw(st.sampled_from(("replace", "replace", "replace", "remove", "add")))
        _mutate(document, path, kind, draw(values))
    return document


@st.composite
def damaged(draw: st.DrawFn, data: bytes) -> bytes:
    """Leave bytes as they are, mostly; else cut them, repeat them or change some of them."""
    kind = draw(st.sampled_from(("keep",) * 7 + ("cut", "repeat", "insert", "flip")))
    at = draw(st.integers(0, max(0, len(data) - 1)))
    if kind == "cut":
        return data[:at]
    if kind == "repeat":
        return data + data[at:]
    if kind == "insert":
        part = draw(st.sampled_from(INVALID_UTF8) | st.binary(min_size=1, max_size=8))
        return data[:at] + part + data[at:]
    if kind == "flip" and data:
        return data[:at] + bytes([data[at] ^ draw(st.integers(1, 255))]) + data[at + 1 :]
    return data


def _text_of(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    raise TypeError(type(value).__name__)


@st.composite
def json_bodies(draw: st.DrawFn, documents: tuple[Any, ...], extra: tuple[Any, ...] = ()) -> bytes:
    """Draw mutated documents as JSON, whose escapes may stand for lone surrogates."""
    text = json.dumps(draw(mutated(documents, extra)), default=_text_of)
    return draw(damaged(text.encode("ascii")))


# CBOR can hold values that no message has: tagged ones, references and text of other kinds.
ODD_CBOR = tuple(
    bytes.fromhex(text)
    for text in (
        "c249010000000000000000",  # Integer of more than 64 bits.
        "c25907d0" + "ff" * 2_000,  # Integer that Python refuses to format.
        "c48219ffff01",  # Decimal fraction.
        "c5821b7fffffffffffffff03",  # Bigfloat with a huge exponent.
        "d81e820100",  # Rational with the denominator 0.
        "d8236128",  # Invalid regular expression.
        "d81c81d81d00",  # List that contains itself.
        "d81d05",  # Reference to nothing.
        "c06161",  # Date that is no date.
        "c1fb7ff0000000000000",  # Time of infinity.
        "d9010281a0",  # Set of a map.
        "d90100" + "d81900",  # String reference.
        "9f" * 200 + "ff" * 200,  # Nested lists without a length.
        "81" * 2_000 + "00",  # Nested lists.
        "bf6161ff",  # Map that ends within a pair.
        "9b7fffffffffffffff",  # List of a huge length.
        "5b7fffffffffffffff",  # Bytes of a huge length.
        "7f61ff61ffff",  # Text that is not UTF-8.
        "f0f8ff",  # Undefined simple values.
        "f97e00",  # NaN.
        "d9d9f700",  # Marker of CBOR.
    )
)


class _Raw:
    """Represent encoded CBOR within a value."""

    def __init__(self, data: bytes) -> None:
        self.data = data


ODD_HOSTS = ("a\x00b", "name.example", "\x00")
RAW_CBOR = tuple(_Raw(data) for data in ODD_CBOR)
_PLACEHOLDER = b"\x00placeholder of raw bytes "


def encode_cbor(value: Any) -> bytes:
    """Encode a value in which some parts are encoded already; surrogates stay as they are."""
    found: list[bytes] = []

    def convert(item: Any) -> Any:
        if isinstance(item, _Raw):
            found.append(item.data)
            return _PLACEHOLDER + str(len(found) - 1).zfill(4).encode()
        if isinstance(item, str):
            try:
                item.encode()
            except UnicodeEncodeError:
                return convert(_Raw(b"\x63\xed\xa0\x80"))
            return item
        if isinstance(item, (list, tuple)):
            return [convert(part) for part in item]
        if isinstance(item, dict):
            return {key: convert(part) for key, part in item.items()}
        return item

    data = cbor2.dumps(convert(value))
    for index, part in enumerate(found):
        marker = _PLACEHOLDER + str(index).zfill(4).encode()
        data = data.replace(cbor2.dumps(marker), part)
    return data


@st.composite
def cbor_bodies(draw: st.DrawFn, documents: tuple[Any, ...], *, may_damage: bool = True) -> bytes:
    """Draw mutated documents as CBOR."""
    data = encode_cbor(draw(mutated(documents, (*RAW_CBOR, *ODD_HOSTS))))
    return draw(damaged(data)) if may_damage else data
