"""Decides who holds memory, and which connection is closed for another one."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice

from currantline.memory_account._holder import EvictionReason, Holder, Kind, Port
from currantline.memory_account._limits import CONNECTION_BYTES

__all__ = ["MemoryAccount"]

# Resolution of the order of progress. Moving a holder at each received byte would be
# work for ordinary traffic.
STEP_MS = 250.0

# A connection without progress for this time is closed before one with progress.
STALL_STEPS = 4

# A connection with a request in progress, or an answer that its peer has not taken, is
# closed for a new one after this time without progress if all of its port have such.
# Most requests end earlier.
BUSY_STEPS = 2

# Bytes to transfer for progress. A peer that sends or reads single bytes to keep its
# memory stands still.
PROGRESS_BYTES = 1024

# Memory besides the cost of the connection from which a holder is worth closing for
# memory, before idle connections are closed.
HEAVY_BYTES = 16 * 1024

# Number of holders compared among those with the same time of progress.
MAX_COMPARED = 64

# Evicted connections free their memory some turns of the event loop later. This share
# of the bound may be taken before they have done so.
EVICTED_SHARE = 4

# Bytes released after which the allocator should return its free pages, if this share
# of the bound was held in the meantime. Ordinary load does not reach the share.
FREED_BYTES = 8_000_000
MIN_PEAK_SHARE = 4

# These are held until their owner releases them; the others end with the connection.
REQUEST_KINDS = frozenset({Kind.HEAD, Kind.BODY})


class MemoryAccount:
    """Counts the memory that connections hold and keeps it below a bound.

    All times are in milliseconds.

    Parameters
    ----------
    max_bytes : int
        Memory that all holders may hold.

    Attributes
    ----------
    refresh : callable or None
        Called with the time before a holder is evicted, to update sizes that change
        without a notice, such as those of write buffers.
    on_evict : callable or None
        Called with a holder, the reason and the time before its eviction.
    on_freed : callable or None
        Called when much memory has been released, so that the allocator can return it.
        Its gaps would otherwise add to what other sizes of blocks take.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._ports: list[Port] = []
        self._evicted_bytes = 0
        self._is_refreshing = False
        self._freed_bytes = 0
        self._peak_bytes = 0
        self.total_bytes = 0
        self.on_freed: Callable[[], object] | None = None
        self.refresh: Callable[[float], object] | None = None
        self.on_evict: Callable[[Holder, EvictionReason, float], object] | None = None

    @property
    def max_bytes(self) -> int:
        """Memory that all holders may hold."""
        return self._max_bytes

    @property
    def ports(self) -> Iterable[Port]:
        """All ports."""
        return self._ports

    def add_port(self, name: str, max_connections: int | None = None) -> Port:
        """Add a port, which is limited to a number of connections."""
        port = Port(name, max_connections)
        self._ports.append(port)
        return port

    def open(
        self, port: Port, evict: Callable[[EvictionReason], object], now: float
    ) -> Holder | None:
        """Admit a connection, if need be for another one of the port.

        Returns
        -------
        Holder or None
            None if the connection must be closed: all others of the port have requests
            in progress, or take answers, since less than 250 ms, or there is no memory.
        """
        if port.max_connections is not None:
            while port.connections >= port.max_connections:
                victim = _choose_connection(port, _find_step(now) - BUSY_STEPS)
                if victim is None:
                    return None
                self._evict(victim, EvictionReason.CONNECTIONS, now)
        holder = Holder(port, evict, step=_find_step(now))
        if not self.add(holder, Kind.CONNECTION, CONNECTION_BYTES, now):
            return None
        self._place(holder)
        return holder

    def close(self, holder: Holder) -> None:
        """Forget a connection. What its requests hold is released separately."""
        if not holder.is_open:
            return
        holder.is_open = False
        for kind, size in holder.held.items():
            if size and kind not in REQUEST_KINDS:
                self._change(holder, kind, -size)
        self._place(holder)

    def add(self, holder: Holder, kind: Kind, size: int, now: float) -> bool:
        """Count additional memory; return False if there is no room for it.

        Nothing is counted then, and the holder must give up what needs the memory.
        """
        if not (holder.is_open or kind in REQUEST_KINDS):
            return True
        self._change(holder, kind, size)
        if not self._is_over() or self._make_room(holder, now):
            if size > 0 and holder.queue is not None:
                self._place(holder)
            return True
        self._change(holder, kind, -size)
        return False

    def set(self, holder: Holder, kind: Kind, size: int, now: float) -> bool:
        """Set the memory of a kind; return False if there is no room for it."""
        missing = size - holder.held.get(kind, 0)
        if missing > 0:
            return self.add(holder, kind, missing, now)
        if missing:
            self.release(holder, kind, -missing)
        return True

    def release(self, holder: Holder, kind: Kind, size: int) -> None:
        """Count memory as free, that of requests also after the connection's end."""
        if not (holder.is_open or kind in REQUEST_KINDS):
            return
        self._change(holder, kind, -size)
        if holder.queue is not None:
            self._place(holder)

    def add_unowned(self, port: Port, kind: Kind, size: int, now: float) -> None:
        """Count a change of memory that belongs to no accepted connection."""
        port.held[kind] += size
        self._change_total(size)
        if size > 0 and self._is_over():
            self._make_room(None, now)

    def record_transfer(self, holder: Holder, size: int, now: float) -> None:
        """Record bytes that were received, or taken by the peer."""
        holder.unmarked_bytes += size
        if holder.unmarked_bytes >= PROGRESS_BYTES:
            self.record_progress(holder, now)

    def record_progress(self, holder: Holder, now: float) -> None:
        """Record that the peer of a connection has made progress."""
        holder.unmarked_bytes = 0
        step = _find_step(now)
        if step != holder.step:
            holder.step = step
            if holder.queue is not None:
                holder.queue.move_to_end(holder)

    def begin_request(self, holder: Holder, now: float) -> None:
        """Count a request in progress: its peer can only wait."""
        holder.requests += 1
        self.record_progress(holder, now)
        self._place(holder)

    def end_request(self, holder: Holder, now: float) -> None:
        """Count the end of a request in progress."""
        holder.requests -= 1
        self.record_progress(holder, now)
        self._place(holder)

    def linger(self, holder: Holder, now: float) -> None:
        """Record that a connection only waits for its peer to close it.

        A connection that was evicted counts again until it is closed.
        """
        if holder.is_evicted:
            holder.is_evicted = False
            self._evicted_bytes -= holder.total
        holder.is_lingering = True
        self._place(holder)
        port = holder.port
        is_full = (
            port.max_connections is not None and port.connections > port.max_connections
        )
        if is_full:
            victim = next(iter(port.lingering), holder)
            self._evict(victim, EvictionReason.CONNECTIONS, now)
        if self._is_over():
            self._make_room(None, now)

    def _change(self, holder: Holder, kind: Kind, size: int) -> None:
        held = holder.held
        held[kind] = held.get(kind, 0) + size
        holder.total += size
        holder.port.held[kind] += size
        self._change_total(size)
        if holder.is_evicted:
            self._evicted_bytes += size

    def _change_total(self, size: int) -> None:
        self.total_bytes += size
        if size > 0:
            self._peak_bytes = max(self._peak_bytes, self.total_bytes)
            return
        self._freed_bytes -= size
        if self._freed_bytes < FREED_BYTES:
            return
        is_notable = self._peak_bytes >= self._max_bytes // MIN_PEAK_SHARE
        self._freed_bytes = 0
        self._peak_bytes = self.total_bytes
        if is_notable and self.on_freed is not None:
            self.on_freed()

    def _is_over(self) -> bool:
        credit = min(self._evicted_bytes, self._max_bytes // EVICTED_SHARE)
        return self.total_bytes - credit > self._max_bytes

    def _make_room(self, asking: Holder | None, now: float) -> bool:
        if self.refresh is not None and not self._is_refreshing:
            self._is_refreshing = True
            try:
                self.refresh(now)
            finally:
                self._is_refreshing = False
        while self._is_over():
            victim = self._choose(asking, now)
            if victim is None:
                return False
            self._evict(victim, EvictionReason.MEMORY, now)
        return True

    def _choose(self, asking: Holder | None, now: float) -> Holder | None:
        if self._evicted_bytes >= self._max_bytes // EVICTED_SHARE:
            # Further evictions would free nothing before these have ended.
            return None
        lingering = _find_oldest(port.lingering for port in self._ports)
        if lingering is not None:
            return lingering
        last_step = _find_step(now) - STALL_STEPS
        for queues in (
            [q for port in self._ports for q in (port.heavy, port.answered)],
            [port.light for port in self._ports],
        ):
            oldest = _find_oldest(queues)
            if oldest is not None and oldest.step <= last_step:
                return oldest if oldest is not asking else None
        largest = max(
            (holder for port in self._ports for holder in port.iterate_active()),
            key=_read_total,
            default=None,
        )
        if largest is None or largest is asking:
            return None
        is_larger = asking is None or largest.total > asking.total
        return largest if is_larger else None

    def _evict(self, holder: Holder, reason: EvictionReason, now: float) -> None:
        holder.is_evicted = True
        self._evicted_bytes += holder.total
        self._place(holder)
        if self.on_evict is not None:
            self.on_evict(holder, reason, now)
        holder.evict(reason)

    def _place(self, holder: Holder) -> None:
        queue = _choose_queue(holder)
        if queue is holder.queue:
            return
        if holder.queue is not None:
            del holder.queue[holder]
        holder.queue = queue
        if queue is not None:
            queue[holder] = None


def _choose_queue(holder: Holder) -> "OrderedDict[Holder, None] | None":
    port = holder.port
    if holder.is_evicted or not holder.is_open:
        return None
    if holder.requests and not holder.is_lingering:
        return port.busy
    if holder.held.get(Kind.UNWRITTEN):
        return port.answered
    if holder.is_lingering:
        return port.lingering
    is_heavy = holder.total > CONNECTION_BYTES + HEAVY_BYTES
    return port.heavy if is_heavy else port.light


def _choose_connection(port: Port, last_step: int) -> Holder | None:
    if port.lingering:
        return next(iter(port.lingering))
    waiting = _find_oldest((port.light, port.heavy))
    if waiting is not None:
        return waiting
    longest = _find_oldest((port.answered, port.busy))
    return longest if longest is not None and longest.step <= last_step else None


def _find_oldest(queues: "Iterable[OrderedDict[Holder, None]]") -> Holder | None:
    """Return the holder without progress for longest; of several, the largest."""
    oldest: Holder | None = None
    for queue in queues:
        first = next(iter(queue), None)
        if first is None or (oldest is not None and first.step > oldest.step):
            continue
        for holder in islice(queue, MAX_COMPARED):
            if holder.step > first.step:
                break
            if (
                oldest is None
                or holder.step < oldest.step
                or holder.total > oldest.total
            ):
                oldest = holder
    return oldest


def _find_step(now: float) -> int:
    return int(now // STEP_MS)


def _read_total(holder: Holder) -> int:
    return holder.total
