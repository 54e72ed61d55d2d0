"""What instances tell each other about themselves and others."""

import enum

import attrs

__all__ = ["Datagram", "DatagramKind", "Health", "Member", "MemberStatus"]


class MemberStatus(enum.IntEnum):
    """How far an instance is in its life."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class Health(enum.IntEnum):
    """Whether an instance answers the others; the later of two reports holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen(kw_only=True)
class Member:
    """State of one instance.

    Parameters
    ----------
    host : str
        IP number, which names the instance.
    data_centre : str
        Data centre that it stands in.
    incarnation : int
        Rises with each start of the process.
    version : int
        Rises with each change that the instance makes to its state, and when it
        contradicts a report that it is dead.
    status : MemberStatus
        How far it is in its life.
    can_reach_platform : bool
        Whether the platform answers it.
    health : Health
        Whether it answers other instances.
    """

    host: str
    data_centre: str
    incarnation: int
    version: int = 0
    status: MemberStatus = MemberStatus.STARTING
    can_reach_platform: bool = True
    health: Health = Health.ALIVE

    @property
    def is_dead(self) -> bool:
        """Whether the instance is taken for gone."""
        return self.health is Health.DEAD

    def replaces(self, other: "Member | None") -> bool:
        """Return whether this state is newer than another of the same instance."""
        if other is None:
            return True
        order = (self.incarnation, self.version, self.health)
        return order > (other.incarnation, other.version, other.health)


class DatagramKind(enum.IntEnum):
    """Purpose of a datagram."""

    PING = 0
    ACK = 1
    # Asks the receiver to ping another instance.
    PING_REQUEST = 2
    # Tells of a change; needs no answer.
    UPDATE = 3


@attrs.frozen(kw_only=True)
class Datagram:
    """One datagram between instances.

    Parameters
    ----------
    kind : DatagramKind
        Its purpose.
    sequence_number : int
        Number of the ping that is sent, answered or relayed.
    subject : str
        Instance that a relay should ping.
    sender : Member
        State of the sender.
    known_count : int
        Instances that the sender knows.
    revision : int
        Revision up to which the sender's replica is complete.
    digest : int
        Digest of the sender's replica.
    members : tuple of Member
        What the sender knows of other instances.
    """

    kind: DatagramKind
    sequence_number: int = 0
    subject: str = ""
    sender: Member
    known_count: int = 0
    revision: int = 0
    digest: int = 0
    members: tuple[Member, ...] = ()
