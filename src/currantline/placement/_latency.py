"""How long requests of a route usually take at a target."""

__all__ = ["LatencyAverages"]

# Assumed until a route has been answered, in milliseconds.
DEFAULT_LATENCY_MS = 150.0

# Weight of a new observation.
EWMA_WEIGHT = 0.1

# A straggler counts as this multiple of the usual time at most.
MAX_RATIO = 3.0


class LatencyAverages:
    """Moving averages of target times, by route."""

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def read(self, route: str) -> float:
        """Return the usual time of a route in milliseconds."""
        return self._averages.get(route, DEFAULT_LATENCY_MS)

    def record(self, route: str, duration_ms: float) -> float:
        """Count one answer and return its duration relative to the usual."""
        average = self._averages.get(route)
        if average is None:
            self._averages[route] = duration_ms
            return 1.0
        ratio = duration_ms / max(average, 0.1)
        self._averages[route] = average + EWMA_WEIGHT * average * (
            min(ratio, MAX_RATIO) - 1.0
        )
        return ratio
