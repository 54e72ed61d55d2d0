"""Pool of persistent connections to targets."""

import asyncio
import math
import re
from collections.abc import Callable

import attrs

from currantline.clock import Clock
from currantline.exceptions import TargetConnectError, WireError
from currantline.telemetry import Meter
from currantline.wire import (
    DEAD_PEER_TIMEOUT_MS,
    BodyMemory,
    HttpConnection,
    Response,
    connect,
    find_header,
)

__all__ = ["ConnectionPool", "Lease"]

# Time-out for a new connection in milliseconds. A target accepts within 1 ms, and a
# lost SYN is retransmitted only after a second.
CONNECT_TIMEOUT_MS = 300.0

# Safety margin before the target's keep-alive time-out in milliseconds, so that no
# request is sent while the target closes the connection.
KEEP_ALIVE_MARGIN_MS = 1_500.0

# Keep-alive time-out assumed if the target does not send one, in milliseconds.
DEFAULT_KEEP_ALIVE_MS = 4_000.0

# Maximum number of idle connections to one target.
MAX_IDLE_PER_TARGET = 3

# Share of the connections that a target accepts from all instances together that may be
# idle. The rest is for requests in flight and health checks.
MAX_IDLE_SHARE = 0.5

MAX_RESPONSE_BODY_BYTES = 32 * 1024 * 1024

# Maximum total size of the response bodies that are being received. The smallest
# machines have 200 MB.
MAX_RESPONSE_BYTES_HELD = 48 * 1024 * 1024

# Longer numbers do not fit into a float.
KEEP_ALIVE_PATTERN = re.compile(r"timeout=(\d{1,9})")


@attrs.define(eq=False)
class Lease:
    """A connection in use for one exchange.

    Parameters
    ----------
    address : str
        Address of the target.
    connection : HttpConnection
        The connection.
    keep_alive_ms : float
        Time in milliseconds for which the connection may be reused while idle.
    has_carried_request : bool
        Whether a request was sent on the connection. A faulty target may send an
        earlier response once more.
    has_carried_refusal : bool
        Whether a health check on the connection was refused.
    """

    address: str
    connection: HttpConnection
    keep_alive_ms: float = DEFAULT_KEEP_ALIVE_MS
    has_carried_request: bool = False
    has_carried_refusal: bool = False


@attrs.define(eq=False)
class _IdleConnection:
    connection: HttpConnection
    has_carried_request: bool
    has_carried_refusal: bool
    released_ms: float
    expires_ms: float


def find_max_idle(max_connections: int | None, instances: int) -> int:
    """Return how many idle connections to a target one instance may keep.

    Parameters
    ----------
    max_connections : int or None
        Maximum number of connections to one target from all instances together, None
        without a limit.
    instances : int
        Number of instances.

    Examples
    --------
    >>> [find_max_idle(260, instances) for instances in (2, 100, 312)]
    [3, 1, 0]
    """
    if max_connections is None:
        return MAX_IDLE_PER_TARGET
    share = int(MAX_IDLE_SHARE * max_connections / max(1, instances))
    return min(MAX_IDLE_PER_TARGET, share)


class ConnectionPool:
    """Opens connections to targets and keeps idle ones for reuse.

    Parameters
    ----------
    clock : Clock
        Source of time.
    meter : Meter
        Counts new connections.
    max_response_bytes : int, optional
        Maximum total size of the response bodies that are being received.
    count_response_bytes : callable, optional
        Called with each change of this total size.

    Attributes
    ----------
    max_idle_per_target : int
        Maximum number of idle connections to one target.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        meter: Meter,
        max_response_bytes: int = MAX_RESPONSE_BYTES_HELD,
        count_response_bytes: Callable[[int], object] | None = None,
    ) -> None:
        self._clock = clock
        self._meter = meter
        self._body_memory = BodyMemory(
            min(MAX_RESPONSE_BYTES_HELD, max_response_bytes),
            on_change=count_response_bytes,
        )
        self._idle: dict[str, list[_IdleConnection]] = {}
        self.max_idle_per_target = MAX_IDLE_PER_TARGET

    async def acquire(self, address: str, *, max_idle_ms: float = math.inf) -> Lease:
        """Return an idle connection, or a new one.

        Parameters
        ----------
        address : str
            Address of the target.
        max_idle_ms : float, optional
            A connection that has been idle for longer is not used, in milliseconds. It
            may have gone silent, which only a response or a time-out shows.

        Raises
        ------
        TargetConnectError
            If no connection could be opened.
        """
        kept = self._take_idle(address, max_idle_ms)
        if kept is not None:
            return Lease(
                address,
                kept.connection,
                has_carried_request=kept.has_carried_request,
                has_carried_refusal=kept.has_carried_refusal,
            )
        self._meter.count("target_connections")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                connection = await connect(
                    address,
                    max_body_bytes=MAX_RESPONSE_BODY_BYTES,
                    body_memory=self._body_memory,
                )
        except (OSError, TimeoutError, WireError) as error:
            raise TargetConnectError(f"cannot reach {address}: {error!r}") from error
        return Lease(address, connection)

    @property
    def receiving_bytes(self) -> int:
        """Total size of the response bodies that are being received."""
        return self._body_memory.total_bytes

    def has_idle(self, address: str, *, max_idle_ms: float = math.inf) -> bool:
        """Return whether there is an idle connection; it may turn out to be closed."""
        now = self._clock.read()
        return any(
            now < kept.expires_ms
            and now - kept.released_ms <= max_idle_ms
            and not kept.connection.is_lost
            for kept in self._idle.get(address, ())
        )

    def prepare_reuse(self, lease: Lease, response: Response) -> bool:
        """Prepare a connection for another exchange after a complete response.

        Returns
        -------
        bool
            False if the connection cannot be reused and was closed.
        """
        if not lease.connection.is_reusable:
            lease.connection.close()
            return False
        lease.connection.set_write_timeout(DEAD_PEER_TIMEOUT_MS)
        lease.connection.start_next_cycle()
        lease.keep_alive_ms = _parse_keep_alive_ms(response)
        return True

    def release(self, lease: Lease) -> None:
        """Return a connection without a pending exchange to the pool."""
        idle = self._idle.setdefault(lease.address, [])
        if len(idle) >= self.max_idle_per_target:
            lease.connection.close()
            return
        # Bytes that come now belong to no request.
        lease.connection.is_silence_expected = True
        now = self._clock.read()
        idle.append(
            _IdleConnection(
                lease.connection,
                lease.has_carried_request,
                lease.has_carried_refusal,
                released_ms=now,
                expires_ms=now + lease.keep_alive_ms,
            )
        )

    def drop(self, lease: Lease) -> None:
        """Abort a connection whose exchange did not complete."""
        lease.connection.abort()

    def close_stale(self, addresses: set[str]) -> None:
        """Close idle connections that expired, are too many or to other addresses."""
        now = self._clock.read()
        for address, idle in list(self._idle.items()):
            is_known = address in addresses
            usable = [k for k in idle if is_known and _is_usable(k, now)]
            # The connections that were released last are kept.
            kept = usable[max(0, len(usable) - self.max_idle_per_target) :]
            for ended in idle:
                if ended not in kept:
                    ended.connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.close_stale(set())

    def _take_idle(self, address: str, max_idle_ms: float) -> _IdleConnection | None:
        idle = self._idle.get(address, [])
        now = self._clock.read()
        # The connection that was released last comes first.
        while idle and now - idle[-1].released_ms <= max_idle_ms:
            kept = idle.pop()
            if _is_usable(kept, now):
                kept.connection.is_silence_expected = False
                return kept
            kept.connection.close()
        return None


def _is_usable(kept: _IdleConnection, now: float) -> bool:
    connection = kept.connection
    if connection.is_lost or connection.has_unread or connection.is_readable():
        return False
    return now < kept.expires_ms


def _parse_keep_alive_ms(response: Response) -> float:
    match = KEEP_ALIVE_PATTERN.search(find_header(response.headers, "keep-alive") or "")
    if match is None:
        return DEFAULT_KEEP_ALIVE_MS
    timeout_ms = 1000.0 * int(match.group(1))
    return max(0.0, timeout_ms - KEEP_ALIVE_MARGIN_MS)
