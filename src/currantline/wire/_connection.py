"""HTTP/1.1 messages over one asyncio connection, by h11."""

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from currantline.exceptions import (
    BodyTooLargeError,
    ProtocolError,
)
from currantline.wire._messages import Headers, Request, Response
from currantline.wire._stream import ByteStream

__all__ = ["HttpConnection", "connect"]

MAX_HEAD_BYTES = 32768
# Longest time in milliseconds without an acknowledgement of sent bytes or of a
# keep-alive probe. Machines behind a partition hang instead of resetting.
DEAD_PEER_TIMEOUT_MS = 5_000

NO_BODY_STATUSES = frozenset({204, 304})


class HttpConnection(ByteStream):
    """One side of an HTTP/1.1 connection.

    Parameters
    ----------
    role : type
        ``h11.CLIENT`` or ``h11.SERVER``.
    max_body_bytes : int
        Largest body accepted.
    max_head_bytes : int
        Largest request line and headers accepted.
    on_open : callable, optional
        Called with this object once the connection is open.
    """

    def __init__(
        self,
        role: Any,
        *,
        max_body_bytes: int,
        max_head_bytes: int = MAX_HEAD_BYTES,
        on_open: Callable[["HttpConnection"], object] | None = None,
    ) -> None:
        super().__init__(is_client=role is h11.CLIENT, on_open=on_open)
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = max_head_bytes
        self._is_head_request = False
        self._h11 = h11.Connection(role, max_incomplete_event_size=max_head_bytes)

    @property
    def is_reusable(self) -> bool:
        """Whether both sides finished the exchange and keep the connection."""
        return (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._is_lost
            and not self._has_early_response
            and not (self._is_client and self.has_unread)
        )

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received that belong to no message read so far."""
        return bool(self._unread or self._h11.trailing_data[0])

    def start_next_cycle(self) -> None:
        """Prepare for the next exchange on this connection."""
        self._h11.start_next_cycle()

    def discard_response(self) -> None:
        """Expect another response to the request, after one that belongs to none."""
        unread = self._h11.trailing_data[0]
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._max_head_bytes
        )
        # h11 accepts a response only after a request; this one is not written.
        method = "HEAD" if self._is_head_request else "GET"
        self._h11.send(h11.Request(method=method, target="/", headers=[("host", "-")]))
        self._h11.send(h11.EndOfMessage())
        if unread:
            self._h11.receive_data(unread)

    def encode_request(self, request: Request) -> bytes:
        """Return a request as bytes for `write`.

        Raises
        ------
        ProtocolError
            If it cannot be sent as HTTP.
        """
        self._is_head_request = request.method == "HEAD"
        try:
            head = h11.Request(
                method=request.method,
                target=request.target,
                headers=_add_length(request.headers, request.body),
            )
        except h11.LocalProtocolError as error:
            raise ProtocolError(str(error)) from error
        return self._encode(head, request.body)

    def write_request(self, request: Request) -> None:
        """Hand a whole request to the transport without suspending."""
        self.write(self.encode_request(request))

    def write_response(self, response: Response) -> None:
        """Hand a whole response to the transport without suspending."""
        headers = list(response.headers)
        # The length of an empty answer to HEAD is not known here.
        is_length_known = response.body or not self._is_head_request
        if response.status not in NO_BODY_STATUSES and is_length_known:
            headers = _add_length(response.headers, response.body)
        try:
            head = h11.Response(status_code=response.status, headers=headers)
        except h11.LocalProtocolError as error:
            raise ProtocolError(str(error)) from error
        self.write(self._encode(head, b"" if self._is_head_request else response.body))

    async def wait_for_data(self) -> bool:
        """Wait for the first byte of a message; return False at the end.

        Raises
        ------
        CurrantlineError
            The error passed to `interrupt`.
        """
        while not self.has_unread and not self._is_lost:
            await self._wait()
        return self.has_unread

    async def read_request(
        self, *, on_head: Callable[[], object] | None = None
    ) -> Request | None:
        """Read one whole request.

        Parameters
        ----------
        on_head : callable, optional
            Called when the request line and the headers have been read.

        Returns
        -------
        Request or None
            None if the other side closed before a new request.

        Raises
        ------
        ProtocolError
            If the bytes are not HTTP or end within a request.
        BodyTooLargeError
            If the body exceeds the limit.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        self._is_head_request = event.method == b"HEAD"
        headers = _decode(event.headers)
        self._check_head(event.target, headers)
        self._check_length(headers)
        if on_head is not None:
            on_head()
        if self._h11.they_are_waiting_for_100_continue and not self.has_unread:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.write(self._h11.send(interim) or b"")
        return Request(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=headers,
            body=await self._read_body(),
        )

    async def read_response(self, *, accept_unframed: bool = False) -> Response:
        """Read one whole response.

        Parameters
        ----------
        accept_unframed : bool, default=False
            Whether the end of the connection may mark the end of the body. A reset
            never does.

        Returns
        -------
        Response
            Status, headers and the complete body.

        Raises
        ------
        ProtocolError
            If the bytes are not HTTP, end within the response, or if only the
            end of the connection would mark the end of the body, because a part
            could not be told from the whole.
        BodyTooLargeError
            If the body exceeds the limit.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ProtocolError("the connection closed before a response")
        headers = _decode(event.headers)
        self._check_head(b"", headers)
        is_framed = self._has_framing(event.status_code, headers)
        if not (is_framed or accept_unframed):
            raise ProtocolError("the response does not say where its body ends")
        body = await self._read_body()
        return Response(status=event.status_code, headers=headers, body=body)

    def _encode(self, head: h11.Request | h11.Response, body: bytes) -> bytes:
        try:
            data = self._h11.send(head) or b""
            if body:
                data += self._h11.send(h11.Data(data=body)) or b""
            return data + (self._h11.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as error:
            raise ProtocolError(str(error)) from error

    def _check_length(self, headers: Headers) -> None:
        for name, value in headers:
            if name == "content-length" and int(value) > self._max_body_bytes:
                raise BodyTooLargeError(
                    f"the body exceeds {self._max_body_bytes} bytes"
                )

    def _check_head(self, target: bytes, headers: Headers) -> None:
        # h11 limits a head that is incomplete, not one that arrives in one piece.
        size = len(target) + sum(len(name) + len(value) for name, value in headers)
        if size > self._max_head_bytes:
            limit = self._max_head_bytes
            raise ProtocolError(f"the head exceeds {limit} bytes", status=431)

    def _has_framing(self, status: int, headers: Headers) -> bool:
        if status in NO_BODY_STATUSES or self._h11.their_state is h11.DONE:
            return True
        names = {name for name, _ in headers}
        if names & {"content-length", "transfer-encoding"}:
            return True
        return self._is_head_request

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ProtocolError("the connection closed within a message")
            size += len(event.data)
            if size > self._max_body_bytes:
                raise BodyTooLargeError(
                    f"the body exceeds {self._max_body_bytes} bytes"
                )
            parts.append(bytes(event.data))

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                # h11 names an early end by its own states only.
                is_eof = self._h11.trailing_data[1]
                reason = "the connection closed too early" if is_eof else str(error)
                raise ProtocolError(reason, status=error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            await self._wait_for_bytes()
            if self.is_broken and not self._unread:
                raise ProtocolError("the connection was reset")
            self._h11.receive_data(self._take_bytes())


async def connect(address: str, *, max_body_bytes: int) -> HttpConnection:
    """Open a connection to ``ip:port``.

    The connection ends when the other side stays silent to what was sent for
    ``DEAD_PEER_TIMEOUT_MS``.

    Raises
    ------
    OSError
        If the address cannot be reached.
    """
    host, _, port = address.rpartition(":")
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: HttpConnection(h11.CLIENT, max_body_bytes=max_body_bytes),
        host,
        int(port),
    )
    connection.set_dead_peer_timeout(DEAD_PEER_TIMEOUT_MS)
    return connection


def _add_length(headers: Headers, body: bytes) -> list[tuple[str, str]]:
    if any(name == "content-length" for name, _ in headers):
        return list(headers)
    return [*headers, ("content-length", str(len(body)))]


def _decode(headers: Any) -> Headers:
    return tuple(
        (name.decode("ascii"), value.decode("latin-1")) for name, value in headers
    )
