"""Connection of a caller that sends requests before the responses to earlier ones."""

import asyncio
import contextlib
from collections import deque

import attrs
import h11

from currantline.exceptions import ProtocolError
from currantline.wire import Headers, Request, Response

__all__ = ["PipelinedConnection"]

READ_SIZE = 65536


@attrs.define(eq=False)
class PipelinedConnection:
    """Writes requests at any time, and reads the responses in their order.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Stream from the server.
    writer : asyncio.StreamWriter
        Stream to the server.
    """

    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter
    _expected: deque[h11.Connection] = attrs.field(factory=deque)
    _unread: bytes = b""

    @classmethod
    async def open(cls, address: str) -> "PipelinedConnection":
        """Connect to ``ip:port``.

        Raises
        ------
        OSError
            If the connection cannot be opened.
        """
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def write(self, request: Request) -> None:
        """Write a request without a body."""
        # h11 does not send ahead, so each exchange has a state of its own.
        state = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        self._writer.write(state.send(head) or b"")
        state.send(h11.EndOfMessage())
        self._expected.append(state)

    async def read(self) -> tuple[Response, bool]:
        """Return the next response, and whether it is the last one.

        Raises
        ------
        ProtocolError
            If the connection ends, or no valid response comes.
        OSError
            If the connection is reset.
        """
        state = self._expected.popleft()
        state.receive_data(self._unread or await self._reader.read(READ_SIZE))
        status, body = 0, b""
        headers: Headers = ()
        while not isinstance(event := await self._read_event(state), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = tuple((n.decode(), v.decode()) for n, v in event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.ConnectionClosed):
                raise ProtocolError("the connection was closed")
        self._unread = state.trailing_data[0]
        response = Response(status=status, headers=headers, body=body)
        return response, state.their_state is not h11.DONE

    async def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def _read_event(self, state: h11.Connection) -> object:
        try:
            while (event := state.next_event()) is h11.NEED_DATA:
                state.receive_data(await self._reader.read(READ_SIZE))
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from error
        return event
