"""Merges what the platform's readers and other instances report."""

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
        Position in the replica's own order of changes, up to which records are
        included.
    revision : int
        Revision of the platform up to which the replica is complete.
    records : tuple of Record
        The changed records.
    """

    position: int
    revision: int
    records: tuple[Record, ...]


class Replica:
    """All published records that this instance knows.

    Records only move forward: a record is replaced by a higher revision only. Each
    change gets a position in the replica's own order, so another instance can ask
    for what changed since it last asked.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._positions: dict[str, int] = {}
        self._deferred_removals: dict[str, tuple[float, Record]] = {}
        self.position = 0
        self.revision = 0
        self.digest = 0

    def find(self, key: str) -> str | None:
        """Return the content of a record, or None."""
        record = self._records.get(key)
        return record.document if record else None

    def list_keys(self) -> list[str]:
        """Return the keys of all records that are not removed."""
        return [key for key, r in self._records.items() if not r.is_removed]

    def merge(self, records: Iterable[Record], revision: int) -> list[Record]:
        """Take over newer records.

        Parameters
        ----------
        records : iterable of Record
            All changes up to ``revision`` that this replica does not know.
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
        """Take over a complete reading.

        Parameters
        ----------
        records : iterable of Record
            Everything that is published.
        revision : int
            Revision at the start of the reading.
        defer_removals_until : float, optional
            Time in milliseconds until which records that the reading lacks are kept.
            Records may lapse while the platform is down and come back soon after.

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
        """Keep removed records until a time unless they come back first."""
        for record in removals:
            self._deferred_removals.setdefault(record.key, (until, record))

    def apply_due_removals(self, now: float) -> list[Record]:
        """Remove records that stayed missing past their time.

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
        """Return what changed after a position of this replica."""
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
