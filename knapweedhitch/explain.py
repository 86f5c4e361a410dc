"""Explanations of why a target was picked, for a sample of requests and on demand."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import Protocol

MAX_RENDERED = 16
MAX_NOTE_CHARS = 60


class Considered(Protocol):
    """Describe the score of one target that was considered."""

    @property
    def instance_id(self) -> str: ...

    @property
    def score(self) -> float: ...

    @property
    def note(self) -> str: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Describe one pick: its cause, the targets considered and the target picked."""

    cause: str
    picked: str
    path: str
    considered: tuple[Considered, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Describe all picks of one request."""

    request_id: str
    service: str
    choices: tuple[Choice, ...]


class Explanations:
    """Store the most recent explanations, up to a limit."""

    def __init__(self, sample_ratio: float, limit: int, rng: random.Random | None = None) -> None:
        self._sample_ratio = sample_ratio
        self._limit = limit
        self._rng = rng or random.Random()
        self._explanations: collections.OrderedDict[str, Explanation] = collections.OrderedDict()

    def is_sampled(self) -> bool:
        """Return whether the next request is in the sample."""
        return self._rng.random() < self._sample_ratio

    def add(self, explanation: Explanation) -> None:
        """Add an explanation and drop the oldest ones over the limit."""
        self._explanations[explanation.request_id] = explanation
        self._explanations.move_to_end(explanation.request_id)
        while len(self._explanations) > self._limit:
            self._explanations.popitem(last=False)

    def get(self, request_id: str) -> Explanation | None:
        """Return the explanation of a request, None if it is not stored."""
        return self._explanations.get(request_id)

    def recent(self, n: int) -> list[Explanation]:
        """Return the last n explanations, newest first."""
        return [self._explanations[key] for key in list(reversed(self._explanations))[:n]]


def render(choices: list[Choice]) -> bytes:
    """Return the picks as the value of one header."""
    parts = []
    for choice in choices[:MAX_RENDERED]:
        scores = ",".join(
            f"{c.instance_id}={c.score:.3f}({c.note[:MAX_NOTE_CHARS]})"
            for c in choice.considered[:MAX_RENDERED]
        )
        parts.append(f"cause={choice.cause} picked={choice.picked} path={choice.path} [{scores}]")
    text = "; ".join(parts)
    return "".join(ch if " " <= ch <= "~" else "?" for ch in text).encode("ascii")
