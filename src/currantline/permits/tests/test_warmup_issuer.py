"""Tests of issuing permits of targets that warm up."""

import random

import pytest

from currantline.permits import WINDOW_MS, Permit, WarmupIssuer

MAX_PERMITS = 5


class Scenario:
    """An issuer of permits for one cold target, known since time 0."""

    def __init__(self, now: float = WINDOW_MS + 1.0) -> None:
        self.issuer = WarmupIssuer()
        self.now = now

    def ask(
        self,
        rank: int = 0,
        host: str = "h",
        *,
        per_s: float | None = None,
        known_since_ms: float | None = 0.0,
    ) -> Permit:
        """Ask for a permit."""
        return self.issuer.issue(
            "t",
            host=host,
            rank=rank,
            max_permits=MAX_PERMITS,
            per_s=per_s,
            known_since_ms=known_since_ms,
            now=self.now,
        )


class TestWindow:
    """Permits in a second and the validity of a permit."""

    @pytest.mark.parametrize("seed", range(5))
    def test_random_demand(self, seed: int) -> None:
        """Guards against more than half of the bound in any window."""
        rng = random.Random(seed)
        scenario = Scenario()
        granted = []
        for _ in range(3_000):
            scenario.now += rng.choice((0.0, 1.0, 20.0, 100.0))
            permit = scenario.ask(rng.randrange(2), rng.choice("abc"))
            if permit.is_granted:
                granted.append(scenario.now)
        most = max(
            sum(0 <= t - start <= WINDOW_MS for t in granted) for start in granted
        )
        assert most == MAX_PERMITS
        # A place is used again soon after it is free.
        assert len(granted) >= 0.7 * MAX_PERMITS * scenario.now / WINDOW_MS

    def test_first_second(self) -> None:
        """Guards against permits beside those of an earlier issuer or start."""
        scenario = Scenario(now=10.0)
        assert scenario.ask() == Permit(is_granted=False, wait_ms=WINDOW_MS - 10.0)
        scenario.now = WINDOW_MS
        assert not scenario.ask().is_granted
        scenario.now += 1.0
        assert scenario.ask().is_granted

    def test_unknown_warmup(self) -> None:
        """Guards against permits at once for a target that only others call cold."""
        scenario = Scenario(now=50_000.0)
        assert not scenario.ask(known_since_ms=None).is_granted
        scenario.now += WINDOW_MS + 1.0
        assert scenario.ask(known_since_ms=None).is_granted
        scenario.now += 60_000.0
        assert not scenario.ask(known_since_ms=None).is_granted

    def test_lower_limit(self) -> None:
        """Guards against a warm-up that lifts a lower limit of the target."""
        scenario = Scenario()
        granted = 0
        for _ in range(40):
            granted += scenario.ask(per_s=2.0).is_granted
            scenario.now += 50.0
        assert granted == 4


class TestRank:
    """Requests that compete for the places."""

    def test_waiting(self) -> None:
        """Guards against a place that an instance nearby takes from one of priority."""
        scenario = Scenario()
        assert scenario.ask(rank=2).is_granted
        scenario.now += scenario.ask(rank=0, host="far").wait_ms
        assert not scenario.ask(rank=2, host="near").is_granted
        assert scenario.ask(rank=0, host="far").is_granted

    def test_gone(self) -> None:
        """Guards against places that are kept for requests that have gone."""
        scenario = Scenario()
        assert scenario.ask(rank=2).is_granted
        scenario.now += scenario.ask(rank=0, host="far").wait_ms + 500.0
        assert scenario.ask(rank=2).is_granted
