"""Handlers of the directory and readiness endpoints."""

from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

from currantline.wire import Request, Response, json_response

__all__ = ["make_directory_handler", "make_readiness_handler"]

Handler = Callable[[Request], Awaitable[Response]]

DIRECTORY_PATH = "/-/resolve"
READINESS_PATH = "/-/readiness"


def make_directory_handler(
    find_addresses: Callable[[str], list[str]], ttl_s: float
) -> Handler:
    """Return a handler that resolves the addresses callers should connect to.

    Parameters
    ----------
    find_addresses : callable
        Returns the addresses for callers in a data centre.
    ttl_s : float
        Time in seconds for which callers may cache the response.
    """

    async def handle(request: Request) -> Response:
        url = urlsplit(request.target)
        if url.path != DIRECTORY_PATH:
            return Response(status=404)
        zone = parse_qs(url.query).get("zone", [""])[0]
        addresses = find_addresses(zone)
        if not addresses:
            return Response(status=503)
        return json_response({"addresses": addresses, "ttlS": ttl_s})

    return handle


def make_readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler that reports the instance's readiness to the platform."""

    async def handle(request: Request) -> Response:
        if urlsplit(request.target).path != READINESS_PATH:
            return Response(status=404)
        return Response(status=200 if is_ready() else 503)

    return handle
