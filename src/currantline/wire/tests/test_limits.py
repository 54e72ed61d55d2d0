"""Tests of the limits of servers and of connections in the memory account."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from currantline.exceptions import BodyTooLargeError
from currantline.memory_account import CONNECTION_BYTES, MemoryAccount
from currantline.standin.network import LoopClock, Network, run_session
from currantline.wire import (
    OWN_PORT_LIMITS,
    AccountedPort,
    BodyMemory,
    HttpClient,
    HttpConnection,
    HttpServer,
    Request,
    Response,
    TurnQueue,
    connect,
    fetch,
)

ADDRESS = "10.0.0.1:80"
HEAD = b"GET / HTTP/1.1\r\nhost: a\r\n"
LARGE_BODY = bytes(16_000_000)
MAX_BYTES = 40_000_000

Scenario = Callable[[MemoryAccount], Awaitable[None]]


def serve(scenario: Scenario) -> None:
    """Run a scenario with a server that has the limits of an own port."""

    async def handle(request: Request) -> Response:
        return Response(
            status=200, body=LARGE_BODY if "large" in request.target else b""
        )

    async def session() -> None:
        account = MemoryAccount(MAX_BYTES)
        clock = LoopClock(asyncio.get_running_loop())
        port = AccountedPort(account, "p", clock=clock, max_connections=2)
        server = HttpServer(handle, limits=OWN_PORT_LIMITS, port=port)
        await server.start(ADDRESS)
        await scenario(account)

    run_session(Network(), session())


async def send(data: bytes) -> HttpConnection:
    """Open a connection and send bytes."""
    connection = await connect(ADDRESS, max_body_bytes=1)
    connection.discard_response()
    connection.write(data)
    return connection


class TestOwnPorts:
    """Endpoints of an instance."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (HEAD + b"content-length: 2000000\r\n\r\n", 413),
            (HEAD + b"transfer-encoding: chunked\r\n\r\n1400\r\n" + bytes(5120), 413),
            (HEAD + b"x: " + bytes(9_000).replace(b"\0", b"x") + b"\r\n\r\n", 431),
            (HEAD + b"x: unfinished", 408),
            (HEAD + b"content-length: 4000\r\n\r\nunfinished", 408),
            (HEAD + b"content-length: 4\r\n\r\nbody", 200),
        ],
    )
    def test_requests(self, data: bytes, status: int) -> None:
        """Guards against requests that hold memory of an endpoint."""

        async def scenario(account: MemoryAccount) -> None:
            connection = await send(data)
            assert (await connection.read_response()).status == status
            await asyncio.sleep(80.0)
            assert connection.is_lost
            assert account.total_bytes == 0

        serve(scenario)

    def test_connections(self) -> None:
        """Guards against connections that keep others out of an endpoint."""

        async def scenario(account: MemoryAccount) -> None:
            first, second = await send(b""), await send(HEAD)
            await asyncio.sleep(0.5)
            third = await send(HEAD + b"\r\n")
            assert (await third.read_response()).status == 200
            assert (first.is_lost, second.is_lost) == (True, False)
            assert account.total_bytes == 2 * CONNECTION_BYTES

        serve(scenario)

    def test_many_fields(self) -> None:
        """Guards against parsed heads that are not counted while a body is awaited."""

        async def scenario(account: MemoryAccount) -> None:
            fields = b"a:\r\n" * 1_500
            await send(HEAD + fields + b"content-length: 9\r\n\r\nx")
            await asyncio.sleep(0.5)
            assert account.total_bytes > 1_500 * 100

        serve(scenario)


class TestSlowReaders:
    """Answers that the peer does not read, on loopback sockets."""

    def test_unread_answers(self) -> None:
        """Guards against unread answers that fill the memory of a process."""

        async def run() -> None:
            account, handled = MemoryAccount(MAX_BYTES), list[Request]()
            clock = LoopClock(asyncio.get_running_loop())
            port = AccountedPort(account, "p", clock=clock)

            async def handle(request: Request) -> Response:
                handled.append(request)
                return Response(status=200, body=LARGE_BODY)

            server = HttpServer(handle, limits=OWN_PORT_LIMITS, port=port)
            await server.start("127.0.0.1:0")
            callers = [_connect_slow(server.address) for _ in range(12)]
            while len(handled) < 12:
                await asyncio.sleep(0)
            for _ in range(100):
                await asyncio.sleep(0)
            assert 0 < len(port.writing) < 12
            assert account.total_bytes <= MAX_BYTES
            for sock in callers:
                sock.close()
            while server.connections or account.total_bytes:
                await asyncio.sleep(0)
            await server.stop()

        asyncio.run(run())


def _connect_slow(address: str) -> socket.socket:
    """Send a request from a socket that takes little of the response."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    sock.send(HEAD + b"\r\n")
    return sock


class TestFetch:
    """Answers without end to requests of an instance itself."""

    def test_several(self) -> None:
        """Guards against answers that together exceed the memory of an instance."""
        max_bytes = 2_000_000

        async def session() -> None:
            memory = BodyMemory(max_bytes)
            loop = asyncio.get_running_loop()
            await loop.create_server(_EndlessProtocol, "10.0.0.1", 80)
            request = Request(method="GET", target="/")
            calls = [fetch(ADDRESS, request, timeout_ms=5_000.0, body_memory=memory)]
            client = HttpClient(ADDRESS, body_memory=memory)
            calls.append(client.fetch(request, timeout_ms=5_000.0))
            results = asyncio.gather(*calls, return_exceptions=True)
            largest = 0
            while not results.done():
                largest = max(largest, memory.total_bytes)
                await asyncio.sleep(0.0005)
            assert max_bytes // 2 < largest <= max_bytes
            for result in await results:
                assert isinstance(result, BodyTooLargeError)
                assert "no memory" in str(result)
            assert memory.total_bytes == 0

        run_session(Network(), session())


class _EndlessProtocol(asyncio.Protocol):
    """Sends a body without end once it has received something."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n")
        self._send()

    def _send(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(bytes(65_536))
            asyncio.get_running_loop().call_later(0.001, self._send)


class TestTurnQueue:
    """Order of requests that were received already."""

    def test_others_go_first(self) -> None:
        """Guards against a turn of the event loop that serves all connections."""

        async def run() -> list[int]:
            queue, taken, turns = TurnQueue(), 0, list[int]()

            async def take() -> None:
                nonlocal taken
                await queue.take()
                taken += 1

            tasks = [asyncio.create_task(take()) for _ in range(20)]
            while taken < 20:
                before = taken
                await asyncio.sleep(0)
                turns.append(taken - before)
            await asyncio.gather(*tasks)
            return turns

        assert max(asyncio.run(run())) <= 4
