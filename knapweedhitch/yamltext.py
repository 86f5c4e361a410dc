"""YAML texts as plain values, with every kind of damage reported as one error type."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

import yaml

SHOWN_CHARS = 80


class _Loader(yaml.SafeLoader):
    """Refuse aliases and repeated keys."""

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node | None:
        # Aliases of aliases make a short text grow without bound when it is shown.
        if self.check_event(yaml.events.AliasEvent):
            event = self.peek_event()
            raise yaml.composer.ComposerError(
                None, None, "aliases are not accepted; write the value out", event.start_mark
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Hashable, Any]:
        mapping = super().construct_mapping(node, deep=deep)
        # A repeated key would hide an answer or setting without a word.
        if len(node.value) != len(mapping):
            raise yaml.constructor.ConstructorError(
                None, None, "a key occurs twice in a mapping", node.start_mark
            )
        return mapping


class _Dumper(yaml.SafeDumper):
    """Write a repeated object out each time."""

    def ignore_aliases(self, data: Any) -> bool:
        return True


def short_repr(value: Any) -> str:
    """Return a value for an error line, cut to a bounded length."""
    try:
        text = repr(value)
    except ValueError:
        # Python refuses to write integers of over 4300 digits; YAML can hold them as 0x...
        return "a very large number"
    return text if len(text) <= SHOWN_CHARS else text[:SHOWN_CHARS] + "..."


def load(text: str) -> Any:
    """Return the value of a YAML text; raises ValueError with one line on any damage."""
    try:
        return yaml.load(text, Loader=_Loader)
    except (
        yaml.YAMLError,
        # The constructors of PyYAML raise these for scalars that do not fit an explicit tag.
        ValueError,
        LookupError,
        AttributeError,
        TypeError,
        RecursionError,
    ) as exc:
        problem = " ".join(str(exc).split()) or type(exc).__name__
        raise ValueError(problem) from None


def dump(value: Any) -> str:
    """Return the value as YAML in the order of its keys."""
    text: str = yaml.dump(value, Dumper=_Dumper, sort_keys=False, allow_unicode=True, width=100)
    return text
