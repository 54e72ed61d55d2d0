"""Tests of the simulated targets and baselines."""

import attrs
import pytest

from currantline.bench._placement import Placement, place_owners
from currantline.bench._workload import COOP, make_jobs
from currantline.bench.measure import Run, measure
from currantline.configuration import Service, Target

SMALL = attrs.evolve(COOP, instances=4, targets=4)


class TestMeasure:
    """Results of complete runs."""

    def test_same_seed_same_figures(self) -> None:
        """Guards against results that differ for the same seed."""
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

    def test_near_owners_own_near_targets(self) -> None:
        """Guards against a near placement that ignores data centres."""
        targets = tuple(
            Target(
                name=f"{i}", address="127.0.0.1:7000", data_centre=f"{i % 3}", slots=2
            )
            for i in range(9)
        )
        places = {f"i{i}": f"{i % 2}" for i in range(8)}
        service = Service(name="s", targets=targets)
        owners = place_owners(service, places, Placement.NEAR_TARGET).targets
        assert len(owners) == 9
        assert all(
            places[owners[t.name]] == t.data_centre
            for t in targets
            if t.data_centre != "2"
        )

    def test_path_to_target_counts(self) -> None:
        """Guards against latency between data centres that is not simulated."""
        run = Run(deployment=SMALL, policy="random", load=0.3, with_long=False)
        near = attrs.evolve(run, deployment=attrs.evolve(SMALL, data_centres=1))
        # Most of the slowest requests take 1.5 ms instead of 0.1 ms each way.
        longer_ms = measure(run).short_p99 - measure(near).short_p99
        assert longer_ms == pytest.approx(2.8, abs=2.0)

    def test_bound_is_below_baselines(self) -> None:
        """Guards against a lower bound that a baseline beats."""
        bound, rival = (
            measure(Run(deployment=SMALL, policy=policy, load=0.8))
            for policy in ("bound", "least in-flight")
        )
        assert bound.short_p99 < rival.short_p99


class TestMakeJobs:
    """Generated requests."""

    def test_short_work_is_the_same_without_long(self) -> None:
        """Guards against short requests that differ when long ones are left out."""

        def make(with_long: bool) -> list[tuple[float, float]]:
            jobs = make_jobs(
                SMALL, lambda now: 0.8, duration_ms=2000, seed=1, with_long=with_long
            )
            return [(job.arrived, job.run_ms) for job in jobs if not job.is_long]

        assert make(True) == make(False)
