"""Messages between instances other than gossip."""

import attrs

__all__ = [
    "Demand",
    "Envelope",
    "Lend",
    "RecordMessage",
    "Renew",
    "Return",
    "SlotMessage",
    "TargetNotice",
    "Usage",
]


@attrs.frozen(kw_only=True)
class RecordMessage:
    """Configuration record on its way.

    Parameters
    ----------
    sequence : int
        Position in the configuration service.
    kind : str
        ``snapshot`` or ``patch``.
    base_version : int
        Version that a patch is based on.
    author : str
        Operator who published the record.
    schema_level : int
        Schema level of the record.
    body : bytes
        JSON.
    """

    sequence: int
    kind: str
    base_version: int
    author: str
    schema_level: int
    body: bytes


@attrs.frozen(kw_only=True)
class Demand:
    """Waiting work and free slots of the sender for a service.

    Parameters
    ----------
    service : str
        Name of the service.
    short_waiting, long_waiting : int
        Waiting requests.
    oldest_short_ms, oldest_long_ms : float
        Time for which the oldest of them has waited, in milliseconds.
    free_slots : int
        Slots that the sender can lend.
    """

    service: str
    short_waiting: int = 0
    long_waiting: int = 0
    oldest_short_ms: float = 0.0
    oldest_long_ms: float = 0.0
    free_slots: int = 0


@attrs.frozen(kw_only=True)
class Lend:
    """Loan of one slot.

    Parameters
    ----------
    loan_id : int
        Identifies the loan together with its owner.
    service : str
        Name of the service.
    target : str
        Target of the slot.
    lease_ms : float
        Time until the slot reverts to its owner, in milliseconds.
    """

    loan_id: int
    service: str
    target: str
    lease_ms: float


@attrs.frozen(kw_only=True)
class Renew:
    """Request to extend a loan.

    Parameters
    ----------
    loan_id : int
        Identifies the loan together with its owner.
    """

    loan_id: int


@attrs.frozen(kw_only=True)
class Return:
    """End of a loan.

    Parameters
    ----------
    loan_id : int
        Identifies the loan together with its owner.
    """

    loan_id: int


@attrs.frozen(kw_only=True)
class Usage:
    """Slots of a target that the sender uses after a change of view.

    Parameters
    ----------
    service : str
        Name of the service.
    target : str
        Name of the target.
    in_use : int
        Slots in use.
    """

    service: str
    target: str
    in_use: int


SlotMessage = Demand | Lend | Renew | Return | Usage


@attrs.frozen(kw_only=True)
class TargetNotice:
    """Evidence about a target.

    Parameters
    ----------
    target : str
        Name of the target.
    state : str
        State that the target gave.
    age_ms : float
        Time since the request that brought the evidence was sent, in milliseconds.
    """

    target: str
    state: str
    age_ms: float


@attrs.frozen(kw_only=True)
class Envelope:
    """Batch of messages to one instance.

    Parameters
    ----------
    sender : str
        Name of the sender.
    messages : tuple of SlotMessage
        Slot messages in order.
    notices : tuple of TargetNotice
        Evidence about targets.
    """

    sender: str
    messages: tuple[SlotMessage, ...] = ()
    notices: tuple[TargetNotice, ...] = ()
