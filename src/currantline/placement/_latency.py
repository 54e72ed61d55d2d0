"""Average response times of targets by route."""

__all__ = ["LatencyAverages"]

# Assumed until the first response on a route, in milliseconds.
DEFAULT_LATENCY_MS = 150.0

# Weight of a new observation in the moving average.
EWMA_WEIGHT = 0.1

# Observations are capped at this multiple of the average to limit the effect of
# stragglers.
MAX_RATIO = 3.0


class LatencyAverages:
    """Exponential moving averages of response times by route."""

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def read(self, route: str) -> float:
        """Return the average response time of a route in milliseconds."""
        return self._averages.get(route, DEFAULT_LATENCY_MS)

    def record(self, route: str, duration_ms: float) -> float:
        """Record a response time and return its ratio to the previous average."""
        average = self._averages.get(route)
        if average is None:
            self._averages[route] = duration_ms
            return 1.0
        ratio = duration_ms / max(average, 0.1)
        self._averages[route] = average + EWMA_WEIGHT * average * (
            min(ratio, MAX_RATIO) - 1.0
        )
        return ratio
