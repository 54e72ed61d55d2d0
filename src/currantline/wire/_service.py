"""Minimal HTTP server for endpoints outside the request path."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import h11

from currantline.exceptions import (
    BodyTooLargeError,
    CallerTimeoutError,
    ProtocolError,
    WireError,
)
from currantline.memory_account import REQUEST_BYTES, Kind
from currantline.wire._connection import MAX_HEAD_BYTES, HttpConnection
from currantline.wire._holding import AccountedPort
from currantline.wire._listen import listen
from currantline.wire._messages import Request, Response
from currantline.wire._turns import TurnQueue

__all__ = ["OWN_PORT_LIMITS", "HttpServer", "ServerLimits", "json_response"]

MAX_BODY_BYTES = 4 * 1024 * 1024

# Backlog of the listening socket, as asyncio's default.
ACCEPT_BACKLOG = 100

REQUEST_TIMEOUT, BODY_TOO_LARGE = 408, 413

Handler = Callable[[Request], Awaitable[Response]]


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Limits of an `HttpServer`.

    Parameters
    ----------
    body_bytes : int
        Maximum size of a request body.
    head_bytes : int
        Maximum size of a request line and headers.
    idle_timeout_ms : float or None
        Maximum idle time between two requests on a connection.
    request_timeout_ms : float or None
        Maximum time from the first byte of a request to its end.
    response_timeout_ms : float or None
        Maximum time from the end of a request until its response is written.
    """

    body_bytes: int = MAX_BODY_BYTES
    head_bytes: int = MAX_HEAD_BYTES
    idle_timeout_ms: float | None = None
    request_timeout_ms: float | None = None
    response_timeout_ms: float | None = None


# Limits of the endpoints of an instance. Their requests have no bodies and heads of
# some hundred bytes, other instances wait 1 s for a response, and pollers with an
# interval of up to a minute keep their connections.
OWN_PORT_LIMITS = ServerLimits(
    body_bytes=4096,
    head_bytes=8192,
    idle_timeout_ms=75_000.0,
    request_timeout_ms=3_000.0,
    response_timeout_ms=10_000.0,
)


def json_response(value: Any, *, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status=status,
        headers=(("content-type", "application/json"),),
        body=json.dumps(value).encode(),
    )


class HttpServer:
    """Serves complete requests with one handler.

    The handler is cancelled if the peer closes the connection.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the response to a request.
    limits : ServerLimits, optional
        Limits of requests and connections.
    port : AccountedPort, optional
        Counts the connections in the memory account.
    turns : TurnQueue, optional
        Limits the requests that are handled in one turn of the event loop.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: ServerLimits | None = None,
        port: AccountedPort | None = None,
        turns: TurnQueue | None = None,
    ) -> None:
        self._turns = turns
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address that the server listens on, as ``ip:port``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        self._server = await listen(
            self._create_connection, address, backlog=ACCEPT_BACKLOG
        )

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def exchange(self, connection: HttpConnection, request: Request) -> None:
        """Handle one request and write its response."""
        connection.write_response(await self._handler(request))
        await connection.drain()

    def _create_connection(self) -> HttpConnection:
        return HttpConnection(
            h11.SERVER,
            max_body_bytes=self._limits.body_bytes,
            max_head_bytes=self._limits.head_bytes,
            on_open=self._on_open,
        )

    def _on_open(self, connection: HttpConnection) -> None:
        if self._port is not None and not self._port.open(
            connection, lambda _: connection.abort()
        ):
            connection.abort()
            return
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: HttpConnection) -> None:
        try:
            await self._serve_requests(connection)
        except ProtocolError as error:
            _write_error(connection, error.status)
        except BodyTooLargeError:
            _write_error(connection, BODY_TOO_LARGE)
        except CallerTimeoutError:
            _write_error(connection, REQUEST_TIMEOUT)
        except (WireError, OSError, asyncio.CancelledError):
            connection.abort()
        finally:
            connection.close()

    async def _serve_requests(self, connection: HttpConnection) -> None:
        while await self._serve_request(connection):
            if not connection.is_reusable:
                return
            connection.start_next_cycle()
            # A handler may not suspend, and more requests may have been received.
            await asyncio.sleep(0)

    async def _serve_request(self, connection: HttpConnection) -> bool:
        """Serve one request; return False if there is none."""
        task = asyncio.current_task()
        assert task is not None
        try:
            async with asyncio.timeout(_to_s(self._limits.idle_timeout_ms)):
                if not await connection.wait_for_data():
                    return False
        except TimeoutError:
            return False
        charge = _Charge(connection)
        try:
            request = await self._read_request(connection, charge)
            if request is None or connection.is_lost:
                return False
            connection.on_lost = task.cancel
            charge.begin()
            if self._turns is not None:
                await self._turns.take()
            await self._exchange(connection, request)
        finally:
            charge.release()
        connection.on_lost = None
        return True

    async def _read_request(
        self, connection: HttpConnection, charge: "_Charge"
    ) -> Request | None:
        try:
            async with asyncio.timeout(_to_s(self._limits.request_timeout_ms)):
                head = await connection.read_request_head()
                if head is None:
                    return None
                charge.add_head()
                return await connection.read_request_body(head)
        except TimeoutError as error:
            raise CallerTimeoutError("the request did not arrive in time") from error

    async def _exchange(self, connection: HttpConnection, request: Request) -> None:
        try:
            async with asyncio.timeout(_to_s(self._limits.response_timeout_ms)):
                await self.exchange(connection, request)
        except TimeoutError as error:
            raise WireError("the response was not taken in time") from error


class _Charge:
    """Memory of one request."""

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self._holding = connection.holding
        self._head_bytes = 0
        self._is_in_progress = False

    def add_head(self) -> None:
        """Count the head just read."""
        size = REQUEST_BYTES + self._connection.head_bytes
        if self._holding is not None:
            if not self._holding.add(Kind.HEAD, size):
                raise WireError("no memory for the head")
            self._head_bytes = size

    def begin(self) -> None:
        """Count the request as in progress."""
        if self._holding is not None:
            self._holding.begin_request()
            self._is_in_progress = True

    def release(self) -> None:
        """Count the memory as free."""
        if self._holding is not None:
            if self._is_in_progress:
                self._holding.end_request()
            self._holding.release(Kind.HEAD, self._head_bytes)


def _to_s(timeout_ms: float | None) -> float | None:
    return None if timeout_ms is None else timeout_ms / 1000


def _write_error(connection: HttpConnection, status: int) -> None:
    try:
        connection.write_response(
            Response(status=status, headers=(("connection", "close"),))
        )
    except ProtocolError:
        connection.abort()
    else:
        connection.close_after_eof()
