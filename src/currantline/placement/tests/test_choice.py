"""Tests of the choice of a target."""

import random
from typing import Any

import pytest

from currantline.exceptions import InvalidValueError
from currantline.placement import (
    Candidate,
    LatencyAverages,
    LoadReport,
    PassiveHealth,
    PublishedTarget,
    Target,
    TargetRegistry,
    choose_candidate,
    estimate_response_ms,
    parse_load_header,
)

AVERAGE_MS = 100.0


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
    """Return a candidate whose load report is idle by default."""
    fields: dict[str, Any] = {
        "running": 0,
        "waiting": 0,
        "slots": 2,
        "requested_ms": 0.0,
    }
    return Candidate(target or make_target(), LoadReport(**{**fields, **values}))


def estimate(candidate: Candidate, now: float = 0.0) -> float:
    """Return the predicted response time."""
    return estimate_response_ms(candidate, AVERAGE_MS, now)


class TestEstimate:
    """Predicted response time."""

    def test_order(self) -> None:
        """Guards against predictions blind to load, slowness, warm-up or failures."""
        idle = estimate(make_candidate())
        cold = make_target()
        cold.warmup_end_ms = 1_000.0
        failing = make_target()
        failing.passive_health.record_failure(0.0)
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
        """Guards against two requests of one instance for the same free slot."""
        target = make_target()
        target.send_times_ms.append(5.0)
        assert make_candidate(target, requested_ms=4.0).in_flight == 1
        assert make_candidate(target, requested_ms=6.0).in_flight == 0

    def test_slow_host_recovers(self) -> None:
        """Guards against long requests kept from a host that is slow for a moment."""
        short = estimate_response_ms(make_candidate(slowness=4.0), 100.0, 0.0) / 100.0
        long = (
            estimate_response_ms(make_candidate(slowness=4.0), 2_000.0, 0.0) / 2_000.0
        )
        assert long < 1.2 < short


class TestChooseCandidate:
    """Choice among candidates."""

    def test_best(self) -> None:
        """Guards against a choice by anything but the predicted response time."""
        best = make_candidate(make_target("best"))
        others = [make_candidate(running=2), make_candidate(slowness=4.0)]
        chosen = choose_candidate([*others, best], AVERAGE_MS, 0.0, random.Random(1))
        assert chosen is not None
        assert chosen[0] is best

    def test_near_equal(self) -> None:
        """Guards against a thundering herd of instances on one target."""
        candidates = [make_candidate(make_target(str(n))) for n in range(3)]
        rng = random.Random(1)
        drawn = [choose_candidate(candidates, AVERAGE_MS, 0.0, rng) for _ in range(60)]
        assert len({pair[0].target.name for pair in drawn if pair}) == 3

    def test_none(self) -> None:
        """Guards against an error while no target responds to probes."""
        assert choose_candidate([], AVERAGE_MS, 0.0, random.Random(1)) is None


class TestSlots:
    """Slots that increase the throughput of a target."""

    @pytest.mark.parametrize(
        ("slots", "running", "has_free_slot", "leaves_reserve"),
        [
            (2, 1, True, True),
            (2, 2, False, False),
            (6, 3, True, False),
            (6, 4, False, False),
        ],
    )
    def test_useful(
        self, slots: int, running: int, has_free_slot: bool, leaves_reserve: bool
    ) -> None:
        """Guards against overload that drives targets past their knee."""
        candidate = make_candidate(slots=slots, running=running)
        assert candidate.has_free_slot is has_free_slot
        assert candidate.leaves_reserve is leaves_reserve


class TestPassiveHealth:
    """Observed failures and slowness of a target."""

    def test_failures_decay(self) -> None:
        """Guards against failing targets avoided permanently, or not at all."""
        passive_health = PassiveHealth()
        for now in (0.0, 10.0, 20.0):
            passive_health.record_failure(now)
        assert passive_health.failure_weight(20.0) > 2.5
        assert passive_health.failure_weight(20_000.0) < 0.1

    def test_one_straggler(self) -> None:
        """Guards against a target avoided because of one long request."""
        passive_health = PassiveHealth()
        passive_health.record_success(0.0, 50.0)
        assert passive_health.decayed_slowness(0.0) < 2.0


class TestTargetRegistry:
    """Registry of published targets."""

    def test_restart_under_the_same_name(self) -> None:
        """Guards against state of an earlier start applied to a restarted target."""
        targets = TargetRegistry()
        entry = make_target("t", started_unix_ms=1).published
        targets.update(entry, 0.0)
        first = targets.find("t")
        assert first is not None
        first.is_address_reused = True
        targets.update(make_target("t", started_unix_ms=1, slots=3).published, 0.0)
        assert targets.find("t") is first
        targets.update(make_target("t", started_unix_ms=2).published, 0.0)
        assert [t.is_address_reused for t in targets.list_usable("s")] == [False]
        assert not targets.is_current(first, 0.0)

    def test_draining(self) -> None:
        """Guards against new requests for a draining target."""
        targets = TargetRegistry()
        targets.update(make_target("t").published, 0.0)
        targets.update(make_target("t", is_draining=True).published, 0.0)
        assert targets.list_usable("s") == []


class TestLatencyAverages:
    """Average response times of routes."""

    def test_stragglers(self) -> None:
        """Guards against stragglers that inflate the average."""
        latencies = LatencyAverages()
        latencies.record("r", 100.0)
        for _ in range(3):
            latencies.record("r", 5_000.0)
        assert latencies.read("r") < 200.0


class TestParseLoadHeader:
    """Parsing of the load header."""

    def test_slowness_is_optional(self) -> None:
        """Guards against an error for targets that report only three numbers."""
        assert parse_load_header("3,0,8") == (3, 0, 8, 1.0)

    @pytest.mark.parametrize(
        "value",
        ["", "1,2", "a,b,c", "1,2,3,x", "-1,0,2", "0,0,1000000000"],
    )
    def test_malformed(self, value: str) -> None:
        """Guards against a malformed header that makes a request fail."""
        with pytest.raises(InvalidValueError):
            parse_load_header(value)
