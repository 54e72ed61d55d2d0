"""Tests of the server for caller connections."""

import asyncio

from currantline.relay.tests.support import (
    CALLER,
    LISTEN_ADDRESS,
    RelayHarness,
    make_request,
    make_route,
    run_scenario,
)
from currantline.routing import CallerLimits
from currantline.standin.network import run_on_host
from currantline.wire import HttpConnection, Request, connect, fetch, find_header


async def open_connection() -> HttpConnection:
    """Open a connection from the host of a caller."""
    return await run_on_host(CALLER, connect(LISTEN_ADDRESS, max_body_bytes=1_000_000))


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
