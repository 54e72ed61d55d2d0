"""The calls that the platform and callers make besides requests."""

from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

from currantline.wire import Answer, Request, answer_json

__all__ = ["answer_directory", "answer_readiness"]

Handler = Callable[[Request], Awaitable[Answer]]

DIRECTORY_PATH = "/-/resolve"
READINESS_PATH = "/-/readiness"


def answer_directory(
    find_addresses: Callable[[str], list[str]], ttl_s: float
) -> Handler:
    """Return a handler that tells callers where to connect.

    Parameters
    ----------
    find_addresses : callable
        Returns the addresses for callers of a data centre.
    ttl_s : float
        Time in seconds for which callers keep the answer.
    """

    async def handle(request: Request) -> Answer:
        url = urlsplit(request.target)
        if url.path != DIRECTORY_PATH:
            return Answer(status=404)
        zone = parse_qs(url.query).get("zone", [""])[0]
        addresses = find_addresses(zone)
        if not addresses:
            return Answer(status=503)
        return answer_json({"addresses": addresses, "ttlS": ttl_s})

    return handle


def answer_readiness(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler that tells the platform whether the instance is ready."""

    async def handle(request: Request) -> Answer:
        if urlsplit(request.target).path != READINESS_PATH:
            return Answer(status=404)
        return Answer(status=200 if is_ready() else 503)

    return handle
