"""Connections as holders of the memory account."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from currantline.clock import Clock
from currantline.memory_account import EvictionReason, Holder, Kind, MemoryAccount

if TYPE_CHECKING:
    from currantline.wire._stream import ByteStream

__all__ = ["AccountedPort", "Holding"]

# Received bytes of a connection that are not counted one by one, since its fixed cost
# contains them. Most requests are smaller.
UNCOUNTED_BYTES = 4096

# Minimum interval between two looks at all write buffers that are not empty.
REFRESH_INTERVAL_MS = 20.0

# Time without progress after which a connection with unwritten bytes is aborted, also
# if its memory is not needed. A peer that said that it waits for longer keeps it until
# then. Probes of the kernel do not show that a peer reads.
WRITE_STALL_TIMEOUT_MS = 30_000.0


class AccountedPort:
    """A listening port whose connections are holders of the memory account.

    Parameters
    ----------
    account : MemoryAccount
        The account.
    name : str
        Name of the port for logs and metrics.
    clock : Clock
        Source of time.
    max_connections : int, optional
        Maximum number of open connections.

    Attributes
    ----------
    on_cut : callable or None
        Called when a connection ends before its peer has taken all bytes, with their
        number and the reason for the end.
    """

    def __init__(
        self,
        account: MemoryAccount,
        name: str,
        *,
        clock: Clock,
        max_connections: int | None = None,
    ) -> None:
        self.account = account
        self.clock = clock
        self.writing: set[Holding] = set()
        self._open: set[Holding] = set()
        self.on_cut: Callable[[int, str], object] | None = None
        self._port = account.add_port(name, max_connections)
        self._refreshed_ms = clock.read()

    def open(
        self, stream: "ByteStream", evict: Callable[[EvictionReason], object]
    ) -> "Holding | None":
        """Admit a connection; return None if it must be closed.

        Parameters
        ----------
        stream : ByteStream
            The connection.
        evict : callable
            Closes it for another one.
        """
        holder = self.account.open(self._port, evict, self.clock.read())
        if holder is None:
            return None
        stream.holding = Holding(self, holder, stream)
        self._open.add(stream.holding)
        return stream.holding

    def forget(self, holding: "Holding") -> None:
        """Forget a connection that has ended."""
        self.writing.discard(holding)
        self._open.discard(holding)

    def count_undelivered(self) -> int:
        """Return the number of connections whose peer has not taken all responses."""
        return sum(holding.stream.has_undelivered for holding in self._open)

    def refresh(self, now: float) -> None:
        """Update the sizes of write buffers, which shrink without a notice."""
        if now - self._refreshed_ms >= REFRESH_INTERVAL_MS:
            self._refreshed_ms = now
            for holding in tuple(self.writing):
                holding.stream.count_unwritten()

    def abort_stalled(self, now: float) -> None:
        """Abort connections whose peer has not read for long."""
        self.refresh(now)
        for holding in tuple(self.writing):
            is_stalled = now - holding.written_ms >= WRITE_STALL_TIMEOUT_MS
            if is_stalled and now >= holding.awaited_until_ms:
                holding.stream.abort("the peer read nothing")


class Holding:
    """What one connection holds.

    Parameters
    ----------
    port : AccountedPort
        Port of the connection.
    holder : Holder
        Its holder in the account.
    stream : ByteStream
        The connection.

    Attributes
    ----------
    written_ms : float
        Time at which the peer was last seen to take bytes, in milliseconds.
    awaited_until_ms : float
        Time until which the peer waits for responses, in milliseconds.
    """

    __slots__ = (
        "_account",
        "_clock",
        "_holder",
        "_port",
        "_unread",
        "_unwritten",
        "awaited_until_ms",
        "stream",
        "written_ms",
    )

    def __init__(
        self, port: AccountedPort, holder: Holder, stream: "ByteStream"
    ) -> None:
        self._port = port
        self._account = port.account
        self._clock = port.clock
        self._holder = holder
        self._unread = 0
        self._unwritten = 0
        self.stream = stream
        self.written_ms = -math.inf
        self.awaited_until_ms = -math.inf

    @property
    def is_evicted(self) -> bool:
        """Whether the connection is being closed for another one."""
        return self._holder.is_evicted

    def await_until(self, end_ms: float) -> None:
        """Record that the peer waits for a response until a time."""
        self.awaited_until_ms = max(self.awaited_until_ms, end_ms)

    def find_idle_left_ms(self, idle_timeout_ms: float) -> float:
        """Return for how much longer a connection without requests may be kept.

        It is not idle before its peer has taken all responses, or no longer waits for
        them.
        """
        now = self._clock.read()
        if self.stream.has_undelivered and now < self.awaited_until_ms:
            return idle_timeout_ms
        return max(0.0, self.written_ms + idle_timeout_ms - now)

    def count_received(self, size: int, unread: int) -> bool:
        """Count received bytes and those of them that are unread.

        Returns
        -------
        bool
            False if there is no memory for them.
        """
        self._account.record_transfer(self._holder, size, self._clock.read())
        return self.count_unread(unread)

    def count_unread(self, size: int) -> bool:
        """Count unread bytes; return False if there is no memory for them."""
        size = max(0, size - UNCOUNTED_BYTES)
        if size == self._unread or not self._holder.is_open:
            return True
        self._unread = size
        return self._account.set(self._holder, Kind.UNREAD, size, self._clock.read())

    def count_unwritten(self, size: int, *, held: int) -> bool:
        """Count bytes that the peer has not taken, and the memory that they hold.

        Returns
        -------
        bool
            False if there is no memory for them.
        """
        if size == self._unwritten or not self._holder.is_open:
            return True
        now = self._clock.read()
        if size < self._unwritten:
            self._account.record_transfer(self._holder, self._unwritten - size, now)
            self.written_ms = now
        elif not self._unwritten:
            self._port.writing.add(self)
            self.written_ms = now
        self._unwritten = size
        if not size:
            self._port.writing.discard(self)
        return self._account.set(self._holder, Kind.UNWRITTEN, held, now)

    def add(self, kind: Kind, size: int) -> bool:
        """Count memory of a request; return False if there is none."""
        return self._account.add(self._holder, kind, size, self._clock.read())

    def release(self, kind: Kind, size: int) -> None:
        """Count memory of a request as free."""
        if size:
            self._account.release(self._holder, kind, size)

    def begin_request(self) -> None:
        """Count a request in progress."""
        self._account.begin_request(self._holder, self._clock.read())

    def end_request(self) -> None:
        """Count the end of a request in progress."""
        self._account.end_request(self._holder, self._clock.read())

    def record_progress(self) -> None:
        """Record progress of the peer."""
        self._account.record_progress(self._holder, self._clock.read())

    def linger(self) -> None:
        """Record that the connection only waits for its peer to close it."""
        self._account.linger(self._holder, self._clock.read())

    def close(self, *, cut: int, reason: str) -> None:
        """Record the end of the connection.

        Parameters
        ----------
        cut : int
            Number of bytes that the peer does not get any more.
        reason : str
            Reason for the end.
        """
        if cut and self._port.on_cut is not None:
            self._port.on_cut(cut, reason)
        self._port.forget(self)
        self._account.close(self._holder)
