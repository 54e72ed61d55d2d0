"""The part of a fleet-wide retry budget that one instance may spend."""

from collections import deque

import attrs

__all__ = ["RetryBudget", "RetryBudgetOptions"]

# Part of the allowed ratio that is spent, so that instances whose windows begin at
# different moments stay within the ratio together.
RATIO_SHARE = 0.8

# Part of the fixed allowance that is spent; an instance that restarts begins with an
# empty window and may spend its part twice.
SLACK_SHARE = 0.6


@attrs.frozen(kw_only=True)
class RetryBudgetOptions:
    """What all instances together may send again to one service.

    Parameters
    ----------
    ratio : float
        Repeated sends for each request of callers.
    slack : float
        Repeated sends allowed besides, in each window.
    window_ms : float
        Length of the sliding window in milliseconds.
    """

    ratio: float = 0.2
    slack: float = 0.0
    window_ms: float = 10_000.0


class RetryBudget:
    """Counts requests and repeated sends of one service in a sliding window.

    Each instance spends in proportion to the requests that it took itself, and an
    even part of the fixed allowance, so the sum over instances stays within the
    budget whatever each of them knows of the others.

    Parameters
    ----------
    terms : RetryBudgetOptions
        The budget of the fleet.
    """

    def __init__(self, options: RetryBudgetOptions) -> None:
        self._options = options
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, instances: int) -> bool:
        """Spend one repeated send if the budget allows it.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        instances : int
            Instances that share the fixed allowance.
        """
        self._expire(now)
        slack = self._options.slack * SLACK_SHARE / max(1, instances)
        earned = self._options.ratio * RATIO_SHARE * len(self._requests)
        if len(self._retries) + 1 > earned + slack:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._options.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest:
                times.popleft()
