"""Tests of the choice of a target."""

import random
from typing import Any

import pytest

from currantline.exceptions import InvalidValueError
from currantline.placement import (
    Candidate,
    PublishedTarget,
    Reading,
    Standing,
    Target,
    Targets,
    TypicalTimes,
    choose,
    estimate_ms,
    parse_load,
)

USUAL_MS = 100.0


def make_target(name: str = "t", **values: Any) -> Target:
    """Return a warm target with two slots."""
    fields: dict[str, Any] = {
        "address": "10.0.0.1:80",
        "service": "s",
        "data_centre": "a",
        "slots": 2,
    }
    return Target(PublishedTarget(name=name, **{**fields, **values}))


def make_candidate(target: Target | None = None, **values: Any) -> Candidate:
    """Return a candidate with an idle reading."""
    fields: dict[str, Any] = {"running": 0, "waiting": 0, "slots": 2, "asked_ms": 0.0}
    return Candidate(target or make_target(), Reading(**{**fields, **values}))


def estimate(candidate: Candidate, now: float = 0.0) -> float:
    """Return the predicted time."""
    return estimate_ms(candidate, USUAL_MS, now)


class TestEstimate:
    """Predicted time to an answer."""

    def test_order(self) -> None:
        """Guards against work sent to busy, slow, cold or failing targets."""
        idle = estimate(make_candidate())
        cold = make_target()
        cold.warm_ms = 1_000.0
        failing = make_target()
        failing.standing.note_failure(0.0)
        worse = [
            make_candidate(running=1),
            make_candidate(running=2),
            make_candidate(slowness=4.0),
            make_candidate(cold),
            make_candidate(failing),
            make_candidate(is_healthy=False),
            make_candidate(took_ms=3.0),
        ]
        assert all(estimate(candidate) > idle for candidate in worse)

    def test_own_sends_count(self) -> None:
        """Guards against two requests of an instance for the same free slot."""
        target = make_target()
        target.sends.append(5.0)
        assert make_candidate(target, asked_ms=4.0).occupied == 1
        assert make_candidate(target, asked_ms=6.0).occupied == 0

    def test_slow_host_recovers(self) -> None:
        """Guards against long work kept from a host that is slow for a moment."""
        short = estimate_ms(make_candidate(slowness=4.0), 100.0, 0.0) / 100.0
        long = estimate_ms(make_candidate(slowness=4.0), 2_000.0, 0.0) / 2_000.0
        assert long < 1.2 < short


class TestChoose:
    """Choice among candidates."""

    def test_best(self) -> None:
        """Guards against a choice by anything but the predicted time."""
        best = make_candidate(make_target("best"))
        others = [make_candidate(running=2), make_candidate(slowness=4.0)]
        chosen = choose([*others, best], USUAL_MS, 0.0, random.Random(1))
        assert chosen is not None
        assert chosen[0] is best

    def test_near_equal(self) -> None:
        """Guards against a herd of instances at the same target."""
        candidates = [make_candidate(make_target(str(n))) for n in range(3)]
        rng = random.Random(1)
        drawn = [choose(candidates, USUAL_MS, 0.0, rng) for _ in range(60)]
        assert len({pair[0].target.name for pair in drawn if pair}) == 3

    def test_none(self) -> None:
        """Guards against a failure while no target answers."""
        assert choose([], USUAL_MS, 0.0, random.Random(1)) is None


class TestSlots:
    """Slots that raise a target's throughput."""

    @pytest.mark.parametrize(
        ("slots", "running", "has_slot", "has_reserve"),
        [
            (2, 1, True, True),
            (2, 2, False, False),
            (6, 3, True, False),
            (6, 4, False, False),
        ],
    )
    def test_useful(
        self, slots: int, running: int, has_slot: bool, has_reserve: bool
    ) -> None:
        """Guards against peaks at which targets are pushed past their knee."""
        candidate = make_candidate(slots=slots, running=running)
        assert candidate.has_slot is has_slot
        assert candidate.has_reserve is has_reserve


class TestStanding:
    """What is learned of a target."""

    def test_failures_fade(self) -> None:
        """Guards against targets that are avoided for good, or not at all."""
        standing = Standing()
        for now in (0.0, 10.0, 20.0):
            standing.note_failure(now)
        assert standing.failures(20.0) > 2.5
        assert standing.failures(20_000.0) < 0.1

    def test_one_straggler(self) -> None:
        """Guards against a target condemned for one long request."""
        standing = Standing()
        standing.note_success(0.0, 50.0)
        assert standing.relax(0.0) < 2.0


class TestTargets:
    """Published targets."""

    def test_restart_under_the_same_name(self) -> None:
        """Guards against faults of an earlier start held against the next."""
        targets = Targets()
        entry = make_target("t", born_ms=1).published
        targets.publish(entry, 0.0)
        first = targets.find("t")
        assert first is not None
        first.is_misplaced = True
        targets.publish(make_target("t", born_ms=1, slots=3).published, 0.0)
        assert targets.find("t") is first
        targets.publish(make_target("t", born_ms=2).published, 0.0)
        assert [t.is_misplaced for t in targets.list_usable("s")] == [False]
        assert not targets.is_current(first)

    def test_draining(self) -> None:
        """Guards against new work for a target that leaves."""
        targets = Targets()
        targets.publish(make_target("t").published, 0.0)
        targets.publish(make_target("t", is_draining=True).published, 0.0)
        assert targets.list_usable("s") == []


class TestTypicalTimes:
    """Usual times of routes."""

    def test_stragglers(self) -> None:
        """Guards against stragglers that make every time look usual."""
        typical = TypicalTimes()
        typical.note("r", 100.0)
        for _ in range(3):
            typical.note("r", 5_000.0)
        assert typical.read("r") < 200.0


class TestParseLoad:
    """The load that targets report."""

    def test_slowness_is_optional(self) -> None:
        """Guards against targets that report three figures."""
        assert parse_load("3,0,8") == (3, 0, 8, 1.0)

    @pytest.mark.parametrize("value", ["", "1,2", "a,b,c", "1,2,3,x"])
    def test_malformed(self, value: str) -> None:
        """Guards against a broken header that ends a request."""
        with pytest.raises(InvalidValueError):
            parse_load(value)
