"""Entry of one instance and the view of live instances."""

import enum
from collections.abc import Iterable

import attrs
import xxhash

__all__ = ["InstanceEntry", "Status", "View"]


class Status(enum.Enum):
    """Status of an instance, as reported by itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class InstanceEntry:
    """Row of the gossip table.

    Parameters
    ----------
    name : str
        Name, unique among instances.
    data_centre : str
        Data centre of the instance.
    caller_address : str
        IP address and port for callers.
    peer_address : str
        IP address and port for other instances.
    incarnation : int
        Start time in milliseconds; a higher incarnation replaces a lower one.
    heartbeat : int
        Counter that the instance increments while it runs.
    status : Status
        Status of the instance.
    sequence : int
        Highest configuration record seen.
    version : int
        Configuration version in force.
    view_digest : int
        View that the instance acknowledges, 0 for none.
    configuration_digest : int
        Digest of the configuration in force.
    """

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    incarnation: int = 0
    heartbeat: int = 0
    status: Status = Status.STARTING
    sequence: int = 0
    version: int = 0
    view_digest: int = 0
    configuration_digest: int = 0


@attrs.frozen
class View:
    """Live instances as one instance sees them.

    Parameters
    ----------
    instances : tuple of InstanceEntry
        Live instances, sorted by name.
    """

    instances: tuple[InstanceEntry, ...]

    @classmethod
    def build(cls, entries: Iterable[InstanceEntry]) -> "View":
        """Return the view of the given entries."""
        return cls(tuple(sorted(entries, key=lambda entry: entry.name)))

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the live instances."""
        return tuple(entry.name for entry in self.instances)

    @property
    def digest(self) -> int:
        """64-bit hash of the attributes that determine ownership.

        It covers names, data centres, incarnations and statuses, because only ready
        instances own targets, those of their own data centre first: two instances
        that agree on the digest must agree on the owners.
        """
        text = "\n".join(
            f"{entry.name}\t{entry.data_centre}"
            f"\t{entry.incarnation}\t{entry.status.value}"
            for entry in self.instances
        )
        return xxhash.xxh3_64_intdigest(text.encode())

    def find(self, name: str) -> InstanceEntry | None:
        """Return the entry of an instance, or None if it is not live."""
        return next((e for e in self.instances if e.name == name), None)
