"""Tests with more connections than the descriptors of the machine allow."""

from pathlib import Path

import pytest

from currantline.tests.hostile_callers._crowd import Crowd, find_violations
from currantline.tests.hostile_callers._instance import (
    CALLERS,
    CONTROL,
    DIRECTORY,
    METRICS,
    OWN_PORTS,
    PEER,
    SLOW_PATH,
    Limits,
    Port,
)
from currantline.tests.hostile_callers._messages import make_head
from currantline.tests.hostile_callers._places import ROUTE_PATH

# The process may have 360 descriptors open. An idle instance has 17.
LIMITS = Limits(descriptors=560)
CONNECTIONS = 400


class TestIdle:
    """Connections that have nothing in progress."""

    @pytest.mark.parametrize("port", [CALLERS, *OWN_PORTS], ids=lambda p: p.name)
    def test_no_byte(self, tmp_path: Path, port: Port) -> None:
        """Guards against connections without a byte that use up the descriptors."""
        crowd = Crowd(port=port, connections=CONNECTIONS, pieces=lambda: [])
        assert find_violations(tmp_path, crowd, LIMITS) == []

    @pytest.mark.parametrize(
        ("port", "path"),
        [(CALLERS, ROUTE_PATH), (CALLERS, "/nowhere"), (METRICS, METRICS.path)],
        ids=["route", "no-route", "metrics"],
    )
    def test_answered(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against connections kept alive that use up the descriptors."""
        request = make_head("GET", path) + b"\r\n"
        crowd = Crowd(port=port, connections=CONNECTIONS, pieces=lambda: [request])
        assert find_violations(tmp_path, crowd, LIMITS) == []


class TestStopped:
    """Requests that stop half-way."""

    @pytest.mark.parametrize(
        "port", [CALLERS, DIRECTORY, CONTROL], ids=lambda p: p.name
    )
    def test_head(self, tmp_path: Path, port: Port) -> None:
        """Guards against unfinished heads that use up the descriptors."""
        half = make_head("GET", ROUTE_PATH)
        crowd = Crowd(port=port, connections=CONNECTIONS, pieces=lambda: [half])
        assert find_violations(tmp_path, crowd, LIMITS) == []

    @pytest.mark.parametrize(
        ("port", "path"),
        [(CALLERS, ROUTE_PATH), (CALLERS, "/nowhere"), (PEER, PEER.path)],
        ids=["route", "no-route", "peer"],
    )
    def test_body(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against unfinished bodies that use up the descriptors."""
        half = make_head("POST", path, "content-length: 10") + b"\r\nshort"
        crowd = Crowd(port=port, connections=CONNECTIONS, pieces=lambda: [half])
        assert find_violations(tmp_path, crowd, LIMITS) == []


class TestInProgress:
    """Requests that targets serve."""

    def test_slow_target(self, tmp_path: Path) -> None:
        """Guards against callers that use up the descriptors with those to targets."""
        request = make_head("GET", SLOW_PATH) + b"\r\n"
        crowd = Crowd(
            port=CALLERS, connections=CONNECTIONS // 2, pieces=lambda: [request]
        )
        assert find_violations(tmp_path, crowd, LIMITS) == []
