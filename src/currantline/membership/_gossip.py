"""Values that instances exchange by gossip."""

from collections.abc import Iterable

import attrs
import xxhash

from currantline.membership._entry import InstanceEntry, Status

__all__ = [
    "FullRow",
    "Gossip",
    "GossipRow",
    "GossipState",
    "hash_keys",
    "row_key",
]


def row_key(name: str, incarnation: int) -> int:
    """Return the 32-bit key that stands for an instance and incarnation."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{incarnation}".encode()) & 0xFFFF_FFFF


def hash_keys(keys: Iterable[int]) -> int:
    """Return the 64-bit digest of a set of keys."""
    data = b"".join(key.to_bytes(4, "little") for key in sorted(keys))
    return xxhash.xxh3_64_intdigest(data)


@attrs.frozen(kw_only=True)
class GossipState:
    """Part of a row that is often the same in many rows.

    Parameters
    ----------
    status : Status
        State of the instance.
    sequence : int
        Highest configuration record seen.
    version : int
        Configuration version in force.
    view_digest : int
        View that the instance acknowledges, 0 for none.
    configuration_digest : int
        Digest of the configuration in force.
    """

    status: Status
    sequence: int = 0
    version: int = 0
    view_digest: int = 0
    configuration_digest: int = 0

    @classmethod
    def from_entry(cls, entry: InstanceEntry) -> "GossipState":
        """Return the state of an entry."""
        return cls(
            status=entry.status,
            sequence=entry.sequence,
            version=entry.version,
            view_digest=entry.view_digest,
            configuration_digest=entry.configuration_digest,
        )

    def apply(self, entry: InstanceEntry, heartbeat: int) -> InstanceEntry:
        """Return the entry with this state and counter."""
        # Plain construction: attrs.evolve takes several times as long, and this runs
        # for each row of each message.
        return InstanceEntry(
            name=entry.name,
            data_centre=entry.data_centre,
            caller_address=entry.caller_address,
            peer_address=entry.peer_address,
            incarnation=entry.incarnation,
            heartbeat=heartbeat,
            status=self.status,
            sequence=self.sequence,
            version=self.version,
            view_digest=self.view_digest,
            configuration_digest=self.configuration_digest,
        )


@attrs.frozen(kw_only=True)
class GossipRow:
    """Row about an instance that the receiver probably knows.

    Parameters
    ----------
    key : int
        In a request the hash of name and incarnation, see `row_key`; in a response
        the position of the row in the request.
    heartbeat : int
        Counter of the instance.
    age_ms : float
        Time since the last heartbeat increment, in milliseconds.
    state : GossipState
        Its state.
    """

    key: int
    heartbeat: int
    age_ms: float
    state: GossipState

    def with_key(self, key: int) -> "GossipRow":
        """Return the row under another key."""
        return GossipRow(
            key=key, heartbeat=self.heartbeat, age_ms=self.age_ms, state=self.state
        )


@attrs.frozen(kw_only=True)
class FullRow:
    """Complete row, for a receiver that does not know the instance.

    Parameters
    ----------
    entry : InstanceEntry
        The instance.
    age_ms : float
        Time since its last heartbeat increment, in milliseconds.
    """

    entry: InstanceEntry
    age_ms: float


@attrs.frozen(kw_only=True)
class Gossip:
    """One direction of an exchange.

    Parameters
    ----------
    sender : str
        Name of the sender.
    rows : tuple of GossipRow
        In a request all live rows; in a response those that are newer.
    introduced : tuple of FullRow
        Rows that the receiver does not know.
    unknown : tuple of int
        Keys of the request that the sender of the response does not know.
    lease_digest : int
        Digest for which the sender seeks the lease; the proofs refer to it.
    set_digest : int
        Digest of the keys of a request, whose rows are sorted by key.
    omits_keys : bool
        Whether the keys of a request are omitted on the wire, because a receiver with
        the same set of instances can restore them.
    needs_keys : bool
        Whether the request must be sent again with its keys. Only in responses.
    proofs : tuple of float or None
        For each row of the request, the maximum possible age in milliseconds of the
        latest proven acknowledgement of the digest. Only in responses.
    """

    sender: str
    rows: tuple[GossipRow, ...] = ()
    introduced: tuple[FullRow, ...] = ()
    unknown: tuple[int, ...] = ()
    lease_digest: int = 0
    set_digest: int = 0
    omits_keys: bool = False
    needs_keys: bool = False
    proofs: tuple[float | None, ...] = ()
