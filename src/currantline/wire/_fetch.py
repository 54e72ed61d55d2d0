"""A single HTTP request over a new connection."""

import asyncio

from currantline.exceptions import WireError
from currantline.wire._body_memory import BodyMemory
from currantline.wire._connect import connect
from currantline.wire._messages import Request, Response

__all__ = ["MAX_FETCHED_BYTES", "fetch"]

# Maximum size of a body that instances read for themselves. The state of the largest
# fleet takes a quarter of it, and decoding it takes several times its size.
MAX_FETCHED_BYTES = 16 * 1024 * 1024


async def fetch(
    address: str,
    request: Request,
    *,
    timeout_ms: float,
    body_memory: BodyMemory | None = None,
) -> Response:
    """Send one request and return the complete response.

    Parameters
    ----------
    address : str
        IP address and port.
    request : Request
        The request.
    timeout_ms : float
        Maximum time for connecting and the exchange, in milliseconds.
    body_memory : BodyMemory, optional
        Limits the total size of several bodies.

    Returns
    -------
    Response
        Status, headers and body.

    Raises
    ------
    WireError
        If no complete response arrived in time.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            connection = await connect(
                address, max_body_bytes=MAX_FETCHED_BYTES, body_memory=body_memory
            )
            try:
                connection.write_request(_add_host(request, address))
                return await connection.read_response()
            finally:
                connection.abort()
    except TimeoutError as error:
        raise WireError(f"no answer from {address} in {timeout_ms:g} ms") from error
    except OSError as error:
        raise WireError(f"cannot reach {address}: {error.strerror}") from error


def _add_host(request: Request, address: str) -> Request:
    if any(name == "host" for name, _ in request.headers):
        return request
    return Request(
        method=request.method,
        target=request.target,
        headers=(("host", address), *request.headers),
        body=request.body,
    )
