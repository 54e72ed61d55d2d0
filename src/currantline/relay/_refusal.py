"""Responses to requests that are refused before they run."""

from currantline.exceptions import (
    BodyTooLargeError,
    CallerTimeoutError,
    NoMemoryForRequestError,
    ProtocolError,
    WireError,
)
from currantline.relay._body_admission import BODY_ROOM_TIMEOUT_MS
from currantline.wire import Response

__all__ = ["REFUSED_ERRORS", "build_refusal"]

REQUEST_TIMEOUT, BODY_TOO_LARGE, UNAVAILABLE = 408, 413, 503

REFUSED_ERRORS = (
    ProtocolError,
    BodyTooLargeError,
    CallerTimeoutError,
    NoMemoryForRequestError,
)


def build_refusal(error: WireError) -> Response:
    """Return the response to a request that could not be read or admitted."""
    status = REQUEST_TIMEOUT
    headers = [("connection", "close")]
    if isinstance(error, BodyTooLargeError):
        status = BODY_TOO_LARGE
    elif isinstance(error, NoMemoryForRequestError):
        status = UNAVAILABLE
        headers.append(("retry-after", f"{BODY_ROOM_TIMEOUT_MS / 1000:.3f}"))
    elif isinstance(error, ProtocolError):
        status = error.status
    return Response(status=status, headers=tuple(headers))
