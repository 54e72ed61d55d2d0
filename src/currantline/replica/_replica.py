"""Replica that merges records from the platform and from other instances.

A replica with revision R is complete up to R: it holds each record that is published at
R. A record up to R that it lacks has therefore been removed. A removal leaves a mark, a
record without content, so that instances which still hold the record learn of it. A
full read shows only that a record is absent, so there are no marks for what was removed
up to `Replica.history_revision`. Instances that are behind that revision have to
compare all records, see `Replica.apply_changes`.

The platform may return from an older copy and assign its numbers again. Each return
begins an era, and all revisions of an era are above those of the eras before, so that a
later era takes precedence everywhere without a special case. What an earlier era says
is ignored. The first revision of an era is assigned to no record; a replica that is
complete up to there knows of the era and still has to be read in full.
"""

import zlib
from collections.abc import Callable, Collection, Iterable

import attrs

from currantline.exceptions import InvariantError
from currantline.replica._record import Record

__all__ = ["Changes", "Replica"]


@attrs.frozen(kw_only=True)
class Changes:
    """Records that changed in a replica after a position.

    Parameters
    ----------
    after : int
        Position in the change sequence of the replica after which records are
        included; 0 if they are all records.
    position : int
        Position up to which records are included.
    revision : int
        Platform revision up to which the replica is complete.
    history_revision : int
        Platform revision after which the replica has a mark for each removal.
    records : tuple of Record
        The changed records.
    """

    after: int = 0
    position: int
    revision: int
    history_revision: int = 0
    records: tuple[Record, ...]


class Replica:
    """Published records, as known to one instance.

    A record is replaced only by a newer one, so that late reports have no effect.
    Each change gets a position in the change sequence of the replica, so that other
    instances can request the changes since their last request.

    Parameters
    ----------
    find_era_start : callable
        Returns the first revision in the era of a revision. By default there is one
        era.

    Attributes
    ----------
    position : int
        Position of the last change.
    revision : int
        Platform revision up to which the replica is complete. It stays behind
        `read_revision` while removals are deferred, so that another instance reads
        them again if this one ends first; but not behind the start of the era, so that
        other instances learn of the era at once.
    read_revision : int
        Platform revision up to which changes have been read.
    history_revision : int
        Platform revision after which the replica has a mark for each removal.
    digest : int
        Hash of the records that are not removed.
    """

    def __init__(
        self, *, find_era_start: Callable[[int], int] = lambda revision: 0
    ) -> None:
        self._find_era_start = find_era_start
        self._records: dict[str, Record] = {}
        self._positions: dict[str, int] = {}
        self._deferred_removals: dict[str, tuple[float, Record]] = {}
        self.position = 0
        self.revision = 0
        self.read_revision = 0
        self.history_revision = 0
        self.digest = 0

    @property
    def is_unread(self) -> bool:
        """Whether nothing of the current era is known completely."""
        return self.read_revision == self._find_era_start(self.read_revision)

    def begins_era(self, revision: int) -> bool:
        """Return whether a revision is of a later era than this replica."""
        return self._find_era_start(revision) > self.read_revision

    def is_of_earlier_era(self, revision: int) -> bool:
        """Return whether a revision is of an earlier era than this replica."""
        return revision < self._find_era_start(self.read_revision)

    def find(self, key: str) -> str | None:
        """Return the content of a record, or None if it is unknown or removed."""
        record = self._records.get(key)
        return record.document if record else None

    def list_keys(self) -> list[str]:
        """Return the keys of all records that are not removed."""
        return [key for key, r in self._records.items() if not r.is_removed]

    def merge(
        self,
        records: Iterable[Record],
        revision: int,
        *,
        defer_removals_until: float | None = None,
    ) -> list[Record]:
        """Apply records that are newer than the known ones.

        A record up to `read_revision` is either known or has been removed,
        so it is ignored, as are all records of an earlier era.

        Parameters
        ----------
        records : iterable of Record
            All changes up to ``revision`` that this replica lacks.
        revision : int
            Revision up to which the records are complete.
        defer_removals_until : float, optional
            Time in milliseconds until which removed records are kept, unless they are
            published again.

        Returns
        -------
        list of Record
            The records that changed.
        """
        if self.is_of_earlier_era(revision):
            return []
        news = [record for record in records if not self._is_outdated(record)]
        deferred: set[tuple[str, int]] = set()
        if defer_removals_until is not None:
            removals = [r for r in news if r.is_removed and self._is_held(r.key)]
            self._defer(removals, defer_removals_until)
            deferred = {(record.key, record.revision) for record in removals}
        news = [r for r in news if (r.key, r.revision) not in deferred]
        changed = [record for record in news if self._apply(record)]
        self._advance(revision)
        return changed

    def is_gap_before(self, changes: Changes) -> bool:
        """Return whether removals before some changes of another replica are unknown.

        All records of the other replica are needed then. No mark of an earlier era
        shows what a later one lacks.
        """
        is_behind = changes.history_revision > self.revision
        return is_behind or self.begins_era(changes.revision)

    def apply_changes(
        self, changes: Changes, *, defer_removals_until: float | None = None
    ) -> list[Record]:
        """Apply the changes of another replica.

        Parameters
        ----------
        changes : Changes
            All records of the other replica if there is a gap before the changes.
        defer_removals_until : float, optional
            Time in milliseconds until which records that the other replica lacks are
            kept, see `replace`.

        Returns
        -------
        list of Record
            The records that changed.

        Raises
        ------
        InvariantError
            If records are missing from the changes.
        """
        if not self.is_gap_before(changes):
            return self.merge(changes.records, changes.revision)
        if changes.after:
            raise InvariantError("changes after a gap do not include all records")
        return self.replace(
            changes.records,
            changes.revision,
            history_revision=changes.history_revision,
            defer_removals_until=defer_removals_until,
        )

    def replace(
        self,
        records: Collection[Record],
        revision: int,
        *,
        history_revision: int | None = None,
        defer_removals_until: float | None = None,
    ) -> list[Record]:
        """Apply the result of a full read.

        Parameters
        ----------
        records : collection of Record
            All published records.
        revision : int
            Revision at the start of the read.
        history_revision : int, optional
            Revision after which the records include a mark for each removal; the
            revision of the read by default.
        defer_removals_until : float, optional
            Time in milliseconds until which records that the read lacks are kept.
            Records may expire during an outage of the platform and be published again
            soon after.

        Returns
        -------
        list of Record
            The records that changed.
        """
        if self.is_of_earlier_era(revision):
            return []
        if revision > self.revision:
            history = revision if history_revision is None else history_revision
            self.history_revision = max(self.history_revision, history)
        # Marks are no evidence: a record may have been written again since, and been
        # removed without a mark.
        published = {record.key for record in records if not record.is_removed}
        absent = [
            Record(key, max(revision, self._records[key].revision), None)
            for key in self.list_keys()
            if key not in published and self._records[key].revision <= revision
        ]
        if defer_removals_until is not None:
            self._defer(absent, defer_removals_until)
            return self.merge(records, revision)
        changed = self.merge(records, revision)
        return changed + [record for record in absent if self._apply(record)]

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
        changed = [record for record in due if self._apply(record)]
        self._advance(self.read_revision)
        return changed

    def list_changes(self, after: int) -> Changes:
        """Return the changes after a position of this replica."""
        positions = self._positions.items()
        keys = [key for key, position in positions if position > after]
        return Changes(
            after=after,
            position=self.position,
            revision=self.revision,
            history_revision=self.history_revision,
            records=tuple(self._records[key] for key in keys),
        )

    def _defer(self, removals: Iterable[Record], until: float) -> None:
        for record in removals:
            due, deferred = self._deferred_removals.get(record.key, (until, None))
            is_newer = deferred is None or record.revision > deferred.revision
            if is_newer and record.replaces(self._records.get(record.key)):
                # A removal that is read once more becomes due no later, unless the
                # platform has returned since and its writers need their time again.
                era_start = self._find_era_start(record.revision)
                if deferred is not None and deferred.revision < era_start:
                    due = until
                self._deferred_removals[record.key] = (due, record)

    def _advance(self, revision: int) -> None:
        self.read_revision = max(self.read_revision, revision)
        if self._deferred_removals:
            era_start = self._find_era_start(self.read_revision)
            self.revision = max(self.revision, era_start)
        else:
            self.revision = self.read_revision

    def _is_held(self, key: str) -> bool:
        record = self._records.get(key)
        return record is not None and not record.is_removed

    def _is_outdated(self, record: Record) -> bool:
        # A record whose removal is deferred may still be replaced by a newer one.
        is_kept = record.is_removed or record.key in self._deferred_removals
        return not is_kept and record.revision <= self.read_revision

    def _apply(self, record: Record) -> bool:
        previous = self._records.get(record.key)
        if not record.replaces(previous):
            return False
        _, deferred = self._deferred_removals.get(record.key, (0.0, None))
        if record.is_removed or record.replaces(deferred):
            self._deferred_removals.pop(record.key, None)
        self._records[record.key] = record
        self.position += 1
        self._positions[record.key] = self.position
        self.digest ^= _hash(previous) ^ _hash(record)
        return True


def _hash(record: Record | None) -> int:
    if record is None or record.is_removed:
        return 0
    # A key may hold what is not valid Unicode.
    text = f"{record.key}:{record.revision}"
    return zlib.crc32(text.encode(errors="surrogatepass"))
