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
    """Part of a row that many rows have in common.

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
        In a question the name and incarnation, by `row_key`; in an answer the
        position of the row in the question.
    heartbeat : int
        Counter of the instance.
    age_ms : float
        Time since the counter moved, in milliseconds.
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
    """Row with all that is known of an instance.

    Parameters
    ----------
    entry : InstanceEntry
        The instance.
    age_ms : float
        Time since its counter moved, in milliseconds.
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
        In a question all live rows; in an answer those that are newer.
    introduced : tuple of FullRow
        Rows that the receiver does not know.
    unknown : tuple of int
        Keys of the question that the sender of the answer does not know.
    lease_digest : int
        Digest that the sender wants acknowledged; the proofs are for it.
    set_digest : int
        Digest of the keys of a question, whose rows are in the order of their keys.
    omits_keys : bool
        Whether the keys of a question stay away on the wire, because a receiver with
        the same set of instances can fill them in.
    needs_keys : bool
        Whether the question must be asked again with its keys. Only in answers.
    proofs : tuple of float or None
        For each row of the question, the highest possible age in milliseconds of the
        latest proven acknowledgement of the digest. Only in answers.
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
