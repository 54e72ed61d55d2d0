"""Tests of the benchmark of hedging."""

import pytest

from currantline.bench import _hedging_model
from currantline.bench._hedging_model import Arm, Load
from currantline.bench.hedging import measure

LOAD = Load(40.0, 4, 40, 2, 221.0, 578.0)


class TestMeasure:
    """Results of one simulated run."""

    def test_limit(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against figures that differ for one seed, or hedges over the limit."""
        monkeypatch.setattr(_hedging_model, "RUN_MS", 60_000.0)
        monkeypatch.setattr(_hedging_model, "WARM_UP_MS", 20_000.0)
        arms = [Arm("n"), Arm("q", "delay"), Arm("l", "delay", limit=0.02)]
        none, free, limited = (measure(LOAD, arm, 1) for arm in arms)
        assert limited == measure(LOAD, arms[2], 1)
        assert none.hedges == 0.0 < limited.hedges <= 0.02 < free.hedges < 0.08
        assert none.slot_ms < free.slot_ms
