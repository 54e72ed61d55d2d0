"""Responses that callers get."""

import attrs

from currantline.relay._names import HeaderNames
from currantline.wire import Response

__all__ = ["build_text_response", "strip_platform_headers"]


def build_text_response(status: int, text: str) -> Response:
    """Return a response of the instance itself."""
    return Response(
        status=status,
        headers=(("content-type", "text/plain"),),
        body=text.encode(),
    )


def strip_platform_headers(response: Response, names: HeaderNames) -> Response:
    """Return the response of a target without headers that are not for callers."""
    dropped = {names.load, names.target, *names.rate_limit, *names.leaving}
    dropped |= {"connection", "keep-alive"}
    dropped |= {"transfer-encoding", "content-length"}
    headers = tuple(h for h in response.headers if h[0] not in dropped)
    return attrs.evolve(response, headers=headers)
