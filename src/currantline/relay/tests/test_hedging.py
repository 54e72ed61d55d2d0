"""Tests of hedges within the limit of the operators."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from currantline.placement import RateLimit
from currantline.relay._progress import Progress
from currantline.relay._selection import RequestContext
from currantline.relay.tests.support import (
    RelayHarness,
    make_request,
    make_route,
    run_scenario,
)
from currantline.routing import RetryBudgetOptions

# The harness begins at 0; without response times a request is hedged after 0.45 of its
# objective of 400 ms.
HEDGE_MS = 180.0


def count_refused(harness: RelayHarness) -> dict[str, int]:
    """Return the number of refused hedges by reason."""
    reasons = ("body", "budget", "limit", "load", "target", "time")
    counts = {r: harness.meter.read("hedges_refused", reason=r) for r in reasons}
    return {reason: count for reason, count in counts.items() if count}


def count_hedges(harness: RelayHarness) -> tuple[int, int, int]:
    """Return the number of hedges sent, won and lost."""
    sent, won, lost = (
        harness.meter.read("hedges", result=result)
        for result in ("sent", "won", "lost")
    )
    return sent, won, lost


async def send_to_slow(harness: RelayHarness, **values: Any) -> asyncio.Task[Any]:
    """Send a request to the only target, which is too slow."""
    slow = await harness.add_worker(**{"work_ms": 900.0, **values})
    sent = asyncio.create_task(harness.send("a"))
    await asyncio.sleep(0.05)
    assert slow.started_ids == ["a"]
    return sent


class TestSent:
    """Requests that are hedged."""

    def test_won(self) -> None:
        """Guards against a losing copy that runs on, or one that is not counted."""

        async def scenario(harness: RelayHarness) -> None:
            sent = await send_to_slow(harness)
            other = await harness.add_worker()
            assert (await sent).status == 200
            assert HEDGE_MS < harness.clock.read() < HEDGE_MS + 60.0
            await asyncio.sleep(0.01)
            assert (harness.workers[0].cancelled, other.started_ids) == (["a"], ["a"])
            assert count_hedges(harness) == (1, 1, 0)
            assert harness.meter.read("sends", service="s") == 2
            assert harness.meter.read("repeats", kind="hedges") == 1

        run_scenario(scenario, hedge_limit=1.0)

    def test_lost(self) -> None:
        """Guards against a hedge that runs on after the response of the first copy."""

        async def scenario(harness: RelayHarness) -> None:
            sent = await send_to_slow(harness, work_ms=300.0)
            other = await harness.add_worker(work_ms=900.0)
            assert (await sent).status == 200
            await asyncio.sleep(0.01)
            assert (other.cancelled, count_hedges(harness)) == (["a"], (1, 0, 1))

        run_scenario(scenario, hedge_limit=1.0)

    def test_waiting_request(self) -> None:
        """Guards against a delay that begins before the request has a target."""

        async def scenario(harness: RelayHarness) -> None:
            slow = await harness.add_worker(work_ms=150.0, slots=3)
            sent = [asyncio.create_task(harness.send(name)) for name in "abc"]
            await asyncio.sleep(0.16)
            assert slow.started_ids == ["a", "b", "c"]
            await harness.add_worker()
            assert {(await each).status for each in sent} == {200}
            # The third request was sent at 150 ms and takes 150 ms.
            assert (count_hedges(harness), count_refused(harness)) == ((0, 0, 0), {})

        run_scenario(scenario, hedge_limit=1.0)

    def test_losers_count_as_slow(self) -> None:
        """Guards against a delay that falls because slow first copies are cancelled."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(work_ms=900.0, slots=8)
            await harness.add_worker(work_ms=20.0)
            for number in range(50):
                # The first copy goes to the slow target.
                find_second(harness).skip_until_ms = harness.clock.read() + 50.0
                assert (await harness.send(str(number))).status == 200
                await asyncio.sleep(0.3)
            assert count_hedges(harness) == (50, 50, 0)
            assert harness.policy is not None
            delay_ms = harness.policy.find_delay_ms("r", 400.0)
            assert delay_ms is not None
            assert delay_ms > HEDGE_MS

        run_scenario(scenario, hedge_limit=1.0)

    @pytest.mark.parametrize(("late_ms", "is_due"), [(1e-9, True), (2.0, False)])
    def test_early_timer(self, late_ms: float, is_due: bool) -> None:
        """Guards against a timer that is set again and again for no time at all."""

        async def scenario(harness: RelayHarness) -> None:
            await asyncio.sleep(0.7)
            assert harness.table is not None
            (route,), service = harness.table.routes, harness.table.services["s"]
            times = dict.fromkeys(
                ("objective_deadline_ms", "deadline_ms", "caller_deadline_ms"), 2_000.0
            )
            context = RequestContext(
                request_id="a", route=route, service=service, arrived_ms=0.0, **times
            )
            progress = Progress(context, make_request())
            progress.first_sent_ms = harness.clock.read() - HEDGE_MS + late_ms
            assert (harness.hedger.find_next_time_ms(progress) is None) == is_due

        run_scenario(scenario, hedge_limit=1.0)


class TestRefused:
    """Requests that are not hedged."""

    @pytest.mark.parametrize(("limit", "refused"), [(0.0, {}), (0.5, {"limit": 1})])
    def test_limit(self, limit: float, refused: dict[str, int]) -> None:
        """Guards against a hedge before the share of the requests is a whole one."""

        async def scenario(harness: RelayHarness) -> None:
            sent = await send_to_slow(harness)
            other = await harness.add_worker()
            assert (await sent).status == 200
            assert (other.received, count_refused(harness)) == (0, refused)

        run_scenario(scenario, hedge_limit=limit)

    def test_used_up(self) -> None:
        """Guards against hedges that do not count, or are checked before others do.

        All of them become due while the first one probes targets.
        """

        async def scenario(harness: RelayHarness) -> None:
            slow = await harness.add_worker(work_ms=20.0, slots=12)
            # The connections that they leave let the next ones be sent at one time.
            await asyncio.gather(*(harness.send(name) for name in "abcd"))
            slow.work_ms = 900.0
            sent = [asyncio.create_task(harness.send(name)) for name in "efgh"]
            await asyncio.sleep(0.05)
            await harness.add_worker(slots=12)
            assert {(await each).status for each in sent} == {200}
            assert count_hedges(harness) == (1, 1, 0)
            assert count_refused(harness) == {"limit": 3}

        run_scenario(scenario, hedge_limit=0.125)

    def test_non_idempotent(self) -> None:
        """Guards against an order or an upload that is executed twice."""

        async def scenario(harness: RelayHarness) -> None:
            sent = await send_to_slow(harness)
            other = await harness.add_worker()
            assert (await sent).status == 200
            assert other.received == 0

        run_scenario(scenario, make_route(is_idempotent=False), hedge_limit=1.0)

    def test_body(self) -> None:
        """Guards against copies of bodies, which take memory and bandwidth twice."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(work_ms=900.0)
            request = make_request(body=b"body")
            sent = asyncio.create_task(harness.relay.handle(request, 0.0))
            await asyncio.sleep(0.05)
            other = await harness.add_worker()
            assert (await sent).status == 200
            assert (other.received, count_refused(harness)) == (0, {"body": 1})

        run_scenario(scenario, hedge_limit=1.0)

    def test_budget(self) -> None:
        """Guards against hedges beyond the retry budget."""

        async def scenario(harness: RelayHarness) -> None:
            harness.repeats._options = RetryBudgetOptions(slack=0.0)
            sent = await send_to_slow(harness)
            other = await harness.add_worker()
            assert (await sent).status == 200
            assert (other.started_ids, count_refused(harness)) == ([], {"budget": 1})

        run_scenario(scenario, hedge_limit=1.0)

    def test_overload(self) -> None:
        """Guards against hedges while most slots of the service are occupied.

        The idle target alone would take the hedge.
        """

        async def scenario(harness: RelayHarness) -> None:
            full = [await harness.add_worker(work_ms=900.0) for _ in range(4)]
            sent = [asyncio.create_task(harness.send(str(n))) for n in range(8)]
            await asyncio.sleep(0.05)
            assert [worker.running for worker in full] == [2] * 4
            other = await harness.add_worker()
            assert {(await each).status for each in sent} == {200}
            assert (other.received, count_refused(harness)) == (0, {"load": 8})

        run_scenario(scenario, hedge_limit=1.0)

    @pytest.mark.parametrize(
        "prepare",
        [
            lambda h: h.publish("t2", "10.0.1.2:80", slots=2, warmup_ms=3_000.0),
            lambda h: h.publish("t2", "10.0.1.2:80", slots=2, is_draining=True),
            lambda h: h.targets.start_evacuation("b"),
            lambda h: setattr(find_second(h), "rate_limit", RateLimit(1.0, 0.0)),
            lambda h: setattr(find_second(h).stated, "is_leaving", True),
            lambda h: setattr(find_second(h).stated, "silent_until_ms", 5_000.0),
            lambda h: setattr(h.workers[1], "running", 1),
        ],
        ids=["cold", "draining", "evacuated", "limited", "leaving", "silent", "busy"],
    )
    def test_target(self, prepare: Callable[[RelayHarness], object]) -> None:
        """Guards against a hedge to a target that must not get one."""

        async def scenario(harness: RelayHarness) -> None:
            sent = await send_to_slow(harness)
            other = await harness.add_worker(data_centre="b")
            prepare(harness)
            assert (await sent).status == 200
            assert (other.started_ids, count_refused(harness)) == ([], {"target": 1})

        run_scenario(scenario, hedge_limit=1.0)


def find_second(harness: RelayHarness) -> Any:
    """Return the registered second target."""
    return harness.targets.find("t2")
