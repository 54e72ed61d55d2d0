"""Decides when a request is hedged, and whether the hedge is sent."""

import enum
from collections.abc import Iterable

from currantline.hedging._limit import HedgeLimit
from currantline.hedging._response_times import ResponseTimes
from currantline.placement import LoadReport

__all__ = ["HedgePolicy", "HedgeRefusal", "estimate_load"]

# Quantile of the response times of a route after which a request is hedged.
HEDGE_QUANTILE = 0.95

# Share of the latency objective after which a request is hedged while too few response
# times are known.
DEFAULT_OBJECTIVE_SHARE = 0.45

# Quantile of the response times that must be left to the caller. A copy that would
# come too late costs the target work for nothing.
TIME_LEFT_QUANTILE = 0.5

# Mean share of occupied slots from which a service gets no hedges. Targets slow down
# at 0.8, and the reports of a few targets vary around the mean of the service.
MAX_LOAD = 0.6


class HedgeRefusal(enum.Enum):
    """Why a request is not hedged."""

    # The request has a body, which a copy would hold once more.
    BODY = "body"
    # Less time is left than a response usually takes.
    TIME = "time"
    # The targets of the service are near the load at which they slow down.
    LOAD = "load"
    # The limit of the operators is reached.
    LIMIT = "limit"
    # No target is idle enough, or first requests wait.
    TARGET = "target"
    # The retry budget of the service is spent.
    BUDGET = "budget"


def estimate_load(reports: Iterable[LoadReport]) -> float | None:
    """Return the mean share of occupied slots, None without a report.

    Parameters
    ----------
    reports : iterable of LoadReport
        Recent reports of targets of one service.
    """
    shares = [(report.running + report.waiting) / report.slots for report in reports]
    return sum(shares) / len(shares) if shares else None


class HedgePolicy:
    """Hedging of idempotent requests within the limit of the operators.

    Parameters
    ----------
    share : float
        Hedges per request of a service, from 0 to 1. With 0 nothing is hedged.
    window_ms : float
        Length of the sliding window in which they are counted, in milliseconds.
    """

    def __init__(self, share: float, window_ms: float) -> None:
        self._share = share
        self._window_ms = window_ms
        self._limits: dict[str, HedgeLimit] = {}
        self._response_times: dict[str, ResponseTimes] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a service that is sent for the first time."""
        self._find_limit(service).record_request(now)

    def record_response(self, route: str, took_ms: float) -> None:
        """Record how long a first copy took, or ran until a hedge responded.

        Without the latter the slowest would be missing, and the quantile would fall
        until most requests are hedged.
        """
        self._response_times.setdefault(route, ResponseTimes()).record(took_ms)

    def find_delay_ms(self, route: str, objective_ms: float) -> float | None:
        """Return the time from the first send to the hedge, None without hedges."""
        if self._share == 0.0:
            return None
        delay_ms = self._find_quantile(route, HEDGE_QUANTILE)
        return DEFAULT_OBJECTIVE_SHARE * objective_ms if delay_ms is None else delay_ms

    def find_refusal(
        self,
        *,
        service: str,
        route: str,
        has_body: bool,
        left_ms: float,
        load: float | None,
        now: float,
    ) -> HedgeRefusal | None:
        """Return why a request must not be hedged, or None if it may be.

        Parameters
        ----------
        service, route : str
            Service and route of the request.
        has_body : bool
            Whether the request has a body.
        left_ms : float
            Time left until the deadline of the request, in milliseconds.
        load : float or None
            Mean share of occupied slots of the service, None if unknown.
        now : float
            Current time in milliseconds.
        """
        if has_body:
            return HedgeRefusal.BODY
        if left_ms < (self._find_quantile(route, TIME_LEFT_QUANTILE) or 0.0):
            return HedgeRefusal.TIME
        if load is not None and load > MAX_LOAD:
            return HedgeRefusal.LOAD
        if not self.has_room(service, now):
            return HedgeRefusal.LIMIT
        return None

    def has_room(self, service: str, now: float) -> bool:
        """Return whether the limit allows one more hedge."""
        return self._find_limit(service).has_room(now)

    def record_hedge(self, service: str, now: float) -> None:
        """Count a hedge, which must be allowed."""
        self._find_limit(service).record_hedge(now)

    def _find_limit(self, service: str) -> HedgeLimit:
        if service not in self._limits:
            self._limits[service] = HedgeLimit(self._share, self._window_ms)
        return self._limits[service]

    def _find_quantile(self, route: str, share: float) -> float | None:
        times = self._response_times.get(route)
        return times.find_quantile(share) if times is not None else None
