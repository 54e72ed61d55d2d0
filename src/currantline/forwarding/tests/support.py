"""Raw targets, timers and placements that tests control step by step."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from currantline.admission import WorkItem
from currantline.clock import ManualClock
from currantline.exceptions import RequestRefusedError
from currantline.forwarding import (
    AttemptObservation,
    AttemptResult,
    Permit,
    RequestForwarder,
)
from currantline.wire import Request

# Only ends a test that hangs; no test depends on its length.
HANG_S = 30.0
DEADLINE = 60_000.0


# Connections that the running test has opened or accepted.
open_connections: "list[RawConnection]" = []


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test, end it if it hangs and close its connections."""

    async def session() -> None:
        try:
            await asyncio.wait_for(test, HANG_S)
        finally:
            while open_connections:
                open_connections.pop().writer.transport.abort()

    asyncio.run(session())


@attrs.define(eq=False)
class ManualTimer:
    """One timer."""

    delay_ms: float
    callback: Callable[[], None]
    is_cancelled: bool = False

    def cancel(self) -> None:
        """Do not fire any more."""
        self.is_cancelled = True


class ManualSchedule:
    """Timers that fire only when a test says so."""

    def __init__(self) -> None:
        self.timers: list[ManualTimer] = []

    def __call__(self, delay_ms: float, callback: Callable[[], None]) -> ManualTimer:
        """Keep a timer."""
        self.timers.append(ManualTimer(delay_ms, callback))
        return self.timers[-1]

    def fire(self, delay_ms: float) -> None:
        """Fire the pending timers with a delay."""
        for timer in [t for t in self.timers if t.delay_ms == delay_ms]:
            self.timers.remove(timer)
            if not timer.is_cancelled:
                timer.callback()


class RawConnection:
    """A connection that a test reads and writes by hand."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        open_connections.append(self)

    async def read_head(self) -> str:
        """Return the next head."""
        return (await self.reader.readuntil(b"\r\n\r\n")).decode()

    async def read_to_end(self) -> bytes:
        """Return everything until the other side closes."""
        try:
            return await self.reader.read()
        except ConnectionResetError:
            return b""

    def send(self, text: str) -> None:
        """Send text as it is."""
        self.writer.write(text.encode())

    def answer(self, body: str, extra: str = "", status: str = "200 OK") -> None:
        """Send a whole answer."""
        self.send(
            f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{extra}\r\n{body}"
        )


class RawTarget:
    """A target whose connections a test serves by hand."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.opened: list[RawConnection] = []
        self._queue: asyncio.Queue[RawConnection] = asyncio.Queue()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> "RawTarget":
        """Listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def accept(self) -> RawConnection:
        """Return the next new connection."""
        return await self._queue.get()

    def stop(self) -> None:
        """Refuse new connections."""
        assert self._server is not None
        self._server.close()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened.append(RawConnection(reader, writer))
        self._queue.put_nowait(self.opened[-1])


class ScriptedPlacement:
    """Gives out targets in order, then refuses."""

    def __init__(self, *targets: RawTarget) -> None:
        self.targets = list(targets)
        self.avoided: list[frozenset[str]] = []
        self.results: list[AttemptResult] = []
        self.before: Callable[[], None] = lambda: None
        self.granted: list[float] = []
        self.gate: asyncio.Event | None = None

    async def acquire(self, work: WorkItem) -> Permit:
        """Return the next target."""
        self.before()
        if self.gate is not None:
            await self.gate.wait()
        self.avoided.append(work.avoid)
        if not self.targets:
            raise RequestRefusedError("no target left", reason="no-target")
        target = self.targets.pop(0)
        return Permit(
            request_id=work.request_id,
            target=target.name,
            address=target.address,
            granted=self.granted.pop(0) if self.granted else None,
        )

    def release(
        self, permit: Permit, result: AttemptResult, *, duration_ms: float
    ) -> None:
        """Keep the result."""
        self.results.append(result)


@attrs.define
class Budget:
    """Retry budget with a fixed number of retries."""

    tokens: int = 0

    def record_attempt(self, now: float) -> None:
        """Do nothing."""

    def spend(self, now: float) -> bool:
        """Take a token."""
        self.tokens -= 1
        return self.tokens >= 0


@attrs.define
class Bench:
    """A forwarder with everything around it under control."""

    placement: ScriptedPlacement
    budget: Budget = attrs.field(factory=Budget)
    clock: ManualClock = attrs.field(factory=ManualClock)
    schedule: ManualSchedule = attrs.field(factory=ManualSchedule)
    seen: list[tuple[str, AttemptObservation]] = attrs.field(factory=list)
    forwarder: RequestForwarder = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.forwarder = RequestForwarder(
            self.placement,
            clock=self.clock,
            find_budget=lambda service: self.budget,
            observer=self,
            schedule=self.schedule,
        )

    def observe(self, target: str, observation: AttemptObservation) -> None:
        """Keep an observation."""
        self.seen.append((target, observation))

    def forward(
        self, *, idempotent: bool, request_id: str = "r1"
    ) -> "asyncio.Task[Any]":
        """Carry a request in a task."""
        work = WorkItem(
            request_id=request_id,
            service="ordering",
            route="order",
            idempotent=idempotent,
            deadline=DEADLINE,
            arrived=0.0,
        )
        method = "GET" if idempotent else "POST"
        request = Request(method=method, target="/x", headers=(("host", "a"),))
        return asyncio.ensure_future(self.forwarder.forward(work, request))
