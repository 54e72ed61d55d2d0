"""Messages about limits of targets, and permits."""

import math

import attrs

from currantline.placement import RateLimit

__all__ = [
    "Message",
    "Permit",
    "PermitRequest",
    "PermitResponse",
    "Report",
    "WaitBounds",
    "WarmupPermitRequest",
]


@attrs.frozen(kw_only=True)
class WaitBounds:
    """Time for which a request can wait before it is sent.

    Parameters
    ----------
    in_time_ms : float
        Time after which it would miss its latency objective, in milliseconds; 0 if it
        is overdue already.
    max_ms : float
        Time after which it is refused, in milliseconds.
    """

    in_time_ms: float = 0.0
    max_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Permit:
    """Result of asking for a permit.

    Parameters
    ----------
    is_granted : bool
        Whether one request may be sent.
    wait_ms : float
        Time until it may be sent, or, if it may not, until another request may get a
        permit, in milliseconds.
    end_ms : float
        Time after which it is void, by the clock of this instance, in milliseconds.
    """

    is_granted: bool
    wait_ms: float = 0.0
    end_ms: float = math.inf


@attrs.frozen(kw_only=True)
class PermitRequest:
    """Asks the issuer of a target for a permit.

    Parameters
    ----------
    number : int
        Number that the response repeats.
    key : str
        Key of the target.
    limit : RateLimit
        Limit as known to the sender, with the time of its own clock.
    wait_bounds : WaitBounds
        Time for which the request can wait.
    """

    number: int
    key: str
    limit: RateLimit
    wait_bounds: WaitBounds


@attrs.frozen(kw_only=True)
class WarmupPermitRequest:
    """Asks the issuer of a target that warms up for a permit that is valid at once.

    Parameters
    ----------
    number : int
        Number that the response repeats.
    key : str
        Key of the target.
    limit : RateLimit
        Limit as known to the sender, with the time of its own clock.
    rank : int
        Rank of the request, lowest first.
    """

    number: int
    key: str
    limit: RateLimit
    rank: int


@attrs.frozen(kw_only=True)
class PermitResponse:
    """Response to a `PermitRequest` or a `WarmupPermitRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    key : str
        Key of the target.
    permit : Permit
        The permit.
    limit : RateLimit
        Limit as known to the issuer.
    """

    number: int
    key: str
    permit: Permit
    limit: RateLimit


@attrs.frozen(kw_only=True)
class Report:
    """Reports a limit or a warm-up, to the issuer or from it to all instances.

    Parameters
    ----------
    key : str
        Key of the target.
    limit : RateLimit
        The limit.
    warmup_left_ms : float
        Time for which the target stays cold, in milliseconds; 0 if the report is about
        its limit.
    """

    key: str
    limit: RateLimit
    warmup_left_ms: float = 0.0


Message = PermitRequest | WarmupPermitRequest | PermitResponse | Report
