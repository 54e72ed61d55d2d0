"""Tests of the in-memory network."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from currantline.exceptions import WireError
from currantline.standin.network import (
    PROCESS,
    LoopClock,
    Network,
    run_on_host,
    run_session,
)
from currantline.wire import HttpServer, Request, Response, fetch

SERVER = "10.0.0.1"
ADDRESS = f"{SERVER}:80"
REQUEST = Request(method="GET", target="/")


async def respond_slowly(_: Request) -> Response:
    """Respond after 100 ms."""
    await asyncio.sleep(0.1)
    return Response(status=200, body=b"x" * 300_000)


def run(session: Callable[[Network], Coroutine[Any, Any, Any]]) -> Any:
    """Run a session with a server on the in-memory network."""
    network = Network(latency_ms=1.0)

    async def prepare() -> Any:
        await run_on_host(SERVER, HttpServer(respond_slowly).start(ADDRESS))
        return await run_on_host("10.0.0.2", session(network))

    return run_session(network, prepare())


class TestNetwork:
    """Virtual time and fault injection."""

    def test_virtual_time(self) -> None:
        """Guards against sessions that wait for real time or lose bytes."""

        async def session(_: Network) -> tuple[int, float]:
            clock = LoopClock(asyncio.get_running_loop())
            response = await fetch(ADDRESS, REQUEST, timeout_ms=1000)
            return len(response.body), clock.read()

        size, now = run(session)
        assert size == 300_000
        # Two latencies to connect, two for the exchange, and 100 ms of execution.
        assert now == pytest.approx(104.0)

    def test_partition_and_heal(self) -> None:
        """Guards against a partition that loses bytes that TCP would retransmit."""

        async def session(network: Network) -> int:
            pending = asyncio.create_task(fetch(ADDRESS, REQUEST, timeout_ms=5000))
            await asyncio.sleep(0.05)
            network.partition([SERVER], ["10.0.0.2"])
            await asyncio.sleep(1.0)
            assert not pending.done()
            with pytest.raises(WireError):
                await fetch(ADDRESS, REQUEST, timeout_ms=300)
            network.heal()
            return (await pending).status

        assert run(session) == 200

    def test_freeze_and_thaw(self) -> None:
        """Guards against a frozen process that continues to run."""

        async def session(network: Network) -> float:
            pending = asyncio.create_task(fetch(ADDRESS, REQUEST, timeout_ms=5000))
            await asyncio.sleep(0.05)
            network.freeze(SERVER)
            await asyncio.sleep(1.0)
            assert not pending.done()
            network.thaw(SERVER)
            await pending
            return asyncio.get_running_loop().time()

        assert run(session) > 1.05

    def test_cancelled_while_frozen(self) -> None:
        """Guards against a cancelled timer that still fires after a thaw."""
        ran: list[str] = []

        async def process() -> None:
            loop = asyncio.get_running_loop()
            late = loop.call_later(0.06, ran.append, "late")
            loop.call_later(0.05, late.cancel)

        async def session(network: Network) -> None:
            await run_on_host(SERVER, process(), process="p")
            network.freeze("p")
            await asyncio.sleep(0.1)
            network.thaw("p")
            await asyncio.sleep(0.1)

        run(session)
        assert ran == []

    def test_end_after_kill(self) -> None:
        """Guards against a session that never ends after a process was killed."""

        async def session(network: Network) -> None:
            task = run_on_host("10.0.0.3", asyncio.sleep(0.01), process="p")
            network.kill("p")
            await asyncio.sleep(0.1)
            assert not task.done()

        run(session)

    def test_partial_blackhole(self) -> None:
        """Guards against a black hole that affects connections to other hosts."""

        async def session(network: Network) -> int:
            pending = asyncio.create_task(fetch(ADDRESS, REQUEST, timeout_ms=500))
            await asyncio.sleep(0.05)
            network.blackhole(SERVER, ["10.0.0.9"])
            return (await pending).status

        assert run(session) == 200

    def test_kill(self) -> None:
        """Guards against connections to a killed process that stay open."""

        async def session(network: Network) -> None:
            pending = asyncio.create_task(fetch(ADDRESS, REQUEST, timeout_ms=5000))
            await asyncio.sleep(0.05)
            network.kill(SERVER)
            with pytest.raises(WireError, match="closed too early"):
                await pending

        run(session)

    def test_blackhole(self) -> None:
        """Guards against a black hole that affects connections opened later."""

        async def session(network: Network) -> int:
            pending = asyncio.create_task(fetch(ADDRESS, REQUEST, timeout_ms=500))
            await asyncio.sleep(0.05)
            network.blackhole(SERVER)
            with pytest.raises(WireError, match="no answer"):
                await pending
            return (await fetch(ADDRESS, REQUEST, timeout_ms=500)).status

        assert run(session) == 200


class TestMemoryLoop:
    """Contexts of callbacks."""

    def test_empty_context(self) -> None:
        """Guards against a callback that runs in the context of another process.

        The session would then be frozen together with the process that woke it.
        """
        seen: list[str] = []

        async def wake(waiter: "asyncio.Future[None]") -> None:
            waiter.set_result(None)

        async def session() -> None:
            waiter = asyncio.get_running_loop().create_future()
            run_on_host(SERVER, wake(waiter), process="waker")
            await waiter
            seen.append(PROCESS.get())

        def start() -> None:
            run_session(Network(), session())

        contextvars.Context().run(start)
        assert seen == [""]
