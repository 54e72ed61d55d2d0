"""Minimal HTTP server for endpoints outside the request path."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from currantline.exceptions import BodyTooLargeError, ProtocolError, WireError
from currantline.wire._connection import HttpConnection
from currantline.wire._messages import Request, Response

__all__ = ["HttpServer", "json_response"]

MAX_BODY_BYTES = 4 * 1024 * 1024

Handler = Callable[[Request], Awaitable[Response]]


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
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
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
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, host, int(port)
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
            h11.SERVER, max_body_bytes=MAX_BODY_BYTES, on_open=self._on_open
        )

    def _on_open(self, connection: HttpConnection) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: HttpConnection) -> None:
        try:
            await self._serve_requests(connection)
        except (ProtocolError, BodyTooLargeError) as error:
            status = error.status if isinstance(error, ProtocolError) else 413
            _write_error(connection, status)
        except (WireError, OSError, asyncio.CancelledError):
            connection.abort()
        finally:
            connection.close()

    async def _serve_requests(self, connection: HttpConnection) -> None:
        task = asyncio.current_task()
        assert task is not None
        while (request := await connection.read_request()) is not None:
            if connection.is_lost:
                return
            connection.on_lost = task.cancel
            await self.exchange(connection, request)
            connection.on_lost = None
            if not connection.is_reusable:
                return
            connection.start_next_cycle()
            # A handler may not suspend, and more requests may have been received.
            await asyncio.sleep(0)


def _write_error(connection: HttpConnection, status: int) -> None:
    try:
        connection.write_response(
            Response(status=status, headers=(("connection", "close"),))
        )
    except ProtocolError:
        connection.abort()
    else:
        connection.close_after_eof()
