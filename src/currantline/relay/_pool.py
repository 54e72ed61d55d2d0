"""Kept connections to targets."""

import asyncio
import re

import attrs

from currantline.clock import Clock
from currantline.exceptions import TargetConnectError
from currantline.telemetry import Meter
from currantline.wire import HttpConnection, Response, connect, find_header

__all__ = ["ConnectionPool", "Lease"]

# Longest time for a new connection in milliseconds; a target takes 1 ms, and a
# dropped opening packet comes again after a second only.
CONNECT_TIMEOUT_MS = 300.0

# A connection is not used in this last part of the time that the target keeps it, in
# milliseconds, so that a request does not cross the target's close.
KEEP_MARGIN_MS = 1_500.0

# Time that a target is assumed to keep an idle connection if it does not say, in
# milliseconds.
KEEP_UNSTATED_MS = 4_000.0

# Idle connections kept to one target.
MAX_IDLE = 3

MAX_ANSWER_BYTES = 32 * 1024 * 1024

KEEP_PATTERN = re.compile(r"timeout=(\d+)")


@attrs.define(eq=False)
class Lease:
    """A connection in use for one exchange.

    Parameters
    ----------
    address : str
        Address of the target.
    connection : HttpConnection
        The connection.
    keep_ms : float
        Time for which the target keeps the connection while it is idle.
    """

    address: str
    connection: HttpConnection
    keep_ms: float = KEEP_UNSTATED_MS


@attrs.define(eq=False)
class _Kept:
    connection: HttpConnection
    until_ms: float


class ConnectionPool:
    """Opens connections to targets and keeps idle ones for a while.

    Parameters
    ----------
    clock : Clock
        Source of time.
    meter : Meter
        Counts new connections.
    """

    def __init__(self, *, clock: Clock, meter: Meter) -> None:
        self._clock = clock
        self._meter = meter
        self._idle: dict[str, list[_Kept]] = {}

    async def take(self, address: str) -> Lease:
        """Return an idle connection, or a new one.

        Raises
        ------
        TargetConnectError
            If no connection could be opened.
        """
        kept = self._take_idle(address)
        if kept is not None:
            return Lease(address, kept)
        self._meter.count("target_connections")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                connection = await connect(address, max_body_bytes=MAX_ANSWER_BYTES)
        except (OSError, TimeoutError) as error:
            raise TargetConnectError(f"cannot reach {address}: {error!r}") from error
        return Lease(address, connection)

    def has_idle(self, address: str) -> bool:
        """Return whether a connection is kept; it may turn out to be closed."""
        now = self._clock.read()
        kept = self._idle.get(address, ())
        return any(now < k.until_ms and not k.connection.is_lost for k in kept)

    def finish(self, lease: Lease, answer: Response) -> bool:
        """Prepare a connection for another exchange after a whole answer.

        Returns
        -------
        bool
            False if the connection cannot be used again and was closed.
        """
        if not lease.connection.is_reusable:
            lease.connection.close()
            return False
        lease.connection.start_next_cycle()
        lease.keep_ms = _find_keep_ms(answer)
        return True

    def give_back(self, lease: Lease) -> None:
        """Keep a connection on which no exchange is open."""
        idle = self._idle.setdefault(lease.address, [])
        if len(idle) >= MAX_IDLE:
            lease.connection.close()
            return
        until_ms = self._clock.read() + lease.keep_ms
        idle.append(_Kept(lease.connection, until_ms))

    def drop(self, lease: Lease) -> None:
        """End a connection whose exchange did not finish."""
        lease.connection.abort()

    def sweep(self, addresses: set[str]) -> None:
        """Close connections that idled too long or lead to none of the addresses."""
        now = self._clock.read()
        for address, idle in list(self._idle.items()):
            is_known = address in addresses
            kept = [k for k in idle if is_known and _is_usable(k, now)]
            for ended in idle:
                if ended not in kept:
                    ended.connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.sweep(set())

    def _take_idle(self, address: str) -> HttpConnection | None:
        idle = self._idle.get(address, [])
        now = self._clock.read()
        while idle:
            kept = idle.pop()
            if _is_usable(kept, now):
                return kept.connection
            kept.connection.close()
        return None


def _is_usable(kept: _Kept, now: float) -> bool:
    connection = kept.connection
    if connection.is_lost or connection.has_unread or connection.is_readable():
        return False
    return now < kept.until_ms


def _find_keep_ms(answer: Response) -> float:
    stated = KEEP_PATTERN.search(find_header(answer.headers, "keep-alive") or "")
    if stated is None:
        return KEEP_UNSTATED_MS
    kept_ms = 1000.0 * int(stated.group(1))
    return max(0.0, kept_ms - KEEP_MARGIN_MS)
