"""Description of a request for admission and dispatch."""

import attrs

from currantline.configuration import Priority

__all__ = ["WorkItem"]


@attrs.frozen(kw_only=True)
class WorkItem:
    """A request that needs a slot.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    service : str
        Name of the service.
    route : str
        Name of the route.
    priority : Priority
        Priority class.
    idempotent : bool
        Whether the request may be sent more than once.
    deadline : float
        Time after which the request must not be sent, in ms of the clock.
    arrived : float
        Time of arrival, in ms of the clock.
    avoid : frozenset of str
        Targets that have already failed the request; others are preferred.
    """

    request_id: str
    service: str
    route: str
    priority: Priority = Priority.INTERACTIVE
    idempotent: bool = False
    deadline: float
    arrived: float
    avoid: frozenset[str] = frozenset()
