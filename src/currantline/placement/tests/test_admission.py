"""Tests of taking, waiting and refusing at a peak."""

import random
from typing import Any

import attrs
import pytest

from currantline.placement import (
    find_refusal_reason,
    has_good_candidate,
    is_overdue,
    select_candidate,
    select_hedge_candidate,
)
from currantline.placement.tests.test_choice import make_candidate, make_target

AVERAGE_MS = 100.0
RNG = random.Random(1)


@attrs.frozen
class Timing:
    """Times of a request."""

    arrived_ms: float = 0.0
    objective_deadline_ms: float = 400.0
    deadline_ms: float = 1_500.0


def take(now: float, **values: Any) -> bool:
    """Return whether a request takes a target with such a reading."""
    candidate = make_candidate(**{"requested_ms": now, **values})
    return select_candidate(Timing(), [candidate], AVERAGE_MS, now, RNG) is not None


class TestSelect:
    """Targets that a request takes."""

    def test_in_time(self) -> None:
        """Guards against requests that wait while a target would be in time."""
        assert take(0.0)
        assert take(0.0, running=1)

    def test_past_the_knee(self) -> None:
        """Guards against peaks that push all targets past their knee."""
        assert not take(0.0, running=2)
        assert not take(0.0, slots=6, running=4)

    def test_slow_host(self) -> None:
        """Guards against work on a slow host while others may be quiet."""
        assert not take(0.0, slowness=4.0)

    def test_overdue_leaves_a_reserve(self) -> None:
        """Guards against late requests that take the slots of those in time."""
        assert is_overdue(Timing(), AVERAGE_MS, 300.0)
        assert take(300.0, slots=6, running=2)
        assert not take(300.0, slots=6, running=3)
        assert take(0.0, slots=6, running=3)

    def test_second_send(self) -> None:
        """Guards against second sends that take slots from first ones."""
        timing = Timing()
        idle = make_candidate(make_target("idle"))
        busy = make_candidate(running=1)
        assert select_hedge_candidate(timing, [busy], AVERAGE_MS, 0.0, RNG) is None
        assert (
            select_hedge_candidate(timing, [busy, idle], AVERAGE_MS, 0.0, RNG)
            is not None
        )
        assert select_hedge_candidate(timing, [idle], AVERAGE_MS, 1_450.0, RNG) is None

    def test_good(self) -> None:
        """Guards against questions to other data centres that bring nothing."""
        assert has_good_candidate([make_candidate()], AVERAGE_MS, 0.0, RNG)
        assert not has_good_candidate(
            [make_candidate(slowness=4.0)], AVERAGE_MS, 0.0, RNG
        )
        assert not has_good_candidate([], AVERAGE_MS, 0.0, RNG)


class TestFindRefusal:
    """Requests that must not wait."""

    @pytest.mark.parametrize(
        ("now", "refusal"),
        [(0.0, ""), (370.0, ""), (375.0, "all targets full")],
    )
    def test_overdue(self, now: float, refusal: str) -> None:
        """Guards against late requests that are held until near their end."""
        assert find_refusal_reason(Timing(), AVERAGE_MS, now) == refusal

    @pytest.mark.parametrize(("now", "refusal"), [(740.0, ""), (750.0, "full")])
    def test_waits_for_half_of_its_time(self, now: float, refusal: str) -> None:
        """Guards against requests in time that leave no room for another try."""
        found = find_refusal_reason(
            Timing(objective_deadline_ms=1_400.0), AVERAGE_MS, now
        )
        assert found.endswith(refusal)
        assert bool(found) == bool(refusal)

    def test_hopeless(self) -> None:
        """Guards against requests that wait although no answer can come in time."""
        timing = Timing(deadline_ms=90.0)
        assert find_refusal_reason(timing, AVERAGE_MS, 0.0) == "too little time left"
