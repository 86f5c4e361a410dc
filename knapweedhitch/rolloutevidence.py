"""Keep what the targets of one roll-out reported: their answers and the calls granted to them."""

from __future__ import annotations

import dataclasses
import math
from collections import deque
from collections.abc import Mapping, Sequence

from knapweedhitch.answertally import RouteAnswers, added
from knapweedhitch.rolloutverdict import Sample, Verdict, judge, worst_of

# Periods that are judged apart, since answers from before a version turned bad hide it.
WINDOWS_MS = (4_000.0, 2_000.0)
MAX_SAMPLES = 50_000

# An instance and the process that counts its answers.
Source = tuple[str, int]


class Evidence:
    """Keep the answers of all targets since the order, as additions to earlier reports."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        self._counts: dict[Source, Mapping[str, RouteAnswers]] = {}
        self._new_answers = 0
        self.arrivals = 0

    def record(
        self, source: Source, counts: Sequence[RouteAnswers], at_ms: float, *, is_new: bool
    ) -> None:
        """Record the cumulative counts of one report."""
        for grown in added(counts, self._counts.get(source, {})):
            self._new_answers += grown.answers if is_new else 0
            self._samples.append(Sample.of(at_ms, source[0], grown, is_new=is_new))
        self._counts[source] = {c.route: c for c in counts}

    def record_arrivals(self, count: int) -> None:
        """Record calls that reached a target for the first time."""
        self.arrivals += count

    def verdict(self, now_ms: float, target_count: int, moved_ms: float | None = None) -> Verdict:
        """Return the strongest of the verdicts on all answers and on those in each of WINDOWS_MS.

        Once traffic has moved, answers since `moved_ms` take the place of all answers: most
        answers of the other versions are older than those of the new one.
        """
        starts = [now_ms - window for window in WINDOWS_MS]
        starts.insert(0, -math.inf if moved_ms is None else moved_ms)
        verdicts = [
            judge((s for s in self._samples if s.at_ms > since_ms), target_count)
            for since_ms in starts
        ]
        return dataclasses.replace(worst_of(verdicts), new_answers=self._new_answers)


@dataclasses.dataclass(slots=True, eq=False)
class _Account:
    """Track the calls of one canary: those counted at its first report, and since."""

    before: int
    issued: int
    sequence: int


class GrantLedger:
    """Grant calls to canaries, never more in all than the log has reserved.

    A new leader does not know what was granted before, so it counts all that was reserved.
    """

    def __init__(self, reserved: int) -> None:
        self._base = reserved
        self._accounts: dict[Source, _Account] = {}

    @property
    def issued(self) -> int:
        """Return an upper bound of the calls that canaries have been granted so far."""
        return self._base + sum(a.issued - a.before for a in self._accounts.values())

    def grant(
        self, source: Source, sequence: int, *, spent: int, held: int, wanted: int, reserved: int
    ) -> int:
        """Return the calls to grant to a canary that has spent and holds so many.

        A canary sends one report at a time and ignores late replies, so its report tells whether
        it received the last grant.
        """
        account = self._accounts.get(source)
        if account is None:
            account = self._accounts[source] = _Account(spent + held, spent + held, sequence)
        elif sequence <= account.sequence:
            return 0
        account.sequence = sequence
        account.issued = max(account.before, spent + held)
        granted = max(0, min(wanted - held, reserved - self.issued))
        account.issued += granted
        return granted
