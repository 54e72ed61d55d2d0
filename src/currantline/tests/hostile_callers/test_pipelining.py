"""Tests with many requests on a connection whose answers are not read."""

from pathlib import Path

import pytest

from currantline.platform.samples import READINESS_PATH
from currantline.tests.hostile_callers._crowd import Crowd, Reading, find_violations
from currantline.tests.hostile_callers._instance import (
    CALLERS,
    LARGE_ANSWER_PATH,
    SLOW_PATH,
    Limits,
    Port,
)
from currantline.tests.hostile_callers._messages import (
    make_head,
    send_fields,
    send_pipelined,
)
from currantline.tests.hostile_callers._places import AT_OWN_PORTS

# Requests on a connection, 128 KB together, more than is read ahead.
CONNECTIONS, REQUESTS, PADDING_BYTES = 100, 64, 2000
SLOW_TARGET_CONNECTIONS, OWN_CONNECTIONS = 70, 20

# Requests in progress of one connection are bounded to 16.
PIPELINED = 16

# Bodies of 512 KB on a connection.
BODIES = 4


def make_padded_request(path: str) -> bytes:
    """Return a request of 2 KB."""
    return make_head("GET", path, "padding: " + "a" * PADDING_BYTES) + b"\r\n"


class TestReadAhead:
    """Requests that are read before the answers to earlier ones are written."""

    @pytest.mark.parametrize("path", ["/nowhere", READINESS_PATH])
    def test_without_route(self, tmp_path: Path, path: str) -> None:
        """Guards against received bytes that are kept once for each request."""
        crowd = Crowd(
            port=CALLERS,
            connections=CONNECTIONS,
            pieces=lambda: send_pipelined(make_padded_request(path), REQUESTS),
            reading=Reading.NEVER,
        )
        assert find_violations(tmp_path, crowd) == []

    @AT_OWN_PORTS
    def test_own_port(self, tmp_path: Path, port: Port, path: str) -> None:
        """Guards against unread requests and answers that fill the memory."""
        crowd = Crowd(
            port=port,
            connections=OWN_CONNECTIONS,
            pieces=lambda: send_pipelined(make_padded_request(path), REQUESTS),
            reading=Reading.NEVER,
        )
        assert find_violations(tmp_path, crowd) == []


class TestRoute:
    """Requests that a target serves."""

    def test_slow_target(self, tmp_path: Path) -> None:
        """Guards against received bytes that are kept once for each request."""
        request = make_padded_request(SLOW_PATH)
        crowd = Crowd(
            port=CALLERS,
            connections=SLOW_TARGET_CONNECTIONS,
            pieces=lambda: send_pipelined(request, REQUESTS),
            reading=Reading.NEVER,
        )
        assert find_violations(tmp_path, crowd) == []

    def test_large_answers(self, tmp_path: Path) -> None:
        """Guards against answers to requests sent ahead that fill the memory."""
        request = make_head("GET", LARGE_ANSWER_PATH) + b"\r\n"
        crowd = Crowd(
            port=CALLERS,
            connections=20,
            pieces=lambda: send_pipelined(request, PIPELINED),
            reading=Reading.NEVER,
        )
        assert find_violations(tmp_path, crowd) == []

    def test_many_fields(self, tmp_path: Path) -> None:
        """Guards against parsed requests sent ahead that fill the memory."""
        request = send_fields(SLOW_PATH)
        crowd = Crowd(
            port=CALLERS,
            connections=15,
            pieces=lambda: send_pipelined(request, PIPELINED),
            reading=Reading.NEVER,
        )
        assert find_violations(tmp_path, crowd, Limits(memory_mb=80)) == []

    def test_bodies(self, tmp_path: Path) -> None:
        """Guards against bodies sent ahead that fill the memory."""
        body = bytes(512 * 1024)
        head = make_head("POST", SLOW_PATH, f"content-length: {len(body)}")
        crowd = Crowd(
            port=CALLERS,
            connections=100,
            pieces=lambda: send_pipelined(head + b"\r\n" + body, BODIES),
            reading=Reading.NEVER,
        )
        assert find_violations(tmp_path, crowd) == []
