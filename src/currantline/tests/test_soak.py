"""Short runs of the randomised fault-injection test in virtual time."""

import pytest

from currantline.bench.soak import run_soak


class TestSoak:
    """Seeded random faults."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_seed(self, seed: int) -> None:
        """Guards against overlapping faults that violate a guarantee."""
        lines: list[str] = []
        journal = run_soak(seed, 20.0, write_line=lines.append)
        assert journal.find_violations() == [], lines
        assert any(
            completion.outcome == "answered" for completion in journal.completions
        )
        assert len(journal.fault_windows) > 2

    def test_repeats(self) -> None:
        """Guards against runs that differ although their seed is the same."""
        runs = [run_soak(3, 5.0, write_line=lambda line: None) for _ in range(2)]
        assert runs[0] == runs[1]
