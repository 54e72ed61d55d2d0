"""Listening sockets."""

import asyncio
import socket
from collections.abc import Callable

__all__ = ["listen"]

# Maximum number of connections that are accepted in one turn of the event loop. Those
# above the limit of a port are closed only in the next turns.
MAX_ACCEPTED_PER_TURN = 64


async def listen(
    create_connection: Callable[[], asyncio.BaseProtocol],
    address: str,
    *,
    backlog: int,
) -> asyncio.Server:
    """Listen on ``ip:port``.

    Parameters
    ----------
    create_connection : callable
        Returns the protocol of a new connection.
    address : str
        IP address and port.
    backlog : int
        Number of connections that the kernel holds until they are accepted.

    Raises
    ------
    OSError
        If the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        create_connection,
        host,
        int(port),
        backlog=min(backlog, MAX_ACCEPTED_PER_TURN),
    )
    # asyncio uses the backlog of the socket as the number accepted in a turn as well.
    for listener in server.sockets:
        with socket.fromfd(listener.fileno(), listener.family, listener.type) as sock:
            sock.listen(backlog)
    return server
