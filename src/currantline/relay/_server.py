"""HTTP server for caller connections."""

import asyncio
import weakref
from collections.abc import Awaitable, Callable

import h11

from currantline.clock import Clock
from currantline.exceptions import ProtocolError, WireError
from currantline.memory_account import MemoryAccount, find_max_bytes
from currantline.relay._body_admission import BodyAdmission
from currantline.relay._body_budget import MIN_BODY_BYTES_HELD
from currantline.relay._names import HeaderNames
from currantline.relay._pipeline import Pipeline
from currantline.relay._refusal import REFUSED_ERRORS, build_refusal
from currantline.relay._request_charge import RequestCharge
from currantline.relay._request_reader import RequestReader
from currantline.relay._tasks import discard_cancellation
from currantline.relay._time_left import parse_time_left
from currantline.routing import CallerLimits
from currantline.telemetry import EventLog
from currantline.wire import (
    AccountedPort,
    HttpConnection,
    Request,
    Response,
    TurnQueue,
    find_header,
    listen,
)

__all__ = ["RelayServer"]

# Backlog of the listening socket. A full backlog delays a new connection by seconds.
ACCEPT_BACKLOG = 1024

# Time in milliseconds after which a caller that answers no probes counts as gone.
DEAD_CALLER_TIMEOUT_MS = 10_000

# Memory of the machine if no account is given.
DEFAULT_MEMORY_BYTES = 1_000_000_000

BAD_GATEWAY, UNAVAILABLE = 502, 503

Handler = Callable[[Request, float], Awaitable[Response]]


class RelayServer:
    """Reads caller requests and writes the responses.

    Parameters
    ----------
    handle : callable
        Coroutine function that returns the response to a request, which it gets with
        its arrival time in milliseconds. It is cancelled when the caller disconnects.
    is_idempotent : callable
        Returns whether a request may be executed more than once. Other requests are
        neither handled before the response to an earlier one nor overtaken.
    names : HeaderNames
        Header names.
    read_limits : callable
        Returns the limits for caller requests.
    clock : Clock
        Source of time.
    log : EventLog
        Log of events.
    max_body_bytes_held : int
        Total size of the request bodies held at the same time.
    port : AccountedPort, optional
        Counts the connections in the memory account.
    """

    def __init__(
        self,
        handle: Handler,
        *,
        is_idempotent: Callable[[Request], bool],
        names: HeaderNames,
        read_limits: Callable[[], CallerLimits],
        clock: Clock,
        log: EventLog,
        max_body_bytes_held: int = MIN_BODY_BYTES_HELD,
        port: AccountedPort | None = None,
    ) -> None:
        self._handle = handle
        self._is_idempotent = is_idempotent
        self._names = names
        self._read_limits = read_limits
        self._clock = clock
        self._log = log
        self._bodies = BodyAdmission(max_body_bytes_held, clock=clock)
        self._port = port or AccountedPort(
            MemoryAccount(find_max_bytes(DEFAULT_MEMORY_BYTES)), "callers", clock=clock
        )
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: set[HttpConnection] = set()
        self._turns = TurnQueue()
        self._reader = RequestReader(
            self._bodies, names=names, read_limits=read_limits, clock=clock, log=log
        )
        self._is_draining = False
        self._is_refusing = False
        self.active_requests = 0

    @property
    def address(self) -> str:
        """Address that the server listens on, as ``ip:port``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def held_body_bytes(self) -> int:
        """Memory reserved for request bodies."""
        return self._bodies.held_bytes

    @property
    def undelivered_responses(self) -> int:
        """Number of connections whose callers have not taken all responses."""
        return self._port.count_undelivered()

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

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    def stop_accepting(self) -> None:
        """Stop accepting new connections, and refuse requests on the open ones."""
        self._is_refusing = True
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request in progress or a response under way."""
        for connection in tuple(self._idle):
            if not connection.has_undelivered:
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
        if not self._port.open(
            connection, lambda reason: self._reader.evict(connection, reason)
        ):
            connection.abort()
            return
        connection.set_keep_alive(DEAD_CALLER_TIMEOUT_MS)
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
        except REFUSED_ERRORS as error:
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
        if connection.has_pipelined:
            await self._turns.take()
        if not await self._wait_for_request(connection, pipeline):
            return False
        assert connection.holding is not None
        arrived_ms = self._clock.read()
        self.active_requests += 1
        charge = RequestCharge(connection.holding, self._bodies)
        task: asyncio.Task[Response] | None = None
        try:
            request = await self._reader.read(connection, pipeline, charge)
            if request is None:
                return False
            connection.holding.await_until(arrived_ms + self._read_time_left(request))
            exchange = connection.split_exchange()
            if exchange.retained_bytes:
                charge.add_head(exchange.retained_bytes)
            is_idempotent = self._is_idempotent(request)
            if not is_idempotent:
                # An earlier response may still close the connection. The caller would
                # then send this request again.
                await pipeline.wait_until_empty()
            if pipeline.is_closed:
                self._log.write(
                    "request_not_handled",
                    request_id=self._read_id(request),
                    reason="an earlier response closed the connection",
                )
                return False
            charge.check()
            is_last = not exchange.is_persistent
            task = self._start_handler(request, arrived_ms, charge)
            pipeline.add(request, exchange, task)
        finally:
            if task is None:
                self.active_requests -= 1
                charge.release()
        if not is_idempotent:
            await pipeline.wait_until_empty()
        return not is_last

    def _start_handler(
        self, request: Request, arrived_ms: float, charge: RequestCharge
    ) -> "asyncio.Task[Response]":
        task = asyncio.get_running_loop().create_task(
            self._run_handler(request, arrived_ms)
        )
        charge.holding.begin_request()

        def finish(task: "asyncio.Task[Response]") -> None:
            charge.holding.end_request()
            if task.cancelled():
                discard_cancellation(task)
                # A send that must not be cancelled still needs the request.
                weakref.finalize(request, charge.release).atexit = False
            else:
                charge.release()

        task.add_done_callback(finish)
        return task

    def _read_time_left(self, request: Request) -> float:
        return parse_time_left(find_header(request.headers, self._names.time_left), 0.0)

    def _read_id(self, request: Request) -> str:
        return find_header(request.headers, self._names.request_id) or ""

    def _count_completed(self) -> None:
        self.active_requests -= 1

    async def _wait_for_request(
        self, connection: HttpConnection, pipeline: Pipeline
    ) -> bool:
        idle_timeout_ms = self._read_limits().idle_timeout_ms
        left_ms = idle_timeout_ms
        while left_ms > 0:
            try:
                return await self._wait_while_idle(connection, pipeline, left_ms)
            except TimeoutError:
                assert connection.holding is not None
                left_ms = connection.holding.find_idle_left_ms(idle_timeout_ms)
        return False

    async def _wait_while_idle(
        self, connection: HttpConnection, pipeline: Pipeline, timeout_ms: float
    ) -> bool:
        """Wait for a request, at most for a time after the last response."""
        loop = asyncio.get_running_loop()

        def start_idle_period() -> None:
            self._idle.add(connection)
            limit.reschedule(loop.time() + timeout_ms / 1000)

        try:
            async with asyncio.timeout(None) as limit:
                pipeline.on_empty = start_idle_period
                if pipeline.is_empty:
                    start_idle_period()
                return await connection.wait_for_data()
        finally:
            pipeline.on_empty = None
            self._idle.discard(connection)

    async def _run_handler(self, request: Request, arrived_ms: float) -> Response:
        if self._is_refusing:
            self._log.write(
                "request_refused",
                request_id=self._read_id(request),
                status=UNAVAILABLE,
                reason="the instance is stopping",
            )
            # Other instances can serve the request immediately.
            return Response(status=UNAVAILABLE, headers=(("retry-after", "0"),))
        try:
            return await self._handle(request, arrived_ms)
        except Exception as error:
            # A fault in one request must not end the others of its connection.
            self._log.write(
                "request_failed",
                request_id=self._read_id(request),
                reason=repr(error),
            )
            return Response(status=BAD_GATEWAY)

    def _respond_to_error(self, connection: HttpConnection, error: WireError) -> None:
        response = build_refusal(error)
        self._log.write("request_refused", status=response.status, reason=str(error))
        try:
            connection.write_response(response)
        except ProtocolError as reason:
            self._log.write("answer_not_written", reason=str(reason))
            connection.abort()
        else:
            connection.close_after_eof()
