"""Tests of the probe budget across several instances."""

import math

import pytest
from hypothesis import settings as make_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from currantline.configuration import Service, Target
from currantline.exceptions import InvariantError
from currantline.load import ProbeBudget, count_share_holders

INSTANCES = 5
BUDGET = 2.0
LEASE_GAP_MS = 200.0
STEP_MS = 100.0


def make_budget(budget: float = BUDGET) -> ProbeBudget:
    """Return a budget with a single target named t."""
    target = Target(name="t", address="127.0.0.1:7000", data_centre="a", slots=2)
    service = Service(name="ordering", targets=(target,), probe_budget=budget)
    probe_budget = ProbeBudget()
    probe_budget.set_services([service])
    return probe_budget


class TestProbeBudget:
    """Probes of one instance."""

    @pytest.mark.parametrize("budget", [0.5, 1.0, 2.0, 3.0, 8.0])
    def test_rate(self, budget: float) -> None:
        """Guards against rounding that allows more or far fewer probes than half."""
        bucket = make_budget(budget)
        sent = [now for now in range(0, 40_001, 10) if bucket.allow("t", True, now)]
        assert len(sent) <= 40 * budget / 2
        assert len(sent) >= 0.95 * 40 * budget / 2 - 1
        assert sent[0] >= 2000 / budget

    def test_zero(self) -> None:
        """Guards against probes of a service with a budget of 0."""
        bucket = make_budget(0.0)
        assert not any(bucket.allow("t", True, now) for now in range(0, 9999, 100))

    def test_violation_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a fault of the bucket that exceeds the budget undetected."""
        bucket = make_budget()
        monkeypatch.setattr(bucket, "_find_period", lambda _: 0.0)
        assert bucket.allow("t", True, 0.0)
        with pytest.raises(InvariantError):
            bucket.allow("t", True, 999.0)


SETTINGS = make_settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
FEWER_EXAMPLES = make_settings(SETTINGS, max_examples=40)


class BudgetMachine(RuleBasedStateMachine):
    """Instances that probe one target whenever the budget allows it."""

    budget = BUDGET

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.budgets = [make_budget(self.budget) for _ in range(INSTANCES)]
        self.lease: int | None = 0
        self.shares: set[int] = set()
        self.paused: int | None = None
        self.sent: list[tuple[float, bool]] = []

    @rule(steps=st.integers(1, 60))
    def run(self, steps: int) -> None:
        """Let every instance that is not paused probe at each step."""
        self._run(steps)

    def _run(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_MS
            for i, budget in enumerate(self.budgets):
                if i == self.paused:
                    continue
                holds_lease = self.lease == i
                holds_share = i in self.shares
                if budget.allow("t", holds_lease, self.now, holds_share=holds_share):
                    self.sent.append((self.now, holds_share and not holds_lease))

    def _limit_shares(self, added: set[int]) -> None:
        # The permitted maximum: one more holder while no instance holds the lease.
        limit = count_share_holders(self.budget) + (self.lease is None)
        self.shares = set(sorted(added)[:limit])

    @rule(to=st.integers(0, INSTANCES - 1), gap_ms=st.sampled_from([0.0, LEASE_GAP_MS]))
    def hand_over(self, to: int, gap_ms: float) -> None:
        """Transfer the lease to another instance."""
        self.now += gap_ms
        self.lease = to
        self._limit_shares(self.shares)

    @rule(to=st.sets(st.integers(0, INSTANCES - 1)))
    def share(self, to: set[int]) -> None:
        """Grant the share right to instances, as many as are permitted."""
        self._limit_shares(to)

    @rule(to=st.sets(st.integers(0, INSTANCES - 1)))
    def lose_majority(self, to: set[int]) -> None:
        """Partition the fleet without a majority; permits one more share right."""
        self.lease = None
        self._limit_shares(to)

    @rule(i=st.integers(0, INSTANCES - 1))
    def restart(self, i: int) -> None:
        """Replace an instance with a new process."""
        self.budgets[i] = make_budget(self.budget)

    @rule(to=st.integers(0, INSTANCES - 1), steps=st.integers(21, 30))
    def pause(self, to: int, steps: int) -> None:
        """Pause the lease holder; it resumes once it holds the lease again."""
        previous = self.lease
        if previous is None or previous == to:
            return
        self.paused = previous
        self.lease = to
        self.shares.discard(previous)
        self._run(steps)
        self.paused = None
        self.lease = previous

    @invariant()
    def within_budget(self) -> None:
        """Guards against a second with more probes than the budget."""
        times = [now for now, _ in self.sent[-16:]]
        for i, start in enumerate(times):
            window = [t for t in times[i:] if t < start + 1000]
            assert len(window) <= self.budget, window

    @invariant()
    def without_share_within_half(self) -> None:
        """Guards against a second without share probes that exceeds half the budget."""
        recent = [x for x in self.sent[-16:] if x[0] > self.now - 1000]
        if not any(is_share for _, is_share in recent):
            assert len(recent) <= math.ceil(self.budget / 2), recent


class TestBudgetMachine(BudgetMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guarantee 1 during lease transfers, restarts, pauses and partitions."""

    settings = SETTINGS


class SmallBudgetMachine(BudgetMachine):
    """A budget without room for a share right while the lease is held."""

    budget = 1.0


class TestSmallBudgetMachine(SmallBudgetMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guarantee 1 with a budget of 1."""

    settings = FEWER_EXAMPLES


class OddBudgetMachine(BudgetMachine):
    """A budget whose half is not an integer."""

    budget = 3.0


class TestOddBudgetMachine(OddBudgetMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guarantee 1 with a budget of 3."""

    settings = FEWER_EXAMPLES


class LargeBudgetMachine(BudgetMachine):
    """A budget with several probes per second in each half."""

    budget = 8.0


class TestLargeBudgetMachine(LargeBudgetMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guarantee 1 with a budget of 8."""

    settings = FEWER_EXAMPLES
