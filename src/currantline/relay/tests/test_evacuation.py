"""Tests of requests to targets whose data centre is evacuated."""

import asyncio
from typing import Any

import pytest

from currantline.placement import (
    PublishedTarget,
    Target,
    TargetRegistry,
    UnavailabilityReason,
    describe_unavailability,
    find_unavailability,
)
from currantline.relay.tests.support import RelayHarness, make_route, run_scenario
from currantline.wire import Response, find_header

NON_IDEMPOTENT = make_route(is_idempotent=False)

# Time by which a waiting request has found that nothing is left for it.
AT_ONCE_S = 0.1


def make_entry(name: str, data_centre: str) -> PublishedTarget:
    """Return the entry of a target."""
    return PublishedTarget(
        name=name, address="10.0.1.1:80", service="s", data_centre=data_centre, slots=2
    )


def evacuate(harness: RelayHarness, data_centre: str = "a") -> None:
    """Evacuate a data centre."""
    assert harness.targets.start_evacuation(data_centre) is not None
    harness.selector.notify_evacuation()


def check_refused(response: Response, evacuated: int) -> None:
    """Check that a request was refused since all targets are evacuated."""
    assert response.status == 503
    assert response.body == f"no target: {evacuated} evacuated".encode()
    assert float(find_header(response.headers, "retry-after") or 0) > 0


class TestRegistry:
    """Evacuated data centres in the registry."""

    def test_targets(self) -> None:
        """Guards against a target of the data centre that is missed, or too many."""
        targets = TargetRegistry()
        for name, data_centre in [("x", "a"), ("y", "b")]:
            targets.update(make_entry(name, data_centre), 0.0)
        assert [t.name for t in targets.start_evacuation("a") or ()] == ["x"]
        assert targets.start_evacuation("a") is None
        targets.update(make_entry("new", "a"), 1.0)
        assert [t.name for t in targets.list_usable("s", 2.0)] == ["y"]
        targets.update(make_entry("y", "a"), 3.0)
        assert (targets.list_usable("s", 4.0), targets.count_evacuated()) == ([], 3)
        assert targets.list_connectable_addresses() == set()
        assert len(targets.end_evacuation("a") or ()) == 3
        assert targets.end_evacuation("a") is None
        assert len(targets.list_usable("s", 5.0)) == 3

    def test_reason(self) -> None:
        """Guards against an evacuated target whose silence seems to end sooner."""
        target = Target(make_entry("x", "a"), is_evacuated=True)
        target.stated.silent_until_ms = 5.0
        found = find_unavailability(target, 0.0)
        assert found is not None
        assert found.reason is UnavailabilityReason.EVACUATED
        assert found.until_ms == float("inf")
        text = describe_unavailability([target], 0.0)
        assert text == "no target: 1 evacuated"


class TestInFlight:
    """Requests that were sent before the evacuation."""

    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_completes(self, is_idempotent: bool) -> None:
        """Guards against a request in flight that is cancelled, or its connection."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(work_ms=600.0)
            sent = asyncio.ensure_future(harness.send("a"))
            await asyncio.sleep(0.1)
            evacuate(harness)
            harness.pool.close_stale(harness.targets.list_connectable_addresses())
            assert (await sent).status == 200
            assert (worker.started_ids, worker.cancelled) == (["a"], [])
            check_refused(await harness.send("b"), 1)
            harness.pool.close_stale(harness.targets.list_connectable_addresses())
            assert not harness.pool.has_idle("10.0.1.1:80")

        run_scenario(scenario, make_route(is_idempotent=is_idempotent))

    @pytest.mark.parametrize(("work_ms", "is_failing"), [(900.0, False), (150.0, True)])
    def test_repeat(self, work_ms: float, is_failing: bool) -> None:
        """Guards against a hedge, retry or health check to an evacuated target."""

        async def scenario(harness: RelayHarness) -> None:
            first = await harness.add_worker(work_ms=work_ms, is_failing=is_failing)
            sent = asyncio.ensure_future(harness.send("a"))
            await asyncio.sleep(0.1)
            assert first.started_ids == ["a"]
            unused = [await harness.add_worker() for _ in range(3)]
            other = await harness.add_worker(data_centre="b")
            evacuate(harness)
            checks = first.health_checks
            assert (await sent).status == 200
            assert other.started_ids == ["a"]
            assert {worker.received for worker in unused} == {0}
            assert (first.started_ids, first.health_checks) == (["a"], checks)

        run_scenario(scenario)


class TestWaiting:
    """Requests that wait for a target when the evacuation begins."""

    def test_moves(self) -> None:
        """Guards against a waiting request that takes the slot of an evacuated one."""

        async def scenario(harness: RelayHarness) -> None:
            first = await harness.add_worker(work_ms=200.0, slots=1)
            other = await harness.add_worker(work_ms=300.0, slots=1, data_centre="b")
            sent = [asyncio.ensure_future(harness.send(name)) for name in "abc"]
            await asyncio.sleep(0.1)
            assert (len(first.started_ids), len(other.started_ids)) == (1, 1)
            evacuate(harness)
            assert {(await answer).status for answer in sent} == {200}
            assert (len(first.started_ids), len(other.started_ids)) == (1, 2)

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_refused(self) -> None:
        """Guards against a request that waits for its deadline without any target."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(work_ms=900.0, slots=1)
            sent = asyncio.ensure_future(harness.send("a"))
            await asyncio.sleep(0.05)
            waiting = [asyncio.ensure_future(harness.send(name)) for name in "bcd"]
            await asyncio.sleep(0.05)
            evacuate(harness)
            async with asyncio.timeout(AT_ONCE_S):
                for answer in waiting:
                    check_refused(await answer, 1)
            assert (await sent).status == 200

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_permit(self) -> None:
        """Guards against a request that waits for its permit and is then sent."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(extra_headers=(("x-limit", "2"),))
            for name in "ab":
                assert (await harness.send(name)).status == 200
            received = worker.received
            opened = harness.meter.read("target_connections")
            waiting = asyncio.ensure_future(harness.send("c"))
            await asyncio.sleep(0.1)
            assert not waiting.done()
            evacuate(harness)
            async with asyncio.timeout(AT_ONCE_S):
                check_refused(await waiting, 1)
            await asyncio.sleep(2.0)
            assert worker.received == received
            assert harness.meter.read("target_connections") == opened

        run_scenario(scenario)


class TestCheckedAgain:
    """Targets that were selected just before the evacuation was known."""

    def test_connection(self) -> None:
        """Guards against a health check on a connection that took its time."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker()
            acquire = harness.pool.acquire

            async def acquire_late(address: str, **values: Any) -> Any:
                lease = await acquire(address, **values)
                harness.targets.start_evacuation("a")
                return lease

            harness.pool.acquire = acquire_late  # type: ignore[method-assign]
            check_refused(await harness.send("a"), 1)
            assert worker.received == 0

        run_scenario(scenario)

    @pytest.mark.parametrize("others", [0, 2])
    def test_send(self, others: int) -> None:
        """Guards against a selection that is used, or counted, though outdated."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker()
            select = harness.selector.select

            async def select_early(*args: Any, **values: Any) -> Any:
                selection = await select(*args, **values)
                # It runs before the task of the send.
                loop = asyncio.get_running_loop()
                loop.call_soon(harness.targets.start_evacuation, "a")
                return selection

            harness.selector.select = select_early  # type: ignore[method-assign]
            sent = asyncio.ensure_future(harness.send("a"))
            rejected: list[str] = []
            for _ in range(others):
                await harness.add_worker(
                    is_rejecting=True, data_centre="b", on_reject=rejected.append
                )
            response = await sent
            assert worker.started_ids == []
            assert rejected == others * ["a"]
            if not others:
                check_refused(response, 1)

        run_scenario(scenario, make_route(is_idempotent=False, max_attempts=2))
