"""Row of the gossip table."""

import attrs

from currantline.membership._contact import Contact
from currantline.membership._entry import InstanceEntry
from currantline.membership._gossip import (
    FullRow,
    GossipRow,
    GossipState,
    row_key,
)

__all__ = ["Row"]


@attrs.frozen(kw_only=True)
class Row:
    """Entry of one instance with the time of its last update.

    Parameters
    ----------
    entry : InstanceEntry
        The instance.
    updated_at : float
        Upper bound, in milliseconds, of the time of its last heartbeat increment.
    """

    entry: InstanceEntry
    updated_at: float
    key: int = attrs.field(init=False)

    @key.default
    def _hash(self) -> int:
        return row_key(self.entry.name, self.entry.incarnation)

    @property
    def precedence(self) -> tuple[int, int]:
        """Incarnation and heartbeat; the row with the higher pair takes precedence."""
        return (self.entry.incarnation, self.entry.heartbeat)

    @property
    def contact(self) -> Contact:
        """Name and address of the instance."""
        return Contact(name=self.entry.name, peer_address=self.entry.peer_address)

    def build_gossip_row(self, key: int, now: float) -> GossipRow:
        """Return the row for a receiver that knows the instance."""
        return GossipRow(
            key=key,
            heartbeat=self.entry.heartbeat,
            age_ms=now - self.updated_at,
            state=GossipState.from_entry(self.entry),
        )

    def build_full_row(self, now: float) -> FullRow:
        """Return the row for a receiver that does not know the instance."""
        return FullRow(entry=self.entry, age_ms=now - self.updated_at)
