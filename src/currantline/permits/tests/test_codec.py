"""Tests of messages about limits and permits."""

import contextlib
import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantline.exceptions import PeerError
from currantline.permits import (
    Permit,
    PermitRequest,
    PermitResponse,
    Report,
    WaitBounds,
    WarmupPermitRequest,
    decode_message,
    encode_message,
)
from currantline.placement import RateLimit

SCALARS = st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats()


class TestCodec:
    """Messages between instances with clocks of their own."""

    @pytest.mark.parametrize(
        "limit", [RateLimit(2.9, 900.0), RateLimit(None, 900.0), RateLimit()]
    )
    def test_round_trip(self, limit: RateLimit) -> None:
        """Guards against a limit whose age changes on the way."""
        wait_bounds = WaitBounds(in_time_ms=150.5, max_ms=700.0)
        permit = Permit(is_granted=True, wait_ms=12.5)
        for message in (
            PermitRequest(number=1, key="t@5@a", limit=limit, wait_bounds=wait_bounds),
            PermitResponse(number=1, key="t@5@a", permit=permit, limit=limit),
            Report(key="t@5@a", limit=limit),
            Report(key="t@5@a", limit=limit, warmup_left_ms=2_500.0),
            WarmupPermitRequest(number=1, key="t@5@a", limit=limit, rank=3),
        ):
            data = encode_message(message, now=1_000.0)
            assert decode_message(data, now=1_000.0) == message
            older = decode_message(data, now=5_000.0).limit.observed_ms
            assert older in (4_900.0, -math.inf)

    @given(
        position=st.integers(0, 7),
        value=SCALARS | st.text(max_size=4) | st.lists(SCALARS, max_size=2),
    )
    @settings(derandomize=True, max_examples=150, deadline=None)
    def test_malformed(self, position: int, value: object) -> None:
        """Guards against a malformed message that ends the process."""
        fields: list[object] = [1, "t@5@a", 2.9, 100.0, "request", 1, 150.0, 700.0]
        fields[position] = value
        with contextlib.suppress(PeerError):
            decode_message(json.dumps(fields).encode(), now=1_000.0)
        for further in (["report", 900.0], ["warmup-request", 1, 2]):
            cold = [1, "t@5@a", None, None, *further]
            cold[min(position, len(cold) - 1)] = value
            with contextlib.suppress(PeerError):
                decode_message(json.dumps(cold).encode(), now=1_000.0)

    @pytest.mark.parametrize("data", [b"", b"\xff", b"{}", b"[1]", b"7", b"[" * 9_999])
    def test_no_message(self, data: bytes) -> None:
        """Guards against bytes of another program that end the process."""
        with pytest.raises(PeerError):
            decode_message(data, now=0.0)
