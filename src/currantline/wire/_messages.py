"""Complete HTTP requests and responses."""

import attrs

__all__ = [
    "HOP_BY_HOP",
    "Headers",
    "Request",
    "Response",
    "find_header",
    "strip_hop_by_hop",
]

Headers = tuple[tuple[str, str], ...]

# Headers that apply to a single connection (RFC 9110, section 7.6.1), and
# content-length, which is recomputed for each hop.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen(kw_only=True)
class Request:
    """A complete HTTP request.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query.
    headers : tuple of pair of str
        Header names in lower case, and values.
    body : bytes
        The body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""


@attrs.frozen(kw_only=True)
class Response:
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    headers : tuple of pair of str
        Header names in lower case, and values.
    body : bytes
        The body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None.

    Examples
    --------
    >>> find_header((("host", "a"), ("te", "b")), "te")
    'b'
    """
    return next((value for key, value in headers if key == name), None)


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that an intermediary forwards.

    Headers listed in ``connection`` and currantline's own headers are also removed.

    Examples
    --------
    >>> strip_hop_by_hop((("connection", "x-a"), ("x-a", "1"), ("x-b", "2")))
    (('x-b', '2'),)
    """
    dropped = HOP_BY_HOP.union(
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    )
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and not name.startswith("currantline-")
    )
