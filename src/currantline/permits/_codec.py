"""JSON encoding of messages about limits and permits."""

import json
import math
from typing import Any

from currantline.exceptions import MALFORMED_DATA_ERRORS, PeerError
from currantline.permits._messages import (
    Message,
    Permit,
    PermitRequest,
    PermitResponse,
    Report,
    WaitBounds,
    WarmupPermitRequest,
)
from currantline.placement import RateLimit

__all__ = ["decode_message", "encode_message"]

FORMAT_VERSION = 1


def encode_message(message: Message, *, now: float) -> bytes:
    """Encode a message; times of this instance become ages.

    Parameters
    ----------
    message : Message
        The message.
    now : float
        Current time in milliseconds.
    """
    # A limit that was never observed is older than any observation.
    age_ms = now - message.limit.observed_ms
    age = round(age_ms, 1) if math.isfinite(age_ms) else None
    fields: list[Any] = [FORMAT_VERSION, message.key, message.limit.per_s, age]
    if isinstance(message, PermitRequest):
        wait_bounds = message.wait_bounds
        waits = [round(wait_bounds.in_time_ms, 1), round(wait_bounds.max_ms, 1)]
        fields += ["request", message.number, *waits]
    elif isinstance(message, WarmupPermitRequest):
        fields += ["warmup-request", message.number, message.rank]
    elif isinstance(message, PermitResponse):
        permit = message.permit
        wait = round(permit.wait_ms, 1)
        fields += ["response", message.number, permit.is_granted, wait]
    else:
        # Instances of earlier releases ignore the further field.
        left_ms = message.warmup_left_ms
        fields += ["report", round(left_ms, 1)] if left_ms else ["report"]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_message(data: bytes, *, now: float) -> Message:
    """Decode a message.

    Raises
    ------
    PeerError
        If the data is malformed or has another format version.
    """
    try:
        version, key, per_s, age_ms, kind, *rest = json.loads(data)
        if version != FORMAT_VERSION or not isinstance(key, str):
            raise PeerError(f"unsupported format {version!r}")
        limit = RateLimit(
            None if per_s is None else _check_number(per_s),
            -math.inf if age_ms is None else now - _check_number(age_ms),
        )
        if kind == "report":
            left_ms = _check_number(rest[0]) if rest else 0.0
            return Report(key=key, limit=limit, warmup_left_ms=left_ms)
        if kind == "warmup-request":
            number, rank = rest
            return WarmupPermitRequest(
                number=int(number), key=key, limit=limit, rank=int(rank)
            )
        if kind == "request":
            number, in_time_ms, max_ms = rest
            wait_bounds = WaitBounds(
                in_time_ms=_check_number(in_time_ms), max_ms=_check_number(max_ms)
            )
            return PermitRequest(
                number=int(number), key=key, limit=limit, wait_bounds=wait_bounds
            )
        if kind != "response":
            raise PeerError(f"unknown kind {kind!r}")
        number, is_granted, wait_ms = rest
        permit = Permit(is_granted=is_granted is True, wait_ms=_check_number(wait_ms))
        return PermitResponse(number=int(number), key=key, permit=permit, limit=limit)
    except MALFORMED_DATA_ERRORS as error:
        raise PeerError(f"malformed message: {error}") from error


def _check_number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise PeerError(f"number out of range: {value!r}")
    return number
