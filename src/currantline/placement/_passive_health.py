"""What an instance has learned of a target from its own requests.

Answers the load patterns of targets that fail part of their requests while their
health check is good, reject everything while they look idle, go down and up by
turns, or answer much more slowly than others.
"""

import math

import attrs

__all__ = ["PassiveHealth"]

# Time in which a failure loses half of its weight, in milliseconds. Grey and
# flapping targets stay so for several seconds.
HALF_LIFE_MS = 2_500.0

# Weight of a new observation of slowness.
SLOWNESS_WEIGHT = 0.3

# Stragglers run up to ten times as long; one of them must not condemn a target.
MAX_SLOWNESS = 4.0


@attrs.define
class PassiveHealth:
    """Recent failures and slowness of one target.

    Parameters
    ----------
    slowness : float
        Duration of its answers relative to the usual of the service.
    """

    slowness: float = 1.0
    _failure_weight: float = 0.0
    _updated_ms: float = 0.0

    def failure_weight(self, now: float) -> float:
        """Return the weight of recent failures; one that just happened weighs 1."""
        return self._failure_weight * self._decay(now)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Count a request that the target failed or rejected."""
        self._failure_weight = min(4.0, self.failure_weight(now) + weight)
        self._updated_ms = now

    def record_success(self, now: float, ratio: float) -> None:
        """Count an answer.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        ratio : float
            Duration relative to the usual of the service.
        """
        self._failure_weight = self.failure_weight(now) * 0.6
        self._updated_ms = now
        bounded = min(MAX_SLOWNESS, max(0.5, ratio))
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    def decayed_slowness(self, now: float) -> float:
        """Return the slowness, which fades while nothing is observed."""
        return 1.0 + (self.slowness - 1.0) * self._decay(now)

    def _decay(self, now: float) -> float:
        return math.exp2((self._updated_ms - now) / HALF_LIFE_MS)
