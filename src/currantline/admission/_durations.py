"""Expected lengths of requests, learned from response times."""

import math

import attrs

__all__ = ["DurationEstimator"]

# Smallest step of an estimate, as a share of its value. A step of 5% follows a
# change of speed within about 50 answers.
STEP = 0.05
# Answers after which a route's estimate is used.
MIN_ANSWERS = 10
UPPER_QUANTILE = 0.95


@attrs.define
class _Quantile:
    """Exponentially weighted quantile that moves by a share of its value."""

    share: float
    value: float = 0.0
    count: int = 0

    def observe(self, duration_ms: float) -> None:
        duration_ms = max(duration_ms, 0.001)
        self.count += 1
        if self.count == 1:
            self.value = duration_ms
            return
        step = max(STEP, 1 / self.count)
        is_above = duration_ms > self.value
        self.value *= math.exp(step * (self.share if is_above else self.share - 1))


@attrs.define
class _Route:
    median: _Quantile = attrs.field(factory=lambda: _Quantile(0.5))
    upper: _Quantile = attrs.field(factory=lambda: _Quantile(UPPER_QUANTILE))


class DurationEstimator:
    """Learns how long the requests of each route of one service run.

    Parameters
    ----------
    long_factor : float
        Multiple of the service's median response time from which work is long.
    """

    def __init__(self, *, long_factor: float = 8.0) -> None:
        self._long_factor = long_factor
        self._median = _Quantile(0.5)
        self._routes: dict[str, _Route] = {}

    @property
    def threshold_ms(self) -> float:
        """Running time from which work is long, infinite while unknown."""
        if self._median.count < MIN_ANSWERS:
            return math.inf
        return self._long_factor * self._median.value

    def observe(self, route: str, duration_ms: float) -> None:
        """Take note of one response time.

        Parameters
        ----------
        route : str
            Name of the route.
        duration_ms : float
            Time from sending the request to its whole answer.
        """
        known = self._routes.setdefault(route, _Route())
        known.median.observe(duration_ms)
        known.upper.observe(duration_ms)
        self._median.observe(duration_ms)

    def is_long(self, route: str) -> bool:
        """Return whether the median of a route is above the long threshold."""
        known = self._routes.get(route)
        if known is None or known.median.count < MIN_ANSWERS:
            return False
        return known.median.value > self.threshold_ms

    def expected(self, route: str) -> float:
        """Return the median response time of a route in ms, 0 while unknown."""
        known = self._routes.get(route)
        return known.median.value if known else 0.0

    def upper(self, route: str) -> float:
        """Return the 95th percentile of a route in ms, 0 while unknown."""
        known = self._routes.get(route)
        return known.upper.value if known else 0.0
