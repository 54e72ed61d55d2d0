"""Connections to targets."""

import asyncio
from collections.abc import Callable

import attrs

from currantline.clock import Clock
from currantline.exceptions import ConnectionLimitError, TargetConnectError
from currantline.forwarding._timer import Schedule, TimerHandle
from currantline.wire import HttpConnection, connect

__all__ = ["ConnectionPool", "PooledConnection"]

CONNECT_TIMEOUT_MS = 250.0


@attrs.define(eq=False)
class PooledConnection:
    """Connection to a target and the times at which it worked.

    Parameters
    ----------
    http : HttpConnection
        The connection.
    opened : float
        Time at which it was opened, in milliseconds of the clock.
    proven : float
        Time at which it last worked, in milliseconds of the clock.
    """

    http: HttpConnection
    opened: float
    proven: float


class ConnectionPool:
    """Connections to one target, idle and in use, up to a limit.

    Parameters
    ----------
    address : str
        IP number and port of the target.
    limit : int
        Most connections, idle ones included.
    idle_ms : float
        Time after which an idle connection is closed, in milliseconds.
    clock : Clock
        Source of time.
    schedule : Schedule
        Source of timers.
    max_body_bytes : int
        Largest body accepted.
    """

    def __init__(
        self,
        address: str,
        *,
        limit: int,
        idle_ms: float,
        clock: Clock,
        schedule: Schedule,
        max_body_bytes: int,
    ) -> None:
        self._address = address
        self._limit = limit
        self._idle_ms = idle_ms
        self._clock = clock
        self._schedule = schedule
        self._max_body_bytes = max_body_bytes
        self._free = asyncio.Semaphore(limit)
        self._in_use = 0
        self._is_closed = False
        # In order of the last completed exchange, the latest at the end.
        self._idle: list[PooledConnection] = []
        self._sweep: TimerHandle | None = None

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    async def acquire(
        self, *, proven_within_ms: float, deadline: float
    ) -> PooledConnection:
        """Return a recently proven idle connection, or a new one.

        Parameters
        ----------
        proven_within_ms : float
            Longest time since the connection last worked, in milliseconds.
        deadline : float
            Time until which to wait for a free connection, in milliseconds of
            the clock.

        Returns
        -------
        PooledConnection
            A connection without an exchange.

        Raises
        ------
        TargetConnectError
            If no connection could be opened in time.
        ConnectionLimitError
            If all connections stayed in use until the deadline.
        """
        await self._wait_for_free(deadline)
        try:
            connection = self._take_idle(proven_within_ms) or await self._open()
        except BaseException:
            self._free.release()
            raise
        self._in_use += 1
        return connection

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        if not connection.http.is_reusable or self._is_closed:
            self.discard(connection)
            return
        connection.http.start_next_cycle()
        connection.proven = self._clock.read()
        self.release_unused(connection)

    def release_unused(self, connection: PooledConnection) -> None:
        """Keep a connection that nothing was written to."""
        self._give_back()
        self._idle.append(connection)
        self._idle.sort(key=lambda idle: idle.proven)
        self._arm_sweep()

    def discard(self, connection: PooledConnection) -> None:
        """Drop a connection, which also cancels its exchange at the target."""
        self._give_back()
        connection.http.abort()

    def discard_silent(self, connection: PooledConnection, *, sent: float) -> None:
        """Drop a connection that gave no answer, and idle ones that may not either.

        Connections of a target can go silent together. An idle one is kept only
        if it was opened after the silent one and has worked since the request
        was sent.

        Parameters
        ----------
        connection : PooledConnection
            The silent connection.
        sent : float
            Time at which the unanswered request was sent on it.
        """
        self.discard(connection)
        self._close_idle(
            lambda idle: idle.opened <= connection.opened or idle.proven <= sent
        )

    def close(self) -> None:
        """Close all idle connections, and those in use once they are released."""
        self._is_closed = True
        self._close_idle(lambda idle: True)
        if self._sweep is not None:
            self._sweep.cancel()

    async def _wait_for_free(self, deadline: float) -> None:
        if not self._free.locked():
            await self._free.acquire()
            return
        try:
            async with asyncio.timeout((deadline - self._clock.read()) / 1000):
                await self._free.acquire()
        except TimeoutError as error:
            raise ConnectionLimitError(
                f"all {self._limit} connections to {self._address} are in use"
            ) from error

    def _give_back(self) -> None:
        self._in_use -= 1
        self._free.release()

    def _take_idle(self, proven_within_ms: float) -> PooledConnection | None:
        oldest = self._clock.read() - proven_within_ms
        while self._idle and self._idle[-1].proven >= oldest:
            connection = self._idle.pop()
            # Bytes or an end that came without a request make it unusable: they
            # would be taken for the answer to the next one.
            if not connection.http.has_unread and not connection.http.is_readable():
                return connection
            connection.http.abort()
        return None

    async def _open(self) -> PooledConnection:
        if self._idle and len(self._idle) + self._in_use >= self._limit:
            self._idle.pop(0).http.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                http = await connect(self._address, max_body_bytes=self._max_body_bytes)
        except (OSError, TimeoutError) as error:
            reason = str(error) or "timed out"
            raise TargetConnectError(
                f"cannot connect to {self._address}: {reason}"
            ) from error
        now = self._clock.read()
        return PooledConnection(http=http, opened=now, proven=now)

    def _close_idle(self, is_closed: Callable[[PooledConnection], bool]) -> None:
        closed = [idle for idle in self._idle if is_closed(idle)]
        self._idle = [idle for idle in self._idle if not is_closed(idle)]
        for idle in closed:
            idle.http.close()

    def _arm_sweep(self) -> None:
        if self._sweep is None:
            self._sweep = self._schedule(self._idle_ms, self._sweep_idle)

    def _sweep_idle(self) -> None:
        self._sweep = None
        oldest = self._clock.read() - self._idle_ms
        self._close_idle(lambda idle: idle.proven <= oldest or idle.http.is_lost)
        if self._idle:
            self._arm_sweep()
