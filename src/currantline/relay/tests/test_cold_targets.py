"""Tests of requests to targets that warm up."""

import asyncio

import attrs
import pytest

from currantline.permits import WINDOW_MS, Permit
from currantline.placement import Target, WarmupBound
from currantline.relay import Sender
from currantline.relay.tests.support import RelayHarness, make_route, run_scenario

BOUND = WarmupBound(warmup_ms=3_000.0, max_per_s=11.0)


async def make_cold(harness: RelayHarness, left_ms: float = 3_000.0) -> Target:
    """Start a target that has been cold for longer than the first second."""
    harness.targets.set_warmup_bounds({"s": BOUND}, 0.0)
    worker = await harness.add_worker()
    worker.warm_up(left_ms + WINDOW_MS)
    target = harness.targets.find(worker.name)
    assert target is not None
    target.learn_from_peer(left_ms, harness.clock.read())
    await asyncio.sleep(WINDOW_MS / 1000 + 0.01)
    return target


class TestValidity:
    """Permits that become void before the request is sent."""

    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_void(self, is_idempotent: bool) -> None:
        """Guards against a request that is sent late, or lost with its permit."""

        async def scenario(harness: RelayHarness) -> None:
            await make_cold(harness)
            acquire = harness.permits.acquire_cold
            asked: list[float] = []

            async def acquire_void_first(target: Target, rank: int) -> Permit:
                permit = await acquire(target, rank)
                asked.append(permit.end_ms)
                now = harness.clock.read()
                return (
                    attrs.evolve(permit, end_ms=now - 1.0)
                    if asked[1:] == []
                    else permit
                )

            harness.permits.acquire_cold = acquire_void_first  # type: ignore[method-assign]
            assert (await harness.send()).status == 200
            assert len(asked) >= 2
            assert harness.list_ran() == ["a"]
            assert b'permits_total{result="void"} 1' in harness.meter.render()

        run_scenario(scenario, make_route(max_attempts=1, is_idempotent=is_idempotent))

    def test_slow_connection(self) -> None:
        """Guards against permits that end while the connection is opened."""

        async def scenario(harness: RelayHarness) -> None:
            await make_cold(harness)
            acquire = harness.pool.acquire

            async def acquire_slowly(*args: object, **values: object) -> object:
                await asyncio.sleep(0.2)
                return await acquire(*args, **values)  # type: ignore[arg-type]

            harness.pool.acquire = acquire_slowly  # type: ignore[method-assign,assignment]
            assert (await harness.send()).status == 200
            assert b'result="void"' not in harness.meter.render()

        run_scenario(scenario)

    def test_cold_before_send(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a request without a permit, selected before it was cold."""

        async def scenario(harness: RelayHarness) -> None:
            harness.targets.set_warmup_bounds({"s": BOUND}, 0.0)
            for _ in range(2):
                await harness.add_worker()
            send = Sender.send
            turned: list[Target] = []

            async def turn_cold_first(
                sender: Sender,
                context: object,
                request: object,
                target: Target,
                *rest: object,
                **values: object,
            ) -> object:
                if not turned:
                    turned.append(target)
                    target.learn_from_peer(3_000.0, harness.clock.read())
                return await send(sender, context, request, target, *rest, **values)  # type: ignore[arg-type]

            monkeypatch.setattr(Sender, "send", turn_cold_first)
            assert (await harness.send()).status == 200
            assert [
                w.started_ids for w in harness.workers if w.name == turned[0].name
            ] == [[]]

        run_scenario(scenario, make_route(max_attempts=1))


class TestRateLimitedTarget:
    """A target that names a limit and turns cold without notice."""

    def test_noticed(self) -> None:
        """Guards against a limited target that is never asked whether it is cold."""

        async def scenario(harness: RelayHarness) -> None:
            harness.targets.set_warmup_bounds({"s": BOUND}, 0.0)
            worker = await harness.add_worker()
            worker.extra_headers = (("x-limit", "50"),)
            for number in range(20):
                await harness.send(f"w{number}")
                await asyncio.sleep(0.1)
            ran = len(worker.started_ids)
            assert ran == 20
            worker.warm_up(3_000.0)
            for number in range(20):
                await harness.send(f"c{number}", remaining_ms=100.0)
                await asyncio.sleep(0.05)
            target = harness.targets.find(worker.name)
            assert target is not None
            assert target.is_cold(harness.clock.read())
            # Health checks of a limited target are at most a second apart.
            assert len(worker.started_ids) - ran <= 11

        run_scenario(scenario)
