"""Tests of the limit of hedges."""

import random
from bisect import bisect_right
from collections.abc import Sequence

import attrs
import pytest

from currantline.exceptions import SettingsError
from currantline.hedging import HedgeLimit, parse_hedge_limit

WINDOW_MS = 10_000.0
RUN_MS = 60_000.0


@attrs.frozen
class History:
    """Times of the requests and hedges of one instance, in milliseconds."""

    requests: list[float] = attrs.field(factory=list)
    hedges: list[float] = attrs.field(factory=list)


def run_instance(share: float, per_s: float, rng: random.Random) -> History:
    """Return what an instance sends if it tries to hedge each of its requests.

    Requests come in bursts with pauses of up to two windows between them.
    """
    limit, history, now = HedgeLimit(share, WINDOW_MS), History(), 0.0
    while now < RUN_MS:
        limit.record_request(now)
        history.requests.append(now)
        hedged = now + rng.choice((0.0, 0.3, 0.9)) / per_s
        if limit.has_room(hedged):
            limit.record_hedge(hedged)
            history.hedges.append(hedged)
        is_pause = rng.random() < 0.005
        wait_ms = rng.uniform(0.0, 2 * WINDOW_MS) if is_pause else 1_000.0 / per_s
        now += wait_ms
    return history


def check_bound(share: float, histories: Sequence[History]) -> int:
    """Check the bound in all windows and since the start; return the hedges."""
    requests = sorted(time for each in histories for time in each.requests)
    hedges = sorted(time for each in histories for time in each.hedges)
    for index, end in enumerate(hedges):
        until = bisect_right(requests, end)
        assert index + 1 <= share * until + 1e-9
        # A window ends at a hedge and begins just before it would lose another one.
        in_window = index + 1 - bisect_right(hedges, end - WINDOW_MS)
        counted = until - bisect_right(requests, end - 2 * WINDOW_MS)
        assert in_window <= share * counted + 1e-9
    return len(hedges)


class TestHedgeLimit:
    """Hedges of one instance and of fleets."""

    @pytest.mark.parametrize("instances", [2, 19, 126])
    @pytest.mark.parametrize("share", [0.02, 0.1, 1.0])
    def test_fleet(self, instances: int, share: float) -> None:
        """Guards against parts of instances that exceed the limit together.

        Instances differ in load by up to fifty times. Each half of a split fleet, as
        the whole, keeps to the share of its own requests.
        """
        rng = random.Random(f"{instances} {share}")
        fleet = [
            run_instance(share, rng.choice((0.7, 5.0, 35.0)), rng)
            for _ in range(instances)
        ]
        total = check_bound(share, fleet)
        half = instances // 2
        assert total == sum(check_bound(share, p) for p in (fleet[:half], fleet[half:]))
        assert total >= 0.4 * share * sum(len(each.requests) for each in fleet)

    def test_no_initial_credit(self) -> None:
        """Guards against a hedge before the share of the requests is a whole one."""
        limit = HedgeLimit(0.02, WINDOW_MS)
        allowed = []
        for number in range(100):
            limit.record_request(float(number))
            if limit.has_room(float(number)):
                limit.record_hedge(float(number))
                allowed.append(number)
        assert allowed == [49, 99]

    def test_expiry(self) -> None:
        """Guards against requests that allow hedges after the window."""
        limit = HedgeLimit(0.5, WINDOW_MS)
        for _ in range(10):
            limit.record_request(0.0)
        assert limit.has_room(WINDOW_MS - 1.0)
        assert not limit.has_room(WINDOW_MS)


class TestParseHedgeLimit:
    """Value of the environment variable."""

    def test_valid(self) -> None:
        """Guards against a limit that is misread, or assumed where none is set."""
        texts = (None, "0", "0.02", "1", "2e-2", ".5")
        limits = [parse_hedge_limit(text) for text in texts]
        assert limits == [None, 0.0, 0.02, 1.0, 0.02, 0.5]

    @pytest.mark.parametrize(
        "text",
        ["", "2%", "nan", "inf", "-0.1", "-0", "1.01", " 0.1", "0_1", "\u0660", "1e9"],
    )
    def test_invalid(self, text: str) -> None:
        """Guards against an instance that starts with a limit that nobody meant."""
        with pytest.raises(SettingsError, match="CURRANTLINE_HEDGE_LIMIT"):
            parse_hedge_limit(text)
