"""Tests of HTTP connections and servers."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

import attrs
import h11
import pytest

from currantline.exceptions import BodyTooLargeError, ProtocolError, WireError
from currantline.memory import LARGE_BLOCK_BYTES
from currantline.standin.network import Network, run_session
from currantline.wire import (
    MAX_HEALTH_CHECK_BYTES,
    BodyMemory,
    HttpConnection,
    HttpServer,
    Request,
    Response,
    connect,
)
from currantline.wire._body_buffer import BodyBuffer
from currantline.wire._connection import MAX_HEAD_BYTES

T = TypeVar("T")

REQUEST = Request(method="GET", target="/", headers=(("host", "a"),))
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"2\r\nxy\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"
PIPELINED_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

# Other tasks get a turn at least once for so many parsed events.
MAX_EVENTS_PER_TURN = 64


class FakeTransport(asyncio.Transport):
    """Transport that collects what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.writes = 0
        self.is_closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Collect the bytes."""
        self.written += bytes(data)
        self.writes += 1

    def get_write_buffer_size(self) -> int:
        """Return 0, since nothing is buffered."""
        return 0

    def is_closing(self) -> bool:
        """Return False."""
        return False

    def pause_reading(self) -> None:
        """Do nothing, since bytes are received on request only."""

    def resume_reading(self) -> None:
        """Do nothing, since bytes are received on request only."""

    def write_eof(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Record that the connection is closed."""
        self.is_closed = True

    def close(self) -> None:
        """Record that the connection is closed."""
        self.is_closed = True


def open_client(**values: Any) -> HttpConnection:
    """Return a client connection that has sent a request."""
    connection = HttpConnection(h11.CLIENT, max_body_bytes=1_000_000, **values)
    connection.connection_made(FakeTransport())
    connection.write_request(REQUEST)
    return connection


async def count_turns(reading: Awaitable[T]) -> tuple[T, int]:
    """Return a result and how many turns another task had until then."""
    turns = 0

    async def take_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    other = asyncio.create_task(take_turns())
    try:
        return await reading, turns
    finally:
        other.cancel()


class TestTurns:
    """A peer that sends many small parts must not hold up other tasks."""

    def test_small_chunks(self) -> None:
        """Guards against a body in small chunks that blocks the event loop."""
        chunks = 20_000

        async def read() -> tuple[Response, int]:
            connection = open_client()
            connection.data_received(CHUNKED_HEAD + SMALL_CHUNK * chunks + LAST_CHUNK)
            return await count_turns(connection.read_response())

        response, turns = asyncio.run(read())
        assert response.body == b"xy" * chunks
        assert turns >= chunks // MAX_EVENTS_PER_TURN

    @pytest.mark.parametrize("is_endless", [False, True])
    def test_interim_responses(self, is_endless: bool) -> None:
        """Guards against interim responses without end that block the event loop."""
        interim_responses = MAX_EVENTS_PER_TURN + is_endless
        data = CONTINUE * interim_responses + OTHER_RESPONSE

        async def read() -> None:
            connection = open_client()
            connection.data_received(data)
            if is_endless:
                with pytest.raises(ProtocolError, match="interim"):
                    await connection.read_response()
                assert connection.has_unread
            else:
                assert (await connection.read_response()).body == b"x"

        asyncio.run(read())

    def test_unsolicited_responses(self) -> None:
        """Guards against discarded responses that block the event loop."""
        responses = 2_000

        async def discard_all(connection: HttpConnection) -> None:
            for _ in range(responses):
                await connection.read_response()
                connection.discard_response()

        async def read() -> int:
            connection = open_client()
            connection.data_received(OTHER_RESPONSE * responses)
            return (await count_turns(discard_all(connection)))[1]

        assert asyncio.run(read()) >= responses // MAX_EVENTS_PER_TURN

    def test_pipelined_requests(self) -> None:
        """Guards against requests to a server that are all handled in one turn."""
        requests = 500

        async def answer(request: Request) -> Response:
            return Response(status=200)

        async def serve() -> int:
            transport = FakeTransport()
            connection = HttpServer(answer)._create_connection()
            connection.connection_made(transport)
            connection.data_received(PIPELINED_REQUEST * requests)

            async def wait_for_responses() -> None:
                while transport.writes < requests:
                    await asyncio.sleep(0)

            return (await count_turns(wait_for_responses()))[1]

        assert asyncio.run(serve()) >= requests


# What a peer sends once, and then without end.
ENDLESS = {
    "junk": (b"", b"x"),
    "head": (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
    "interim": (b"", b"HTTP/1.1 102 X\r\nx: " + b"x" * 5_000 + b"\r\n\r\n"),
    "chunks": (CHUNKED_HEAD, SMALL_CHUNK),
    "chunk-size": (CHUNKED_HEAD + b"1;", b"x"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"x: y\r\n"),
    "length": (b"HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n", b"x"),
}


class TestEndlessResponses:
    """Peers that send bytes until the connection is closed."""

    @pytest.mark.parametrize("form", ENDLESS)
    def test_limited(self, form: str) -> None:
        """Guards against a short response that is read without a limit."""
        start, filler = ENDLESS[form]

        async def read() -> None:
            memory = BodyMemory(1_000_000)
            connection = open_client(body_memory=memory)
            connection.data_received(start)
            task = asyncio.ensure_future(
                connection.read_response(max_bytes=MAX_HEALTH_CHECK_BYTES)
            )
            received = len(start)
            while not task.done():
                assert memory.total_bytes == 0
                assert received <= MAX_HEALTH_CHECK_BYTES + 2 * MAX_HEAD_BYTES
                connection.data_received(filler * (4_096 // len(filler) or 1))
                received += 4_096
                await asyncio.sleep(0)
            assert isinstance(task.exception(), WireError)

        asyncio.run(read())

    def test_largest(self) -> None:
        """Guards against a limit that refuses a response of its size."""
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 16000\r\n\r\n"

        async def read() -> Response:
            connection = open_client()
            connection.data_received(head + bytes(16_000))
            return await connection.read_response(max_bytes=len(head) + 16_000)

        assert len(asyncio.run(read()).body) == 16_000

    def test_idle(self) -> None:
        """Guards against bytes that are kept of a connection that nobody reads."""

        async def receive() -> None:
            transport = FakeTransport()
            connection = HttpConnection(h11.CLIENT, max_body_bytes=1)
            connection.connection_made(transport)
            connection.is_silence_expected = True
            connection.data_received(b"x")
            assert not connection.has_unread
            assert transport.is_closed

        asyncio.run(receive())


class TestConnect:
    """Opening connections."""

    @pytest.mark.parametrize(
        "address", ["", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:-1", "127.0.0.1:65536"]
    )
    def test_invalid_address(self, address: str) -> None:
        """Guards against an address that ends the task which connects to it."""
        with pytest.raises(WireError):
            asyncio.run(connect(address, max_body_bytes=1))


class TestBodyBuffer:
    """Memory of a body that arrives in parts."""

    @pytest.mark.parametrize("part", [b"x", b"xyz" * 50_000])
    def test_segments(self, part: bytes) -> None:
        """Guards against memory that stays with the process after a body has gone.

        Segments in blocks that do not return to the system, and complete bodies, took
        an instance over its memory together.
        """
        body = BodyBuffer()
        count = 2_000_000 // len(part)
        for _ in range(count):
            body.append(part)
        assert min(len(segment) for segment in body._segments) >= LARGE_BLOCK_BYTES
        assert body.size == len(part) * count
        assert body.join() == part * count


class TestLargeRequests:
    """Requests that a socket does not take at once."""

    def test_pieces(self) -> None:
        """Guards against copies of large bodies, and against spoiled ones."""
        body = bytes(range(256)) * 8_000
        connection = HttpConnection(h11.CLIENT, max_body_bytes=1_000)
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.pause_writing()
        connection.write_request(attrs.evolve(REQUEST, method="POST", body=body))
        assert transport.writes == 0
        while not transport.written.endswith(body):
            written = len(transport.written)
            connection.resume_writing()
            connection.pause_writing()
            assert len(transport.written) > written
        assert transport.written.count(b"content-length: 2048000\r\n") == 1

    def test_early_response(self) -> None:
        """Guards against a connection in use again before its request is written.

        The target would take the next request for the rest of the body.
        """
        connection = HttpConnection(h11.CLIENT, max_body_bytes=1_000)
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.pause_writing()
        body = bytes(1_000_000)
        connection.write_request(attrs.evolve(REQUEST, method="POST", body=body))
        connection.data_received(OTHER_RESPONSE)
        asyncio.run(connection.read_response())
        connection.resume_writing()
        assert not connection.is_reusable

    def test_closed(self) -> None:
        """Guards against bytes written to a connection that is given up."""
        connection = HttpConnection(h11.CLIENT, max_body_bytes=1_000)
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.pause_writing()
        body = bytes(1_000_000)
        connection.write_request(attrs.evolve(REQUEST, method="POST", body=body))
        connection.abort()
        connection.resume_writing()
        assert transport.writes == 0


class TestClose:
    """Closing while the peer still sends."""

    @pytest.mark.parametrize(("sent_s", "closed_s"), [(0, 1), (5, 6), (100, 30)])
    def test_after_eof(self, sent_s: int, closed_s: int) -> None:
        """Guards against a reset that discards a refusal of a long upload.

        A caller may read the response only after it has sent its whole body.
        """

        async def refuse() -> None:
            connection = HttpConnection(h11.SERVER, max_body_bytes=1_000)
            transport = FakeTransport()
            connection.connection_made(transport)
            connection.close_after_eof()
            for second in range(closed_s):
                await asyncio.sleep(0.5)
                if second < sent_s:
                    connection.data_received(b"x")
                assert not transport.is_closed
                await asyncio.sleep(0.5)
            await asyncio.sleep(0.1)
            assert transport.is_closed

        run_session(Network(), refuse())


class TestInterruption:
    """Limits that end a body before it is complete."""

    @pytest.mark.parametrize("interrupts", [True, False])
    def test_body_without_end(self, interrupts: bool) -> None:
        """Guards against a body that is read on because its bytes never run out."""

        async def read(connection: HttpConnection) -> Response:
            return await connection.read_response()

        async def flood() -> None:
            connection = open_client()
            connection.data_received(CHUNKED_HEAD)
            reading = asyncio.create_task(read(connection))
            while not reading.done():
                connection.data_received(SMALL_CHUNK * 100)
                if interrupts:
                    connection.interrupt(BodyTooLargeError("the body is too long"))
                await asyncio.sleep(0)
            await reading

        with pytest.raises(WireError):
            asyncio.run(flood())

    def test_time_limit(self) -> None:
        """Guards against a time limit that starts only once the bytes run out."""
        waits = 0

        def count_wait() -> None:
            nonlocal waits
            waits += 1

        async def read() -> None:
            connection = open_client()
            connection.before_wait = count_wait
            connection.data_received(CHUNKED_HEAD + SMALL_CHUNK * 1_000 + LAST_CHUNK)
            await connection.read_response()

        asyncio.run(read())
        assert waits
