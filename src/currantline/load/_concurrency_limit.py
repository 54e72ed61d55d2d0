"""Adaptive concurrency limit for one target, with slow start."""

import math
import statistics
from collections import deque

import attrs

__all__ = ["ConcurrencyLimit"]

# The median of 9 samples changes after 5 slow responses and ignores up to 4 outliers.
MAX_SAMPLES = 9
MIN_SAMPLES = 5
# Hysteresis: the limit does not change between the two factors.
SLOW_FACTOR = 3.0
NORMAL_FACTOR = 2.0
RAISE_AFTER = 8
# If a raise is followed by a shed request, the next raise needs twice as many
# successful responses, so a target shared with another partition rarely sheds requests.
MAX_RAISE_AFTER = 256


@attrs.define
class ConcurrencyLimit:
    """Number of slots of one target that may be used.

    Parameters
    ----------
    allowed : int
        Number of slots that may be used.
    median_ms : float or None
        Median of the last response times; None until there are enough samples.
    """

    allowed: int = 1
    median_ms: float | None = attrs.field(default=None, init=False)
    _successes: int = attrs.field(default=0, init=False)
    _raise_after: int = attrs.field(default=RAISE_AFTER, init=False)
    _reduced_at: float = attrs.field(default=-math.inf, init=False)
    _durations: deque[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._durations = deque(maxlen=MAX_SAMPLES)

    def restart(self) -> None:
        """Start a slow start."""
        self.allowed = 1
        self._successes = 0
        self._durations.clear()
        self.median_ms = None

    def add_duration(self, duration_ms: float) -> None:
        """Add a response time."""
        self._durations.append(duration_ms)
        if len(self._durations) >= MIN_SAMPLES:
            self.median_ms = statistics.median(self._durations)

    def record_success(self, slots: int, reference_ms: float | None) -> None:
        """Record a successful response.

        Parameters
        ----------
        slots : int
            Number of slots of the target.
        reference_ms : float or None
            Median response time of its service; None if there is nothing to compare
            with.
        """
        self._successes += 1
        factor = self._find_slowdown(reference_ms)
        if factor >= SLOW_FACTOR and self._successes >= RAISE_AFTER:
            self.allowed = max(1, self.allowed // 2)
            self._successes = 0
        elif factor <= NORMAL_FACTOR and self._successes >= self._raise_after:
            if self.allowed >= slots:
                self._raise_after = RAISE_AFTER
            self.allowed = min(slots, self.allowed + 1)
            self._successes = 0

    def record_failure(self, sent: float, now: float) -> None:
        """Reduce the limit by one slot after a failed or shed request.

        Requests sent before the last reduction do not reduce it again, so a burst of
        shed requests counts once.
        """
        self._successes = 0
        if sent < self._reduced_at:
            return
        self._reduced_at = now
        if self.allowed > 1:
            self.allowed -= 1
            self._raise_after = min(2 * self._raise_after, MAX_RAISE_AFTER)

    def _find_slowdown(self, reference_ms: float | None) -> float:
        if self.median_ms is None or not reference_ms:
            return 1.0
        return self.median_ms / reference_ms
