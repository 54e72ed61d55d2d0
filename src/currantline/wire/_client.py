"""HTTP client that keeps one connection alive."""

import asyncio

import attrs

from currantline.exceptions import WireError
from currantline.wire._body_memory import BodyMemory
from currantline.wire._connect import connect
from currantline.wire._connection import HttpConnection
from currantline.wire._fetch import MAX_FETCHED_BYTES
from currantline.wire._messages import Request, Response

__all__ = ["HttpClient"]


class HttpClient:
    """Sends idempotent requests to one address, one at a time.

    Parameters
    ----------
    address : str
        IP address and port.
    body_memory : BodyMemory, optional
        Limits the total size of the bodies that several connections receive.
    """

    def __init__(self, address: str, *, body_memory: BodyMemory | None = None) -> None:
        self._address = address
        self._body_memory = body_memory
        self._connection: HttpConnection | None = None

    @property
    def address(self) -> str:
        """IP address and port."""
        return self._address

    async def fetch(self, request: Request, *, timeout_ms: float) -> Response:
        """Send a request and return the complete response.

        If the peer has closed the idle connection, the request is sent again once,
        over a new connection.

        Raises
        ------
        BodyTooLargeError
            If the body exceeds ``MAX_FETCHED_BYTES``, or there is no memory for it.
        WireError
            If no complete response arrived in time.
        """
        request = attrs.evolve(
            request, headers=(("host", self._address), *request.headers)
        )
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._fetch(request)
        except TimeoutError as error:
            raise WireError(
                f"no answer from {self._address} in {timeout_ms:g} ms"
            ) from error
        except OSError as error:
            raise WireError(f"cannot reach {self._address}: {error}") from error

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _fetch(self, request: Request) -> Response:
        idle, self._connection = self._connection, None
        if idle is not None and not idle.is_readable():
            try:
                return await self._exchange(idle, request)
            except WireError:
                if not idle.is_lost:
                    raise
        elif idle is not None:
            idle.abort()
        new = await connect(
            self._address,
            max_body_bytes=MAX_FETCHED_BYTES,
            body_memory=self._body_memory,
        )
        return await self._exchange(new, request)

    async def _exchange(self, connection: HttpConnection, request: Request) -> Response:
        is_complete = False
        try:
            connection.write_request(request)
            response = await connection.read_response()
            is_complete = True
        finally:
            if not is_complete or not connection.is_reusable:
                connection.abort()
        if connection.is_reusable:
            connection.start_next_cycle()
            self._connection = connection
        return response
