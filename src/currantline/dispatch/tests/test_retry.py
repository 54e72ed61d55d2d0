"""Tests of the retry budget."""

from currantline.dispatch import RetryBudget


class TestRetryBudget:
    """Limits of a retry budget."""

    def test_ratio(self) -> None:
        """Guards against retries that multiply the load on a failing service."""
        budget = RetryBudget(retry_ratio=0.1)
        retries = 0
        for _ in range(1000):
            budget.record_attempt(0.0)
            retries += budget.spend(0.0)
        assert retries == 100

    def test_cap(self) -> None:
        """Guards against a burst of retries after a long period without failures."""
        budget = RetryBudget(retry_ratio=0.1, capacity=10.0)
        for _ in range(10_000):
            budget.record_attempt(0.0)
        assert sum(budget.spend(0.0) for _ in range(100)) == 10
