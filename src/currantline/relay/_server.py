"""HTTP server for caller connections."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import h11

from currantline.exceptions import (
    BodyTooLargeError,
    CallerTimeoutError,
    ProtocolError,
    WireError,
)
from currantline.routing import CallerLimits
from currantline.telemetry import EventLog
from currantline.wire import HttpConnection, Request, Response

__all__ = ["RelayServer"]

# Backlog of the listening socket. A full backlog delays a new connection by seconds.
ACCEPT_BACKLOG = 1024

# Time-out for reading a request body in milliseconds.
BODY_TIMEOUT_MS = 30_000.0

# Time in milliseconds after which a caller that acknowledges no data counts as gone.
DEAD_CALLER_TIMEOUT_MS = 10_000

REQUEST_TIMEOUT, BODY_TOO_LARGE, HEAD_TOO_LARGE = 408, 413, 431

Handler = Callable[[Request], Awaitable[Response]]


class RelayServer:
    """Reads caller requests and writes the responses.

    Parameters
    ----------
    handle : callable
        Coroutine function that returns the response to a request. It is cancelled
        when the caller disconnects.
    read_limits : callable
        Returns the limits for caller requests.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        handle: Handler,
        *,
        read_limits: Callable[[], CallerLimits],
        log: EventLog,
    ) -> None:
        self._handle = handle
        self._read_limits = read_limits
        self._log = log
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: set[HttpConnection] = set()
        self._is_draining = False
        self.active_requests = 0

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
            self._create_connection, host, int(port), backlog=ACCEPT_BACKLOG
        )

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    def stop_accepting(self) -> None:
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in tuple(self._idle):
            connection.close()

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_accepting()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _create_connection(self) -> HttpConnection:
        limits = self._read_limits()
        return HttpConnection(
            h11.SERVER,
            max_body_bytes=limits.body_bytes,
            max_head_bytes=limits.head_bytes,
            on_open=self._on_open,
        )

    def _on_open(self, connection: HttpConnection) -> None:
        connection.set_dead_peer_timeout(DEAD_CALLER_TIMEOUT_MS)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: HttpConnection) -> None:
        try:
            while await self._serve_one(connection):
                connection.start_next_cycle()
        except (ProtocolError, BodyTooLargeError, CallerTimeoutError) as error:
            self._respond_to_error(connection, error)
        except WireError as error:
            self._log.write("caller_lost", reason=str(error))
            connection.abort()
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            connection.close()

    async def _serve_one(self, connection: HttpConnection) -> bool:
        if not await self._wait_for_request(connection):
            return False
        self.active_requests += 1
        try:
            request = await self._read_request(connection)
            if request is None or connection.is_lost:
                return False
            response = await self._handle_request(connection, request)
            if response is None:
                return False
            if self._is_draining:
                headers = (*response.headers, ("connection", "close"))
                response = attrs.evolve(response, headers=headers)
            connection.write_response(response)
            await connection.drain()
            return connection.is_reusable
        finally:
            self.active_requests -= 1

    async def _wait_for_request(self, connection: HttpConnection) -> bool:
        self._idle.add(connection)
        limit_ms = self._read_limits().idle_timeout_ms
        try:
            async with asyncio.timeout(limit_ms / 1000):
                return await connection.wait_for_data()
        except TimeoutError:
            return False
        finally:
            self._idle.discard(connection)

    async def _read_request(self, connection: HttpConnection) -> Request | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(
                self._read_limits().head_timeout_ms / 1000
            ) as limit:
                return await connection.read_request(
                    on_head=lambda: limit.reschedule(
                        loop.time() + BODY_TIMEOUT_MS / 1000
                    )
                )
        except TimeoutError as error:
            raise CallerTimeoutError("the request did not arrive in time") from error

    async def _handle_request(
        self, connection: HttpConnection, request: Request
    ) -> Response | None:
        handler_task = asyncio.ensure_future(self._handle(request))
        connection.on_lost = handler_task.cancel
        try:
            return await asyncio.shield(handler_task)
        except asyncio.CancelledError:
            if not connection.is_lost:
                handler_task.cancel()
                raise
            self._log.write("caller_left", target=request.target)
            return None
        finally:
            connection.on_lost = None

    def _respond_to_error(self, connection: HttpConnection, error: WireError) -> None:
        status = REQUEST_TIMEOUT
        if isinstance(error, BodyTooLargeError):
            status = BODY_TOO_LARGE
        elif isinstance(error, ProtocolError):
            status = error.status
        self._log.write("request_refused", status=status, reason=str(error))
        response = Response(status=status, headers=(("connection", "close"),))
        try:
            connection.write_response(response)
        except ProtocolError as reason:
            self._log.write("answer_not_written", reason=str(reason))
            connection.abort()
        else:
            connection.close_after_eof()
