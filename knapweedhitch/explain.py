"""Records of why a target was picked, for a sample of requests and on demand."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import Protocol

MAX_SHOWN = 16
MAX_NOTE_CHARS = 60


class Considered(Protocol):
    """Hold the score of one target that was considered."""

    @property
    def instance_id(self) -> str: ...

    @property
    def score(self) -> float: ...

    @property
    def note(self) -> str: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold one pick: the cause, the targets that were considered and the picked one."""

    cause: str
    picked: str
    path: str
    considered: tuple[Considered, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Hold all picks of one request."""

    request_id: str
    service: str
    choices: tuple[Choice, ...]


class Explanations:
    """Keep the last explanations, up to a limit."""

    def __init__(self, sample_ratio: float, limit: int, rng: random.Random | None = None) -> None:
        self._sample_ratio = sample_ratio
        self._limit = limit
        self._rng = rng or random.Random()
        self._kept: collections.OrderedDict[str, Explanation] = collections.OrderedDict()

    def is_sampled(self) -> bool:
        """Tell whether the next request is in the sample."""
        return self._rng.random() < self._sample_ratio

    def keep(self, explanation: Explanation) -> None:
        """Keep an explanation and drop the oldest one over the limit."""
        self._kept[explanation.request_id] = explanation
        self._kept.move_to_end(explanation.request_id)
        while len(self._kept) > self._limit:
            self._kept.popitem(last=False)

    def get(self, request_id: str) -> Explanation | None:
        """Return the explanation of a request if it is kept."""
        return self._kept.get(request_id)

    def recent(self, n: int) -> list[Explanation]:
        """Return the last n explanations, the newest first."""
        return [self._kept[key] for key in list(reversed(self._kept))[:n]]


def render(choices: list[Choice]) -> bytes:
    """Return picks as the value of one header."""
    shown = []
    for choice in choices[:MAX_SHOWN]:
        scores = ",".join(
            f"{c.instance_id}={c.score:.3f}({c.note[:MAX_NOTE_CHARS]})"
            for c in choice.considered[:MAX_SHOWN]
        )
        shown.append(f"cause={choice.cause} picked={choice.picked} path={choice.path} [{scores}]")
    text = "; ".join(shown)
    return "".join(ch if " " <= ch <= "~" else "?" for ch in text).encode("ascii")
