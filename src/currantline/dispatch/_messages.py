"""Messages between dispatchers and effects that a dispatcher asks for."""

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
    """How much work waits at the sender and how many slots are free there.

    Parameters
    ----------
    service : str
        Name of the service.
    short_waiting : int
        Short requests that wait.
    long_waiting : int
        Other requests that wait.
    oldest_short_ms : float
        How long the oldest short request has waited.
    oldest_long_ms : float
        How long the oldest other request has waited.
    free_slots : int
        Free slots of targets that the sender owns.
    number : int
        Number of the report, rising for the sender.
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
    """Permission to use one slot of a target until the lease ends.

    Parameters
    ----------
    loan_id : int
        Identifier, unique for the owner.
    service : str
        Name of the service.
    target : str
        Name of the target.
    lease_ms : float
        Time from receipt after which the slot may not be used without a renewal.
    allow_long : bool
        Whether long work may run on the slot.
    number : int
        Number of the report that the loan answers.
    """

    loan_id: int
    service: str
    target: str
    lease_ms: float
    allow_long: bool = False
    number: int = 0


@attrs.frozen(kw_only=True)
class Renew:
    """The borrower still runs a request on the slot."""

    loan_id: int


@attrs.frozen(kw_only=True)
class Return:
    """The borrower no longer uses the slot."""

    loan_id: int


@attrs.frozen(kw_only=True)
class Usage:
    """Slots of a target that the sender uses without a loan of its owner."""

    service: str
    target: str
    in_use: int


Message = Demand | Lend | Renew | Return | Usage


@attrs.frozen
class Start:
    """A request runs on a target from now on."""

    request_id: str
    target: str
    is_long: bool = False


@attrs.frozen
class Refuse:
    """A request is not run."""

    request_id: str
    reason: str


@attrs.frozen
class Send:
    """A message is to be carried to an instance."""

    instance: str
    message: Message


Effect = Start | Refuse | Send
