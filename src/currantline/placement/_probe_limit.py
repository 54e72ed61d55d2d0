"""Limit of health checks, kept by each instance without coordination.

A health check occupies a target for some milliseconds. During a surge every instance
searches for free slots at once, and the checks of the whole fleet would take the
capacity that the waiting requests need.
"""

import attrs

__all__ = ["ProbeLimit"]

# Time for which unused health checks are saved for a surge, in seconds. Demand swings
# within some ten seconds.
MAX_SAVED_S = 30.0

# Health checks that a started instance has at once, as a time at the permitted rate.
# Searches begin before any checks could be saved.
INITIAL_S = 1.0


@attrs.define
class _Bucket:
    tokens: float
    updated_ms: float


class ProbeLimit:
    """Keeps the health checks of each service within a limit for the whole fleet.

    Each instance may use an equal part of the checks that all targets of the service
    may get. Which targets it probes is its own choice, so that it can prefer those of
    its data centre. Unused checks are saved for a surge (token bucket), so the limit
    holds for the mean since the instance started. Until a started instance knows the
    others, it counts a smaller fleet and may send more than its part.

    Parameters
    ----------
    max_per_s : int
        Maximum number of health checks of one target per second, from all instances.
    """

    def __init__(self, max_per_s: int) -> None:
        self._max_per_s = max_per_s
        self._buckets: dict[str, _Bucket] = {}

    def count_left(
        self, service: str, *, targets: int, instances: int, now: float
    ) -> int:
        """Return how many health checks this instance may send now.

        Parameters
        ----------
        service : str
            Name of the service.
        targets : int
            Number of its targets.
        instances : int
            Number of instances of the fleet.
        now : float
            Current time in milliseconds.

        Examples
        --------
        >>> limit = ProbeLimit(60)
        >>> limit.count_left("s", targets=15, instances=16, now=0.0)
        56
        >>> limit.count_left("s", targets=15, instances=16, now=60_000.0)
        1687
        """
        rate_per_s = self._max_per_s * targets / instances
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(INITIAL_S * rate_per_s, now)
        saved = bucket.tokens + rate_per_s * (now - bucket.updated_ms) / 1_000.0
        bucket.tokens = min(MAX_SAVED_S * rate_per_s, saved)
        bucket.updated_ms = now
        return max(0, int(bucket.tokens))

    def record(self, service: str, count: int) -> None:
        """Count health checks that `count_left` allowed."""
        self._buckets[service].tokens -= count
