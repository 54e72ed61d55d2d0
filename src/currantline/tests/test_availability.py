"""Targets that leave or want silence, seen by a whole fleet in virtual time."""

import asyncio
import math

import pytest

from currantline.platform.samples import make_leaving_headers, make_target_entry
from currantline.tests.support import (
    APPLY_LIMIT_MS,
    Arrival,
    Deployment,
    list_hosts,
    run,
    send_steadily,
)

FLEET_SIZES = [2, 19]

# Requests per second for each instance.
RATE_PER_S = 5.0

TARGETS, SLOTS = 5, 8

# A silence must be kept from this time after the response that asked for it.
SILENCE_APPLY_S = 0.5

# Time after a silence by which its target is used again.
RETURN_S = 2.0

# Length of the windows in which arrivals are counted.
WINDOW_S = 0.1


async def start_load(deployment: Deployment, duration_s: float) -> "asyncio.Task[None]":
    """Add targets up to their number, and start to send requests to all instances."""
    for number in range(len(deployment.workers) + 1, TARGETS + 1):
        await deployment.add_worker(f"i-{number}", f"10.9.0.{number}")
    for worker in deployment.workers.values():
        worker.slots = SLOTS
    per_s = RATE_PER_S * len(deployment.hosts)

    async def send() -> None:
        answers = await send_steadily(deployment, per_s=per_s, duration_s=duration_s)
        assert {answer.status for answer in answers} <= {200, 503}

    load = asyncio.create_task(send())
    await asyncio.sleep(2.0)
    return load


def group_by_host(arrivals: list[Arrival], since_s: float) -> dict[str, list[Arrival]]:
    """Return the arrivals since a time by the instance that sent them."""
    hosts = {arrival.host for arrival in arrivals}
    return {
        host: [a for a in arrivals if a.host == host and a.at_s >= since_s]
        for host in hosts
    }


def find_peak(arrivals: list[Arrival], begin_s: float, end_s: float) -> int:
    """Return the maximum number of arrivals in any window between two times."""
    times = [a.at_s for a in arrivals if begin_s <= a.at_s < end_s]
    return max(
        (sum(1 for t in times if 0 <= t - s < WINDOW_S) for s in times), default=0
    )


class TestLeaving:
    """A target whose responses say that it leaves."""

    @pytest.mark.parametrize("instances", FLEET_SIZES)
    @pytest.mark.parametrize("is_store_down", [False, True])
    def test_fleet(self, instances: int, is_store_down: bool) -> None:
        """Guards against an instance that goes on sending to a target that leaves."""

        async def scenario(deployment: Deployment) -> None:
            load = await start_load(deployment, 8.0)
            deployment.store.is_down = is_store_down
            now_s = asyncio.get_running_loop().time()
            deployment.workers["i-1"].extra_headers = make_leaving_headers()
            await load
            arrivals = deployment.worker_servers["i-1"].arrivals
            by_host = group_by_host(arrivals, now_s)
            # Each instance learns of it by one health check or request of its own.
            assert {len(found) for found in by_host.values()} <= {0, 1}

        run(scenario, list_hosts(instances))

    def test_published_again(self) -> None:
        """Guards against a target in use again before it has started anew."""

        async def scenario(deployment: Deployment) -> None:
            load = await start_load(deployment, 12.0)
            deployment.workers["i-1"].extra_headers = make_leaving_headers()
            await asyncio.sleep(2.0)
            now_s = asyncio.get_running_loop().time()
            entry = make_target_entry("10.9.0.1:80")
            deployment.store.remove("servers/i-1")
            await asyncio.sleep(1.0)
            deployment.store.put("servers/i-1", entry)
            await asyncio.sleep(2.0)
            arrivals = deployment.worker_servers["i-1"].arrivals
            assert [a for a in arrivals if a.at_s >= now_s] == []
            deployment.workers["i-1"].extra_headers = ()
            deployment.store.put("servers/i-1", {**entry, "born": 6})
            await asyncio.sleep(APPLY_LIMIT_MS / 1000)
            assert [a for a in arrivals if a.at_s >= now_s] != []
            await load

        run(scenario)


class TestSilence:
    """Targets that reject requests and ask for silence."""

    @pytest.mark.parametrize("instances", FLEET_SIZES)
    @pytest.mark.parametrize("after_s", [0.6, 5.0])
    @pytest.mark.parametrize("rejecting", [1, TARGETS])
    def test_fleet(self, instances: int, after_s: float, rejecting: int) -> None:
        """Guards against requests in a silence, and a surge or none when it ends."""

        async def scenario(deployment: Deployment) -> None:
            load = await start_load(deployment, 5.0 + 2.0 * after_s)
            now_s = asyncio.get_running_loop().time()
            workers = list(deployment.workers.values())[:rejecting]
            for worker in workers:
                worker.is_rejecting = True
                worker.extra_headers = (("retry-after", str(after_s)),)
            await asyncio.sleep(0.5 * after_s)
            for worker in workers:
                worker.is_rejecting, worker.extra_headers = False, ()
            await load
            for worker in workers:
                arrivals = deployment.worker_servers[worker.name].arrivals
                self._check_silence(group_by_host(arrivals, now_s), after_s)
                usual = find_peak(arrivals, 0.0, now_s)
                later = find_peak(arrivals, now_s + after_s + RETURN_S, math.inf)
                assert 1 <= later <= 1.5 * usual + 2

        run(scenario, list_hosts(instances))

    def _check_silence(self, by_host: dict[str, list[Arrival]], after_s: float) -> None:
        rejections = [a for found in by_host.values() for a in found if a.status == 503]
        assert rejections
        for rejection in rejections:
            begin_s = rejection.at_s + SILENCE_APPLY_S
            end_s = rejection.at_s + after_s
            found = by_host[rejection.host]
            assert [a for a in found if begin_s < a.at_s < end_s] == []
