"""How long callers of a route wait in all.

Callers state the time that they still wait. A caller that returns after a refusal
states less than at first, which tells how old its request is.
"""

__all__ = ["CallerPatience"]

# A caller that states this much less than the longest time is taken for new, in
# milliseconds; the rest is spent on the way.
ROUNDING_MS = 20.0


class CallerPatience:
    """Longest time to wait that callers stated, by route."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def find_age(self, route: str, stated_ms: float) -> float:
        """Return how long a caller has been waiting already, in milliseconds.

        Parameters
        ----------
        route : str
            Name of the route.
        stated_ms : float
            Time for which the caller still waits.

        Examples
        --------
        >>> patience = CallerPatience()
        >>> patience.find_age("r", 3000.0)
        0.0
        >>> patience.find_age("r", 2600.0)
        400.0
        """
        longest = max(self._longest.get(route, 0.0), stated_ms)
        self._longest[route] = longest
        age_ms = longest - stated_ms
        return age_ms if age_ms > ROUNDING_MS else 0.0
