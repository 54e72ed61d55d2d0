"""Estimates the age of requests from the remaining time that callers send.

Each request states how long its caller still waits. A caller that retries after it was
refused states less than the first time; the difference is the age of its request.
"""

__all__ = ["RequestAgeEstimator"]

# Smaller ages count as 0, in milliseconds, since they are transit time.
MIN_AGE_MS = 20.0


class RequestAgeEstimator:
    """Tracks the maximum remaining time that callers of each route have stated."""

    def __init__(self) -> None:
        self._longest_ms: dict[str, float] = {}

    def estimate_age(self, route: str, remaining_ms: float) -> float:
        """Return how long a caller has already waited, in milliseconds.

        Parameters
        ----------
        route : str
            Name of the route.
        remaining_ms : float
            Remaining time that the caller stated, in milliseconds.

        Examples
        --------
        >>> estimator = RequestAgeEstimator()
        >>> estimator.estimate_age("r", 3000.0)
        0.0
        >>> estimator.estimate_age("r", 2600.0)
        400.0
        """
        longest_ms = max(self._longest_ms.get(route, 0.0), remaining_ms)
        self._longest_ms[route] = longest_ms
        age_ms = longest_ms - remaining_ms
        return age_ms if age_ms > MIN_AGE_MS else 0.0
