"""What a replica remembers of the promises of other disks, to recognise an older copy of one."""

from __future__ import annotations

import dataclasses

from knapweedhitch.messages import Introduce


@dataclasses.dataclass
class Promises:
    """Hold the highest term, vote and synced position that one disk has shown."""

    term: int = 0
    voted_term: int = 0
    acked_in_term: int = 0
    acked: tuple[int, int] = (0, 0)
    is_lost: bool = False


class Witness:
    """Remember in memory what each disk of each peer has promised."""

    def __init__(self) -> None:
        self._seen: dict[tuple[str, str], Promises] = {}

    def _promises(self, node_id: str, disk_id: str) -> Promises:
        # Only peers of the group call this, and a disk id changes only when a disk is replaced,
        # so the number of entries stays small.
        return self._seen.setdefault((node_id, disk_id), Promises())

    def saw_term(self, node_id: str, disk_id: str, term: int, *, voted: bool = False) -> None:
        """Note a term that the disk has made durable, and whether it voted in it."""
        seen = self._promises(node_id, disk_id)
        seen.term = max(seen.term, term)
        if voted:
            seen.voted_term = max(seen.voted_term, term)

    def saw_ack(self, node_id: str, disk_id: str, term: int, last: tuple[int, int]) -> None:
        """Note the term and index of an entry that the disk acknowledged in the leader's term."""
        seen = self._promises(node_id, disk_id)
        # Later leaders may replace the tail, so a position of an earlier term is not compared.
        if term > seen.acked_in_term:
            seen.acked_in_term, seen.acked = term, last
        seen.acked = max(seen.acked, last)

    def refuse(self, node_id: str, disk_id: str) -> None:
        """Note that the disk holds less than it had acknowledged."""
        self._promises(node_id, disk_id).is_lost = True

    def is_refused(self, node_id: str, disk_id: str) -> bool:
        """Tell whether replies of the disk may not count."""
        seen = self._seen.get((node_id, disk_id))
        return seen is not None and seen.is_lost

    def has_lost(self, node_id: str, shown: Introduce) -> bool:
        """Tell whether the disk had promised more than it shows now."""
        seen = self._seen.get((node_id, shown.disk_id))
        if seen is None:
            return False
        if shown.term < seen.term or (shown.last_term, shown.last_index) < seen.acked:
            seen.is_lost = True
        if shown.term == seen.voted_term and not shown.vote:
            seen.is_lost = True
        return seen.is_lost
