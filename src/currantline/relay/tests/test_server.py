"""Tests of connections of callers."""

import asyncio

from currantline.relay.tests.support import (
    CALLER,
    FRONT,
    Bench,
    make_request,
    make_route,
    run,
)
from currantline.routing import CallerLimits
from currantline.standin.network import run_on_host
from currantline.wire import HttpConnection, Request, connect, fetch, find_header


async def open_connection() -> HttpConnection:
    """Connect as a caller."""
    return await run_on_host(CALLER, connect(FRONT, max_body_bytes=1_000_000))


class TestRelayServer:
    """What callers see of an instance."""

    def test_kept_connection(self) -> None:
        """Guards against callers that need a connection for each request."""

        async def play(bench: Bench) -> None:
            await bench.add_worker()
            await bench.server.start(FRONT)
            connection = await open_connection()
            for name in ("a", "b"):
                connection.write_request(make_request(name))
                answer = await connection.read_response()
                assert (answer.status, answer.body) == (200, f"/{name}".encode())
                connection.start_next_cycle()

        run(play)

    def test_caller_leaves(self) -> None:
        """Guards against work for callers that have gone."""

        async def play(bench: Bench) -> None:
            worker = await bench.add_worker(work_ms=1_000.0)
            await bench.server.start(FRONT)
            connection = await open_connection()
            connection.write_request(make_request())
            await asyncio.sleep(0.1)
            connection.close()
            await asyncio.sleep(0.1)
            assert worker.cancelled == ["a"]
            assert bench.server.busy == 0

        run(play)

    def test_caller_of_an_order_leaves(self) -> None:
        """Guards against orders that are cut off while the target runs them."""

        async def play(bench: Bench) -> None:
            worker = await bench.add_worker(work_ms=300.0)
            await bench.server.start(FRONT)
            connection = await open_connection()
            connection.write_request(make_request())
            await asyncio.sleep(0.1)
            connection.close()
            await asyncio.sleep(0.5)
            assert (worker.started_ids, worker.cancelled) == (["a"], [])
            assert bench.relay.detached == 0

        run(play, make_route(is_idempotent=False))

    def test_leaving(self) -> None:
        """Guards against a stop that cuts a request, or keeps connections."""

        async def play(bench: Bench) -> None:
            await bench.add_worker(work_ms=300.0)
            await bench.server.start(FRONT)
            busy, idle = await open_connection(), await open_connection()
            busy.write_request(make_request())
            await asyncio.sleep(0.1)
            bench.server.leave()
            bench.server.close_idle()
            answer = await busy.read_response()
            assert answer.status == 200
            assert find_header(answer.headers, "connection") == "close"
            await asyncio.sleep(0.1)
            assert idle.is_lost
            assert bench.server.connections == 0

        run(play)

    def test_limits(self) -> None:
        """Guards against heads and bodies above the limits that are read."""

        async def play(bench: Bench) -> None:
            limits = CallerLimits(head_bytes=500, body_bytes=100, idle_timeout_ms=1_000)
            bench.set_route(make_route(), limits=limits)
            await bench.server.start(FRONT)
            wide = Request(method="GET", target="/" + "x" * 600)
            large = Request(method="POST", target="/", body=b"x" * 101)
            for request, status in ((wide, 431), (large, 413)):
                call = fetch(FRONT, request, timeout_ms=500.0)
                assert (await run_on_host(CALLER, call)).status == status
            connection = await open_connection()
            await asyncio.sleep(1.1)
            assert connection.is_lost

        run(play)

    def test_slow_head(self) -> None:
        """Guards against callers that hold a connection with half a request."""

        async def play(bench: Bench) -> None:
            limits = CallerLimits(head_timeout_ms=500)
            bench.set_route(make_route(), limits=limits)
            await bench.add_worker()
            await bench.server.start(FRONT)
            slow, steady = await open_connection(), await open_connection()
            slow.write(b"GET / HTTP/1.1\r\nhost: h\r\n")
            head = b"POST /a HTTP/1.1\r\nhost: h\r\nx-id: a\r\ncontent-length: 2\r\n"
            steady.write(head + b"\r\n1")
            await asyncio.sleep(0.6)
            assert slow.is_lost
            steady.write(b"2")
            await asyncio.sleep(0.2)
            assert bench.list_ran() == ["a"]

        run(play)

    def test_malformed(self) -> None:
        """Guards against bytes after a broken request that run as another one."""

        async def play(bench: Bench) -> None:
            await bench.add_worker()
            await bench.server.start(FRONT)
            connection = await open_connection()
            connection.write(b"GET / HTTP/1.1\r\nhost: h\r\nbad header\r\n\r\n")
            connection.write(b"GET /b HTTP/1.1\r\nhost: h\r\nx-id: b\r\n\r\n")
            await asyncio.sleep(0.5)
            assert bench.list_ran() == []
            assert connection.is_lost

        run(play)
