"""One request as admission and dispatch see it."""

import attrs

from currantline.configuration import Priority

__all__ = ["WorkItem"]


@attrs.frozen(kw_only=True)
class WorkItem:
    """A request that waits for a slot.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    service : str
        Service that it is for.
    route : str
        Name of its route.
    priority : Priority
        Whether it may wait.
    idempotent : bool
        Whether it may be sent more than once.
    deadline : float
        Time after which it must not be sent, in milliseconds of the clock.
    arrived : float
        Time at which it arrived, in milliseconds of the clock.
    avoid : frozenset of str
        Targets that failed it already; others are preferred.
    """

    request_id: str
    service: str
    route: str
    priority: Priority = Priority.INTERACTIVE
    idempotent: bool = False
    deadline: float
    arrived: float
    avoid: frozenset[str] = frozenset()
