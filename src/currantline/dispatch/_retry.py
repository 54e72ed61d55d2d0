"""Retry budgets."""

from collections.abc import Iterable

from currantline.configuration import Service

__all__ = ["RetryBudget", "RetryBudgets"]


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    A fixed number of retries per request would multiply the load on a service
    while all of its targets shed load.

    Parameters
    ----------
    retry_ratio : float
        Tokens gained with each first attempt.
    capacity : float
        Maximum number of tokens.
    """

    def __init__(self, *, retry_ratio: float = 0.1, capacity: float = 10.0) -> None:
        self._retry_ratio = retry_ratio
        self._capacity = capacity
        self._tokens = 0.0

    def record_attempt(self, now: float) -> None:
        """Record a first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._retry_ratio)

    def spend(self, now: float) -> bool:
        """Take a token if one is available.

        Parameters
        ----------
        now : float
            Time in ms; unused, as tokens depend on attempts only.

        Returns
        -------
        bool
            Whether a retry is allowed.
        """
        # In floating point, ten steps of 0.1 add up to slightly less than 1.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


class RetryBudgets:
    """Retry budgets of all services."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}
        self._ratios: dict[str, float] = {}

    def set_services(self, services: Iterable[Service]) -> None:
        """Apply a configuration; a changed ratio resets the budget of its service."""
        ratios = {service.name: service.retry_ratio for service in services}
        self._budgets = {
            name: budget
            for name, budget in self._budgets.items()
            if ratios.get(name) == self._ratios[name]
        }
        self._ratios = ratios

    def find(self, service: str) -> RetryBudget:
        """Return the budget of a service; an unknown service allows no retries."""
        if service not in self._ratios:
            return RetryBudget(retry_ratio=0.0)
        if service not in self._budgets:
            budget = RetryBudget(retry_ratio=self._ratios[service])
            self._budgets[service] = budget
        return self._budgets[service]
