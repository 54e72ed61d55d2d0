"""Reads the requests of caller connections within the limits of memory and time."""

import asyncio
from collections.abc import Callable

from currantline.clock import Clock
from currantline.exceptions import (
    CallerTimeoutError,
    NoMemoryForBodyError,
    NoMemoryForRequestError,
)
from currantline.memory_account import REQUEST_BYTES, EvictionReason
from currantline.relay._body_admission import BodyAdmission, IncomingBody
from currantline.relay._names import HeaderNames
from currantline.relay._pipeline import Pipeline
from currantline.relay._request_charge import RequestCharge
from currantline.routing import CallerLimits
from currantline.telemetry import EventLog
from currantline.wire import HttpConnection, Request, find_header

__all__ = ["RequestReader"]

# Time-out for reading a request body in milliseconds.
BODY_TIMEOUT_MS = 30_000.0


class RequestReader:
    """Reads requests and counts their memory.

    Parameters
    ----------
    bodies : BodyAdmission
        Memory reserved for bodies.
    names : HeaderNames
        Header names.
    read_limits : callable
        Returns the limits for caller requests.
    clock : Clock
        Source of time.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        bodies: BodyAdmission,
        *,
        names: HeaderNames,
        read_limits: Callable[[], CallerLimits],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._bodies = bodies
        self._names = names
        self._read_limits = read_limits
        self._clock = clock
        self._log = log
        self._reading: dict[HttpConnection, Pipeline] = {}

    async def read(
        self, connection: HttpConnection, pipeline: Pipeline, charge: RequestCharge
    ) -> Request | None:
        """Read one request; return None if it must not be handled."""
        self._reading[connection] = pipeline
        try:
            head = await self._read_head(connection)
            if head is None or pipeline.is_closed:
                return None
            charge.check()
            charge.add_head(REQUEST_BYTES + connection.head_bytes)
            if _has_body(head):
                charge.holding.record_progress()
                # An eviction cannot interrupt this wait.
                del self._reading[connection]
                charge.reserved_bytes = await self._reserve_body(head)
                self._reading[connection] = pipeline
            if connection.is_continue_expected:
                # An interim response must not precede those to earlier requests.
                await pipeline.wait_until_empty()
            request = await self._read_body(connection, head, charge)
            charge.check()
            return request
        finally:
            self._reading.pop(connection, None)

    def evict(self, connection: HttpConnection, reason: EvictionReason) -> None:
        """Close a connection for another one, with a refusal where that is safe."""
        pipeline = self._reading.get(connection)
        is_refusable = pipeline is not None and pipeline.is_empty
        if (
            reason is EvictionReason.MEMORY
            and is_refusable
            and not connection.has_unwritten
        ):
            # No byte of the request has gone to a target.
            connection.interrupt(
                NoMemoryForRequestError("the memory went to other connections")
            )
        else:
            connection.abort(f"evicted for {reason.value}")

    async def _reserve_body(self, head: Request) -> int:
        length = find_header(head.headers, "content-length")
        try:
            return await self._bodies.reserve(None if length is None else int(length))
        except NoMemoryForBodyError as error:
            self._log.write(
                "body_refused",
                request_id=find_header(head.headers, self._names.request_id) or "",
                reason=str(error),
            )
            raise

    async def _read_head(self, connection: HttpConnection) -> Request | None:
        try:
            async with asyncio.timeout(self._read_limits().head_timeout_ms / 1000):
                return await connection.read_request_head()
        except TimeoutError as error:
            raise CallerTimeoutError("the head did not arrive in time") from error

    async def _read_body(
        self, connection: HttpConnection, head: Request, charge: RequestCharge
    ) -> Request:
        body = IncomingBody(
            connection.interrupt,
            charge.reserved_bytes,
            is_chunked=_is_chunked(head),
            progressed_ms=self._clock.read(),
        )

        def count(size: int) -> None:
            self._bodies.add(body, size)
            charge.add_body(size)

        if not _has_body(head):
            return await connection.read_request_body(head)
        self._bodies.start(body)
        try:
            async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
                request = await connection.read_request_body(head, on_data=count)
            # The body may have been refused when its last bytes had come already.
            count(0)
            return request
        except TimeoutError as error:
            raise CallerTimeoutError("the body did not arrive in time") from error
        except NoMemoryForBodyError as error:
            self._log.write(
                "body_refused",
                request_id=find_header(head.headers, self._names.request_id) or "",
                reason=str(error),
            )
            raise
        finally:
            self._bodies.end(body)
            charge.reserved_bytes = body.reserved_bytes
            connection.clear_interruption()


def _has_body(head: Request) -> bool:
    length = find_header(head.headers, "content-length")
    return _is_chunked(head) or length not in (None, "0")


def _is_chunked(head: Request) -> bool:
    return find_header(head.headers, "transfer-encoding") is not None
