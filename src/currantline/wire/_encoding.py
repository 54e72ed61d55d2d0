"""Encoding of HTTP/1.1 messages by h11."""

from collections.abc import Iterable
from typing import Any

import h11

from currantline.exceptions import ProtocolError
from currantline.wire._messages import Headers, Request, Response

__all__ = [
    "NO_BODY_STATUSES",
    "ServerExchange",
    "decode_headers",
    "encode_request",
]

NO_BODY_STATUSES = frozenset({204, 304})


class ServerExchange:
    """A request that a server has read, and the encoding of its response.

    Parameters
    ----------
    state : h11.Connection
        State of the exchange.
    is_head_request : bool
        Whether the request is a HEAD request.

    Attributes
    ----------
    retained_bytes : int
        Size of the received bytes behind the request that the state keeps.
    """

    def __init__(self, state: h11.Connection, *, is_head_request: bool) -> None:
        self._h11 = state
        self._is_head_request = is_head_request
        self.retained_bytes = 0

    @property
    def is_persistent(self) -> bool:
        """Whether the connection stays open after the response."""
        return self._h11.our_state in (h11.SEND_RESPONSE, h11.DONE) and (
            self._h11.their_state is h11.DONE
        )

    def encode_response(self, response: Response) -> bytes:
        """Encode a complete response as bytes for `ByteStream.write`.

        Raises
        ------
        ProtocolError
            If it is not a valid HTTP response.
        """
        return b"".join(self.encode_response_parts(response))

    def encode_response_parts(self, response: Response) -> list[bytes]:
        """Encode a complete response as parts, without a copy of its body.

        Raises
        ------
        ProtocolError
            If it is not a valid HTTP response.
        """
        headers = list(response.headers)
        # The content length of a response to HEAD without a body is not known here.
        is_length_known = response.body or not self._is_head_request
        if response.status not in NO_BODY_STATUSES and is_length_known:
            headers = _add_length(response.headers, response.body)
        try:
            head = h11.Response(
                status_code=response.status, headers=_encode_headers(headers)
            )
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise ProtocolError(str(error)) from error
        body = b"" if self._is_head_request else response.body
        return _encode(self._h11, head, body)


def encode_request(state: h11.Connection, request: Request) -> list[bytes]:
    """Encode a request as parts to write in order.

    Raises
    ------
    ProtocolError
        If it is not a valid HTTP request.
    """
    try:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=_encode_headers(_add_length(request.headers, request.body)),
        )
    except (h11.LocalProtocolError, UnicodeError) as error:
        raise ProtocolError(str(error)) from error
    return _encode(state, head, request.body)


def decode_headers(headers: Any) -> Headers:
    """Return headers of h11 with lower-case names, and values as Latin-1 text."""
    return tuple(
        (name.decode("ascii"), value.decode("latin-1")) for name, value in headers
    )


def _encode(
    state: h11.Connection, head: h11.Request | h11.Response, body: bytes
) -> list[bytes]:
    events: list[h11.Event] = [head, h11.EndOfMessage()]
    if body:
        events.insert(1, h11.Data(data=body))
    try:
        # Without the copy of the body that joined parts would contain.
        return [
            part
            for event in events
            for part in state.send_with_data_passthrough(event) or ()
        ]
    except h11.LocalProtocolError as error:
        raise ProtocolError(str(error)) from error


def _add_length(headers: Headers, body: bytes) -> list[tuple[str, str]]:
    if any(name == "content-length" for name, _ in headers):
        return list(headers)
    return [*headers, ("content-length", str(len(body)))]


def _encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    # Inverse of decode_headers, so that all values are passed on byte for byte.
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
