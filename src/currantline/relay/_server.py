"""HTTP server for caller connections."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from currantline.exceptions import (
    BodyTooLargeError,
    CallerTimeoutError,
    ProtocolError,
    WireError,
)
from currantline.relay._pipeline import Pipeline
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

REQUEST_TIMEOUT, BODY_TOO_LARGE, BAD_GATEWAY = 408, 413, 502

Handler = Callable[[Request], Awaitable[Response]]


class RelayServer:
    """Reads caller requests and writes the responses.

    Parameters
    ----------
    handle : callable
        Coroutine function that returns the response to a request. It is cancelled
        when the caller disconnects.
    is_idempotent : callable
        Returns whether a request may be executed more than once. Other requests are
        neither handled before the response to an earlier one nor overtaken.
    read_limits : callable
        Returns the limits for caller requests.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        handle: Handler,
        *,
        is_idempotent: Callable[[Request], bool],
        read_limits: Callable[[], CallerLimits],
        log: EventLog,
    ) -> None:
        self._handle = handle
        self._is_idempotent = is_idempotent
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
        pipeline = Pipeline(
            connection,
            is_draining=lambda: self._is_draining,
            on_complete=self._count_completed,
            log=self._log,
        )
        try:
            while await self._serve_next(connection, pipeline):
                await connection.drain()
            await pipeline.wait_until_empty()
        except (ProtocolError, BodyTooLargeError, CallerTimeoutError) as error:
            await pipeline.wait_until_empty()
            if not pipeline.is_closed:
                self._respond_to_error(connection, error)
        except WireError as error:
            self._log.write("caller_lost", reason=str(error))
            connection.abort()
        except asyncio.CancelledError:
            if not pipeline.is_empty:
                connection.abort()
            raise
        finally:
            pipeline.cancel()
            connection.close()

    async def _serve_next(self, connection: HttpConnection, pipeline: Pipeline) -> bool:
        """Read one request and start to handle it; return False at the end."""
        await pipeline.wait_for_room()
        if not await self._wait_for_request(connection, pipeline):
            return False
        self.active_requests += 1
        is_handled = False
        try:
            request = await self._read_request(connection, pipeline)
            if request is None or pipeline.is_closed:
                return False
            exchange = connection.split_exchange()
            is_idempotent = self._is_idempotent(request)
            if not is_idempotent:
                # An earlier response may still close the connection. The caller would
                # then send this request again.
                await pipeline.wait_until_empty()
                if pipeline.is_closed:
                    return False
            is_last = not exchange.is_persistent
            task = asyncio.get_running_loop().create_task(self._run_handler(request))
            pipeline.add(request, exchange, task)
            is_handled = True
        finally:
            if not is_handled:
                self.active_requests -= 1
        if not is_idempotent:
            await pipeline.wait_until_empty()
        return not is_last

    def _count_completed(self) -> None:
        self.active_requests -= 1

    async def _wait_for_request(
        self, connection: HttpConnection, pipeline: Pipeline
    ) -> bool:
        idle_s = self._read_limits().idle_timeout_ms / 1000
        loop = asyncio.get_running_loop()

        def start_idle_period() -> None:
            self._idle.add(connection)
            limit.reschedule(loop.time() + idle_s)

        try:
            async with asyncio.timeout(None) as limit:
                pipeline.on_empty = start_idle_period
                if pipeline.is_empty:
                    start_idle_period()
                return await connection.wait_for_data()
        except TimeoutError:
            return False
        finally:
            pipeline.on_empty = None
            self._idle.discard(connection)

    async def _read_request(
        self, connection: HttpConnection, pipeline: Pipeline
    ) -> Request | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(
                self._read_limits().head_timeout_ms / 1000
            ) as limit:
                return await connection.read_request(
                    on_head=lambda: limit.reschedule(
                        loop.time() + BODY_TIMEOUT_MS / 1000
                    ),
                    before_continue=pipeline.wait_until_empty,
                )
        except TimeoutError as error:
            raise CallerTimeoutError("the request did not arrive in time") from error

    async def _run_handler(self, request: Request) -> Response:
        try:
            return await self._handle(request)
        except Exception as error:
            # A fault in one request must not end the others of its connection.
            self._log.write("request_failed", target=request.target, reason=repr(error))
            return Response(status=BAD_GATEWAY)

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
