"""Tests of reading the limits that targets name."""

import math

import pytest

from currantline.placement import PublishedTarget, RateLimit, Target
from currantline.relay import RateLimitReader
from currantline.relay.tests.support import NAMES
from currantline.telemetry import EventLog
from currantline.wire import Response


class FixedClock:
    """Clock that stands still."""

    def read(self) -> float:
        """Return the time in milliseconds."""
        return 0.0


def read(
    value: str | None,
    *,
    previous: float | None,
    is_success: bool,
    name: str = "x-limit",
) -> list[float]:
    """Return what one response makes a reader observe, NaN for the end of a limit."""
    target = Target(
        PublishedTarget(
            name="t", address="10.0.0.1:80", service="s", data_centre="a", slots=1
        ),
        rate_limit=RateLimit(previous, 0.0),
    )
    observed: list[float] = []
    reader = RateLimitReader(
        names=NAMES,
        observe=lambda _, per_s: observed.append(math.nan if per_s is None else per_s),
        log=EventLog("i", clock=FixedClock(), write=len),
    )
    headers = ((name, value),) if value is not None else ()
    reader.read(target, Response(status=200, headers=headers), is_success=is_success)
    return observed


class TestRateLimitReader:
    """Limits in responses of all kinds."""

    @pytest.mark.parametrize("is_success", [True, False])
    def test_named(self, is_success: bool) -> None:
        """Guards against a limit that is read from some kinds of responses only."""
        assert read("0.4", previous=None, is_success=is_success) == [0.4]

    def test_second_name(self) -> None:
        """Guards against a limit that is ignored under the other name of its header."""
        assert read("2", previous=None, is_success=True, name="limit") == [2.0]

    @pytest.mark.parametrize("value", ["", "many", "-1", "nan", "inf", "1,2"])
    def test_invalid(self, value: str) -> None:
        """Guards against an invalid value that sets or ends a limit."""
        assert read(value, previous=3.0, is_success=True) == []

    def test_end(self) -> None:
        """Guards against a limit that never ends, or ends with any response."""
        assert read(None, previous=3.0, is_success=False) == []
        assert math.isnan(read(None, previous=3.0, is_success=True)[0])
        assert read(None, previous=None, is_success=True) == []
