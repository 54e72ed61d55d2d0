"""Tests of the benchmark of concurrency limits."""

from currantline.bench.easing import FAILING_TARGET, measure


class TestMeasure:
    """Results of one simulated run."""

    def test_fast_failure(self) -> None:
        """Guards against a failing target that attracts requests despite its limit."""
        faulty = frozenset({FAILING_TARGET})
        fixed = measure(faulty, 1, uses_tracker=False)
        tracked = measure(faulty, 1, uses_tracker=True)
        assert fixed.lost > 1000
        assert tracked.lost <= 20
        assert tracked.p99_ms <= 1.25 * fixed.p99_ms

    def test_repeatable(self) -> None:
        """Guards against results that differ for the same seed."""
        runs = [measure(frozenset(), 2, uses_tracker=True) for _ in range(2)]
        assert runs[0] == runs[1]
