"""Member states and the datagrams that carry them."""

import enum

import attrs

__all__ = ["Datagram", "DatagramKind", "Health", "Member", "MemberStatus"]


class MemberStatus(enum.IntEnum):
    """Lifecycle state that an instance reports about itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class Health(enum.IntEnum):
    """Result of failure detection for an instance.

    At equal incarnation and version the higher value takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen(kw_only=True)
class Member:
    """State of one instance.

    Parameters
    ----------
    host : str
        IP address, which identifies the instance.
    data_centre : str
        Data centre of the instance.
    incarnation : int
        Increases with each start of the process.
    version : int
        Increased by the instance when its state changes and when it refutes a
        report that it is suspect or dead.
    status : MemberStatus
        Lifecycle state.
    can_reach_platform : bool
        Whether the platform answers the instance.
    health : Health
        Whether the instance answers other instances.
    weight : int
        Share of the callers that the instance should get, relative to others.
    """

    host: str
    data_centre: str
    incarnation: int
    version: int = 0
    status: MemberStatus = MemberStatus.STARTING
    can_reach_platform: bool = True
    health: Health = Health.ALIVE
    weight: int = 1

    @property
    def is_dead(self) -> bool:
        """Whether the instance is considered dead."""
        return self.health is Health.DEAD

    def replaces(self, other: "Member | None") -> bool:
        """Return whether this state supersedes another of the same instance."""
        if other is None:
            return True
        order = (self.incarnation, self.version, self.health)
        return order > (other.incarnation, other.version, other.health)


class DatagramKind(enum.IntEnum):
    """Purpose of a datagram."""

    PING = 0
    ACK = 1
    # Asks the receiver to ping another instance (indirect probe).
    PING_REQUEST = 2
    # Carries a change and is not acknowledged.
    UPDATE = 3


@attrs.frozen(kw_only=True)
class Datagram:
    """Datagram between instances.

    Parameters
    ----------
    kind : DatagramKind
        Purpose of the datagram.
    sequence_number : int
        Sequence number of the ping that is sent, acknowledged or requested.
    subject : str
        Host that the receiver of a ping request should ping.
    sender : Member
        State of the sender.
    known_count : int
        Number of other instances that the sender knows.
    revision : int
        Revision up to which the sender's replica is complete.
    digest : int
        Digest of the sender's replica.
    members : tuple of Member
        States of other instances, as known to the sender.
    """

    kind: DatagramKind
    sequence_number: int = 0
    subject: str = ""
    sender: Member
    known_count: int = 0
    revision: int = 0
    digest: int = 0
    members: tuple[Member, ...] = ()
