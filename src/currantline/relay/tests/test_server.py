"""Tests of the server for caller connections."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import attrs
import pytest

from currantline.exceptions import NoMemoryForBodyError
from currantline.relay import RelayServer
from currantline.relay._body_budget import BodyBudget
from currantline.relay._growing_bodies import GrowingBodies, GrowingBody
from currantline.relay.tests.support import (
    CALLER,
    LISTEN_ADDRESS,
    NAMES,
    RelayHarness,
    make_request,
    make_route,
    run_scenario,
)
from currantline.routing import CallerLimits
from currantline.standin.network import run_on_host
from currantline.telemetry import EventLog
from currantline.wire import (
    HttpConnection,
    Request,
    Response,
    connect,
    fetch,
    find_header,
)


async def open_connection() -> HttpConnection:
    """Open a connection from the host of a caller."""
    return await run_on_host(CALLER, connect(LISTEN_ADDRESS, max_body_bytes=1_000_000))


CHUNKED_HEAD = (
    b"POST /%s HTTP/1.1\r\nhost: h\r\nx-id: %s\r\ntransfer-encoding: chunked\r\n\r\n"
)


async def start_server(
    harness: RelayHarness,
    handle: Callable[[Request, float], Awaitable[Response]],
    **values: Any,
) -> RelayServer:
    """Start a server with a handler of its own."""
    server = RelayServer(
        handle,
        is_idempotent=lambda request: True,
        names=NAMES,
        read_limits=CallerLimits,
        clock=harness.clock,
        log=EventLog("i", clock=harness.clock, write=len),
        **values,
    )
    await server.start(LISTEN_ADDRESS)
    return server


MEBIBYTE = 1024 * 1024
UPLOADS = make_route(is_idempotent=False, timeout_ms=4_000.0)


def make_upload(request_id: str, size: int) -> Request:
    """Return a request with a body."""
    return attrs.evolve(make_request(request_id), method="POST", body=bytes(size))


def encode(request: Request) -> bytes:
    """Return the bytes of a request without a body."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    return "\r\n".join([*lines, "", ""]).encode()


def write_pipelined(connection: HttpConnection, *names: str) -> None:
    """Write several requests at once."""
    connection.write(b"".join(encode(make_request(name)) for name in names))


async def read_pipelined(connection: HttpConnection, count: int) -> list[str]:
    """Return the bodies of several responses, all of which must be successes."""
    bodies: list[str] = []
    for _ in range(count):
        connection.discard_response()
        response = await connection.read_response()
        assert response.status == 200
        bodies.append(response.body.decode())
    return bodies


class TestRelayServer:
    """Behaviour of caller connections."""

    def test_persistent_connection(self) -> None:
        """Guards against connections closed after each request."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker()
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            for name in ("a", "b"):
                connection.write_request(make_request(name))
                response = await connection.read_response()
                assert (response.status, response.body) == (200, f"/{name}".encode())
                connection.start_next_cycle()

        run_scenario(scenario)

    def test_caller_disconnects(self) -> None:
        """Guards against requests that continue after the caller disconnected."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(work_ms=1_000.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            connection.write_request(make_request())
            await asyncio.sleep(0.1)
            connection.close()
            await asyncio.sleep(0.1)
            assert worker.cancelled == ["a"]
            assert harness.server.active_requests == 0

        run_scenario(scenario)

    def test_caller_of_non_idempotent_disconnects(self) -> None:
        """Guards against cancelling a non-idempotent request that is running."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(work_ms=300.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            connection.write_request(make_request())
            await asyncio.sleep(0.1)
            connection.close()
            await asyncio.sleep(0.5)
            assert (worker.started_ids, worker.cancelled) == (["a"], [])
            assert harness.relay.detached_sends == 0

        run_scenario(scenario, make_route(is_idempotent=False))

    def test_draining(self) -> None:
        """Guards against a shutdown that aborts requests or leaves connections open."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(work_ms=300.0)
            await harness.server.start(LISTEN_ADDRESS)
            active_requests, idle = await open_connection(), await open_connection()
            active_requests.write_request(make_request())
            await asyncio.sleep(0.1)
            harness.server.start_draining()
            harness.server.close_idle()
            response = await active_requests.read_response()
            assert response.status == 200
            assert find_header(response.headers, "connection") == "close"
            await asyncio.sleep(0.1)
            assert idle.is_lost
            assert harness.server.connections == 0

        run_scenario(scenario)

    def test_limits(self) -> None:
        """Guards against acceptance of headers or bodies above the limits."""

        async def scenario(harness: RelayHarness) -> None:
            limits = CallerLimits(head_bytes=500, body_bytes=100, idle_timeout_ms=1_000)
            harness.set_route(make_route(), limits=limits)
            await harness.server.start(LISTEN_ADDRESS)
            wide = Request(method="GET", target="/" + "x" * 600)
            large = Request(method="POST", target="/", body=b"x" * 101)
            for request, status in ((wide, 431), (large, 413)):
                call = fetch(LISTEN_ADDRESS, request, timeout_ms=500.0)
                assert (await run_on_host(CALLER, call)).status == status
            connection = await open_connection()
            await asyncio.sleep(1.1)
            assert connection.is_lost

        run_scenario(scenario)

    def test_slow_head(self) -> None:
        """Guards against connections held open by incomplete requests."""

        async def scenario(harness: RelayHarness) -> None:
            limits = CallerLimits(head_timeout_ms=500)
            harness.set_route(make_route(), limits=limits)
            await harness.add_worker()
            await harness.server.start(LISTEN_ADDRESS)
            slow, steady = await open_connection(), await open_connection()
            slow.write(b"GET / HTTP/1.1\r\nhost: h\r\n")
            head = b"POST /a HTTP/1.1\r\nhost: h\r\nx-id: a\r\ncontent-length: 2\r\n"
            steady.write(head + b"\r\n1")
            await asyncio.sleep(0.6)
            assert slow.is_lost
            steady.write(b"2")
            await asyncio.sleep(0.2)
            assert harness.list_ran() == ["a"]

        run_scenario(scenario)

    def test_malformed(self) -> None:
        """Guards against bytes after a malformed request executed as another one."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker()
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            connection.write(b"GET / HTTP/1.1\r\nhost: h\r\nbad header\r\n\r\n")
            connection.write(b"GET /b HTTP/1.1\r\nhost: h\r\nx-id: b\r\n\r\n")
            await asyncio.sleep(0.5)
            assert harness.list_ran() == []
            assert connection.is_lost

        run_scenario(scenario)


class TestPipelining:
    """Requests that a caller sends before the response to an earlier one."""

    def test_concurrent(self) -> None:
        """Guards against requests that wait for the response to an earlier one."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=4, work_ms=100.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            started = harness.clock.read()
            write_pipelined(connection, "a", "b", "c")
            assert await read_pipelined(connection, 3) == ["/a", "/b", "/c"]
            assert harness.clock.read() - started < 150.0

        run_scenario(scenario)

    def test_order(self) -> None:
        """Guards against a response that overtakes that of an earlier request."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(slots=4)
            await harness.server.start(LISTEN_ADDRESS)

            def slow_down(request_id: str) -> None:
                worker.work_ms = {"a": 300.0, "b": 20.0, "c": 100.0}[request_id]

            worker.on_start = slow_down
            connection = await open_connection()
            write_pipelined(connection, "a", "b", "c")
            assert await read_pipelined(connection, 3) == ["/a", "/b", "/c"]

        run_scenario(scenario, make_route(objective_ms=2_000.0))

    def test_failed_request(self) -> None:
        """Guards against a refusal that spoils the requests behind it."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=4)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            expired = make_request("a", remaining_ms=1.0)
            connection.discard_response()
            connection.write(encode(expired) + encode(make_request("b")))
            first = await connection.read_response()
            connection.discard_response()
            second = await connection.read_response()
            assert (first.status, second.status) == (503, 200)
            assert harness.list_ran() == ["b"]

        run_scenario(scenario)

    def test_limit(self) -> None:
        """Guards against a connection that starts any number of requests."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=100, work_ms=300.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            names = [f"n{number}" for number in range(40)]
            write_pipelined(connection, *names)
            await asyncio.sleep(0.2)
            assert harness.server.active_requests <= 17
            assert await read_pipelined(connection, 40) == [f"/{n}" for n in names]
            assert harness.server.active_requests == 0

        run_scenario(scenario)

    def test_caller_disconnects(self) -> None:
        """Guards against requests that continue after their caller has left."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(slots=4, work_ms=1_000.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            write_pipelined(connection, "a", "b")
            await asyncio.sleep(0.1)
            connection.close()
            await asyncio.sleep(0.1)
            assert sorted(worker.cancelled) == ["a", "b"]
            assert harness.server.active_requests == 0

        run_scenario(scenario)

    def test_draining(self) -> None:
        """Guards against a shutdown that closes before the last response.

        A request that arrives after the closing response counts as not read. Its
        caller sends it again, so it must not run.
        """

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=4, work_ms=300.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            connection.discard_response()
            write_pipelined(connection, "a", "b")
            await asyncio.sleep(0.1)
            harness.server.start_draining()
            harness.server.close_idle()
            first = await connection.read_response()
            assert find_header(first.headers, "connection") is None
            connection.discard_response()
            second = await connection.read_response()
            assert find_header(second.headers, "connection") == "close"
            connection.write(encode(make_request("late")))
            await asyncio.sleep(0.5)
            assert harness.list_ran() == ["a", "b"]
            assert harness.server.connections == 0

        run_scenario(scenario)

    def test_non_idempotent(self) -> None:
        """Guards against a request that runs behind a response that closes.

        Its caller would send it again, and it would run twice.
        """

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=4, work_ms=300.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            write_pipelined(connection, "a", "b")
            await asyncio.sleep(0.1)
            harness.server.start_draining()
            await asyncio.sleep(0.5)
            assert harness.list_ran() == ["a"]

        run_scenario(scenario, make_route(is_idempotent=False))

    def test_malformed(self) -> None:
        """Guards against malformed bytes that spoil the requests before them."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=4)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            connection.discard_response()
            connection.write(encode(make_request("a")) + b"nonsense\r\n\r\n")
            first = await connection.read_response()
            connection.discard_response()
            second = await connection.read_response()
            assert (first.status, second.status) == (200, 400)

        run_scenario(scenario)

    def test_unexpected_error(self) -> None:
        """Guards against a fault in one request that ends those behind it."""

        async def handle(request: Request, arrived_ms: float) -> Response:
            await asyncio.sleep(0.01)
            if request.target == "/a":
                raise ZeroDivisionError
            return Response(status=200)

        async def scenario(harness: RelayHarness) -> None:
            await start_server(harness, handle)
            connection = await open_connection()
            write_pipelined(connection, "a", "b")
            connection.discard_response()
            assert (await connection.read_response()).status == 502
            connection.discard_response()
            assert (await connection.read_response()).status == 200

        run_scenario(scenario)

    @pytest.mark.parametrize(
        ("header", "status"), [(("x\r\n", "1"), 502), (("x", "\u20ac"), 502)]
    )
    def test_unwritable_response(self, header: tuple[str, str], status: int) -> None:
        """Guards against a response that cannot be written and leaves no answer."""

        async def handle(request: Request, arrived_ms: float) -> Response:
            headers = (header,) if request.target == "/a" else ()
            return Response(status=200, headers=headers)

        async def scenario(harness: RelayHarness) -> None:
            await start_server(harness, handle)
            connection = await open_connection()
            write_pipelined(connection, "a", "b")
            for expected in (status, 200):
                connection.discard_response()
                async with asyncio.timeout(1.0):
                    assert (await connection.read_response()).status == expected

        run_scenario(scenario)

    def test_unexpected_error_in_writing(self) -> None:
        """Guards against a fault after which a connection stays open and silent."""

        async def handle(request: Request, arrived_ms: float) -> Response:
            return Response(status=200, headers=((None, "1"),))  # type: ignore[arg-type]

        async def scenario(harness: RelayHarness) -> None:
            server = await start_server(harness, handle)
            connection = await open_connection()
            write_pipelined(connection, "a")
            await asyncio.sleep(0.5)
            assert connection.is_lost
            assert server.active_requests == 0

        run_scenario(scenario)


class TestBodies:
    """Request bodies, which may be large."""

    def test_memory(self) -> None:
        """Guards against simultaneous uploads that exceed the memory of an instance."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=200, work_ms=100.0)
            await harness.server.start(LISTEN_ADDRESS)
            uploads = [make_upload(f"u{number}", MEBIBYTE) for number in range(100)]
            calls = [
                fetch(LISTEN_ADDRESS, upload, timeout_ms=3_000.0) for upload in uploads
            ]
            responses = asyncio.gather(*(run_on_host(CALLER, call) for call in calls))
            held = 0
            while not responses.done():
                held = max(held, harness.server.held_body_bytes)
                await asyncio.sleep(0.01)
            assert [response.status for response in await responses] == [200] * 100
            assert 20 * MEBIBYTE < held <= 40 * MEBIBYTE
            assert harness.server.held_body_bytes == 0
            assert len(harness.list_ran()) == 100

        run_scenario(scenario, UPLOADS)

    def test_no_memory(self) -> None:
        """Guards against uploads that wait for memory until their callers give up."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=200, work_ms=2_000.0)
            await harness.server.start(LISTEN_ADDRESS)
            uploads = [make_upload(f"u{n}", 700 * 1024) for n in range(80)]
            responses = await asyncio.gather(
                *(
                    run_on_host(CALLER, fetch(LISTEN_ADDRESS, each, timeout_ms=5_000.0))
                    for each in uploads
                )
            )
            assert sorted(each.status for each in responses) == [200] * 58 + [503] * 22
            refusal = next(each for each in responses if each.status == 503)
            assert find_header(refusal.headers, "retry-after") == "1.000"
            assert len(harness.list_ran()) == 58

        run_scenario(scenario, UPLOADS)

    def test_caller_stops(self) -> None:
        """Guards against memory that stays reserved after a caller left midway."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker()
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            head = b"POST /a HTTP/1.1\r\nhost: h\r\nx-id: a\r\ncontent-length: 9000\r\n"
            connection.write(head + b"\r\n" + bytes(1_000))
            await asyncio.sleep(0.1)
            assert harness.server.held_body_bytes == 9_000
            connection.close()
            await asyncio.sleep(0.1)
            assert harness.server.held_body_bytes == 0
            assert harness.server.active_requests == 0
            assert harness.list_ran() == []

        run_scenario(scenario, UPLOADS)

    def test_slow_body(self) -> None:
        """Guards against a target that is given the time that the body took."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker()
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            head = b"POST /a HTTP/1.1\r\nhost: h\r\nx-id: a\r\nx-left: 2000\r\n"
            connection.write(head + b"content-length: 2\r\n\r\n1")
            await asyncio.sleep(1.0)
            connection.write(b"2")
            await asyncio.sleep(0.2)
            assert worker.time_left_ms[0] < 1_010.0

        run_scenario(scenario, UPLOADS)

    def test_continue_behind_request(self) -> None:
        """Guards against an interim response before that to an earlier request."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=4, work_ms=200.0)
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            head = b"POST /b HTTP/1.1\r\nhost: h\r\nx-id: b\r\nexpect: 100-continue\r\n"
            connection.discard_response()
            connection.write(encode(make_request("a")))
            connection.write(head + b"content-length: 2\r\n\r\n")
            first = await connection.read_response()
            connection.write(b"12")
            connection.discard_response()
            second = await connection.read_response()
            assert (first.body, second.body) == (b"/a", b"/b")

        run_scenario(scenario)


class TestBodiesInChunks:
    """Request bodies whose size is not known before their end."""

    def test_memory(self) -> None:
        """Guards against uploads in chunks that exceed the memory of an instance.

        The largest bodies are completed, the others are refused before they run.
        """

        async def upload(name: str, chunks: int) -> Response:
            connection = await open_connection()
            connection.discard_response()
            connection.write(CHUNKED_HEAD % (name.encode(), name.encode()))
            for _ in range(chunks):
                connection.write(b"100000\r\n" + bytes(MEBIBYTE) + b"\r\n")
                await asyncio.sleep(0.05)
            connection.write(b"0\r\n\r\n")
            return await connection.read_response()

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(slots=200, work_ms=100.0)
            await harness.server.start(LISTEN_ADDRESS)
            uploads = asyncio.gather(*(upload(f"u{n}", 3) for n in range(30)))
            held = 0
            while not uploads.done():
                held = max(held, harness.server.held_body_bytes)
                await asyncio.sleep(0.01)
            statuses = [response.status for response in await uploads]
            assert statuses.count(200) >= 10
            assert set(statuses) == {200, 503}
            assert 30 * MEBIBYTE < held <= 40 * MEBIBYTE
            assert harness.server.held_body_bytes == 0
            assert len(harness.list_ran()) == statuses.count(200)

        run_scenario(scenario, UPLOADS)

    def test_refused_at_its_end(self) -> None:
        """Guards against a refusal that is written as the answer to a later request.

        A body is refused for another one while its last bytes have come already.
        """
        handled: list[str] = []

        async def handle(request: Request, arrived_ms: float) -> Response:
            handled.append(request.target)
            return Response(status=200)

        async def scenario(harness: RelayHarness) -> None:
            server = await start_server(
                harness, handle, max_body_bytes_held=3 * MEBIBYTE
            )
            small, large = await open_connection(), await open_connection()
            small.write(CHUNKED_HEAD % (b"small", b"s") + b"2\r\nxy\r\n")
            large.write(CHUNKED_HEAD % (b"large", b"l"))
            await asyncio.sleep(0.1)
            large.write(b"280000\r\n" + bytes(0x280000) + b"\r\n0\r\n\r\n")
            small.write(b"0\r\n\r\n")
            for connection, status in ((large, 200), (small, 503)):
                connection.discard_response()
                assert (await connection.read_response()).status == status
            await asyncio.sleep(0.5)
            assert handled == ["/large"]
            assert small.is_lost
            assert not small.has_unread
            assert server.held_body_bytes == 0

        run_scenario(scenario, UPLOADS)

    def test_caller_stops(self) -> None:
        """Guards against memory that stays reserved after a caller left midway."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker()
            await harness.server.start(LISTEN_ADDRESS)
            connection = await open_connection()
            chunk = b"300000\r\n" + bytes(3 * MEBIBYTE) + b"\r\n"
            connection.write(CHUNKED_HEAD % (b"a", b"a") + chunk)
            await asyncio.sleep(0.1)
            assert harness.server.held_body_bytes == 3 * MEBIBYTE
            connection.close()
            await asyncio.sleep(0.1)
            assert harness.server.held_body_bytes == 0
            assert harness.list_ran() == []

        run_scenario(scenario, UPLOADS)


class TestGrowingBodies:
    """Reservations that grow with a body."""

    def test_smallest_is_refused(self) -> None:
        """Guards against bodies that fill the memory so that none is completed."""
        refused: list[int] = []
        budget = BodyBudget(10)
        bodies = GrowingBodies(budget)
        growing = [
            GrowingBody(partial(lambda n, _: refused.append(n), n), 0) for n in range(3)
        ]
        for body, size in zip(growing, (4, 1, 3), strict=True):
            bodies.start(body)
            bodies.add(body, size)
        bodies.add(growing[0], 4)
        assert (refused, budget.held_bytes) == ([1, 2], 8)
        with pytest.raises(NoMemoryForBodyError):
            bodies.add(growing[1], 1)
        bodies.end(growing[0])
        budget.release(growing[0].reserved_bytes)
        assert budget.held_bytes == 0

    def test_larger_than_budget(self) -> None:
        """Guards against a body that can never be read."""
        budget = BodyBudget(10)
        bodies, body = GrowingBodies(budget), GrowingBody(print, 0)
        bodies.start(body)
        for _ in range(5):
            bodies.add(body, 4)
        assert budget.held_bytes == 10

    def test_first_reservation(self) -> None:
        """Guards against memory that a short body keeps reserved."""
        budget = BodyBudget(10)
        bodies, body = GrowingBodies(budget), GrowingBody(print, 6)
        assert budget.grow(6)
        bodies.start(body)
        bodies.add(body, 2)
        bodies.end(body)
        assert (body.reserved_bytes, budget.held_bytes) == (2, 2)


class TestBodyBudget:
    """Reservations of memory."""

    def test_order(self) -> None:
        """Guards against a large body that waits while smaller ones overtake it."""

        async def scenario(harness: RelayHarness) -> None:
            budget = BodyBudget(10)
            first = await budget.reserve(6)
            large = asyncio.ensure_future(budget.reserve(8))
            small = asyncio.ensure_future(budget.reserve(1))
            await asyncio.sleep(0)
            assert not small.done()
            budget.release(first)
            assert (await large, await small) == (8, 1)

        run_scenario(scenario)

    def test_cancelled(self) -> None:
        """Guards against memory lost to a caller that left while it waited."""

        async def scenario(harness: RelayHarness) -> None:
            budget = BodyBudget(10)
            first = await budget.reserve(10)
            left = asyncio.ensure_future(budget.reserve(10))
            granted = asyncio.ensure_future(budget.reserve(5))
            await asyncio.sleep(0)
            left.cancel()
            await asyncio.sleep(0)
            budget.release(first)
            granted.cancel()
            await asyncio.sleep(0)
            assert budget.held_bytes == 0

        run_scenario(scenario)

    def test_larger_than_budget(self) -> None:
        """Guards against a body that can never be read."""

        async def scenario(harness: RelayHarness) -> None:
            budget = BodyBudget(10)
            assert await budget.reserve(64) == 10

        run_scenario(scenario)
