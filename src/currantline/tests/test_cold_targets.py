"""Requests to targets that warm up, in virtual time."""

import asyncio
import itertools
import random
import re
from collections.abc import Callable, Coroutine

import pytest

from currantline.permits import choose_issuer
from currantline.platform.samples import make_target_entry
from currantline.standin.worker import StandinWorker
from currantline.telemetry import Meter
from currantline.tests.support import (
    HOSTS,
    Deployment,
    list_hosts,
    run,
    send_steadily,
)
from currantline.wire import Response, find_header

# Requests that a cold target may get in any second: 2 a second times 1.5, and 8.
BOUND = 11

# Longer than on the platform, so that the fleet changes several times meanwhile.
WARMUP_S = 12.0
WARMUP = (WARMUP_S, 2.0)

KEY = "i-1@5@10.9.0.1:80"


class Recorder:
    """Arrival times of all requests to a target, in seconds."""

    def __init__(self, worker: StandinWorker) -> None:
        self._loop = asyncio.get_running_loop()
        self.times: list[float] = []
        worker.on_start = worker.on_reject = self._record

    def _record(self, request_id: str) -> None:
        self.times.append(self._loop.time())

    def find_worst_second(self) -> int:
        """Return the maximum number of requests in any second."""
        times = self.times
        return max((sum(0 <= t - s <= 1.0 for t in times) for s in times), default=0)


def publish_cold(deployment: Deployment, number: int, duration_s: float) -> None:
    """Let a target turn cold, and say so in its entry."""
    deployment.workers[f"i-{number}"].warm_up(1000.0 * duration_s)
    entry = make_target_entry(
        f"10.9.0.{number}:80", warmup_ms=round(1000.0 * duration_s)
    )
    deployment.store.put(f"servers/i-{number}", entry)


def find_issuer(deployment: Deployment) -> str:
    """Return the instance that issues the permits of the first target."""
    issuer = choose_issuer(KEY, deployment.hosts)
    assert issuer is not None
    return issuer


async def send_load(
    deployment: Deployment, *, per_s: float, duration_s: float, path: str = "/read/x"
) -> list[Response]:
    """Send requests to random instances; those that are killed give no response."""
    rng = random.Random(7)
    calls = []
    for number in range(round(per_s * duration_s)):
        if deployment.gateways:
            host = rng.choice(sorted(deployment.gateways))
            call = deployment.call(host, path, request_id=f"{path}-{number}")
            calls.append(asyncio.create_task(call))
        await asyncio.sleep(rng.uniform(0.0, 2.0) / per_s)
    answers = await asyncio.gather(*calls, return_exceptions=True)
    return [answer for answer in answers if isinstance(answer, Response)]


def count_permits(meter: Meter) -> int:
    """Return the number of permits that an instance asked for."""
    found = re.findall(rb"currantline_permits_total{[^}]*} ([0-9.]+)", meter.render())
    return sum(int(float(value)) for value in found)


Change = Callable[[Deployment], Coroutine[None, None, None]]


async def keep(deployment: Deployment) -> None:
    """Leave the fleet as it is."""


async def split(deployment: Deployment) -> None:
    """Split the fleet in halves and join it again."""
    hosts = list(deployment.hosts)
    deployment.network.partition(hosts[::2], hosts[1::2])
    await asyncio.sleep(6.0)
    deployment.network.heal()


async def restart_issuers(deployment: Deployment) -> None:
    """Kill and restart the issuer, and then the one that would take its place."""
    second = choose_issuer(KEY, set(deployment.hosts) - {find_issuer(deployment)})
    assert second is not None
    for host in (find_issuer(deployment), second, find_issuer(deployment)):
        await asyncio.sleep(0.7)
        await deployment.kill(host)
        await asyncio.sleep(0.4)
        await deployment.add_instance(host)


async def change(deployment: Deployment) -> None:
    """Kill a third of the instances, the issuer among them, and start them again."""
    rng = random.Random(1)
    hosts = rng.sample(list(deployment.hosts), max(1, len(deployment.hosts) // 3))
    hosts = sorted({*hosts, find_issuer(deployment)})
    for host in hosts:
        await deployment.kill(host)
        await asyncio.sleep(0.02)
    await asyncio.sleep(2.0)
    for host in hosts:
        await deployment.add_instance(host)
        await asyncio.sleep(0.02)


async def freeze_issuer(deployment: Deployment) -> None:
    """Freeze the issuer for a moment, and an instance that holds permits."""
    for host in (find_issuer(deployment), next(iter(deployment.gateways))):
        await asyncio.sleep(1.0)
        deployment.network.freeze(host)
        await asyncio.sleep(0.6)
        deployment.network.thaw(host)


class TestBound:
    """The worst second of a cold target, from the whole fleet."""

    @pytest.mark.parametrize(
        ("instances", "alter"),
        [
            *itertools.product(
                (2, 19), (keep, split, restart_issuers, change, freeze_issuer)
            ),
            (126, split),
            (126, change),
        ],
    )
    def test_all_cold(self, instances: int, alter: Change) -> None:
        """Guards against more requests than a cold target survives."""

        async def scenario(deployment: Deployment) -> None:
            recorders = [Recorder(worker) for worker in deployment.workers.values()]
            await send_load(deployment, per_s=40.0, duration_s=1.0)
            for number in (1, 2):
                publish_cold(deployment, number, WARMUP_S)
            await asyncio.sleep(0.5)
            for recorder in recorders:
                recorder.times.clear()
            altered = asyncio.create_task(alter(deployment))
            await send_load(deployment, per_s=80.0, duration_s=WARMUP_S - 1.0)
            await altered
            for recorder in recorders:
                assert len(recorder.times) >= 5
                assert recorder.find_worst_second() <= BOUND

        run(scenario, list_hosts(instances), warmup=WARMUP)

    def test_without_notice(self) -> None:
        """Guards against a fleet of which each instance finds out for itself."""

        async def scenario(deployment: Deployment) -> None:
            await deployment.add_worker("i-3", "10.9.0.3")
            worker = deployment.workers["i-1"]
            recorder = Recorder(worker)
            await send_load(deployment, per_s=30.0, duration_s=2.0)
            recorder.times.clear()
            worker.warm_up(3_000.0)
            await send_load(deployment, per_s=30.0, duration_s=1.0)
            cold = [
                gateway.targets.find("i-1") for gateway in deployment.gateways.values()
            ]
            now = asyncio.get_running_loop().time() * 1000
            assert all(target is not None and target.is_cold(now) for target in cold)
            # It turns cold again while it is cold.
            worker.warm_up(3_000.0)
            await send_load(deployment, per_s=30.0, duration_s=3.0)
            assert recorder.find_worst_second() <= BOUND

        run(scenario, list_hosts(19), warmup=(3.0, 2.0))


class TestPreference:
    """Which requests get the places of cold targets."""

    def test_warm_targets(self) -> None:
        """Guards against requests that wait for permits beside warm targets."""

        async def scenario(deployment: Deployment) -> None:
            for number in range(3, 7):
                await deployment.add_worker(f"i-{number}", f"10.9.0.{number}")
            await send_load(deployment, per_s=30.0, duration_s=2.0)
            for number in (1, 2):
                publish_cold(deployment, number, WARMUP_S)
            await asyncio.sleep(1.5)
            recorders = [Recorder(deployment.workers[f"i-{n}"]) for n in (1, 2)]
            answers = await send_steadily(deployment, per_s=30.0, duration_s=8.0)
            assert all(answer.is_in_time for answer in answers)
            used = sum(len(recorder.times) for recorder in recorders)
            # A share of first choices goes to them, and few permits are denied.
            assert 1 <= used <= 0.1 * len(answers)
            asked = sum(
                count_permits(gateway.meter) for gateway in deployment.gateways.values()
            )
            assert asked <= 0.2 * len(answers)

        run(scenario, warmup=WARMUP)

    def test_priority(self) -> None:
        """Guards against places that go to less important requests."""

        async def scenario(deployment: Deployment) -> None:
            await send_load(deployment, per_s=20.0, duration_s=2.0)
            for host in [host for host, name in HOSTS.items() if name == "b"]:
                await deployment.kill(host)
            for number in (1, 2):
                publish_cold(deployment, number, WARMUP_S)
            await asyncio.sleep(1.5)
            orders, reads = await asyncio.gather(
                send_load(deployment, per_s=7.0, duration_s=9.0, path="/orders/x"),
                send_load(deployment, per_s=40.0, duration_s=9.0, path="/read/x"),
            )
            served = sum(answer.status == 200 for answer in orders)
            assert served >= 0.8 * len(orders)
            assert {answer.status for answer in (*orders, *reads)} <= {200, 503}
            refused = [answer for answer in reads if answer.status == 503]
            assert len(refused) >= 0.8 * len(reads)
            assert all(find_header(r.headers, "retry-after") for r in refused)

        run(scenario, warmup=WARMUP)


class TestEnd:
    """The end of a warm-up."""

    def test_old_entry(self) -> None:
        """Guards against a restarted instance that takes warm targets for cold."""

        async def scenario(deployment: Deployment) -> None:
            for number in (1, 2):
                publish_cold(deployment, number, WARMUP_S)
                # It has warmed up since, and its entry is as before.
                deployment.workers[f"i-{number}"].warm_up(1_000.0)
            await asyncio.sleep(2.0)
            host = next(iter(deployment.gateways))
            await deployment.kill(host)
            await deployment.add_instance(host)
            await asyncio.sleep(0.6)
            responses = [
                await deployment.call(host, request_id=f"{n}") for n in range(8)
            ]
            assert [response.status for response in responses] == [200] * 8

        run(scenario, warmup=WARMUP)
