"""Tests of the task that runs a dispatcher."""

import asyncio
import random
from collections.abc import Coroutine

import pytest

from currantline.admission import WorkItem
from currantline.clock import ManualClock
from currantline.configuration import Configuration, Service, Target
from currantline.directory import Ownership
from currantline.dispatch import Dispatcher, DispatchTask, Message
from currantline.exceptions import RequestRefusedError
from currantline.forwarding import AttemptResult, Permit

TARGET = Target(name="t", address="127.0.0.1:7000", data_centre="n", slots=1)
SERVICE = Service(name="s", targets=(TARGET,))


def make_task(clock: ManualClock, *, owner: str = "a") -> DispatchTask:
    """Return a task of instance ``a`` for one target with one slot."""
    sent: list[tuple[str, Message]] = []
    task = DispatchTask(
        Dispatcher("a", random.Random(1)),
        clock=clock,
        send=lambda instance, message: sent.append((instance, message)),
    )
    task.set_configuration(Configuration(version=1, services={"s": SERVICE}))
    task.set_ownership("s", Ownership(owners=(owner,), targets={"t": owner}))
    task.set_limit("t", 1)
    return task


def make_work(now: float = 0.0) -> WorkItem:
    """Return a request; all requests have the same identifier."""
    return WorkItem(
        request_id="same", service="s", route="r", deadline=now + 500.0, arrived=now
    )


def run(steps: Coroutine[None, None, None]) -> None:
    """Run a coroutine to completion."""
    asyncio.run(steps)


async def acquire_later(task: DispatchTask) -> "asyncio.Task[Permit]":
    """Return a task that waits for a permit."""
    waiter = asyncio.create_task(task.acquire(make_work()))
    await asyncio.sleep(0)
    return waiter


class TestDispatchTask:
    """Permits, pauses and shutdown."""

    def test_freed_slot_is_reused(self) -> None:
        """Guards against a waiting request that does not get a freed slot."""

        async def steps() -> None:
            task = make_task(ManualClock())
            first = await task.acquire(make_work())
            assert first.address == TARGET.address
            waiter = await acquire_later(task)
            assert not waiter.done()
            task.release(first, AttemptResult.ANSWERED, duration_ms=1.0)
            second = await waiter
            assert second == first
            task.release(second, AttemptResult.ANSWERED, duration_ms=1.0)
            assert task.counts()["s"].running == 0

        run(steps())

    @pytest.mark.parametrize("has_slot", [False, True])
    def test_cancelled_waiter(self, has_slot: bool) -> None:
        """Guards against a lost slot if the caller leaves before or after the grant."""

        async def steps() -> None:
            task = make_task(ManualClock())
            first = await task.acquire(make_work())
            waiter = await acquire_later(task)
            if has_slot:
                task.release(first, AttemptResult.ANSWERED, duration_ms=1.0)
            waiter.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiter
            if not has_slot:
                task.release(first, AttemptResult.ANSWERED, duration_ms=1.0)
            counts = task.counts()["s"]
            assert (counts.running, counts.short_waiting) == (0, 0)
            assert counts.free_slots == 1

        run(steps())

    def test_refusal_at_deadline(self) -> None:
        """Guards against a request that waits beyond its deadline."""

        async def steps() -> None:
            clock = ManualClock()
            task = make_task(clock)
            await task.acquire(make_work())
            waiter = await acquire_later(task)
            clock.advance(500.0)
            task.wake()
            with pytest.raises(RequestRefusedError) as caught:
                await waiter
            assert caught.value.reason == "deadline"

        run(steps())

    def test_pause_discards_limits(self) -> None:
        """Guards against requests to a target that drained during a pause."""

        async def steps() -> None:
            clock = ManualClock()
            task = make_task(clock)
            clock.advance(5000.0)
            waiter = asyncio.create_task(task.acquire(make_work(5000.0)))
            await asyncio.sleep(0)
            assert not waiter.done()
            task.set_limit("t", 1)
            assert (await waiter).granted == 5000.0

        run(steps())

    def test_wakes_by_itself(self) -> None:
        """Guards against a local choice that is delayed until the next event."""

        async def steps() -> None:
            clock = ManualClock()
            task = make_task(clock, owner="gone")
            task.start()
            waiter = await acquire_later(task)
            clock.advance(60.0)
            permit = await waiter
            assert permit.target == "t"
            await task.stop()

        run(steps())

    def test_target_removed_after_start(self) -> None:
        """Guards against a granted request that fails as its target was removed."""

        async def steps() -> None:
            task = make_task(ManualClock())
            first = await task.acquire(make_work())
            waiter = await acquire_later(task)
            task.release(first, AttemptResult.ANSWERED, duration_ms=1.0)
            task.set_configuration(Configuration(version=2, services={}))
            permit = await waiter
            assert permit.address == TARGET.address
            task.release(permit, AttemptResult.ANSWERED, duration_ms=1.0)
            assert task.counts() == {}

        run(steps())

    def test_stop(self) -> None:
        """Guards against requests that are still waiting after shutdown."""

        async def steps() -> None:
            task = make_task(ManualClock())
            await task.acquire(make_work())
            waiter = await acquire_later(task)
            await task.stop()
            with pytest.raises(RequestRefusedError):
                await waiter

        run(steps())
