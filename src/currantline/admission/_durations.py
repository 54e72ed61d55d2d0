"""Estimates of request durations from observed response times."""

import math

import attrs

__all__ = ["DurationEstimator"]

# Smallest relative step of an estimate. With 5%, an estimate follows a change of
# speed within about 50 responses.
MIN_STEP = 0.05
# Responses needed before a median is used to classify routes.
MIN_SAMPLES = 10
UPPER_QUANTILE = 0.95


@attrs.define
class _Quantile:
    """Streaming quantile estimate that moves by a fraction of its own value."""

    quantile: float
    value: float = 0.0
    count: int = 0

    def observe(self, duration_ms: float) -> None:
        duration_ms = max(duration_ms, 0.001)
        self.count += 1
        if self.count == 1:
            self.value = duration_ms
            return
        step = max(MIN_STEP, 1 / self.count)
        is_above = duration_ms > self.value
        self.value *= math.exp(
            step * (self.quantile if is_above else self.quantile - 1)
        )


@attrs.define
class _RouteQuantiles:
    median: _Quantile = attrs.field(factory=lambda: _Quantile(0.5))
    p95: _Quantile = attrs.field(factory=lambda: _Quantile(UPPER_QUANTILE))


class DurationEstimator:
    """Estimates how long the requests of each route of one service run.

    Parameters
    ----------
    long_factor : float
        A route is long if its median exceeds this multiple of the service's median
        response time.
    """

    def __init__(self, *, long_factor: float = 8.0) -> None:
        self._long_factor = long_factor
        self._median = _Quantile(0.5)
        self._routes: dict[str, _RouteQuantiles] = {}

    @property
    def threshold_ms(self) -> float:
        """Duration above which requests are long; infinite while unknown."""
        if self._median.count < MIN_SAMPLES:
            return math.inf
        return self._long_factor * self._median.value

    def observe(self, route: str, duration_ms: float) -> None:
        """Record one response time.

        Parameters
        ----------
        route : str
            Name of the route.
        duration_ms : float
            Time from sending the request to the complete response.
        """
        estimates = self._routes.setdefault(route, _RouteQuantiles())
        estimates.median.observe(duration_ms)
        estimates.p95.observe(duration_ms)
        self._median.observe(duration_ms)

    def is_long(self, route: str) -> bool:
        """Return whether the median of a route exceeds the threshold."""
        estimates = self._routes.get(route)
        if estimates is None or estimates.median.count < MIN_SAMPLES:
            return False
        return estimates.median.value > self.threshold_ms

    def median_ms(self, route: str) -> float:
        """Return the median response time of a route in ms; 0 while unknown."""
        estimates = self._routes.get(route)
        return estimates.median.value if estimates else 0.0

    def p95_ms(self, route: str) -> float:
        """Return the 95th percentile response time in ms; 0 while unknown."""
        estimates = self._routes.get(route)
        return estimates.p95.value if estimates else 0.0
