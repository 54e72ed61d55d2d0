"""Messages between dispatchers, and effects that a dispatcher requests."""

import attrs

__all__ = [
    "Demand",
    "Effect",
    "Lend",
    "Message",
    "Refuse",
    "Renew",
    "Return",
    "Send",
    "Start",
    "Usage",
]


@attrs.frozen(kw_only=True)
class Demand:
    """Report of the sender's waiting requests and free slots.

    Parameters
    ----------
    service : str
        Name of the service.
    short_waiting : int
        Short requests that wait.
    long_waiting : int
        Background requests that wait.
    oldest_short_ms : float
        How long the oldest short request has waited.
    oldest_long_ms : float
        How long the oldest background request has waited.
    free_slots : int
        Free slots of targets that the sender owns.
    number : int
        Sequence number of the report at the sender.
    """

    service: str
    short_waiting: int
    long_waiting: int
    oldest_short_ms: float
    oldest_long_ms: float
    free_slots: int
    number: int = 0


@attrs.frozen(kw_only=True)
class Lend:
    """Loan of one slot of a target until the lease ends.

    Parameters
    ----------
    loan_id : int
        Identifier of the loan, unique at the owner.
    service : str
        Name of the service.
    target : str
        Name of the target.
    lease_ms : float
        Time from receipt after which the slot may not be used unless renewed.
    allow_long : bool
        Whether long requests may run on the slot.
    number : int
        Sequence number of the report that the loan answers.
    """

    loan_id: int
    service: str
    target: str
    lease_ms: float
    allow_long: bool = False
    number: int = 0


@attrs.frozen(kw_only=True)
class Renew:
    """Renewal of a loan whose slot still runs a request."""

    loan_id: int


@attrs.frozen(kw_only=True)
class Return:
    """Return of a loan whose slot is no longer used."""

    loan_id: int


@attrs.frozen(kw_only=True)
class Usage:
    """Report of slots that the sender uses without a loan from their owner."""

    service: str
    target: str
    in_use: int


Message = Demand | Lend | Renew | Return | Usage


@attrs.frozen
class Start:
    """Start a request on a target."""

    request_id: str
    target: str
    is_long: bool = False


@attrs.frozen
class Refuse:
    """Refuse a request."""

    request_id: str
    reason: str


@attrs.frozen
class Send:
    """Send a message to an instance."""

    instance: str
    message: Message


Effect = Start | Refuse | Send
