"""Tests of the simulated targets and baselines."""

import attrs
import pytest

from currantline.bench._workload import COOP, make_jobs
from currantline.bench.measure import Run, measure

SMALL = attrs.evolve(COOP, instances=4, targets=4)


class TestMeasure:
    """Figures of whole runs."""

    def test_same_seed_same_figures(self) -> None:
        """Guards against figures that cannot be reproduced."""
        run = Run(deployment=SMALL, policy="ours", load=0.6)
        run = attrs.evolve(run, deployment=attrs.evolve(SMALL, targets=1))
        assert measure(run) == measure(run)

    @pytest.mark.parametrize("policy", ["bound", "random", "least in-flight"])
    def test_useful_work_is_what_was_offered(self, policy: str) -> None:
        """Guards against baselines that lose requests without counting them."""
        run = Run(deployment=SMALL, policy=policy, load=0.5)
        figures = measure(run)
        assert figures.not_run == figures.unknown == 0
        assert figures.useful == pytest.approx(0.5, abs=0.06)

    def test_bound_is_below_baselines(self) -> None:
        """Guards against a bound that is not one."""
        bound, rival = (
            measure(Run(deployment=SMALL, policy=policy, load=0.8))
            for policy in ("bound", "least in-flight")
        )
        assert bound.short_p99 < rival.short_p99


class TestMakeJobs:
    """Requests of a run."""

    def test_short_work_is_the_same_without_long(self) -> None:
        """Guards against a comparison of two different sets of short requests."""

        def make(with_long: bool) -> list[tuple[float, float]]:
            jobs = make_jobs(
                SMALL, lambda now: 0.8, duration_ms=2000, seed=1, with_long=with_long
            )
            return [(job.arrived, job.run_ms) for job in jobs if not job.is_long]

        assert make(True) == make(False)
