"""One published record."""

import attrs

__all__ = ["Record"]


@attrs.frozen
class Record:
    """A record as it was written, or its removal.

    Parameters
    ----------
    key : str
        Key of the record.
    revision : int
        Revision of the platform's last change of the record. A removal that was
        found by reading everything has the revision of that reading.
    document : str or None
        The content; None once it is removed.
    """

    key: str
    revision: int
    document: str | None

    @property
    def is_removed(self) -> bool:
        """Whether the record is gone."""
        return self.document is None

    def replaces(self, other: "Record | None") -> bool:
        """Return whether this record is newer than another of the same key."""
        if other is None or self.revision != other.revision:
            return other is None or self.revision > other.revision
        # Of a record and its removal found at the same revision, the removal holds.
        return self.is_removed and not other.is_removed
