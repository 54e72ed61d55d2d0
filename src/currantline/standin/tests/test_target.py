"""Tests of `StandinTarget`."""

import asyncio
import random
from typing import Any

import pytest

from currantline.clock import ManualClock
from currantline.configuration import Target
from currantline.exceptions import WireError
from currantline.forwarding.tests.support import run
from currantline.standin.target import Behaviour, StandinTarget
from currantline.wire import Request, Response, connect, fetch, find_header

TIMEOUT_MS = 30_000.0


class Gate:
    """Execution of a request that blocks until a test opens the gate."""

    def __init__(self) -> None:
        self.is_open = asyncio.Event()
        self.entered = asyncio.Event()
        self.left = asyncio.Event()

    async def __call__(self, duration_ms: float) -> None:
        """Block until the gate is open."""
        self.entered.set()
        try:
            await self.is_open.wait()
        finally:
            self.left.set()


async def start(clock: ManualClock | None = None) -> tuple[StandinTarget, Gate]:
    """Return a started target with one slot, and the gate that blocks its requests."""
    gate = Gate()
    target = StandinTarget(
        Target(name="a", address="127.0.0.1:1", data_centre="x", slots=1),
        random.Random(1),
        clock=clock or ManualClock(),
        work=gate,
    )
    await target.service.start("127.0.0.1:0")
    return target, gate


def send(target: StandinTarget, number: int, *extra: tuple[str, str]) -> Any:
    """Send a request as a task."""
    headers = (("currantline-request-id", f"r{number}"), *extra)
    request = Request(method="GET", target="/x", headers=headers)
    return asyncio.ensure_future(
        fetch(target.service.address, request, timeout_ms=TIMEOUT_MS)
    )


def is_shed(response: Response) -> bool:
    """Return whether a request was shed."""
    return find_header(response.headers, "target-shed") == "1"


class TestStandinTarget:
    """Load shedding, draining and faults."""

    def test_backlog_and_sheds(self) -> None:
        """Guards against a target that accepts more than its slots and backlog."""

        async def test() -> None:
            target, gate = await start()
            tasks = [send(target, number) for number in range(3)]
            done, pending = await asyncio.wait(tasks, return_when="FIRST_COMPLETED")
            assert [is_shed(task.result()) for task in done] == [True]
            gate.is_open.set()
            assert not any([is_shed(await task) for task in pending])
            assert target.request_counts.total() == 3

        run(test())

    def test_drain_finishes_work(self) -> None:
        """Guards against a drain that aborts a request or accepts new ones."""

        async def test() -> None:
            target, gate = await start()
            pending = send(target, 1)
            await gate.entered.wait()
            target.set_behaviour(Behaviour(state="draining"))
            assert is_shed(await send(target, 2))
            gate.is_open.set()
            response = await pending
            assert response.status == 200
            assert find_header(response.headers, "connection") == "close"

        run(test())

    def test_closed_connection_cancels(self) -> None:
        """Guards against requests that keep running after their connection closed."""

        async def test() -> None:
            target, gate = await start()
            pending = send(target, 1)
            await gate.entered.wait()
            pending.cancel()
            await asyncio.gather(pending, return_exceptions=True)
            next_request = send(target, 2)
            await gate.left.wait()
            gate.is_open.set()
            await next_request
            assert target.cancelled == {"r1": 1}

        run(test())

    def test_deadline(self) -> None:
        """Guards against execution beyond the deadline of a request."""

        async def test() -> None:
            target, _ = await start()
            response = await send(target, 1, ("currantline-timeout-ms", "1"))
            assert response.status == 504

        run(test())

    def test_silence_of_open_connections(self) -> None:
        """Guards against `Behaviour.is_silent` affecting connections opened later."""

        async def test() -> None:
            target, gate = await start()
            gate.is_open.set()
            old = await connect(target.service.address, max_body_bytes=1000)
            request = Request(method="GET", target="/x", headers=(("host", "a"),))
            old.write_request(request)
            assert (await old.read_response()).status == 200
            old.start_next_cycle()
            target.set_behaviour(Behaviour(is_silent=True))
            old.write_request(request)
            assert (await send(target, 1)).status == 200
            assert not old.has_unread
            old.abort()

        run(test())

    def test_truncated_answer(self) -> None:
        """Guards against a truncated response that is read as complete."""

        async def test() -> None:
            target, gate = await start()
            gate.is_open.set()
            target.set_behaviour(Behaviour(truncates=True))
            with pytest.raises(WireError):
                await send(target, 1)

        run(test())

    def test_lagging_load(self) -> None:
        """Guards against a reported load that ignores its configured lag."""

        async def test() -> None:
            clock = ManualClock()
            target, gate = await start(clock)
            gate.is_open.set()
            target.set_behaviour(Behaviour(load_lag_ms=100.0))
            await send(target, 1)
            target.set_behaviour(Behaviour(load_lag_ms=100.0, state="draining"))
            late = find_header((await send(target, 2)).headers, "target-load")
            clock.advance(100.0)
            now = find_header((await send(target, 3)).headers, "target-load")
            assert late is not None
            assert now is not None
            assert ("ready" in late, "draining" in now) == (True, True)

        run(test())
