"""Limit on retries."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that ties retries to first attempts.

    A fixed number of retries per request would multiply the load of a service
    whose targets all shed.

    Parameters
    ----------
    retry_ratio : float
        Tokens gained with each first attempt.
    capacity : float
        Most tokens kept.
    """

    def __init__(self, *, retry_ratio: float = 0.1, capacity: float = 10.0) -> None:
        self._retry_ratio = retry_ratio
        self._capacity = capacity
        self._tokens = 0.0

    def record_attempt(self, now: float) -> None:
        """Take note of a first attempt at a time in ms."""
        self._tokens = min(self._capacity, self._tokens + self._retry_ratio)

    def spend(self, now: float) -> bool:
        """Take one token if there is one.

        Parameters
        ----------
        now : float
            Time in ms; the bucket depends on attempts alone.

        Returns
        -------
        bool
            Whether a retry is allowed.
        """
        # Ten steps of 0.1 add up to slightly less than 1.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True
