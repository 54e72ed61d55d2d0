"""Limits of requests that targets name, in virtual time."""

import asyncio

import pytest

from currantline.platform.samples import make_rate_limit_headers, make_target_entry
from currantline.standin.worker import StandinWorker
from currantline.tests.support import (
    HOSTS,
    Deployment,
    run,
    send_steadily,
)

# A limit is exceeded if the target gets more than 1.5 times the permitted requests, and
# 5 more, in a window of this length.
WINDOW_S = 4.0

# Time by which each instance has got a response that names the limit.
LEARNING_S = 1.0


class RecordedWorker:
    """Arrival times of the requests that a target executes, in seconds."""

    def __init__(self, worker: StandinWorker) -> None:
        self._loop = asyncio.get_running_loop()
        self._times: list[float] = []
        self.worker = worker
        worker.on_start = lambda _: self._times.append(self._loop.time())

    def name_limit(self, per_s: float) -> None:
        """Name a limit in all further responses."""
        self.worker.extra_headers = make_rate_limit_headers(per_s)

    def count_since(self, start_s: float) -> int:
        """Return the number of requests that arrived since a time."""
        return sum(1 for time in self._times if time >= start_s)

    def find_peak(self, since_s: float) -> int:
        """Return the maximum number of requests in any window since a time."""
        times = [time for time in self._times if time >= since_s]
        return max(
            (sum(1 for t in times if 0 <= t - start < WINDOW_S) for start in times),
            default=0,
        )


class TestSumOfInstances:
    """Requests of the whole fleet to a target that has named a limit."""

    @pytest.mark.parametrize(("limit", "instances"), [(0.4, 4), (2.9, 4), (2.9, 2)])
    def test_surge(self, limit: float, instances: int) -> None:
        """Guards against a fleet that sends more than a target takes in total."""

        async def scenario(deployment: Deployment) -> None:
            for host in list(HOSTS)[instances:]:
                await deployment.kill(host)
            await deployment.add_worker("i-3", "10.9.0.3", slots=6)
            limited = RecordedWorker(deployment.workers["i-1"])
            await send_steadily(deployment, per_s=40.0, duration_s=2.0)
            limited.name_limit(limit)
            named_s = asyncio.get_running_loop().time()
            answers = await send_steadily(deployment, per_s=80.0, duration_s=12.0)
            peak = limited.find_peak(named_s + LEARNING_S)
            assert peak <= 1.5 * limit * WINDOW_S + 5
            assert limited.count_since(named_s + LEARNING_S) >= 1
            assert {answer.status for answer in answers} <= {200, 503}

        run(scenario)


class TestEnd:
    """A target that no longer limits its requests."""

    @pytest.mark.parametrize("is_restarted", [False, True])
    def test_end(self, is_restarted: bool) -> None:
        """Guards against a limit that outlasts its target, or what the target says."""

        async def scenario(deployment: Deployment) -> None:
            limited = RecordedWorker(deployment.workers["i-1"])
            limited.name_limit(1.0)
            await send_steadily(deployment, per_s=20.0, duration_s=4.0)
            limited.worker.extra_headers = ()
            if is_restarted:
                entry = make_target_entry("10.9.0.1:80")
                deployment.store.put("servers/i-1", {**entry, "born": 6})
            await send_steadily(deployment, per_s=20.0, duration_s=3.0)
            ended_s = asyncio.get_running_loop().time()
            await send_steadily(deployment, per_s=20.0, duration_s=2.0)
            # Half of the requests are for each target, give or take the other half.
            assert limited.count_since(ended_s) >= 10

        run(scenario)


class TestOnlyLimitedTargets:
    """A service whose targets all limit their requests."""

    def test_overload(self) -> None:
        """Guards against a queue of permits in which all requests become late."""

        async def scenario(deployment: Deployment) -> None:
            for worker in deployment.workers.values():
                RecordedWorker(worker).name_limit(4.0)
            await send_steadily(deployment, per_s=40.0, duration_s=2.0)
            answers = await send_steadily(deployment, per_s=40.0, duration_s=10.0)
            served = [answer for answer in answers if answer.status == 200]
            # The two targets together permit 8 requests a second.
            assert len(served) >= 0.9 * 8.0 * 10.0
            assert all(answer.is_in_time for answer in served)

        run(scenario)

    def test_below_limit(self) -> None:
        """Guards against a refused request that a later permit would have served."""

        async def scenario(deployment: Deployment) -> None:
            for worker in deployment.workers.values():
                RecordedWorker(worker).name_limit(1.5)
            await send_steadily(deployment, per_s=1.0, duration_s=4.0)
            await asyncio.sleep(4.0)
            statuses = []
            for _ in range(4):
                burst = await send_steadily(deployment, per_s=1000.0, duration_s=0.004)
                statuses += [answer.status for answer in burst]
                await asyncio.sleep(4.0)
            assert statuses == [200] * 16

        run(scenario)
