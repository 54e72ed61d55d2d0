"""Tests of what an instance knows of the warm-up of a target."""

import pytest

from currantline.placement import PublishedTarget, Target, TargetRegistry, WarmupBound

BOUND = WarmupBound(warmup_ms=3_000.0, max_per_s=11.0)


def publish(registry: TargetRegistry, warmup_ms: float, now: float) -> Target:
    """Publish the entry of a target."""
    entry = PublishedTarget(
        name="t",
        address="10.0.0.1:80",
        service="s",
        data_centre="a",
        slots=2,
        warmup_ms=warmup_ms,
    )
    registry.update(entry, now)
    target = registry.find("t")
    assert target is not None
    return target


@pytest.fixture
def registry() -> TargetRegistry:
    """Return a registry of a service that bounds warm-ups."""
    registry = TargetRegistry()
    registry.set_warmup_bounds({"s": BOUND}, 0.0)
    return registry


class TestEntry:
    """Warm-ups that an entry names."""

    def test_no_bound(self) -> None:
        """Guards against permits in deployments that set no bound."""
        target = publish(TargetRegistry(), 2_000.0, 10.0)
        assert (target.warmup_end_ms, target.is_cold(20.0)) == (2_010.0, False)
        assert not target.learn_from_peer(2_000.0, 20.0)
        assert not target.is_cold(20.0)

    def test_bound_later(self) -> None:
        """Guards against a cold target that is read before the configuration."""
        registry = TargetRegistry()
        target = publish(registry, 2_000.0, 10.0)
        registry.set_warmup_bounds({"s": BOUND}, 20.0)
        assert target.is_cold(2_009.0)
        assert not target.is_cold(2_010.0)
        assert target.stated.cold_since_ms == 20.0

    def test_republished(self, registry: TargetRegistry) -> None:
        """Guards against an entry that ends a warm-up which it does not know of."""
        target = publish(registry, 0.0, 0.0)
        target.learn_from_check(2_500.0, 90.0, 100.0)
        assert publish(registry, 0.0, 200.0) is target
        assert target.is_cold(2_599.0)
        registry.remove("t")
        assert publish(registry, 0.0, 300.0).is_cold(2_599.0)

    def test_too_long(self, registry: TargetRegistry) -> None:
        """Guards against a mistaken time that keeps a target cold for good."""
        assert not publish(registry, 1e12, 0.0).is_cold(3_000.0)


class TestHealthCheck:
    """Warm-ups that health responses name."""

    def test_news(self, registry: TargetRegistry) -> None:
        """Guards against reports to all instances after each health check."""
        target = publish(registry, 0.0, 0.0)
        assert target.learn_from_check(2_000.0, 90.0, 100.0)
        assert not target.learn_from_check(1_900.0, 190.0, 210.0)
        assert target.learn_from_check(3_000.0, 490.0, 500.0)
        assert target.stated.cold_since_ms == 100.0

    def test_late_response(self, registry: TargetRegistry) -> None:
        """Guards against a late response that ends a warm-up which began since."""
        target = publish(registry, 0.0, 0.0)
        target.learn_from_peer(3_000.0, 100.0)
        target.learn_from_check(0.0, 50.0, 200.0)
        assert target.is_cold(200.0)
        target.learn_from_check(0.0, 210.0, 220.0)
        assert not target.is_cold(220.0)

    def test_nothing_said(self, registry: TargetRegistry) -> None:
        """Guards against a stated warm-up that a response without the header ends."""
        target = publish(registry, 2_000.0, 0.0)
        target.learn_from_check(None, 10.0, 11.0)
        assert not target.is_cold(11.0)
        target.learn_from_check(2_000.0, 20.0, 21.0)
        target.learn_from_check(None, 30.0, 31.0)
        assert target.is_cold(31.0)
