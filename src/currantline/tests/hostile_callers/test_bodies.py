"""Tests with the bodies of many callers at the same time."""

from pathlib import Path

import pytest

from currantline.tests.hostile_callers._crowd import Crowd, find_violations
from currantline.tests.hostile_callers._instance import (
    CALLERS,
    DIRECTORY,
    MAX_BODY_BYTES,
    METRICS,
    SLOW_PATH,
    Port,
)
from currantline.tests.hostile_callers._messages import (
    SMALL_PIECE_BYTES,
    send_chunks,
    send_stated,
)
from currantline.tests.hostile_callers._places import AT_PLACES, ROUTE_PATH

# All connections together send 1.4 times the memory of the machine.
CONNECTIONS, BODY_BYTES = 300, 512 * 1024

# The same with larger bodies: with fewer connections, little of them is read ahead.
FEW_CONNECTIONS, LARGE_BODY_BYTES = 150, 1024 * 1024

# Stated size of a body far over the limit, and what is sent of it.
HUGE_BYTES, HUGE_SENT_BYTES, HUGE_CONNECTIONS = 1 << 30, 2 * MAX_BODY_BYTES, 25


class TestStatedSize:
    """Bodies that state their size."""

    @AT_PLACES
    def test_stops_short(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against bodies that fill the memory while none of them completes."""
        crowd = Crowd(
            port=port,
            connections=CONNECTIONS,
            pieces=lambda: send_stated(path, BODY_BYTES),
        )
        assert find_violations(tmp_path, crowd) == []

    @pytest.mark.parametrize(
        ("port", "path"),
        [(CALLERS, ROUTE_PATH), (DIRECTORY, DIRECTORY.path)],
        ids=["route", "directory"],
    )
    def test_small_pieces(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against small pieces that take more memory than their bytes."""
        crowd = Crowd(
            port=port,
            connections=FEW_CONNECTIONS,
            pieces=lambda: send_stated(path, LARGE_BODY_BYTES, piece=SMALL_PIECE_BYTES),
        )
        assert find_violations(tmp_path, crowd) == []

    def test_complete(self, tmp_path: Path) -> None:
        """Guards against complete bodies that fill the memory at a slow target."""
        crowd = Crowd(
            port=CALLERS,
            connections=CONNECTIONS,
            pieces=lambda: send_stated(SLOW_PATH, BODY_BYTES, sent=BODY_BYTES),
        )
        assert find_violations(tmp_path, crowd) == []

    @pytest.mark.parametrize(
        ("port", "path"),
        [(CALLERS, ROUTE_PATH), (CALLERS, "/nowhere"), (METRICS, METRICS.path)],
        ids=["route", "no-route", "metrics"],
    )
    def test_far_over_the_limit(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against a refused body that is kept while it is still coming."""
        crowd = Crowd(
            port=port,
            connections=HUGE_CONNECTIONS,
            pieces=lambda: send_stated(path, HUGE_BYTES, sent=HUGE_SENT_BYTES),
        )
        assert find_violations(tmp_path, crowd) == []


class TestChunks:
    """Bodies in chunks, whose size is not known before their end."""

    @AT_PLACES
    def test_stops_short(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against bodies that fill the memory while none of them completes."""
        crowd = Crowd(
            port=port,
            connections=CONNECTIONS,
            pieces=lambda: send_chunks(path, BODY_BYTES),
        )
        assert find_violations(tmp_path, crowd) == []

    @pytest.mark.parametrize(
        ("port", "path"),
        [(CALLERS, ROUTE_PATH), (METRICS, METRICS.path)],
        ids=["route", "metrics"],
    )
    def test_far_over_the_limit(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against bodies that are kept until each one exceeds the limit."""
        crowd = Crowd(
            port=port,
            connections=HUGE_CONNECTIONS,
            pieces=lambda: send_chunks(path, HUGE_SENT_BYTES),
        )
        assert find_violations(tmp_path, crowd) == []
