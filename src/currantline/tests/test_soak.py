"""A bounded part of the long randomised run."""

import pytest

from currantline.bench.soak import run_soak


class TestSoak:
    """Faults drawn from a seed."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_seed(self, seed: int) -> None:
        """Guards against overlapping faults that break a guarantee."""
        lines: list[str] = []
        journal = run_soak(seed, 20.0, say=lines.append)
        assert journal.find_broken() == [], lines
        assert any(end.outcome == "answered" for end in journal.ends)
        assert len(journal.disturbances) > 2

    def test_repeats(self) -> None:
        """Guards against a seed that does not give the same run again."""
        runs = [run_soak(3, 5.0, say=lambda line: None) for _ in range(2)]
        assert runs[0] == runs[1]
