"""Tests of issuing permits."""

import random

import pytest

from currantline.permits import PermitIssuer, WaitBounds
from currantline.placement import RateLimit

WINDOW_MS = 4_000.0

# A request that can wait for 100 ms to be in time, and one that is overdue.
FRESH = WaitBounds(in_time_ms=100.0, max_ms=700.0)
OVERDUE = WaitBounds(max_ms=300.0)


class Scenario:
    """An issuer of permits for one target."""

    def __init__(self, per_s: float) -> None:
        self.issuer = PermitIssuer()
        self.now = 0.0
        self.name_limit(per_s)

    def name_limit(self, per_s: float | None) -> None:
        """Let the target name a limit."""
        self.now += 1.0
        self.issuer.observe("t", RateLimit(per_s, self.now), self.now)

    def ask(self, wait_bounds: WaitBounds) -> float | None:
        """Ask for a permit and return the time until it, None if it is denied."""
        permit = self.issuer.issue("t", wait_bounds, self.now)
        return permit.wait_ms if permit.is_granted else None

    def ask_every(
        self, interval_ms: float, wait_bounds: WaitBounds
    ) -> list[float | None]:
        """Ask for permits over four seconds."""
        results = []
        for _ in range(round(WINDOW_MS / interval_ms)):
            self.now += interval_ms
            results.append(self.ask(wait_bounds))
        return results


class TestRate:
    """Permits over time."""

    @pytest.mark.parametrize("per_s", [0.4, 2.9, 40.0])
    def test_random_demand(self, per_s: float) -> None:
        """Guards against more permits in any window than the target takes."""
        rng = random.Random(1)
        scenario = Scenario(per_s)
        times = []
        for _ in range(3_000):
            scenario.now += rng.choice((0.0, 5.0, 50.0, 900.0))
            wait_ms = scenario.ask(
                WaitBounds(in_time_ms=50.0, max_ms=rng.uniform(0, 2e3))
            )
            if wait_ms is not None:
                times.append(scenario.now + wait_ms)
        most = max(sum(0 <= t - start < WINDOW_MS for t in times) for start in times)
        assert most <= 1.5 * per_s * WINDOW_MS / 1000 + 5
        # Four requests a second ask on average.
        assert len(times) >= 0.5 * min(per_s, 4.0) * scenario.now / 1000

    @pytest.mark.parametrize("per_s", [2.9, 40.0])
    def test_varying_limit(self, per_s: float) -> None:
        """Guards against permits that are issued again whenever the limit changes."""
        scenario = Scenario(per_s)
        granted = []
        for number in range(4_000):
            scenario.now += 1.0
            granted.append(scenario.ask(FRESH) is not None)
            if granted[-1]:
                scenario.name_limit(per_s * (0.99 if number % 2 else 1.0))
        assert sum(granted) <= 1.5 * per_s * WINDOW_MS / 1000 + 5

    def test_first_permit(self) -> None:
        """Guards against a doubled rate when another instance becomes the issuer."""
        scenario = Scenario(2.0)
        assert scenario.ask(WaitBounds()) is None
        scenario.now += 500.0
        assert scenario.ask(WaitBounds()) == 0.0

    def test_change(self) -> None:
        """Guards against a limit that stays in force after it was changed or ended."""
        scenario = Scenario(0.4)
        scenario.now += 2_500.0
        assert scenario.ask(WaitBounds()) == 0.0
        scenario.name_limit(10.0)
        assert scenario.ask(FRESH) == 99.0
        scenario.name_limit(None)
        assert [scenario.ask(WaitBounds()) for _ in range(9)] == [0.0] * 9
        scenario.now += 5_000.0
        scenario.name_limit(10.0)
        assert scenario.ask(WaitBounds()) is None


class TestOverload:
    """More requests than the limit permits."""

    def test_fresh(self) -> None:
        """Guards against permits that come too late for the latency objective."""
        scenario = Scenario(10.0)
        scenario.ask_every(20.0, FRESH)
        granted = [w for w in scenario.ask_every(20.0, FRESH) if w is not None]
        assert len(granted) == 40
        assert max(granted) <= FRESH.in_time_ms

    def test_overdue(self) -> None:
        """Guards against overdue requests that take permits from those in time."""
        scenario = Scenario(10.0)
        scenario.ask_every(20.0, FRESH)
        assert scenario.ask(OVERDUE) is None
        scenario.now += 100.0
        assert scenario.ask(FRESH) is not None

    def test_end(self) -> None:
        """Guards against an overload that outlasts the demand."""
        scenario = Scenario(2.0)
        scenario.ask_every(20.0, FRESH)
        scenario.now += 2_000.0
        assert [scenario.ask(OVERDUE) for _ in range(3)] == [0.0, 0.0, None]
        assert scenario.ask(FRESH) == 500.0
