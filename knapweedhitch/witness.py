"""Votes and acknowledgements of other disks, remembered to detect an older copy of a disk."""

from __future__ import annotations

import dataclasses

from knapweedhitch.messages import Introduce


@dataclasses.dataclass
class DiskPromises:
    """Track the highest term, vote and acknowledged position of one disk."""

    term: int = 0
    voted_term: int = 0
    acked_term: int = 0
    acked_position: tuple[int, int] = (0, 0)
    has_lost_data: bool = False


class PromiseTracker:
    """Track in memory the votes and acknowledgements of each disk of each peer."""

    def __init__(self) -> None:
        self._by_disk: dict[tuple[str, str], DiskPromises] = {}

    def _promises_of(self, node_id: str, disk_id: str) -> DiskPromises:
        # Only members of the group cause entries, and a disk id changes only when the disk is
        # replaced, so their number stays small.
        return self._by_disk.setdefault((node_id, disk_id), DiskPromises())

    def record_term(self, node_id: str, disk_id: str, term: int, *, voted: bool = False) -> None:
        """Record a term that the disk has made durable, and whether it voted in that term."""
        promises = self._promises_of(node_id, disk_id)
        promises.term = max(promises.term, term)
        if voted:
            promises.voted_term = max(promises.voted_term, term)

    def record_ack(self, node_id: str, disk_id: str, term: int, position: tuple[int, int]) -> None:
        """Record the (term, index) of an entry that the disk acknowledged in a leader's term."""
        promises = self._promises_of(node_id, disk_id)
        # A later leader may replace the tail, so positions of an earlier term are not compared.
        if term > promises.acked_term:
            promises.acked_term, promises.acked_position = term, position
        promises.acked_position = max(promises.acked_position, position)

    def record_loss(self, node_id: str, disk_id: str) -> None:
        """Record that the disk holds less than it acknowledged."""
        self._promises_of(node_id, disk_id).has_lost_data = True

    def has_lost_data(self, node_id: str, disk_id: str) -> bool:
        """Return whether the disk is known to have lost data, so that its replies do not count."""
        promises = self._by_disk.get((node_id, disk_id))
        return promises is not None and promises.has_lost_data

    def detect_loss(self, node_id: str, current: Introduce) -> bool:
        """Compare the reported state with the recorded one and return whether data is lost.

        The result is for the reply only. The report may arrive after its member was confirmed and
        has promised more; a disk that is an older copy counts nowhere until then.
        """
        promises = self._by_disk.get((node_id, current.disk_id))
        if promises is None:
            return False
        position = (current.last_term, current.last_index)
        return (
            promises.has_lost_data
            or current.term < promises.term
            or position < promises.acked_position
            or (current.term == promises.voted_term and not current.vote)
        )
