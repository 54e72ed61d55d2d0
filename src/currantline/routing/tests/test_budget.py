"""Tests of the retry budget."""

import random

from currantline.routing import RetryBudget, RetryBudgetOptions

OPTIONS = RetryBudgetOptions(ratio=0.2, slack=64.0, window_ms=10_000.0)
INSTANCES = 18


class TestRetryBudget:
    """Retries that one instance may use."""

    def test_slack_is_shared(self) -> None:
        """Guards against each instance using the whole fixed allowance."""
        taken = 0
        for _ in range(INSTANCES):
            budget = RetryBudget(OPTIONS)
            while budget.try_acquire(0.0, INSTANCES):
                taken += 1
        assert 0 < taken <= OPTIONS.slack

    def test_window_slides(self) -> None:
        """Guards against retries that leave the window too late or too early."""
        budget = RetryBudget(OPTIONS)
        for now in range(0, 1000, 10):
            budget.record_request(float(now))
        spent = sum(budget.try_acquire(1000.0, INSTANCES) for _ in range(100))
        assert 0 < spent <= 0.2 * 100 + 64 / INSTANCES
        assert not budget.try_acquire(9_000.0, INSTANCES)
        assert budget.try_acquire(11_500.0, INSTANCES)

    def test_every_window_of_the_fleet(self) -> None:
        """Guards against a fleet total above the budget in any window."""
        rng = random.Random(3)
        budgets = [RetryBudget(OPTIONS) for _ in range(INSTANCES)]
        requests: list[float] = []
        retries: list[float] = []
        for now in range(0, 40_000, 7):
            budget = rng.choice(budgets)
            budget.record_request(float(now))
            requests.append(float(now))
            while budget.try_acquire(float(now), INSTANCES):
                retries.append(float(now))
        for start in range(0, 30_000, 500):
            inside = [t for t in retries if start <= t < start + 10_000]
            before = [t for t in requests if start - 10_000 <= t < start]
            during = [t for t in requests if start <= t < start + 10_000]
            allowed = 0.2 * max(len(before), len(during)) + 64
            assert len(inside) <= allowed
