"""Tests of failures that the targets of a service have in common."""

import random

from currantline.placement import (
    Target,
    TargetRegistry,
    choose_probe_targets,
    select_candidate,
)
from currantline.placement.tests.test_admission import Timing
from currantline.placement.tests.test_choice import make_candidate, make_target

AVERAGE_MS = 120.0
TARGETS = 20


def make_service(failures: int) -> tuple[TargetRegistry, list[Target]]:
    """Return a registry with targets, some of which have just rejected a request twice.

    All have answered a request before.
    """
    registry = TargetRegistry()
    for number in range(TARGETS):
        entry = make_target(f"t{number}").published
        registry.update(entry, 0.0)
    targets = registry.list_published("s")
    for number, target in enumerate(targets):
        target.passive_health.record_success(0.0, 1.0)
        for _ in range(2 if number < failures else 0):
            target.passive_health.record_rejection(0.0)
    registry.update_common_failures("s", 0.0)
    return registry, targets


def count_accepted(targets: list[Target]) -> int:
    """Return how many idle targets would each be used if it were the only choice."""
    rng = random.Random(1)
    return sum(
        select_candidate(Timing(), [make_candidate(target)], AVERAGE_MS, 0.0, rng)
        is not None
        for target in targets
    )


class TestServiceRejectsAPart:
    """All targets of a service reject a part of their requests at random."""

    def test_no_wait(self) -> None:
        """Guards against requests that wait although all targets have free slots."""
        _, targets = make_service(failures=TARGETS)
        assert count_accepted(targets) == TARGETS

    def test_open_connections(self) -> None:
        """Guards against new connections to targets that reject as many requests."""
        _, targets = make_service(failures=TARGETS - 3)
        known = {target.name for target in targets[:6]}
        for seed in range(20):
            chosen = choose_probe_targets(
                targets,
                4,
                is_connected=lambda target: target.name in known,
                now=0.0,
                rng=random.Random(seed),
            )
            assert len({target.name for target in chosen} & known) >= 3

    def test_end(self) -> None:
        """Guards against a level that outlasts the failures of the service."""
        registry, targets = make_service(failures=TARGETS)
        for target in targets:
            for _ in range(8):
                target.passive_health.record_success(100.0, 1.0)
        targets[0].passive_health.record_rejection(100.0)
        targets[0].passive_health.record_rejection(100.0)
        registry.update_common_failures("s", 100.0)
        assert count_accepted(targets) == TARGETS - 1


class TestSomeTargetsFail:
    """Fewer than half of the targets fail."""

    def test_failing_targets_avoided(self) -> None:
        """Guards against failing targets that count as ordinary ones."""
        _, targets = make_service(failures=TARGETS // 3)
        assert count_accepted(targets) == TARGETS - TARGETS // 3

    def test_lost_data_centre(self) -> None:
        """Guards against lost targets that count as usual ones since they are many."""
        registry, targets = make_service(failures=0)
        for target in targets[:15]:
            for _ in range(3):
                target.passive_health.record_failure(0.0)
        registry.update_common_failures("s", 0.0)
        assert count_accepted(targets) == 5

    def test_few_observations(self) -> None:
        """Guards against a level that follows from one or two targets."""
        registry, targets = make_service(failures=0)
        for target in targets[:2]:
            for _ in range(2):
                target.passive_health.record_rejection(20_000.0)
        registry.update_common_failures("s", 20_000.0)
        assert targets[0].passive_health.excess_failure_weight(20_000.0) > 1.0
