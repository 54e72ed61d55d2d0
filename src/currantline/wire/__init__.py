"""HTTP/1.1 by h11, for both sides of a connection."""

from currantline.wire._client import HttpClient
from currantline.wire._connection import HttpConnection, connect
from currantline.wire._fetch import fetch
from currantline.wire._messages import (
    HOP_BY_HOP,
    Answer,
    Headers,
    Request,
    find_header,
    strip_hop_by_hop,
)
from currantline.wire._service import HttpService, answer_json

__all__ = [
    "HOP_BY_HOP",
    "Answer",
    "Headers",
    "HttpClient",
    "HttpConnection",
    "HttpService",
    "Request",
    "answer_json",
    "connect",
    "fetch",
    "find_header",
    "strip_hop_by_hop",
]
