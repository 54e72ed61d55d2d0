"""One instance's share of a fleet-wide retry budget."""

from collections import deque

import attrs

from currantline.validators import check_not_negative

__all__ = ["RetryBudget", "RetryBudgetOptions"]

# Share of the configured ratio that is used. The windows of the instances are not
# aligned, and the margin keeps their sum within the ratio.
RATIO_SHARE = 0.8

# Share of the fixed allowance that is used. A restarted instance begins with an empty
# window and may use its part twice.
SLACK_SHARE = 0.6


@attrs.frozen(kw_only=True)
class RetryBudgetOptions:
    """Retry budget of one service, shared by all instances.

    Parameters
    ----------
    ratio : float
        Allowed retries per caller request.
    slack : float
        Additional retries allowed in each window.
    window_ms : float
        Length of the sliding window in milliseconds.
    """

    ratio: float = attrs.field(default=0.2, validator=check_not_negative)
    slack: float = attrs.field(default=0.0, validator=check_not_negative)
    window_ms: float = attrs.field(default=10_000.0, validator=check_not_negative)


class RetryBudget:
    """Limits the retries of one service in a sliding window.

    Each instance may retry in proportion to the requests that it received itself, plus
    an equal part of the fixed allowance. The sum over all instances stays within the
    budget without coordination.

    Parameters
    ----------
    options : RetryBudgetOptions
        Budget of the fleet.
    """

    def __init__(self, options: RetryBudgetOptions) -> None:
        self._options = options
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, instances: int) -> bool:
        """Use one retry and return True if the budget allows it.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        instances : int
            Number of instances that share the fixed allowance.
        """
        self._expire(now)
        slack = self._options.slack * SLACK_SHARE / max(1, instances)
        allowance = self._options.ratio * RATIO_SHARE * len(self._requests)
        if len(self._retries) + 1 > allowance + slack:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._options.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest:
                times.popleft()
