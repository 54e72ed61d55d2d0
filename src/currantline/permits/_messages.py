"""Messages about limits of targets, and permits."""

import attrs

from currantline.placement import RateLimit

__all__ = ["Message", "Permit", "PermitRequest", "PermitResponse", "Report"]


@attrs.frozen(kw_only=True)
class Permit:
    """Result of asking for a permit.

    Parameters
    ----------
    is_granted : bool
        Whether one request may be sent.
    wait_ms : float
        Time until it may be sent, or, if it may not, until the next one could be, in
        milliseconds.
    """

    is_granted: bool
    wait_ms: float = 0.0


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
    max_wait_ms : float
        Time for which the request can wait, in milliseconds.
    """

    number: int
    key: str
    limit: RateLimit
    max_wait_ms: float


@attrs.frozen(kw_only=True)
class PermitResponse:
    """Response to a `PermitRequest`.

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
    """Reports the limit of a target, to its issuer or from it to all instances.

    Parameters
    ----------
    key : str
        Key of the target.
    limit : RateLimit
        The limit.
    """

    key: str
    limit: RateLimit


Message = PermitRequest | PermitResponse | Report
