"""Requests of one caller connection that are in progress at the same time.

A caller may send idempotent requests before the response to an earlier one
(pipelining). Served one after the other, each would wait for all before it. They are
therefore handled concurrently, and their responses are written in the order of the
requests.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from currantline.exceptions import ProtocolError
from currantline.memory_account import Kind, find_head_bytes
from currantline.telemetry import EventLog
from currantline.wire import HttpConnection, Request, Response, ServerExchange

__all__ = ["Pipeline"]

# Maximum number of requests of one connection in progress.
MAX_REQUESTS = 16

BAD_GATEWAY = 502
CLOSE = ("connection", "close")


@attrs.define(eq=False)
class _Entry:
    request: Request
    exchange: ServerExchange
    task: "asyncio.Task[Response]"
    # Memory of a response that waits for an earlier one.
    waiting_bytes: int = 0


class Pipeline:
    """Writes the responses of concurrent requests in the order of the requests.

    Parameters
    ----------
    connection : HttpConnection
        Connection of the caller.
    is_draining : callable
        Returns whether the connection must be closed after the requests in progress.
    on_complete : callable
        Called once for each added request when it is complete.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        connection: HttpConnection,
        *,
        is_draining: Callable[[], bool],
        on_complete: Callable[[], object],
        log: EventLog,
    ) -> None:
        self._connection = connection
        self._is_draining = is_draining
        self._on_complete = on_complete
        self._log = log
        self._entries: deque[_Entry] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._is_closed = False
        self.on_empty: Callable[[], object] | None = None
        connection.on_lost = self.cancel

    @property
    def is_empty(self) -> bool:
        """Whether no request is in progress."""
        return not self._entries

    @property
    def is_closed(self) -> bool:
        """Whether no further request may be handled.

        A caller sends the requests behind a response with ``Connection: close`` again,
        whatever their kind, because it takes them as not read.
        """
        connection = self._connection
        return self._is_closed or connection.is_lost or connection.is_closing

    def add(
        self,
        request: Request,
        exchange: ServerExchange,
        task: "asyncio.Task[Response]",
    ) -> None:
        """Add a request whose response is the result of a task."""
        entry = _Entry(request, exchange, task)
        self._entries.append(entry)
        task.add_done_callback(lambda _: self._complete(entry))

    async def wait_for_room(self) -> None:
        """Wait until another request may be added."""
        while len(self._entries) >= MAX_REQUESTS:
            await self._wait_for_change()

    async def wait_until_empty(self) -> None:
        """Wait until all responses have been written."""
        while self._entries:
            await self._wait_for_change()

    def cancel(self) -> None:
        """Cancel all requests in progress, because the caller has left."""
        for entry in tuple(self._entries):
            if not entry.task.done():
                self._log.write("caller_left", target=entry.request.target)
                entry.task.cancel()

    async def _wait_for_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _complete(self, entry: _Entry) -> None:
        if self._entries and self._entries[0] is not entry:
            self._count_waiting(entry)
        self._write_completed()

    def _count_waiting(self, entry: _Entry) -> None:
        holding = self._connection.holding
        if holding is None or entry.task.cancelled() or entry.task.exception():
            return
        response = entry.task.result()
        size = find_head_bytes(len(response.body), len(response.headers))
        if holding.add(Kind.ANSWER, size):
            entry.waiting_bytes = size
        else:
            self._connection.abort()

    def _write_completed(self) -> None:
        while self._entries and self._entries[0].task.done():
            entry = self._entries.popleft()
            if entry.waiting_bytes and self._connection.holding is not None:
                self._connection.holding.release(Kind.ANSWER, entry.waiting_bytes)
            self._on_complete()
            if not (entry.task.cancelled() or self.is_closed):
                self._write(entry)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if not self._entries and self.on_empty is not None:
            self.on_empty()

    def _encode(self, entry: _Entry, response: Response) -> list[bytes]:
        try:
            return entry.exchange.encode_response_parts(response)
        except ProtocolError as error:
            self._log.write("answer_replaced", reason=str(error))
            return entry.exchange.encode_response_parts(Response(status=BAD_GATEWAY))

    def _write(self, entry: _Entry) -> None:
        response = entry.task.result()
        # Requests behind this one have been passed on, and their responses must follow.
        if self._is_draining() and not self._entries:
            response = attrs.evolve(response, headers=(*response.headers, CLOSE))
        try:
            self._connection.write_encoded(self._encode(entry, response))
        except Exception as error:
            # The caller must see an end, whatever the fault is.
            self._log.write("answer_not_written", reason=repr(error))
            self._is_closed = True
            self._connection.abort()
            return
        if not entry.exchange.is_persistent:
            self._is_closed = True
            self._connection.close_after_eof()
