"""Connections to targets."""

import asyncio

import attrs
import h11

from currantline.clock import Clock
from currantline.exceptions import TargetConnectError
from currantline.wire import HttpConnection

__all__ = ["ConnectionPool", "PooledConnection"]

CONNECT_TIMEOUT_MS = 250.0


@attrs.define
class PooledConnection:
    """Connection to a target and the time of its last completed exchange.

    Parameters
    ----------
    http : HttpConnection
        The connection.
    proven : float
        Time at which it last worked, in milliseconds of the clock.
    """

    http: HttpConnection
    proven: float


class ConnectionPool:
    """Idle connections to one target.

    Parameters
    ----------
    address : str
        IP number and port of the target.
    clock : Clock
        Source of time.
    max_body_bytes : int
        Largest body accepted.
    """

    def __init__(self, address: str, *, clock: Clock, max_body_bytes: int) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._idle: list[PooledConnection] = []

    async def acquire(self, *, proven_within_ms: float) -> PooledConnection:
        """Return a recently proven idle connection, or a new one.

        Parameters
        ----------
        proven_within_ms : float
            Longest time since the connection last worked, in milliseconds.

        Returns
        -------
        PooledConnection
            A connection without an exchange.

        Raises
        ------
        TargetConnectError
            If no connection could be opened in time.
        """
        oldest = self._clock.read() - proven_within_ms
        while self._idle:
            connection = self._idle.pop()
            if connection.proven >= oldest and connection.http.is_reusable:
                connection.http.start_next()
                return connection
            connection.http.close()
        return await self._open()

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        if not connection.http.is_reusable:
            connection.http.abort()
            return
        connection.proven = self._clock.read()
        self._idle.append(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Drop a connection, which also cancels its exchange at the target."""
        connection.http.abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().http.close()

    async def _open(self) -> PooledConnection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(self._host, self._port)
        except (OSError, TimeoutError) as error:
            reason = str(error) or "timed out"
            raise TargetConnectError(
                f"cannot connect to {self._host}:{self._port}: {reason}"
            ) from error
        http = HttpConnection(
            reader, writer, h11.CLIENT, max_body_bytes=self._max_body_bytes
        )
        return PooledConnection(http=http, proven=self._clock.read())
