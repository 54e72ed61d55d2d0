"""What instances tell each other about themselves."""

import enum

import attrs

__all__ = ["Heartbeat", "Member", "MemberStatus"]


class MemberStatus(enum.IntEnum):
    """How far an instance is in its life."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@attrs.frozen(kw_only=True)
class Member:
    """State of one instance, as it told it itself.

    Parameters
    ----------
    host : str
        IP number, which names the instance.
    data_centre : str
        Data centre that it stands in.
    incarnation : int
        Rises with each start of the process.
    beat : int
        Rises while the process lives.
    status : MemberStatus
        How far it is in its life.
    can_read : bool
        Whether the platform answers it.
    revision : int
        Revision up to which its replica is complete.
    digest : int
        Digest of its replica.
    """

    host: str
    data_centre: str
    incarnation: int
    beat: int = 0
    status: MemberStatus = MemberStatus.STARTING
    can_read: bool = True
    revision: int = 0
    digest: int = 0

    def replaces(self, other: "Member | None") -> bool:
        """Return whether this state is newer than another of the same instance."""
        if other is None:
            return True
        return (self.incarnation, self.beat) > (other.incarnation, other.beat)


@attrs.frozen(kw_only=True)
class Heartbeat:
    """One datagram between instances.

    Parameters
    ----------
    sender : Member
        State of the sender.
    others : tuple of Member
        What the sender knows of other instances.
    """

    sender: Member
    others: tuple[Member, ...] = ()
