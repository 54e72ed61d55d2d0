"""Tests of the easing measurement."""

from currantline.bench.easing import FAILING, measure


class TestMeasure:
    """One run of the model."""

    def test_fast_failure(self) -> None:
        """Guards against a failing target that draws requests under the book."""
        faulty = frozenset({FAILING})
        fixed = measure(faulty, 1, uses_book=False)
        book = measure(faulty, 1, uses_book=True)
        assert fixed.lost > 1000
        assert book.lost <= 20
        assert book.p99_ms <= 1.25 * fixed.p99_ms

    def test_repeatable(self) -> None:
        """Guards against figures that a seed does not reproduce."""
        runs = [measure(frozenset(), 2, uses_book=True) for _ in range(2)]
        assert runs[0] == runs[1]
