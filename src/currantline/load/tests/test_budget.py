"""Tests of the probe budget over several instances."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from currantline.configuration import Service, Target
from currantline.exceptions import InvariantError
from currantline.load import ProbeBudget

INSTANCES = 5
BUDGET = 2.0
LEASE_GAP_MS = 200.0
STEP_MS = 100.0


def make_budget(budget: float = BUDGET) -> ProbeBudget:
    """Return a budget with the single target t."""
    target = Target(name="t", address="127.0.0.1:7000", data_centre="a", slots=2)
    service = Service(name="ordering", targets=(target,), probe_budget=budget)
    probe_budget = ProbeBudget(max_instances=INSTANCES)
    probe_budget.set_services([service])
    return probe_budget


class TestProbeBudget:
    """Probes of one instance."""

    @pytest.mark.parametrize("budget", [0.5, 1.0, 2.0, 3.0, 8.0])
    def test_rate(self, budget: float) -> None:
        """Guards against rounding that gives more or far fewer probes than half."""
        bucket = make_budget(budget)
        sent = [now for now in range(0, 40_001, 10) if bucket.allow("t", True, now)]
        assert len(sent) <= 40 * budget / 2
        assert len(sent) >= 0.95 * 40 * budget / 2 - 1
        assert sent[0] >= 2000 / budget

    def test_zero(self) -> None:
        """Guards against probes of a service whose budget is 0."""
        bucket = make_budget(0.0)
        assert not any(bucket.allow("t", True, now) for now in range(0, 9999, 100))

    def test_fault_is_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a fault of the bucket that goes over budget unseen."""
        bucket = make_budget()
        monkeypatch.setattr(bucket, "_find_period", lambda _: 0.0)
        assert bucket.allow("t", True, 0.0)
        with pytest.raises(InvariantError):
            bucket.allow("t", True, 999.0)


@settings(derandomize=True, max_examples=100, stateful_step_count=40, deadline=None)
class BudgetMachine(RuleBasedStateMachine):
    """Instances that probe one target whenever they may."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.budgets = [make_budget() for _ in range(INSTANCES)]
        self.lease: int | None = 0
        self.share: int | None = None
        self.second_share: int | None = None
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
                holds_share = i in (self.share, self.second_share)
                if budget.allow("t", holds_lease, self.now, holds_share=holds_share):
                    self.sent.append((self.now, holds_share and not holds_lease))

    @rule(to=st.integers(0, INSTANCES - 1), gap_ms=st.sampled_from([0.0, LEASE_GAP_MS]))
    def hand_over(self, to: int, gap_ms: float) -> None:
        """Move the lease."""
        self.now += gap_ms
        self.lease = to
        self.second_share = None

    @rule(to=st.one_of(st.none(), st.integers(0, INSTANCES - 1)))
    def split(self, to: int | None) -> None:
        """Give the share right to an instance, or heal the partition."""
        self.share = to

    @rule(to=st.integers(0, INSTANCES - 1))
    def lose_majority(self, to: int) -> None:
        """Split the fleet without a majority; two parts hold the share right."""
        self.lease = None
        self.second_share = to

    @rule(i=st.integers(0, INSTANCES - 1))
    def restart(self, i: int) -> None:
        """Replace an instance by a new process."""
        self.budgets[i] = make_budget()

    @rule(to=st.integers(0, INSTANCES - 1), steps=st.integers(21, 30))
    def pause(self, to: int, steps: int) -> None:
        """Pause the holder of the lease; it resumes when it is holder again."""
        asleep = self.lease
        if asleep is None or asleep == to:
            return
        self.paused = asleep
        self.lease = to
        self.share = None if self.share == asleep else self.share
        self._run(steps)
        self.paused = None
        self.lease = asleep

    @invariant()
    def within_budget(self) -> None:
        """Guards against a second with more probes than the budget."""
        times = [now for now, _ in self.sent[-8:]]
        for i, start in enumerate(times):
            window = [t for t in times[i:] if t < start + 1000]
            assert len(window) <= BUDGET, window

    @invariant()
    def calm_within_half(self) -> None:
        """Guards against a calm second with more probes than half the budget."""
        recent = [x for x in self.sent[-8:] if x[0] > self.now - 1000]
        if not any(is_split for _, is_split in recent):
            assert len(recent) <= BUDGET / 2, recent


class TestBudgetMachine(BudgetMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guarantee 1 at hand-overs, restarts, pauses and partitions."""
