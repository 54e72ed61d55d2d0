"""Evacuation of a data centre, seen by a whole fleet in virtual time."""

import asyncio
import json

import pytest

from currantline.clock import MonotonicClock
from currantline.placement import TargetRegistry
from currantline.platform.samples import (
    make_evacuation_key,
    make_rate_limit_headers,
    make_target_entry,
)
from currantline.published_state import PublishedState
from currantline.replica import Record
from currantline.telemetry import EventLog
from currantline.tests.support import (
    APPLY_LIMIT_MS,
    HOSTS,
    STORE,
    Deployment,
    list_hosts,
    run,
    send_steadily,
)

KEY_A, KEY_B = make_evacuation_key("a"), make_evacuation_key("b")
APPLY_S = APPLY_LIMIT_MS / 1000

# Time by which requests that wait are refused.
AT_ONCE_S = 0.1

# The only instance of a small deployment.
HOST = "10.1.0.1"

# Host of an instance that starts during the evacuation.
NEW_HOST = "10.2.9.9"

# Time by which removals are applied that the store's return shows.
DEFERRED_S = 6.0


async def start_load(deployment: Deployment, duration_s: float) -> "asyncio.Task[None]":
    """Add targets in the other data centre and start to send requests."""
    for number in (3, 4):
        name, host = f"i-{number}", f"10.9.0.{number}"
        await deployment.add_worker(name, host, data_centre="b")
    per_s = 5.0 * len(deployment.hosts)

    async def send() -> None:
        answers = await send_steadily(deployment, per_s=per_s, duration_s=duration_s)
        assert {answer.status for answer in answers} == {200}

    for worker in deployment.workers.values():
        worker.slots = 20
    load = asyncio.create_task(send())
    await asyncio.sleep(APPLY_S)
    return load


async def evacuate_all(deployment: Deployment) -> None:
    """Evacuate the data centre of all targets and wait until an instance knows it."""
    deployment.store.put(KEY_A, {})
    while not deployment.gateways[HOST].targets.count_evacuated():
        await asyncio.sleep(0.001)
    await asyncio.sleep(AT_ONCE_S)


def count_arrivals(deployment: Deployment) -> int:
    """Return how many requests and health checks the evacuated targets received."""
    names = [name for name in deployment.workers if name >= "i-3"]
    return sum(len(deployment.worker_servers[name].arrivals) for name in names)


class TestFleet:
    """A data centre that is evacuated under load."""

    @pytest.mark.parametrize("instances", [2, 19])
    @pytest.mark.parametrize("document", [{}, b"\xff{"])
    def test_evacuation_and_return(self, instances: int, document: object) -> None:
        """Guards against requests or health checks there, and against no return."""
        hosts = list_hosts(instances)

        async def scenario(deployment: Deployment) -> None:
            load = await start_load(deployment, 12.0)
            deployment.store.put(KEY_B, document)
            await asyncio.sleep(APPLY_S)
            count = count_arrivals(deployment)
            await asyncio.sleep(1.0)
            new = await deployment.add_worker("i-5", "10.9.0.5", data_centre="b")
            hosts[NEW_HOST] = "b"
            await deployment.add_instance(NEW_HOST)
            await asyncio.sleep(1.0)
            for number in range(20):
                response = await deployment.call(NEW_HOST, request_id=f"{number}")
                assert response.status == 200
            await asyncio.sleep(1.0)
            assert count_arrivals(deployment) == count > 0
            metrics = await deployment.fetch_from(NEW_HOST, 9464, "/metrics")
            assert b"evacuated_targets 3.0" in metrics.body
            deployment.store.remove(KEY_B)
            await asyncio.sleep(APPLY_S)
            count = count_arrivals(deployment)
            await load
            assert count_arrivals(deployment) > count
            assert new.received > 0
            metrics = await deployment.fetch_from(NEW_HOST, 9464, "/metrics")
            assert b"evacuated_targets 0.0" in metrics.body

        run(scenario, hosts)

    def test_pull_only(self) -> None:
        """Guards against an instance that only follows evacuations it reads itself."""

        async def scenario(deployment: Deployment) -> None:
            load = await start_load(deployment, 6.0)
            deployment.network.partition([STORE], list(HOSTS)[1:])
            await asyncio.sleep(1.0)
            deployment.store.put(KEY_B, {})
            await asyncio.sleep(APPLY_S)
            count = count_arrivals(deployment)
            await load
            assert count_arrivals(deployment) == count > 0

        run(scenario)

    def test_store_down(self) -> None:
        """Guards against an evacuation that ends with the store."""

        async def scenario(deployment: Deployment) -> None:
            load = await start_load(deployment, 16.0)
            deployment.store.put(KEY_B, {})
            await asyncio.sleep(APPLY_S)
            count = count_arrivals(deployment)
            deployment.store.is_down = True
            await asyncio.sleep(3.0)
            # The removal is seen as the absence of the key.
            deployment.store.remove(KEY_B)
            deployment.store.drop_history()
            await asyncio.sleep(1.0)
            assert count_arrivals(deployment) == count > 0
            deployment.store.is_down = False
            await asyncio.sleep(DEFERRED_S)
            assert count_arrivals(deployment) > count
            await load

        run(scenario)

    def test_idle_connections(self) -> None:
        """Guards against a connection that stays open until the next sweep."""

        async def scenario(deployment: Deployment) -> None:
            await deployment.call(HOST)
            servers = deployment.worker_servers.values()
            assert sum(server.connections for server in servers) > 0
            await evacuate_all(deployment)
            assert sum(server.connections for server in servers) == 0

        run(scenario, {HOST: "a"})

    def test_permits(self) -> None:
        """Guards against a request that waits on for its permit."""

        async def scenario(deployment: Deployment) -> None:
            for worker in deployment.workers.values():
                worker.extra_headers = make_rate_limit_headers(4.0)
            calls = [
                asyncio.create_task(deployment.call(HOST, request_id=f"{n}"))
                for n in range(12)
            ]
            await asyncio.sleep(0.3)
            running = sum(worker.running for worker in deployment.workers.values())
            waiting = [call for call in calls if not call.done()]
            assert len(waiting) > running
            await evacuate_all(deployment)
            statuses = [call.result().status for call in waiting if call.done()]
            assert statuses.count(503) == len(waiting) - running

        run(scenario, {HOST: "a"})

    def test_all(self) -> None:
        """Guards against a request that waits although no data centre is left."""

        async def scenario(deployment: Deployment) -> None:
            await (await start_load(deployment, 1.0))
            for key in (KEY_A, KEY_B):
                deployment.store.put(key, {})
            await asyncio.sleep(APPLY_S)
            for host in HOSTS:
                async with asyncio.timeout(0.05):
                    response = await deployment.call(host)
                assert response.status == 503
                assert response.body == b"no target: 4 evacuated"

        run(scenario)


class TestRecords:
    """Records of evacuations in the store."""

    def test_log(self) -> None:
        """Guards against a change, or an invalid key, that operators do not see."""
        lines: list[bytes] = []

        def write(data: bytes) -> int:
            lines.append(data)
            return len(data)

        clock = MonotonicClock()
        log = EventLog("i", clock=clock, write=write)
        targets = TargetRegistry()
        calls: list[int] = []
        state = PublishedState(
            targets,
            data_centres=["a"],
            on_evacuation=lambda: calls.append(len(targets.list_usable("svc"))),
            clock=clock,
            log=log,
        )
        entry = json.dumps(make_target_entry())
        # An evacuation comes first, wherever it stands in the batch.
        state.apply([Record("servers/x", 1, entry), Record(KEY_A, 2, "{}")])
        state.apply([Record(KEY_A, 3, ""), Record(KEY_B, 4, "{}")])
        state.apply([Record(make_evacuation_key(""), 5, "{}")])
        state.apply([Record(KEY_A, 6, None), Record(KEY_B, 7, None)])
        log.flush()
        found = [json.loads(line) for line in b"".join(lines).splitlines()]
        assert [
            (line["event"], line.get("data_centre"), line.get("revision"))
            for line in found
        ] == [
            ("data_centre_evacuated", "a", 2),
            ("target_ready", None, 1),
            ("evacuation_unknown", "b", 4),
            ("evacuation_refused", None, None),
            ("data_centre_returned", "a", 6),
            ("data_centre_returned", "b", 7),
        ]
        assert (found[0]["targets"], found[4]["targets"], calls) == (0, 1, [0, 0])
        assert len(targets.list_usable("svc")) == 1
