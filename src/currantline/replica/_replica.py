"""Replica that merges records from the platform and from other instances."""

import zlib
from collections.abc import Iterable

import attrs

from currantline.replica._record import Record

__all__ = ["Changes", "Replica"]


@attrs.frozen(kw_only=True)
class Changes:
    """Records that changed in a replica after a position.

    Parameters
    ----------
    position : int
        Position in the change sequence of the replica up to which records are
        included.
    revision : int
        Platform revision up to which the replica is complete.
    records : tuple of Record
        The changed records.
    """

    position: int
    revision: int
    records: tuple[Record, ...]


class Replica:
    """Published records, as known to one instance.

    A record is replaced only by a newer one, so that late reports have no effect.
    Each change gets a position in the change sequence of the replica, so that other
    instances can request the changes since their last request.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._positions: dict[str, int] = {}
        self._deferred_removals: dict[str, tuple[float, Record]] = {}
        self.position = 0
        self.revision = 0
        self.digest = 0

    def find(self, key: str) -> str | None:
        """Return the content of a record, or None if it is unknown or removed."""
        record = self._records.get(key)
        return record.document if record else None

    def list_keys(self) -> list[str]:
        """Return the keys of all records that are not removed."""
        return [key for key, r in self._records.items() if not r.is_removed]

    def merge(self, records: Iterable[Record], revision: int) -> list[Record]:
        """Apply records that are newer than the known ones.

        Parameters
        ----------
        records : iterable of Record
            All changes up to ``revision`` that this replica lacks.
        revision : int
            Revision up to which the records are complete.

        Returns
        -------
        list of Record
            The records that changed.
        """
        changed = [record for record in records if self._apply(record)]
        self.revision = max(self.revision, revision)
        return changed

    def replace(
        self,
        records: Iterable[Record],
        revision: int,
        *,
        defer_removals_until: float | None = None,
    ) -> list[Record]:
        """Apply the result of a full read.

        Parameters
        ----------
        records : iterable of Record
            All published records.
        revision : int
            Revision at the start of the read.
        defer_removals_until : float, optional
            Time in milliseconds until which records that the read lacks are kept.
            Records may expire during an outage of the platform and be published again
            soon after.

        Returns
        -------
        list of Record
            The records that changed.
        """
        published_records = {record.key: record for record in records}
        absent = [
            Record(key, max(revision, self._records[key].revision), None)
            for key in self.list_keys()
            if key not in published_records and self._records[key].revision <= revision
        ]
        changed = self.merge(published_records.values(), revision)
        if defer_removals_until is None:
            return changed + [record for record in absent if self._apply(record)]
        for record in absent:
            self._deferred_removals.setdefault(
                record.key, (defer_removals_until, record)
            )
        return changed

    def defer_removals(self, removals: Iterable[Record], until: float) -> None:
        """Apply removals only after a time, unless the records are published again."""
        for record in removals:
            self._deferred_removals.setdefault(record.key, (until, record))

    def apply_due_removals(self, now: float) -> list[Record]:
        """Apply deferred removals whose time has come.

        Returns
        -------
        list of Record
            The records that changed.
        """
        due = [
            record for until, record in self._deferred_removals.values() if until <= now
        ]
        for record in due:
            del self._deferred_removals[record.key]
        return [record for record in due if self._apply(record)]

    def list_changes(self, after: int) -> Changes:
        """Return the changes after a position of this replica."""
        positions = self._positions.items()
        keys = [key for key, position in positions if position > after]
        return Changes(
            position=self.position,
            revision=self.revision,
            records=tuple(self._records[key] for key in keys),
        )

    def _apply(self, record: Record) -> bool:
        previous = self._records.get(record.key)
        if not record.replaces(previous):
            return False
        self._deferred_removals.pop(record.key, None)
        self._records[record.key] = record
        self.position += 1
        self._positions[record.key] = self.position
        self.digest ^= _hash(previous) ^ _hash(record)
        return True


def _hash(record: Record | None) -> int:
    if record is None or record.is_removed:
        return 0
    return zlib.crc32(f"{record.key}:{record.revision}".encode())
