"""Passive health of a target, observed from an instance's own requests.

Detects targets whose health checks pass although they fail some of their requests,
reject all requests while they report no load, flap, or respond much more slowly than
others.
"""

import math

import attrs

__all__ = ["PassiveHealth"]

# Half-life of observations in milliseconds. Grey failures and flapping last for several
# seconds.
HALF_LIFE_MS = 2_500.0

# Weight of a new observation in the moving average of the slowness.
SLOWNESS_WEIGHT = 0.3

# Upper bound of one observation. Stragglers take up to ten times the average, and a
# single one must not exclude the target.
MAX_SLOWNESS = 4.0


@attrs.define
class PassiveHealth:
    """Recent failures and observed slowness of one target.

    Parameters
    ----------
    slowness : float
        Response time relative to the average of the route.
    """

    slowness: float = 1.0
    _failure_weight: float = 0.0
    _updated_ms: float = 0.0

    def failure_weight(self, now: float) -> float:
        """Return the decayed weight of recent failures; a failure starts with 1."""
        return self._failure_weight * self._decay(now)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Record a request that the target failed or rejected."""
        self._failure_weight = min(4.0, self.failure_weight(now) + weight)
        self._updated_ms = now

    def record_success(self, now: float, ratio: float) -> None:
        """Record a successful response.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        ratio : float
            Response time relative to the average of the route.
        """
        self._failure_weight = self.failure_weight(now) * 0.6
        self._updated_ms = now
        bounded = min(MAX_SLOWNESS, max(0.5, ratio))
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    def decayed_slowness(self, now: float) -> float:
        """Return the slowness, which decays to 1 while there are no observations."""
        return 1.0 + (self.slowness - 1.0) * self._decay(now)

    def _decay(self, now: float) -> float:
        return math.exp2((self._updated_ms - now) / HALF_LIFE_MS)
