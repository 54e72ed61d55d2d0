"""Tests of caller connections that hold memory."""

import asyncio
import gc
from typing import Any

import attrs

from currantline.memory_account import MemoryAccount
from currantline.relay._body_budget import BodyBudget
from currantline.relay.tests.support import (
    RelayHarness,
    make_request,
    run_scenario,
)
from currantline.relay.tests.test_server import (
    MEBIBYTE,
    UPLOADS,
    encode,
    make_upload,
    open_connection,
    start_server,
    write_pipelined,
)
from currantline.wire import AccountedPort, HttpConnection, Request, Response

MAX_BYTES = 4_000_000
BODY_HEAD = b"POST /%s HTTP/1.1\r\nhost: h\r\nx-id: %s\r\ncontent-length: %d\r\n\r\n"


async def start_accounted(
    harness: RelayHarness, max_bytes: int = MAX_BYTES, **values: Any
) -> tuple[MemoryAccount, list[str]]:
    """Start a server whose handler waits, and return its account and requests."""
    handled: list[str] = []

    async def handle(request: Request, arrived_ms: float) -> Response:
        handled.append(request.target)
        await asyncio.sleep(2.0 if request.target.startswith("/slow") else 0.0)
        return Response(status=200, body=bytes(len(handled)))

    account = MemoryAccount(max_bytes)
    port = AccountedPort(account, "callers", clock=harness.clock)
    await start_server(harness, handle, port=port, **values)
    return account, handled


async def read_status(connection: HttpConnection) -> int:
    """Return the status of the next response."""
    connection.discard_response()
    async with asyncio.timeout(10.0):
        return (await connection.read_response()).status


def make_wide(name: str, fields: int) -> bytes:
    """Return a request with many short fields."""
    wide = tuple((f"{number:x}", "") for number in range(fields))
    request = make_request(name)
    return encode(attrs.evolve(request, headers=(*request.headers, *wide)))


class TestStalledBodies:
    """Bodies that stop just before their end."""

    def test_room_for_others(self) -> None:
        """Guards against stopped bodies that keep others out until their time-out."""

        async def scenario(harness: RelayHarness) -> None:
            _, handled = await start_accounted(
                harness, 40 * MEBIBYTE, max_body_bytes_held=3 * MEBIBYTE
            )
            stopped = [await open_connection() for _ in range(3)]
            for connection in stopped:
                head = BODY_HEAD % (b"stopped", b"s", MEBIBYTE)
                connection.write(head + bytes(MEBIBYTE - 10))
            await asyncio.sleep(0.3)
            stopped[1].write(bytes(5))
            other = await open_connection()
            other.write_request(make_upload("other", MEBIBYTE))
            assert (await other.read_response()).status == 200
            assert await read_status(stopped[0]) == 503
            assert handled == ["/other"]

        run_scenario(scenario, UPLOADS)

    def test_steady(self) -> None:
        """Guards against a body that is refused although it makes progress."""

        async def scenario(harness: RelayHarness) -> None:
            await start_accounted(harness, 40 * MEBIBYTE, max_body_bytes_held=MEBIBYTE)
            steady, other = await open_connection(), await open_connection()
            steady.write(BODY_HEAD % (b"steady", b"s", MEBIBYTE))
            await asyncio.sleep(0.1)
            other.write_request(make_upload("other", MEBIBYTE))
            for _ in range(8):
                steady.write(bytes(MEBIBYTE // 8))
                await asyncio.sleep(0.3)
            assert await read_status(steady) == 200
            assert (await other.read_response()).status == 503

        run_scenario(scenario, UPLOADS)


class TestHeads:
    """Requests with many short fields."""

    def test_many(self) -> None:
        """Guards against parsed heads that exceed the memory of an instance."""

        async def scenario(harness: RelayHarness) -> None:
            account, handled = await start_accounted(harness)
            wide = [await open_connection() for _ in range(20)]
            for connection in wide:
                connection.write(make_wide("slow", 3_000))
            await asyncio.sleep(0.2)
            assert account.total_bytes <= MAX_BYTES
            assert 3 <= len(handled) < 20
            small = await open_connection()
            small.write_request(make_request("small"))
            assert (await small.read_response()).status == 200
            answered = [c for c in wide if c.has_unread]
            assert len(answered) == 20 - handled.count("/slow")
            assert [await read_status(c) for c in answered] == [503] * len(answered)

        run_scenario(scenario)

    def test_single(self) -> None:
        """Guards against a legal request that finds no room in an idle instance."""

        async def scenario(harness: RelayHarness) -> None:
            await start_accounted(harness)
            connection = await open_connection()
            connection.write(make_wide("wide", 2_500))
            assert await read_status(connection) == 200

        run_scenario(scenario)

    def test_caller_leaves(self) -> None:
        """Guards against requests that are counted, or kept, after their end."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(work_ms=1_000.0)
            account = MemoryAccount(MAX_BYTES)
            port = AccountedPort(account, "callers", clock=harness.clock)
            await start_server(harness, harness.relay.handle, port=port)
            connection = await open_connection()
            write_pipelined(connection, "a", "b")
            await asyncio.sleep(0.1)
            assert account.total_bytes > 0
            connection.close()
            await asyncio.sleep(0.5)
            # The in-memory network keeps handles in cycles of its own.
            gc.collect()
            assert account.total_bytes == 0

        run_scenario(scenario)


class TestTrailers:
    """Fields behind a body in chunks."""

    def test_without_end(self) -> None:
        """Guards against trailers that are parsed whatever their size is."""

        async def scenario(harness: RelayHarness) -> None:
            _, handled = await start_accounted(harness)
            connection = await open_connection()
            head = b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            trailers = b"".join(b"%x: y\r\n" % number for number in range(9_000))
            connection.write(head + b"0\r\n" + trailers + b"\r\n")
            assert await read_status(connection) == 431
            assert handled == []

        run_scenario(scenario)


class TestBodyBudget:
    """Reservations of memory."""

    def test_cancelled_at_release(self) -> None:
        """Guards against an error when a wait ends as room becomes free."""

        async def scenario(harness: RelayHarness) -> None:
            budget = BodyBudget(10)
            first = await budget.reserve(10)
            waiting = asyncio.ensure_future(budget.reserve(10))
            await asyncio.sleep(0)
            waiting.cancel()
            budget.release(first)
            await asyncio.gather(waiting, return_exceptions=True)
            assert waiting.cancelled()
            assert budget.held_bytes == 0

        run_scenario(scenario)
