"""Opens HTTP connections."""

import asyncio

import h11

from currantline.exceptions import WireError
from currantline.wire._body_memory import BodyMemory
from currantline.wire._connection import HttpConnection

__all__ = ["DEAD_PEER_TIMEOUT_MS", "connect"]

# Maximum time without an acknowledgement of sent bytes or of a keep-alive probe. Hosts
# behind a network partition do not reset the connection.
DEAD_PEER_TIMEOUT_MS = 5_000


async def connect(
    address: str, *, max_body_bytes: int, body_memory: BodyMemory | None = None
) -> HttpConnection:
    """Open a connection to ``ip:port``.

    The connection is dropped if the peer acknowledges nothing for
    ``DEAD_PEER_TIMEOUT_MS``.

    Raises
    ------
    OSError
        If the address cannot be reached.
    WireError
        If it is not an address.
    """
    host, _, port = address.rpartition(":")
    if not (host and port.isdecimal() and int(port[:6]) < 65536):
        raise WireError(f"{address!r:.80} is not an address")
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: HttpConnection(
            h11.CLIENT, max_body_bytes=max_body_bytes, body_memory=body_memory
        ),
        host,
        int(port),
    )
    connection.set_keep_alive(DEAD_PEER_TIMEOUT_MS)
    connection.set_write_timeout(DEAD_PEER_TIMEOUT_MS)
    return connection
