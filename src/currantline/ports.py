"""Ports of an instance, and the memory account that they share."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from currantline.clock import Clock
from currantline.memory import return_free_pages
from currantline.memory_account import (
    EvictionReason,
    Holder,
    Kind,
    MemoryAccount,
    Port,
    find_connection_limits,
    find_max_bytes,
)
from currantline.telemetry import EventLog, Meter
from currantline.wire import (
    OWN_PORT_LIMITS,
    AccountedPort,
    BodyMemory,
    HttpServer,
    Request,
    Response,
    TurnQueue,
)

__all__ = ["Ports"]

# Minimum interval between two log lines about evictions, or about answers that were
# cut, in milliseconds. A line carries the number of events since the one before.
LOG_INTERVAL_MS = 200.0

# Maximum total size of the bodies that the store and other instances are sending.
MAX_STATE_BYTES = 24 * 1024 * 1024

# Delay before free pages are returned in milliseconds. Connections that end give up
# their memory some turns of the event loop later.
RETURN_DELAY_MS = 20.0


class Ports:
    """Ports of an instance, all of which draw on one memory account.

    Parameters
    ----------
    memory_bytes : int
        Memory of the machine.
    max_descriptors : int
        Maximum number of descriptors of the process.
    clock : Clock
        Source of time.
    meter : Meter
        Counts evictions and shows what is held.
    log : EventLog
        Log of events.

    Attributes
    ----------
    published_state : BodyMemory
        Limits the bodies that the store and other instances are sending.
    """

    def __init__(
        self,
        *,
        memory_bytes: int,
        max_descriptors: int,
        clock: Clock,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._meter = meter
        self._log = log
        self._evictions = _EventCount()
        self._cuts = _EventCount()
        self._is_returning = False
        self._turns = TurnQueue()
        self._ports: list[AccountedPort] = []
        self.account = MemoryAccount(find_max_bytes(memory_bytes))
        self.account.refresh = self._refresh
        self.account.on_evict = self._record_eviction
        self.account.on_freed = self._schedule_return
        limits = find_connection_limits(max_descriptors)
        self.callers = self._add("callers", limits.callers)
        self.directory = self._add("directory", limits.directory)
        self.peers = self._add("peers", limits.peers)
        self.control = self._add("control", limits.peers)
        self.readiness = self._add("readiness", limits.endpoints)
        self.metrics = self._add("metrics", limits.endpoints)
        self._targets = self.account.add_port("targets")
        self._state = self.account.add_port("state")
        self.published_state = BodyMemory(
            min(MAX_STATE_BYTES, self.account.max_bytes // 2),
            on_change=partial(self._count_received_bytes, self._state),
        )
        self._add_gauges()

    def make_server(
        self, handle: Callable[[Request], Awaitable[Response]], port: AccountedPort
    ) -> HttpServer:
        """Return a server for one of the instance's own endpoints."""
        return HttpServer(handle, limits=OWN_PORT_LIMITS, port=port, turns=self._turns)

    def count_response_bytes(self, size: int) -> None:
        """Count a change of the memory for responses that targets are sending."""
        self._count_received_bytes(self._targets, size)

    def abort_stalled(self) -> None:
        """Abort connections whose peers have not read their responses for long."""
        now = self._clock.read()
        for port in self._ports:
            port.abort_stalled(now)

    def _add(self, name: str, max_connections: int) -> AccountedPort:
        port = AccountedPort(
            self.account, name, clock=self._clock, max_connections=max_connections
        )
        port.on_cut = partial(self._record_cut, name)
        self._ports.append(port)
        return port

    def _count_received_bytes(self, port: Port, size: int) -> None:
        self.account.add_unowned(port, Kind.BODY, size, self._clock.read())

    def _refresh(self, now: float) -> None:
        for port in self._ports:
            port.refresh(now)

    def _schedule_return(self) -> None:
        if not self._is_returning:
            self._is_returning = True
            loop = asyncio.get_running_loop()
            loop.call_later(RETURN_DELAY_MS / 1000, self._return_pages)

    def _return_pages(self) -> None:
        self._is_returning = False
        return_free_pages()

    def _record_eviction(
        self, holder: Holder, reason: EvictionReason, now: float
    ) -> None:
        port = holder.port.name
        self._meter.count("evicted_connections", port=port, reason=reason.value)
        evictions = self._evictions.take(now)
        if not evictions:
            return
        self._log.write(
            "connection_evicted",
            port=port,
            reason=reason.value,
            held_bytes=holder.total,
            requests=holder.requests,
            total_bytes=self.account.total_bytes,
            evictions=evictions,
        )

    def _record_cut(self, port: str, size: int, reason: str) -> None:
        self._meter.count("cut_answers", port=port)
        cuts = self._cuts.take(self._clock.read())
        if cuts:
            self._log.write(
                "answer_cut", port=port, reason=reason, cut_bytes=size, cuts=cuts
            )

    def _add_gauges(self) -> None:
        for port in self.account.ports:
            if port.max_connections is not None:
                count = partial(getattr, port, "connections")
                self._meter.add_gauge("connections", count, port=port.name)
            for kind in Kind:
                read = partial(port.held.__getitem__, kind)
                self._meter.add_gauge(
                    "held_bytes", read, port=port.name, kind=kind.value
                )


class _EventCount:
    """Number of events since the last one that was logged."""

    def __init__(self) -> None:
        self._logged_ms = -LOG_INTERVAL_MS
        self._unlogged = 0

    def take(self, now: float) -> int:
        """Count an event; return the number to log, or 0 soon after a line."""
        self._unlogged += 1
        if now - self._logged_ms < LOG_INTERVAL_MS:
            return 0
        self._logged_ms = now
        count, self._unlogged = self._unlogged, 0
        return count
