"""How long callers of a route wait in all.

Callers state the time that they still wait. A caller that returns after a refusal
states less than at first, which tells how old its request is.
"""

__all__ = ["RequestAgeEstimator"]

# A caller that states this much less than the longest time is taken for new, in
# milliseconds; the rest is spent on the way.
MIN_AGE_MS = 20.0


class RequestAgeEstimator:
    """Longest time to wait that callers stated, by route."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def estimate_age(self, route: str, remaining_ms: float) -> float:
        """Return how long a caller has been waiting already, in milliseconds.

        Parameters
        ----------
        route : str
            Name of the route.
        remaining_ms : float
            Time for which the caller still waits.

        Examples
        --------
        >>> estimator = RequestAgeEstimator()
        >>> estimator.estimate_age("r", 3000.0)
        0.0
        >>> estimator.estimate_age("r", 2600.0)
        400.0
        """
        longest = max(self._longest.get(route, 0.0), remaining_ms)
        self._longest[route] = longest
        age_ms = longest - remaining_ms
        return age_ms if age_ms > MIN_AGE_MS else 0.0
