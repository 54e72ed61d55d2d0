"""Tests of callers and targets that read slowly, most on loopback sockets."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import attrs
import pytest

from currantline.clock import ManualClock
from currantline.memory_account import MemoryAccount
from currantline.relay import RelayServer
from currantline.relay.tests.support import (
    NAMES,
    RelayHarness,
    make_request,
    make_route,
    run_scenario,
)
from currantline.relay.tests.test_server import encode
from currantline.relay.tests.test_statuses import make_answer
from currantline.routing import CallerLimits
from currantline.telemetry import EventLog
from currantline.wire import (
    DEAD_PEER_TIMEOUT_MS,
    AccountedPort,
    ByteStream,
    Holding,
    HttpConnection,
    Request,
    Response,
)

MAX_BYTES = 200_000_000

# More than the buffers of both sockets hold.
ANSWER_BYTES = 16_000_000

# Time for which a caller waits, longer than the time-out for a peer that reads nothing.
TIME_LEFT_MS = 60_000.0

POLL_S = 0.01


class _RecordingPort(AccountedPort):
    """A port that keeps what its connections hold."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(MemoryAccount(MAX_BYTES), "callers", clock=clock)
        self.server: RelayServer
        self.holdings: list[Holding] = []
        self.cuts: list[tuple[int, str]] = []
        self.on_cut = lambda size, reason: self.cuts.append((size, reason))

    def open(self, stream: ByteStream, evict: Callable[..., object]) -> Holding | None:
        """Admit a connection."""
        holding = super().open(stream, evict)
        assert holding is not None
        self.holdings.append(holding)
        return holding


class Caller:
    """A caller that reads only when it is told to."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sock.connect((host, int(port)))
        self._sock.setblocking(False)
        self._received = bytearray()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def receive(self) -> bool:
        """Receive some bytes; return False if the connection has ended."""
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self._sock, 10_000)
        except ConnectionError:
            return False
        self._received += data
        return bool(data)

    async def read_body(self) -> bytes:
        """Return the body of the next answer, shorter if the connection ends."""
        size = -1
        while size < 0 or len(self._received) < size:
            if size < 0 and b"\r\n\r\n" in self._received:
                head, _, self._received = self._received.partition(b"\r\n\r\n")
                size = int(head.lower().split(b"content-length: ")[1].split()[0])
                continue
            if not await self.receive():
                return bytes(self._received)
        body = bytes(self._received[:size])
        del self._received[:size]
        return body

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


Scenario = Callable[[Caller, _RecordingPort, ManualClock], Awaitable[None]]


def serve(scenario: Scenario, *, idle_timeout_ms: float = 60_000.0) -> None:
    """Run a scenario with a server whose answers are large."""

    async def handle(request: Request, arrived_ms: float) -> Response:
        return Response(status=200, body=bytes(ANSWER_BYTES))

    async def run() -> None:
        clock = ManualClock()
        port = _RecordingPort(clock)
        server = RelayServer(
            handle,
            is_idempotent=lambda request: True,
            names=NAMES,
            read_limits=lambda: CallerLimits(idle_timeout_ms=idle_timeout_ms),
            clock=clock,
            log=EventLog("i", clock=clock, write=len),
            port=port,
        )
        port.server = server
        await server.start("127.0.0.1:0")
        caller = Caller(server.address)
        try:
            await scenario(caller, port, clock)
        finally:
            caller.close()
            await server.stop()

    asyncio.run(run())


async def start_answer(
    caller: Caller, port: _RecordingPort, *headers: tuple[str, str]
) -> Holding:
    """Send a request and wait until its answer waits for the caller to read."""
    request = make_request(remaining_ms=TIME_LEFT_MS)
    request = attrs.evolve(request, headers=(*request.headers, *headers))
    await caller.send(encode(request))
    while not port.writing:
        await asyncio.sleep(POLL_S)
    return port.holdings[0]


class TestCallers:
    """Callers that read nothing for a while."""

    def test_kernel_timeout(self) -> None:
        """Guards against a kernel that resets a caller whose window is closed."""

        async def scenario(
            caller: Caller, port: _RecordingPort, clock: ManualClock
        ) -> None:
            holding = await start_answer(caller, port)
            sock = holding.stream._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1

        serve(scenario)

    def test_until_deadline(self) -> None:
        """Guards against a ready answer that is given up while its caller waits."""

        async def scenario(
            caller: Caller, port: _RecordingPort, clock: ManualClock
        ) -> None:
            await start_answer(caller, port)
            clock.advance(TIME_LEFT_MS - 1.0)
            port.abort_stalled(clock.read())
            assert len(await caller.read_body()) == ANSWER_BYTES

        serve(scenario)

    def test_past_deadline(self) -> None:
        """Guards against answers that are kept for callers that do not come back."""

        async def scenario(
            caller: Caller, port: _RecordingPort, clock: ManualClock
        ) -> None:
            await start_answer(caller, port)
            clock.advance(TIME_LEFT_MS)
            port.abort_stalled(clock.read())
            assert len(await caller.read_body()) < ANSWER_BYTES
            [(size, reason)] = port.cuts
            assert size > 0
            assert reason == "the peer read nothing"

        serve(scenario)

    def test_idle_timeout(self) -> None:
        """Guards against a connection that is idle while an answer is under way."""

        async def scenario(
            caller: Caller, port: _RecordingPort, clock: ManualClock
        ) -> None:
            await start_answer(caller, port)
            # Several idle time-outs of the server.
            await asyncio.sleep(20 * POLL_S)
            await caller.send(encode(make_request("b", remaining_ms=TIME_LEFT_MS)))
            assert len(await caller.read_body()) == ANSWER_BYTES
            assert len(await caller.read_body()) == ANSWER_BYTES

        serve(scenario, idle_timeout_ms=1_000 * POLL_S / 2)

    def test_bytes_behind_last_request(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a reset by bytes that come while the last answer is read."""
        monkeypatch.setattr("currantline.wire._stream.LINGER_S", POLL_S)

        async def scenario(
            caller: Caller, port: _RecordingPort, clock: ManualClock
        ) -> None:
            await start_answer(caller, port, ("connection", "close"))
            await asyncio.sleep(20 * POLL_S)
            await caller.send(b"junk")
            assert len(await caller.read_body()) == ANSWER_BYTES

        serve(scenario)

    def test_planned_stop(self) -> None:
        """Guards against a stop that does not know of an answer under way."""

        async def scenario(
            caller: Caller, port: _RecordingPort, clock: ManualClock
        ) -> None:
            stream = (await start_answer(caller, port)).stream
            port.server.stop_accepting()
            port.server.close_idle()
            assert not stream.is_closing
            while stream.has_unwritten:
                await caller.receive()
            # The socket holds the rest.
            assert port.count_undelivered() == 1
            assert len(await caller.read_body()) == ANSWER_BYTES
            while port.count_undelivered():
                await asyncio.sleep(POLL_S)
            port.server.close_idle()
            await caller.send(encode(make_request("b")))
            assert await caller.read_body() == b""

        serve(scenario)

    def test_leaves(self) -> None:
        """Guards against memory that is held for a caller that has left."""

        async def scenario(
            caller: Caller, port: _RecordingPort, clock: ManualClock
        ) -> None:
            await start_answer(caller, port)
            caller.close()
            while port.account.total_bytes:
                await asyncio.sleep(POLL_S)
            assert len(port.cuts) == 1

        serve(scenario)


class TestTargets:
    """Targets that read nothing of a request for a while."""

    def test_upload(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an upload that is given up before its deadline."""
        timeouts: list[int] = []

        def record(connection: HttpConnection, timeout_ms: int) -> None:
            timeouts.append(timeout_ms)

        monkeypatch.setattr(HttpConnection, "set_write_timeout", record)

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_scripted_target(*[make_answer("200")] * 2)
            for body in (b"upload", b""):
                timeouts.append(0)
                response = await harness.send(remaining_ms=20_000.0, body=body)
                assert response.status == 200

        run_scenario(scenario, make_route(is_idempotent=False, timeout_ms=15_000.0))
        first = timeouts.index(0, 1)
        assert max(timeouts[:first]) > 14_000
        assert timeouts[first - 1] == DEAD_PEER_TIMEOUT_MS
        assert set(timeouts[first + 1 :]) == {DEAD_PEER_TIMEOUT_MS}
