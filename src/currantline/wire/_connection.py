"""HTTP/1.1 messages over one asyncio connection, by h11."""

import asyncio
from typing import Any

import h11

from currantline.exceptions import BodyTooLargeError, ProtocolError, WireError
from currantline.wire._messages import Answer, Headers, Request

__all__ = ["HttpConnection"]

READ_BYTES = 65536
MAX_HEAD_BYTES = 32768


class HttpConnection:
    """One side of an HTTP/1.1 connection.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Incoming bytes.
    writer : asyncio.StreamWriter
        Outgoing bytes.
    role : type
        ``h11.CLIENT`` or ``h11.SERVER``.
    max_body_bytes : int
        Largest body accepted.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        role: Any,
        *,
        max_body_bytes: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_body_bytes = max_body_bytes
        self._h11 = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)

    @property
    def is_reusable(self) -> bool:
        """Whether both sides finished the exchange and keep the connection."""
        return (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._reader.at_eof()
        )

    def start_next(self) -> None:
        """Prepare for the next exchange on this connection."""
        self._h11.start_next_cycle()

    def write_request(self, request: Request) -> None:
        """Hand a whole request to the transport without suspending."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=_encode(request.headers, request.body),
        )
        self._write(head, request.body)

    def write_answer(self, answer: Answer) -> None:
        """Hand a whole response to the transport without suspending."""
        head = h11.Response(
            status_code=answer.status,
            headers=_encode(answer.headers, answer.body),
        )
        self._write(head, answer.body)

    async def drain(self) -> None:
        """Wait until the transport accepts more bytes."""
        await self._writer.drain()

    async def read_request(self) -> Request | None:
        """Read one whole request.

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
        body = await self._read_body()
        return Request(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=_decode(event.headers),
            body=body,
        )

    async def read_answer(self) -> Answer:
        """Read one whole response.

        Returns
        -------
        Answer
            Status, headers and the complete body.

        Raises
        ------
        ProtocolError
            If the bytes are not HTTP or end within the response.
        BodyTooLargeError
            If the body exceeds the limit.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ProtocolError("the connection closed before a response")
        body = await self._read_body()
        return Answer(
            status=event.status_code, headers=_decode(event.headers), body=body
        )

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    def abort(self) -> None:
        """Drop the connection at once, unsent bytes included."""
        self._writer.transport.abort()

    def _write(self, head: h11.Request | h11.Response, body: bytes) -> None:
        try:
            data = self._h11.send(head) or b""
            if body:
                data += self._h11.send(h11.Data(data=body)) or b""
            data += self._h11.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise ProtocolError(str(error)) from error
        self._writer.write(data)

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
                raise ProtocolError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError as error:
                raise WireError(str(error)) from error
            self._h11.receive_data(data)


def _encode(headers: Headers, body: bytes) -> list[tuple[str, str]]:
    return [*headers, ("content-length", str(len(body)))]


def _decode(headers: Any) -> Headers:
    return tuple(
        (name.decode("ascii"), value.decode("latin-1")) for name, value in headers
    )
