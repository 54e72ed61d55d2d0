"""Tests of selection, waiting and refusal under overload."""

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
    """Arrival time and deadlines of a request."""

    arrived_ms: float = 0.0
    objective_deadline_ms: float = 400.0
    deadline_ms: float = 1_500.0


def is_accepted(now: float, **values: Any) -> bool:
    """Return whether a request uses a target with this load report."""
    candidate = make_candidate(**{"requested_ms": now, **values})
    return select_candidate(Timing(), [candidate], AVERAGE_MS, now, RNG) is not None


class TestSelectCandidate:
    """Selection of a target for a request."""

    def test_in_time(self) -> None:
        """Guards against requests that wait although a target would respond in time."""
        assert is_accepted(0.0)
        assert is_accepted(0.0, running=1)

    def test_past_the_knee(self) -> None:
        """Guards against overload that drives all targets past their knee."""
        assert not is_accepted(0.0, running=2)
        assert not is_accepted(0.0, slots=6, running=4)

    def test_slow_host(self) -> None:
        """Guards against use of a slow host while faster ones may be free."""
        assert not is_accepted(0.0, slowness=4.0)

    def test_overdue_leaves_reserve(self) -> None:
        """Guards against overdue requests that use the slots of punctual ones."""
        assert is_overdue(Timing(), AVERAGE_MS, 300.0)
        assert is_accepted(300.0, slots=6, running=2)
        assert not is_accepted(300.0, slots=6, running=3)
        assert is_accepted(0.0, slots=6, running=3)

    def test_hedge(self) -> None:
        """Guards against hedges that use slots needed for first attempts."""
        timing = Timing()
        idle = make_candidate(make_target("idle"))
        busy = make_candidate(running=1)
        assert select_hedge_candidate(timing, [busy], AVERAGE_MS, 0.0, RNG) is None
        assert (
            select_hedge_candidate(timing, [busy, idle], AVERAGE_MS, 0.0, RNG)
            is not None
        )
        assert select_hedge_candidate(timing, [idle], AVERAGE_MS, 1_450.0, RNG) is None

    def test_good_candidate(self) -> None:
        """Guards against needless probes of other data centres."""
        assert has_good_candidate([make_candidate()], AVERAGE_MS, 0.0, RNG)
        assert not has_good_candidate(
            [make_candidate(slowness=4.0)], AVERAGE_MS, 0.0, RNG
        )
        assert not has_good_candidate([], AVERAGE_MS, 0.0, RNG)


class TestFindRefusalReason:
    """Refusal of requests that must not wait."""

    @pytest.mark.parametrize(
        ("now", "refusal"),
        [(0.0, ""), (370.0, ""), (375.0, "all targets full")],
    )
    def test_overdue(self, now: float, refusal: str) -> None:
        """Guards against overdue requests held until shortly before their deadline."""
        assert find_refusal_reason(Timing(), AVERAGE_MS, now) == refusal

    @pytest.mark.parametrize(("now", "refusal"), [(740.0, ""), (750.0, "full")])
    def test_wait_limit(self, now: float, refusal: str) -> None:
        """Guards against waits that leave no time for another attempt."""
        found = find_refusal_reason(
            Timing(objective_deadline_ms=1_400.0), AVERAGE_MS, now
        )
        assert found.endswith(refusal)
        assert bool(found) == bool(refusal)

    def test_too_little_time(self) -> None:
        """Guards against requests that wait although no response can be in time."""
        timing = Timing(deadline_ms=90.0)
        assert find_refusal_reason(timing, AVERAGE_MS, 0.0) == "too little time left"
