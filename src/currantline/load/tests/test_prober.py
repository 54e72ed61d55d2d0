"""Tests of the task that sends probes."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

import pytest

from currantline.clock import ManualClock
from currantline.configuration import Service, Target
from currantline.exceptions import WireError
from currantline.load import (
    ProbeBudget,
    Prober,
    TargetState,
    TargetTracker,
    fetch_health,
    parse_load,
)
from currantline.load.tests.test_target_tracker import make_service, make_tracker
from currantline.wire import Response, find_header

TICK_MS = 100.0
LOAD = (("target-load", "in-flight=0, slots=2, state=ready"),)


class FakePlan:
    """Plan that owns all targets and holds the rights set by the test."""

    def __init__(self, service: Service) -> None:
        self.targets = service.targets
        self.has_lease = True
        self.has_share = False
        self.requested: set[str] = set()

    def list_owned(self) -> Iterable[Target]:
        """Return all targets."""
        return () if self.has_share else self.targets

    def list_shared(self, now: float) -> Iterable[Target]:
        """Return all targets if the share right is held."""
        return self.targets if self.has_share else ()

    def is_requested(self, target: str, now: float) -> bool:
        """Return what the test says."""
        return target in self.requested

    def holds_lease(self, target: str, now: float) -> bool:
        """Return what the test says."""
        return self.has_lease

    def holds_share(self, target: str, now: float) -> bool:
        """Return what the test says."""
        return self.has_share


class FakeNetwork:
    """Responds to probes; ``on_connect`` runs between connecting and sending."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.sent: list[float] = []
        self.response: Response | None = Response(status=200, headers=LOAD)
        self.gate = asyncio.Event()
        self.on_connect: Callable[[], None] = lambda: None

    async def fetch(
        self, address: str, may_send: Callable[[], bool], *, timeout_ms: float
    ) -> Response | None:
        """Send one probe and return its response."""
        self.on_connect()
        if not may_send():
            return None
        self.sent.append(self.clock.read())
        await self.gate.wait()
        if self.response is None:
            raise WireError("no answer")
        return self.response


class Bench:
    """A prober with a manual clock and a fake network."""

    def __init__(self, count: int = 1) -> None:
        self.clock = ManualClock()
        self.target_tracker: TargetTracker = make_tracker(count)
        self.plan = FakePlan(make_service(count))
        self.network = FakeNetwork(self.clock)
        self.ended: list[bool] = []
        self.network.gate.set()
        budget = ProbeBudget()
        budget.set_services([make_service(count)])
        self.prober = Prober(
            target_tracker=self.target_tracker,
            budget=budget,
            plan=self.plan,
            clock=self.clock,
            fetch=self.network.fetch,
            on_probe_end=lambda target, is_usable: self.ended.append(is_usable),
        )

    async def run(self, ticks: int) -> None:
        """Run ticks of the prober and let its probes progress."""
        for _ in range(ticks):
            self.clock.advance(TICK_MS)
            self.prober.tick()
            if self.network.gate.is_set():
                await self.prober.wait_until_idle()
            else:
                await asyncio.sleep(0)


class TestProber:
    """Probes of owned and shared targets."""

    def test_steady_state(self) -> None:
        """Guards against expired evidence and bursts of probes in normal operation."""

        async def run() -> Bench:
            bench = Bench(40)
            for _ in range(600):
                await bench.run(1)
                if bench.clock.now > 4000:
                    assert all(
                        bench.target_tracker.limit(f"t{i}", bench.clock.now)
                        for i in range(40)
                    )
            return bench

        bench = asyncio.run(run())
        assert max(bench.prober.sent.values()) <= 60
        sent = bench.network.sent
        busiest = max(sum(t <= s < t + 200 for s in sent) for t in sent)
        assert busiest <= 24

    def test_share_right(self) -> None:
        """Guards against share probes without a request or despite fresh evidence."""

        async def run() -> Bench:
            bench = Bench(2)
            bench.plan.has_lease = False
            bench.plan.has_share = True
            await bench.run(50)
            assert bench.prober.sent.total() == 0
            bench.plan.requested = {"t0"}
            # The right was held for over a period, so the first probe is sent at once.
            await bench.run(1)
            assert bench.prober.sent == {"t0": 1}
            await bench.run(50)
            return bench

        bench = asyncio.run(run())
        assert bench.prober.sent == {"t0": 6}
        notices = bench.target_tracker.find_notices(["t0", "t1"], bench.clock.now)
        assert [notice.target for notice in notices] == ["t0"]

    def test_one_at_a_time(self) -> None:
        """Guards against probes that accumulate at an unresponsive target."""

        async def run() -> Bench:
            bench = Bench()
            bench.network.gate.clear()
            await bench.run(80)
            await bench.prober.stop()
            return bench

        bench = asyncio.run(run())
        assert len(bench.network.sent) == 1
        assert bench.ended == [False]

    def test_lost_lease(self) -> None:
        """Guards against a probe sent after a pause in which the lease was lost."""

        async def run() -> Bench:
            bench = Bench()

            def pause() -> None:
                bench.clock.advance(5000)
                bench.plan.has_lease = False

            bench.network.on_connect = pause
            await bench.run(30)
            return bench

        bench = asyncio.run(run())
        assert bench.network.sent == []
        assert bench.prober.sent.total() == 0

    def test_failure(self) -> None:
        """Guards against failed probes that count as evidence or stop the prober."""

        async def run() -> Bench:
            bench = Bench()
            bench.network.response = None
            await bench.run(50)
            return bench

        bench = asyncio.run(run())
        assert bench.prober.failed["t0"] == len(bench.network.sent) >= 3
        assert bench.target_tracker.limit("t0", bench.clock.now) == 0

    def test_draining_health(self) -> None:
        """Guards against a drain that is ignored because its status is 503."""

        async def run() -> Bench:
            bench = Bench()
            drain = (("target-load", "in-flight=0, slots=2, state=draining"),)
            bench.network.response = Response(status=503, headers=drain)
            await bench.run(30)
            return bench

        bench = asyncio.run(run())
        assert bench.target_tracker.describe(3000)[0].state is TargetState.DRAINING


class RawServer:
    """Raw TCP server on loopback that sends a fixed response to each request."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read one request head, respond and close the connection."""
        with contextlib.closing(writer):
            self.received.append(await reader.read(4096))
            if self.received[-1]:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                    b"Target-Load: in-flight=1, slots=2, state=starting\r\n\r\n"
                )
                await writer.drain()

    async def exchange(self, *, may_send: bool) -> Response | None:
        """Send one probe to this server."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            return await fetch_health(
                f"{host}:{port}", lambda: may_send, timeout_ms=5000.0
            )
        finally:
            server.close()


class TestFetchHealth:
    """One probe over TCP."""

    def test_exchange(self) -> None:
        """Guards against a probe that is not a valid HTTP request."""
        server = RawServer()
        response = asyncio.run(server.exchange(may_send=True))
        assert server.received[0].startswith(b"GET /health HTTP/1.1\r\n")
        assert response is not None
        report = parse_load(find_header(response.headers, "target-load"))
        assert report is not None
        assert report.state is TargetState.STARTING

    def test_right_lost_before_sending(self) -> None:
        """Guards against bytes sent after the right to probe was lost."""
        server = RawServer()
        assert asyncio.run(server.exchange(may_send=False)) is None
        assert b"".join(server.received) == b""

    def test_unreachable(self) -> None:
        """Guards against an error other than WireError, which would stop the prober."""
        with pytest.raises(WireError):
            asyncio.run(fetch_health("127.0.0.1:1", lambda: True, timeout_ms=5000.0))
