"""Passive health of a target, observed from an instance's own requests.

Detects targets whose health checks pass although they fail some of their requests,
reject all requests while they report no load, flap, or respond much more slowly than
others.
"""

import math
from collections.abc import Collection

import attrs

__all__ = ["CommonFailures", "PassiveHealth"]

# Half-life of observations in milliseconds. Grey failures and flapping last for several
# seconds.
HALF_LIFE_MS = 2_500.0

# Weight of a new observation in the moving average of the slowness.
SLOWNESS_WEIGHT = 0.3

# Upper bound of one observation. Stragglers take up to ten times the average, and a
# single one must not exclude the target.
MAX_SLOWNESS = 4.0


# Maximum weight of failures, and the factor by which a success lowers it.
MAX_WEIGHT = 4.0
SUCCESS_FACTOR = 0.6

# Time in milliseconds for which a target that answered a request counts as observed.
OBSERVED_MS = 2.0 * HALF_LIFE_MS

# With fewer observed targets it is unknown what they have in common.
MIN_OBSERVED = 4


@attrs.define
class CommonFailures:
    """Rejections that the targets of one service have in common.

    Handles a service whose targets all reject a part of their requests. Then rejections
    do not tell one target from another. Without this, requests would wait for a better
    target while all have free slots, move to the few targets that happen to have
    rejected none and fill them, and open new connections on the way. Targets that do
    not answer are no part of it: after the loss of a data centre they are many.

    Parameters
    ----------
    weight : float
        Median of the rejection weights of the targets that answer.
    """

    weight: float = 0.0

    def update(self, observed: "Collection[PassiveHealth]", now: float) -> None:
        """Find the weight from the targets of the service.

        Parameters
        ----------
        observed : collection of PassiveHealth
            All targets of the service.
        now : float
            Current time in milliseconds.
        """
        weights = sorted(
            health.rejection_weight(now)
            for health in observed
            if health.is_observed(now)
        )
        is_known = len(weights) >= MIN_OBSERVED
        self.weight = weights[(len(weights) - 1) // 2] if is_known else 0.0


@attrs.define
class PassiveHealth:
    """Recent failures and observed slowness of one target.

    Parameters
    ----------
    slowness : float
        Response time relative to the average of the route.
    common : CommonFailures
        Failures that it has in common with the other targets of the service.
    """

    slowness: float = 1.0
    common: CommonFailures = attrs.field(factory=CommonFailures)
    _failure_weight: float = 0.0
    _updated_ms: float = 0.0
    _rejection_weight: float = 0.0
    _answered_ms: float = -math.inf

    def is_observed(self, now: float) -> bool:
        """Return whether the target has answered a request recently."""
        return now - self._answered_ms < OBSERVED_MS

    def excess_failure_weight(self, now: float) -> float:
        """Return by how much its failures exceed the rejections in common."""
        return max(0.0, self.failure_weight(now) - self.common.weight)

    def rejection_weight(self, now: float) -> float:
        """Return the decayed weight of recent rejections; one starts with 1."""
        decay = math.exp2((self._answered_ms - now) / HALF_LIFE_MS)
        return self._rejection_weight * decay

    def failure_weight(self, now: float) -> float:
        """Return the decayed weight of recent failures; a failure starts with 1."""
        return self._failure_weight * self._decay(now)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Record a request that the target failed or rejected."""
        self._failure_weight = min(MAX_WEIGHT, self.failure_weight(now) + weight)
        self._updated_ms = now

    def record_rejection(self, now: float) -> None:
        """Record a request that the target answered with a rejection or an error."""
        self.record_failure(now)
        self._rejection_weight = min(MAX_WEIGHT, self.rejection_weight(now) + 1.0)
        self._answered_ms = now

    def record_success(self, now: float, ratio: float) -> None:
        """Record a successful response.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        ratio : float
            Response time relative to the average of the route.
        """
        self._failure_weight = self.failure_weight(now) * SUCCESS_FACTOR
        self._updated_ms = now
        self._rejection_weight = self.rejection_weight(now) * SUCCESS_FACTOR
        self._answered_ms = now
        bounded = min(MAX_SLOWNESS, max(0.5, ratio))
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    def decayed_slowness(self, now: float) -> float:
        """Return the slowness, which decays to 1 while there are no observations."""
        return 1.0 + (self.slowness - 1.0) * self._decay(now)

    def _decay(self, now: float) -> float:
        return math.exp2((self._updated_ms - now) / HALF_LIFE_MS)
