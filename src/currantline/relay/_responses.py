"""Responses that callers get."""

import attrs

from currantline.relay._names import HeaderNames
from currantline.wire import Response, find_header

__all__ = [
    "NOT_RUN_STATUSES",
    "build_text_response",
    "is_misdirected",
    "strip_platform_headers",
]

# Statuses by which a caller knows that its request has not run, and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)

MISDIRECTED_REQUEST = 421


def build_text_response(status: int, text: str) -> Response:
    """Return a response of the instance itself."""
    return Response(
        status=status,
        headers=(("content-type", "text/plain"),),
        body=text.encode(),
    )


def is_misdirected(response: Response, names: HeaderNames) -> bool:
    """Return whether another target than the expected one responded at its address.

    A target signs only responses to requests that it has run.
    """
    if response.status != MISDIRECTED_REQUEST:
        return False
    is_stated = find_header(response.headers, names.not_run) is not None
    return is_stated or find_header(response.headers, names.signature) is None


def strip_platform_headers(response: Response, names: HeaderNames) -> Response:
    """Return the response of a target without headers that are not for callers."""
    dropped = {names.load, names.target, *names.rate_limit, *names.leaving}
    dropped |= {"connection", "keep-alive"}
    dropped |= {"transfer-encoding", "content-length"}
    headers = tuple(h for h in response.headers if h[0] not in dropped)
    return attrs.evolve(response, headers=headers)
