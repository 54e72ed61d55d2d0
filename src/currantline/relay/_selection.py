"""A request that needs a target, and the target selected for it."""

import attrs

from currantline.placement import Candidate, LoadReport, Target
from currantline.relay._pool import Lease
from currantline.routing import Route, RoutedService

__all__ = ["RequestContext", "Selection", "presume_idle"]


@attrs.frozen(eq=False, kw_only=True)
class RequestContext:
    """A request that needs a target.

    Parameters
    ----------
    request_id : str
        Request id that the caller sent.
    route : Route
        Route of the request.
    service : RoutedService
        Service that was chosen for the request.
    arrived_ms : float
        Time at which the request had arrived completely, in milliseconds.
    objective_deadline_ms : float
        Time at which the latency objective ends.
    deadline_ms : float
        Time at which the request times out.
    caller_deadline_ms : float
        Time at which the caller stops waiting, whatever response it gets.
    """

    request_id: str
    route: Route
    service: RoutedService
    arrived_ms: float
    objective_deadline_ms: float
    deadline_ms: float
    caller_deadline_ms: float


@attrs.frozen(eq=False)
class Selection:
    """A target for a request, or the reason why there is none.

    Parameters
    ----------
    target : Target or None
        The target.
    lease : Lease or None
        A connection to the target.
    predicted_ms : float
        Predicted response time in milliseconds.
    reason : str
        Reason why there is no target.
    wait_ms : float
        With a target, but no connection yet: time until the request may be sent. With a
        reason: time after which the caller may be served, 0 if unknown. In
        milliseconds.
    permit_end_ms : float or None
        Time after which the permit for a cold target is void, in milliseconds, None
        without such a permit.
    """

    target: Target | None = None
    lease: Lease | None = None
    predicted_ms: float = 0.0
    reason: str = ""
    wait_ms: float = 0.0
    permit_end_ms: float | None = None


def presume_idle(context: RequestContext, target: Target) -> Candidate:
    """Return a candidate for a target whose load is not known."""
    report = LoadReport(
        running=0,
        waiting=0,
        slots=max(1, target.published.slots),
        requested_ms=context.arrived_ms,
    )
    return Candidate(target, report)
