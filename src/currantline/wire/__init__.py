"""HTTP/1.1 client and server connections on h11."""

from currantline.wire._body_memory import BodyMemory
from currantline.wire._client import HttpClient
from currantline.wire._connect import DEAD_PEER_TIMEOUT_MS, connect
from currantline.wire._connection import MAX_HEALTH_CHECK_BYTES, HttpConnection
from currantline.wire._encoding import ServerExchange
from currantline.wire._fetch import MAX_FETCHED_BYTES, fetch
from currantline.wire._holding import AccountedPort, Holding
from currantline.wire._listen import listen
from currantline.wire._messages import (
    HOP_BY_HOP,
    Headers,
    Request,
    Response,
    find_header,
    strip_hop_by_hop,
)
from currantline.wire._service import (
    OWN_PORT_LIMITS,
    HttpServer,
    ServerLimits,
    json_response,
)
from currantline.wire._stream import ByteStream
from currantline.wire._turns import TurnQueue

__all__ = [
    "DEAD_PEER_TIMEOUT_MS",
    "HOP_BY_HOP",
    "MAX_FETCHED_BYTES",
    "MAX_HEALTH_CHECK_BYTES",
    "OWN_PORT_LIMITS",
    "AccountedPort",
    "BodyMemory",
    "ByteStream",
    "Headers",
    "Holding",
    "HttpClient",
    "HttpConnection",
    "HttpServer",
    "Request",
    "Response",
    "ServerExchange",
    "ServerLimits",
    "TurnQueue",
    "connect",
    "fetch",
    "find_header",
    "json_response",
    "listen",
    "strip_hop_by_hop",
]
