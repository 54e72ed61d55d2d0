"""The HTTP side for callers."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from urllib.parse import urlsplit

import attrs
import h11

from currantline.admission import WorkItem
from currantline.clock import Clock
from currantline.configuration import Configuration
from currantline.directory import AddressResponse
from currantline.exceptions import (
    BodyTooLargeError,
    CallerTimeoutError,
    ProtocolError,
    UnknownServiceError,
    WireError,
)
from currantline.forwarding._carrier import Carrier
from currantline.forwarding._interpret import interpret, present, refuse
from currantline.forwarding._log import log_request
from currantline.forwarding._observation import RequestObservation, RequestObserver
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._progress import Completion
from currantline.forwarding._timer import Schedule, TimerHandle, schedule_on_loop
from currantline.wire import HttpConnection, Request, Response

__all__ = ["CallerOptions", "CallerServer", "Guidance"]


@attrs.frozen(kw_only=True)
class CallerOptions:
    """Limits towards callers.

    Parameters
    ----------
    max_body_bytes : int
        Largest request body accepted.
    max_connections : int
        Most open connections.
    max_connections_per_host : int
        Most open connections from one IP number.
    idle_timeout_ms : float
        Longest time between two requests on a connection.
    request_timeout_ms : float
        Longest time from the first to the last byte of a request.
    answer_timeout_ms : float
        Longest time for a caller to take an answer.
    linger_ms : float
        Time for which a leaving instance still accepts connections. Callers
        keep addresses for 2,000 ms, and a connection that arrives while the
        listener closes is reset.
    """

    max_body_bytes: int = 16 * 1024 * 1024
    max_connections: int = 10_000
    max_connections_per_host: int = 1_000
    idle_timeout_ms: float = 60_000.0
    request_timeout_ms: float = 10_000.0
    answer_timeout_ms: float = 30_000.0
    linger_ms: float = 2_500.0


@attrs.frozen(kw_only=True)
class Guidance:
    """What the server asks the rest of the instance.

    Parameters
    ----------
    read_configuration : callable
        Returns the configuration in force.
    answer_addresses : callable
        Returns the addresses of a service, or raises `UnknownServiceError`.
    needs_refresh : callable
        Returns whether callers of a service should ask for addresses again.
    is_leaving : callable
        Returns whether the instance is leaving.
    """

    read_configuration: Callable[[], Configuration]
    answer_addresses: Callable[[str], AddressResponse]
    needs_refresh: Callable[[str], bool]
    is_leaving: Callable[[], bool]


class CallerServer:
    """Accepts connections of callers and answers their requests.

    Parameters
    ----------
    name : str
        Name of this instance.
    carrier : Carrier
        Carries requests to targets.
    guidance : Guidance
        What the server asks the rest of the instance.
    clock : Clock
        Source of time.
    options : CallerOptions, optional
        Limits.
    observer : RequestObserver, optional
        Counts requests.
    schedule : Schedule, optional
        Source of timers.
    """

    def __init__(
        self,
        name: str,
        *,
        carrier: Carrier,
        guidance: Guidance,
        clock: Clock,
        options: CallerOptions | None = None,
        observer: RequestObserver | None = None,
        schedule: Schedule = schedule_on_loop,
    ) -> None:
        self._name = name
        self._carrier = carrier
        self._guidance = guidance
        self._clock = clock
        self._options = options or CallerOptions()
        self._observer = observer
        self._schedule = schedule
        self._server: asyncio.Server | None = None
        self._is_closing = False
        self._hosts: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: set[HttpConnection] = set()

    @property
    def address(self) -> str:
        """Address that the server listens on, ``ip:port``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return self._hosts.total()

    async def start(self, address: str) -> None:
        """Listen on an address.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._build, host, int(port))

    async def leave(self, timeout_ms: float) -> None:
        """Stop listening, finish open requests, then close all connections.

        New connections are accepted for ``linger_ms`` or half of the time,
        whichever is less.

        Parameters
        ----------
        timeout_ms : float
            Longest time for all of it, in milliseconds.
        """
        linger_ms = min(self._options.linger_ms, timeout_ms / 2)
        await self._pause(linger_ms)
        if self._server is not None:
            self._server.close()
        self._is_closing = True
        for connection in tuple(self._idle):
            # A request that has arrived already is still answered.
            if not connection.has_unread and not connection.is_readable():
                connection.interrupt(CallerTimeoutError("the instance is leaving"))
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=(timeout_ms - linger_ms) / 1000)
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _pause(self, duration_ms: float) -> None:
        over = asyncio.Event()
        self._schedule(duration_ms, over.set)
        await over.wait()

    def _build(self) -> HttpConnection:
        return HttpConnection(
            h11.SERVER,
            max_body_bytes=self._options.max_body_bytes,
            on_open=self._open,
        )

    def _open(self, connection: HttpConnection) -> None:
        host = connection.peer_host
        if (
            self.connection_count >= self._options.max_connections
            or self._hosts[host] >= self._options.max_connections_per_host
        ):
            text = "too many connections"
            self._refuse_and_close(connection, 503, "too-many-connections", text)
            return
        self._hosts[host] += 1
        task = asyncio.get_running_loop().create_task(self._serve(connection, host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: HttpConnection, host: str) -> None:
        try:
            while await self._serve_one(connection):
                connection.start_next_cycle()
        except BodyTooLargeError as error:
            self._refuse_and_close(connection, 413, "too-large", str(error))
        except ProtocolError as error:
            self._refuse_and_close(connection, error.status, "bad-request", str(error))
        except CallerTimeoutError as error:
            self._refuse_and_close(connection, 408, "slow-request", str(error))
        except (WireError, OSError, asyncio.CancelledError):
            connection.abort()
        finally:
            connection.on_lost = None
            connection.close()
            self._hosts[host] -= 1
            if not self._hosts[host]:
                del self._hosts[host]

    async def _serve_one(self, connection: HttpConnection) -> bool:
        if not await self._wait_for_request(connection):
            return False
        request = await self._read(connection)
        if request is None or connection.is_lost:
            return False
        task = asyncio.current_task()
        assert task is not None
        # A caller that closes its connection cancels its request.
        connection.on_lost = task.cancel
        answer = await self._answer(request)
        if self._guidance.is_leaving():
            closing = (*answer.headers, ("connection", "close"))
            answer = attrs.evolve(answer, headers=closing)
        await self._write(connection, answer)
        connection.on_lost = None
        return connection.is_reusable

    async def _wait_for_request(self, connection: HttpConnection) -> bool:
        if connection.has_unread:
            return True
        if self._is_closing and not connection.is_readable():
            return False
        timer = self._limit(connection, self._options.idle_timeout_ms)
        self._idle.add(connection)
        try:
            return await connection.wait_for_data()
        except CallerTimeoutError:
            return False
        finally:
            self._idle.discard(connection)
            timer.cancel()

    async def _read(self, connection: HttpConnection) -> Request | None:
        timer = self._limit(connection, self._options.request_timeout_ms)
        try:
            return await connection.read_request()
        finally:
            timer.cancel()

    async def _write(self, connection: HttpConnection, answer: Response) -> None:
        connection.write_response(answer)
        timer = self._limit(connection, self._options.answer_timeout_ms)
        try:
            await connection.drain()
        except CallerTimeoutError:
            connection.abort()
            raise WireError("the caller does not take its answer") from None
        finally:
            timer.cancel()

    def _limit(self, connection: HttpConnection, limit_ms: float) -> "_Limit":
        return _Limit(connection, limit_ms, self._schedule)

    async def _answer(self, request: Request) -> Response:
        path = urlsplit(request.target).path
        parts = path.split("/", 3)
        if len(parts) >= 4 and parts[1] == "services":
            return await self._forward(parts[2], request)
        if len(parts) == 4 and parts[1:3] == ["v1", "addresses"]:
            return self._answer_addresses(parts[3])
        return refuse(404, "no-such-path", f"no such path: {path}")

    def _answer_addresses(self, service: str) -> Response:
        try:
            answer = self._guidance.answer_addresses(service)
        except UnknownServiceError as error:
            return refuse(404, "unknown-service", str(error))
        if not answer.addresses:
            # An instance that starts knows of none; another one may.
            return refuse(503, "not-ready", "no ready instance is known")
        body = json.dumps(attrs.asdict(answer)).encode()
        return Response(
            status=200, headers=(("content-type", "application/json"),), body=body
        )

    async def _forward(self, name: str, request: Request) -> Response:
        service = self._guidance.read_configuration().services.get(name)
        if service is None:
            return refuse(404, "unknown-service", f"no service is named {name!r}")
        try:
            work, inner = interpret(service, request, now=self._clock.read())
        except WireError as error:
            return refuse(400, "bad-request", str(error))
        completion = await self._carry(work, inner)
        return present(
            completion,
            request_id=work.request_id,
            instance=self._name,
            method=request.method,
            refresh=self._guidance.is_leaving() or self._guidance.needs_refresh(name),
        )

    async def _carry(self, work: WorkItem, request: Request) -> Completion:
        completion: Completion | None = None
        failure = ""
        try:
            completion = await self._carrier.carry(work, request)
            return completion
        except BaseException as error:
            failure = type(error).__name__
            raise
        finally:
            duration_ms = self._clock.read() - work.arrived
            log_request(
                work,
                completion,
                instance=self._name,
                duration_ms=duration_ms,
                failure=failure,
            )
            self._tell(work, completion, duration_ms)

    def _tell(
        self, work: WorkItem, completion: Completion | None, duration_ms: float
    ) -> None:
        if self._observer is None:
            return
        done = completion or Completion(outcome=Outcome.UNKNOWN)
        self._observer.observe_request(
            RequestObservation(
                outcome=completion.outcome if completion else None,
                service=work.service,
                priority=work.priority,
                duration_ms=duration_ms,
                attempts=done.attempts,
                waited_ms=done.waited_ms,
                is_long=done.is_long,
                own_ms=duration_ms - done.waited_ms - done.target_ms,
            )
        )

    def _refuse_and_close(
        self, connection: HttpConnection, status: int, reason: str, text: str
    ) -> None:
        answer = refuse(status, reason, text)
        closing = (*answer.headers, ("connection", "close"))
        try:
            connection.write_response(attrs.evolve(answer, headers=closing))
        except ProtocolError:
            connection.abort()
        else:
            connection.close_after_eof()


class _Limit:
    """Interrupts a connection that waits for longer than a time.

    The timer starts with the first wait; most requests and answers need none.
    """

    def __init__(
        self, connection: HttpConnection, limit_ms: float, schedule: Schedule
    ) -> None:
        self._connection = connection
        self._limit_ms = limit_ms
        self._schedule = schedule
        self._handle: TimerHandle | None = None
        connection.before_wait = self._start

    def cancel(self) -> None:
        """Stop the timer, also if it has expired but nothing waited."""
        self._connection.before_wait = None
        if self._handle is not None:
            self._handle.cancel()
            self._connection.clear_interruption()

    def _start(self) -> None:
        if self._handle is None:
            self._handle = self._schedule(self._limit_ms, self._expire)

    def _expire(self) -> None:
        self._connection.interrupt(CallerTimeoutError("the request took too long"))
