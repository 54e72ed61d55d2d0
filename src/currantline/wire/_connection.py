"""HTTP/1.1 messages over one asyncio connection, parsed by h11."""

import math
from collections.abc import Callable
from typing import Any

import attrs
import h11

from currantline.exceptions import (
    BodyTooLargeError,
    ProtocolError,
)
from currantline.memory_account import find_head_bytes
from currantline.wire._body_buffer import BodyBuffer
from currantline.wire._body_memory import BodyMemory
from currantline.wire._encoding import (
    NO_BODY_STATUSES,
    ServerExchange,
    decode_headers,
    encode_request,
)
from currantline.wire._messages import Headers, Request, Response
from currantline.wire._stream import ByteStream

__all__ = ["MAX_HEAD_BYTES", "MAX_HEALTH_CHECK_BYTES", "HttpConnection"]

MAX_HEAD_BYTES = 32768

# Maximum number of bytes that are read for one health check. Its response is a head and
# a short text.
MAX_HEALTH_CHECK_BYTES = 16_384

# Maximum number of interim responses before a response. They are read and discarded, so
# without a limit they take processor time for as long as a peer likes.
MAX_INTERIM_RESPONSES = 64

# Statuses of final responses (RFC 9110, section 15). h11 accepts up to 999.
FINAL_STATUSES = range(200, 600)

# Headers by which a message states that it has a body, see RFC 9112, section 6.
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


# Maximum number of parsed parts of messages, such as chunks, between two turns of other
# tasks. A peer may send 40,000 chunks in one read of the socket.
MAX_EVENTS_PER_TURN = 64

# Maximum number of bytes that the parser is given at once. It copies what it has not
# consumed, and parses as many header fields in one turn as it has received.
MAX_PARSED_BYTES = 65_536

HEAD_END = b"\r\n\r\n"


class HttpConnection(ByteStream):
    """One side of an HTTP/1.1 connection.

    Parameters
    ----------
    role : type
        ``h11.CLIENT`` or ``h11.SERVER``.
    max_body_bytes : int
        Maximum size of a received body.
    max_head_bytes : int
        Maximum size of the start line and headers of a received message.
    body_memory : BodyMemory, optional
        Limits the total size of the bodies that several connections receive.
    on_open : callable, optional
        Called with this object once the connection is open.

    Attributes
    ----------
    head_bytes : int
        Memory of the last decoded head.
    """

    def __init__(
        self,
        role: Any,
        *,
        max_body_bytes: int,
        max_head_bytes: int = MAX_HEAD_BYTES,
        body_memory: BodyMemory | None = None,
        on_open: Callable[["HttpConnection"], object] | None = None,
    ) -> None:
        super().__init__(is_client=role is h11.CLIENT, on_open=on_open)
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = max_head_bytes
        self._body_memory = body_memory
        self._is_head_request = False
        self._events_in_turn = 0
        # Bytes that may still be read of a response, infinite without such a limit.
        self._left_bytes = math.inf
        self.head_bytes = 0
        self._h11 = h11.Connection(role, max_incomplete_event_size=max_head_bytes)

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is complete and the connection can be kept alive."""
        return (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._is_lost
            and not self._has_early_response
            and not (self._is_client and self.has_unread)
        )

    @property
    def has_unread(self) -> bool:
        """Whether received bytes are left that no message has consumed."""
        return bool(self._unread or self._h11.trailing_data[0])

    def start_next_cycle(self) -> None:
        """Prepare the connection for the next exchange."""
        self._h11.start_next_cycle()
        self._count_parser_bytes(len(self._h11.trailing_data[0]))

    def discard_response(self) -> None:
        """Expect another response to the request, after an unsolicited one."""
        unread = self._h11.trailing_data[0]
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._max_head_bytes
        )
        # h11 accepts a response only after a request; this one is never sent.
        method = "HEAD" if self._is_head_request else "GET"
        self._h11.send(h11.Request(method=method, target="/", headers=[("host", "-")]))
        self._h11.send(h11.EndOfMessage())
        if unread:
            self._h11.receive_data(unread)

    def encode_request(self, request: Request) -> bytes:
        """Encode a request as bytes for `write`.

        Raises
        ------
        ProtocolError
            If it is not a valid HTTP request.
        """
        return b"".join(self._encode_request(request))

    def write_request(self, request: Request) -> None:
        """Write a complete request to the transport without suspending.

        Raises
        ------
        ProtocolError
            If it is not a valid HTTP request.
        """
        self.write_encoded(self._encode_request(request))

    def _encode_request(self, request: Request) -> list[bytes]:
        self._is_head_request = request.method == "HEAD"
        return encode_request(self._h11, request)

    def write_response(self, response: Response) -> None:
        """Write a complete response to the transport without suspending."""
        self.write_encoded(self._open_exchange().encode_response_parts(response))

    def split_exchange(self) -> ServerExchange:
        """Detach the request just read, so that the next one can be read already.

        Bytes of the next request that have been received stay on the connection.
        """
        exchange = self._open_exchange()
        unread = self._h11.trailing_data[0]
        exchange.retained_bytes = len(unread)
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )
        if unread:
            self._h11.receive_data(unread)
        self._count_parser_bytes(len(unread))
        return exchange

    async def wait_for_data(self) -> bool:
        """Wait for the first byte of a message; return False at the end of the stream.

        Raises
        ------
        CurrantlineError
            The error passed to `interrupt`.
        """
        while not self.has_unread and not self._is_lost:
            await self._wait()
        return self.has_unread

    async def read_request(self) -> Request | None:
        """Read one complete request.

        Returns
        -------
        Request or None
            None if the peer closed the connection before a new request.

        Raises
        ------
        ProtocolError
            If the bytes are not valid HTTP or end within a request.
        BodyTooLargeError
            If the body exceeds the limit.
        """
        head = await self.read_request_head()
        return await self.read_request_body(head) if head is not None else None

    async def read_request_head(self) -> Request | None:
        """Read the request line and the headers; `read_request_body` must follow.

        Returns
        -------
        Request or None
            The request without its body, None if the peer closed the connection before
            a new request.

        Raises
        ------
        ProtocolError
            If the bytes are not valid HTTP or end within the head.
        BodyTooLargeError
            If the head states a length above the limit.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        self._is_head_request = event.method == b"HEAD"
        headers = decode_headers(event.headers)
        size = self._check_head(event.target, headers)
        self.head_bytes = find_head_bytes(size, len(headers))
        self._check_length(headers)
        return Request(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=headers,
        )

    @property
    def is_continue_expected(self) -> bool:
        """Whether the peer sends the body only after an interim response 100."""
        return self._h11.they_are_waiting_for_100_continue and not self.has_unread

    async def read_request_body(
        self, head: Request, *, on_data: Callable[[int], object] | None = None
    ) -> Request:
        """Read the body of a request and return the complete request.

        Parameters
        ----------
        head : Request
            Request without its body.
        on_data : callable, optional
            Called with the size of each part of the body. An error that it raises ends
            the reading.

        Raises
        ------
        ProtocolError
            If the bytes are not valid HTTP or end within the body.
        BodyTooLargeError
            If the body exceeds the limit.
        """
        if self.is_continue_expected:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.write(self._h11.send(interim) or b"")
        return attrs.evolve(head, body=await self._read_body(on_data))

    async def read_response(
        self, *, accept_unframed: bool = False, max_bytes: int | None = None
    ) -> Response:
        """Read one complete response.

        Parameters
        ----------
        accept_unframed : bool, default=False
            Whether a body may be delimited by the close of the connection. A reset
            is always an error.
        max_bytes : int, optional
            Maximum number of bytes that are read for the response, with its head and
            all interim responses. Such a body is not counted in the memory for bodies.

        Returns
        -------
        Response
            Status, headers and the complete body.

        Raises
        ------
        ProtocolError
            If the bytes are not valid HTTP or end within the response, or the status is
            not that of a final response, or an interim response has a body, or there
            are too many of these, or more than `max_bytes` bytes. Also if the body is
            delimited only by the close of the connection, unless `accept_unframed` is
            set, because a truncated body would go unnoticed.
        BodyTooLargeError
            If the body exceeds the limit.
        """
        self._left_bytes = math.inf if max_bytes is None else max_bytes
        event = await self._skip_interim_responses()
        if not isinstance(event, h11.Response):
            raise ProtocolError("the connection closed before a response")
        if event.status_code not in FINAL_STATUSES:
            raise ProtocolError(f"{event.status_code} is not a final status")
        headers = decode_headers(event.headers)
        self._check_head(b"", headers)
        is_framed = self._has_framing(event.status_code, headers)
        if not (is_framed or accept_unframed):
            raise ProtocolError("the response does not say where its body ends")
        body = await self._read_body()
        return Response(status=event.status_code, headers=headers, body=body)

    async def _skip_interim_responses(self) -> Any:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
            if _states_body(decode_headers(event.headers)):
                raise ProtocolError(f"status {event.status_code} with a body")
        raise ProtocolError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def _open_exchange(self) -> ServerExchange:
        return ServerExchange(self._h11, is_head_request=self._is_head_request)

    def _check_length(self, headers: Headers) -> None:
        for name, value in headers:
            if name == "content-length" and int(value) > self._max_body_bytes:
                raise BodyTooLargeError(
                    f"the body exceeds {self._max_body_bytes} bytes"
                )

    def _check_head(self, target: bytes, headers: Any) -> int:
        # h11 enforces its limit only while the head is incomplete, so a head received
        # in one piece is checked here.
        size = len(target) + sum(len(name) + len(value) for name, value in headers)
        if size > self._max_head_bytes:
            limit = self._max_head_bytes
            raise ProtocolError(f"the head exceeds {limit} bytes", status=431)
        return size

    def _has_framing(self, status: int, headers: Headers) -> bool:
        if status in NO_BODY_STATUSES or self._h11.their_state is h11.DONE:
            return True
        return _states_body(headers) or self._is_head_request

    async def _read_body(self, on_data: Callable[[int], object] | None = None) -> bytes:
        try:
            return await self._collect_body(on_data)
        finally:
            if self._body_memory is not None:
                self._body_memory.release(self)
                # It would end the next exchange if this body was complete already.
                self.clear_interruption()

    async def _collect_body(self, on_data: Callable[[int], object] | None) -> bytes:
        body = BodyBuffer()
        try:
            return await self._fill(body, on_data)
        finally:
            # An error refers to this frame, and may be kept for longer than its memory
            # is counted.
            body.clear()

    async def _fill(
        self, body: BodyBuffer, on_data: Callable[[int], object] | None
    ) -> bytes:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                # Trailers are discarded, and limited like a head.
                self._check_head(b"", event.headers)
                return body.join()
            if not isinstance(event, h11.Data):
                raise ProtocolError("the connection closed within a message")
            body.append(event.data)
            if body.size > self._max_body_bytes:
                raise BodyTooLargeError(
                    f"the body exceeds {self._max_body_bytes} bytes"
                )
            if self._body_memory is not None and math.isinf(self._left_bytes):
                self._body_memory.add(self, len(event.data))
            if on_data is not None:
                on_data(len(event.data))

    async def _next_event(self) -> Any:
        await self._count_event()
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                # h11 describes an early end of the stream only by its internal states.
                is_eof = self._h11.trailing_data[1]
                reason = "the connection closed too early" if is_eof else str(error)
                raise ProtocolError(reason, status=error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            await self._wait_for_bytes()
            if self.is_broken and not self._unread:
                raise ProtocolError("the connection was reset")
            # The parser has consumed what came before, except an incomplete head.
            is_in_body = self._h11.their_state is h11.SEND_BODY
            incomplete = 0 if is_in_body else self._parser_bytes
            data = self._take_bytes(
                MAX_PARSED_BYTES if is_in_body else self._find_head_size()
            )
            self._left_bytes -= len(data)
            if self._left_bytes < 0:
                raise ProtocolError("the response is too long")
            self._h11.receive_data(data)
            self._count_parser_bytes(incomplete + len(data))

    def _find_head_size(self) -> int:
        """Return how much the parser is given of a head.

        It checks the size of a head only while that is incomplete, and keeps what comes
        behind a request for as long as the request is in progress.
        """
        end = self._unread.find(HEAD_END, 0, self._max_head_bytes)
        return self._max_head_bytes if end < 0 else end + len(HEAD_END)

    def _count_parser_bytes(self, size: int) -> None:
        self._parser_bytes = size
        if self.holding is not None and not self.holding.count_unread(
            len(self._unread) + size
        ):
            self.abort()

    async def _count_event(self) -> None:
        self._events_in_turn += 1
        if self._events_in_turn >= MAX_EVENTS_PER_TURN:
            self._events_in_turn = 0
            await self._end_turn()


def _states_body(headers: Headers) -> bool:
    return any(name in FRAMING_HEADERS for name, _ in headers)
