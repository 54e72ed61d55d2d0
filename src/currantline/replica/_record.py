"""Published records."""

import attrs

__all__ = ["Record"]


@attrs.frozen
class Record:
    """Published record or its removal.

    Parameters
    ----------
    key : str
        Key of the record.
    revision : int
        Revision of the last change of the record. A removal that is detected by a full
        read has the revision of that read.
    document : str or None
        Content of the record, None if it is removed.
    """

    key: str
    revision: int
    document: str | None

    @property
    def is_removed(self) -> bool:
        """Whether the record is removed."""
        return self.document is None

    def replaces(self, other: "Record | None") -> bool:
        """Return whether this record supersedes another with the same key."""
        if other is None or self.revision != other.revision:
            return other is None or self.revision > other.revision
        # At the same revision, a removal takes precedence over the record.
        return self.is_removed and not other.is_removed
