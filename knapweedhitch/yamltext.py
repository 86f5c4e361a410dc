"""Loading and dumping of YAML as plain values; every parse error is raised as ValueError."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

import yaml

MAX_REPR_CHARS = 80


class _Loader(yaml.SafeLoader):
    """Refuse aliases, repeated keys and text that is not Unicode."""

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node | None:
        # Nested aliases let a short text expand without bound when it is formatted.
        if self.check_event(yaml.events.AliasEvent):
            event = self.peek_event()
            raise yaml.composer.ComposerError(
                None, None, "aliases are not accepted; write the value out", event.start_mark
            )
        return super().compose_node(parent, index)

    def construct_scalar(self, node: yaml.ScalarNode | yaml.MappingNode) -> Any:
        value = super().construct_scalar(node)
        # An escape can stand for half of a surrogate pair, which no later step can encode.
        str(value).encode("utf-8")
        return value

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Hashable, Any]:
        mapping = super().construct_mapping(node, deep=deep)
        # A duplicate key would silently override an earlier answer or setting.
        if len(node.value) != len(mapping):
            raise yaml.constructor.ConstructorError(
                None, None, "a key occurs twice in a mapping", node.start_mark
            )
        return mapping


class _Dumper(yaml.SafeDumper):
    """Write repeated objects in full instead of as aliases."""

    def ignore_aliases(self, data: Any) -> bool:
        return True


def short_repr(value: Any) -> str:
    """Return the repr of a value for an error message, truncated to MAX_REPR_CHARS."""
    try:
        text = repr(value)
    except ValueError:
        # Python refuses to format integers of over 4300 digits, which YAML can express as 0x...
        return "a very large number"
    return text if len(text) <= MAX_REPR_CHARS else text[:MAX_REPR_CHARS] + "..."


def load(text: str) -> Any:
    """Return the value of a YAML text; raises ValueError with a one-line message."""
    try:
        return yaml.load(text, Loader=_Loader)
    except (
        yaml.YAMLError,
        # PyYAML constructors raise these for scalars that are invalid for an explicit tag.
        ValueError,
        LookupError,
        ArithmeticError,
        AttributeError,
        TypeError,
        RecursionError,
    ) as exc:
        problem = " ".join(str(exc).split()) or type(exc).__name__
        raise ValueError(problem) from None


def dump(value: Any) -> str:
    """Return the value as YAML, with keys in their original order."""
    text: str = yaml.dump(value, Dumper=_Dumper, sort_keys=False, allow_unicode=True, width=100)
    return text
