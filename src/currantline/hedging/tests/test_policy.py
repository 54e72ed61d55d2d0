"""Tests of the decision to hedge a request."""

from typing import Any

import pytest

from currantline.hedging import HedgePolicy, HedgeRefusal, estimate_load
from currantline.placement import LoadReport


def find_refusal(policy: HedgePolicy, **values: Any) -> HedgeRefusal | None:
    """Return the refusal of a request without a body on an idle service."""
    fields = {"has_body": False, "left_ms": 1_000.0, "load": 0.1, "now": 0.0}
    return policy.find_refusal(service="s", route="r", **{**fields, **values})


def make_policy() -> HedgePolicy:
    """Return a policy that has seen responses of 1 to 100 ms, and allows a hedge."""
    policy = HedgePolicy(0.02, 10_000.0)
    for number in range(100):
        policy.record_request("s", 0.0)
        policy.record_response("r", number + 1.0)
    return policy


class TestDelay:
    """Time after which a request is hedged."""

    def test_few_responses(self) -> None:
        """Guards against a delay from a few responses after the start."""
        policy = HedgePolicy(0.02, 10_000.0)
        for _ in range(49):
            policy.record_response("r", 1.0)
        assert policy.find_delay_ms("r", 400.0) == 180.0

    def test_quantile(self) -> None:
        """Guards against a delay of another route, or one of old responses."""
        policy = make_policy()
        assert policy.find_delay_ms("r", 400.0) == 95.0
        assert policy.find_delay_ms("other", 400.0) == 180.0
        for _ in range(200):
            policy.record_response("r", 7.0)
        assert policy.find_delay_ms("r", 400.0) == 7.0

    def test_off(self) -> None:
        """Guards against hedges although the operators switched them off."""
        assert HedgePolicy(0.0, 10_000.0).find_delay_ms("r", 400.0) is None


class TestRefusal:
    """Requests that are not hedged."""

    @pytest.mark.parametrize(
        ("values", "refusal"),
        [
            ({}, None),
            ({"load": None}, None),
            ({"has_body": True}, HedgeRefusal.BODY),
            ({"left_ms": 49.0}, HedgeRefusal.TIME),
            ({"load": 0.61}, HedgeRefusal.LOAD),
            ({"now": 10_000.0}, HedgeRefusal.LIMIT),
        ],
    )
    def test_reason(self, values: dict[str, Any], refusal: HedgeRefusal | None) -> None:
        """Guards against a hedge that is useless, too expensive or over the limit."""
        assert find_refusal(make_policy(), **values) is refusal

    def test_used_up(self) -> None:
        """Guards against hedges that are not counted."""
        policy = make_policy()
        for _ in range(2):
            assert find_refusal(policy) is None
            policy.record_hedge("s", 0.0)
        assert find_refusal(policy) is HedgeRefusal.LIMIT

    def test_load(self) -> None:
        """Guards against queued requests left out of the load."""
        reports = [
            LoadReport(running=running, waiting=waiting, slots=2, requested_ms=0.0)
            for running, waiting in ((0, 0), (2, 1))
        ]
        assert estimate_load(reports) == 0.75
        assert estimate_load([]) is None
