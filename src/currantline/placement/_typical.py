"""How long requests of a route usually take at a target."""

__all__ = ["TypicalTimes"]

# Assumed until a route has been answered, in milliseconds.
UNKNOWN_MS = 150.0

# Weight of a new observation.
WEIGHT = 0.1

# A straggler counts as this multiple of the usual time at most.
MAX_RATIO = 3.0


class TypicalTimes:
    """Moving averages of target times, by route."""

    def __init__(self) -> None:
        self._times: dict[str, float] = {}

    def read(self, route: str) -> float:
        """Return the usual time of a route in milliseconds."""
        return self._times.get(route, UNKNOWN_MS)

    def note(self, route: str, duration_ms: float) -> float:
        """Count one answer and return its duration relative to the usual."""
        usual = self._times.get(route)
        if usual is None:
            self._times[route] = duration_ms
            return 1.0
        ratio = duration_ms / max(usual, 0.1)
        self._times[route] = usual + WEIGHT * usual * (min(ratio, MAX_RATIO) - 1.0)
        return ratio
