"""End-to-end tests of deployments on the users' platform, in virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from currantline.exceptions import WireError
from currantline.gateway import Gateway
from currantline.platform import HEADERS, decode_settings
from currantline.platform.samples import (
    make_configuration,
    make_directory_query,
    make_settings,
    make_target_entry,
)
from currantline.standin.network import LoopClock, Network, run_on_host, run_session
from currantline.standin.store import StandinStore
from currantline.standin.worker import StandinWorker
from currantline.telemetry import EventLog
from currantline.wire import HttpServer, Request, Response, fetch

STORE, CALLER = "10.200.1.7", "10.99.0.1"
DATA_CENTRES = ("a", "b")

# Time after a write to the store by which the change must be in effect.
APPLY_LIMIT_MS = 2_000.0

HOSTS = {"10.1.0.1": "a", "10.1.0.2": "a", "10.1.0.3": "a", "10.2.0.1": "b"}


class Deployment:
    """Four instances in two data centres, a store and two targets."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.store = StandinStore()
        self.gateways: dict[str, Gateway] = {}
        self.workers: dict[str, StandinWorker] = {}
        self.starts = 0

    async def start(self) -> None:
        """Start all parts and wait until all instances are ready."""
        await run_on_host(STORE, HttpServer(self.store.handle).start(f"{STORE}:8642"))
        self.store.put("op/config", make_configuration(1))
        for number in (1, 2):
            await self.add_worker(f"i-{number}", f"10.9.0.{number}")
        await asyncio.gather(*(self.add_instance(host) for host in HOSTS))
        await asyncio.sleep(3.0)

    async def add_worker(self, name: str, host: str, **values: Any) -> StandinWorker:
        """Start a target and register it in the store."""
        worker = StandinWorker(name=name, header_names=HEADERS, **values)
        await run_on_host(host, HttpServer(worker.handle).start(f"{host}:80"))
        self.workers[name] = worker
        self.store.put(f"servers/{name}", make_target_entry(f"{host}:80"))
        return worker

    async def add_instance(self, host: str) -> None:
        """Start an instance."""
        self.starts += 1
        seeds = ("10.1.0.1", "10.2.0.1")
        document = make_settings(
            host, HOSTS[host], seeds=seeds, data_centres=DATA_CENTRES
        )
        clock = LoopClock(asyncio.get_running_loop())
        gateway = Gateway(
            decode_settings(document, source=host),
            clock=clock,
            rng=random.Random(host),
            incarnation=self.starts,
            log=EventLog(host, clock=clock, write=len),
        )
        self.gateways[host] = gateway
        await run_on_host(host, gateway.start())

    async def kill(self, host: str) -> None:
        """Kill an instance."""
        self.network.kill(host)
        del self.gateways[host]

    async def call(
        self, host: str, path: str = "/read/x", *, request_id: str = "a"
    ) -> Response:
        """Send a request to an instance."""
        headers = (
            ("host", "shop.example"),
            (HEADERS.request_id, request_id),
            (HEADERS.time_left, "3000"),
        )
        request = Request(method="GET", target=path, headers=headers)
        call = fetch(f"{host}:8641", request, timeout_ms=5_000.0)
        return await run_on_host(CALLER, call)

    async def fetch_from(self, host: str, port: int, target: str) -> Response:
        """Send a GET request to a port of an instance."""
        request = Request(method="GET", target=target)
        call = fetch(f"{host}:{port}", request, timeout_ms=1_000.0)
        return await run_on_host(CALLER, call)

    async def find_addresses(self, host: str) -> bytes:
        """Return the addresses that an instance gives callers of data centre ``a``."""
        return (await self.fetch_from(host, 8644, make_directory_query("a"))).body

    def list_versions(self) -> list[int]:
        """Return the configuration version in effect at each instance."""
        tables = [gateway.table for gateway in self.gateways.values()]
        return [table.version if table else 0 for table in tables]


def run(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    """Run a scenario on a deployment that is ready."""
    network = Network(latency_ms=0.5)

    async def session() -> None:
        deployment = Deployment(network)
        await deployment.start()
        await scenario(deployment)

    run_session(network, session())


class TestRequests:
    """Requests, address queries and metrics without faults."""

    def test_calm(self) -> None:
        """Guards against requests that do not get from a caller to a target."""

        async def scenario(deployment: Deployment) -> None:
            for host in HOSTS:
                response = await deployment.call(host)
                assert (response.status, response.body) == (200, b"/read/x")
                assert (
                    await deployment.fetch_from(host, 8640, "/-/readiness")
                ).status == 200
            assert (await deployment.call("10.1.0.1", "/none/")).status == 404

        run(scenario)

    def test_addresses(self) -> None:
        """Guards against callers that are directed to stopped instances."""

        async def scenario(deployment: Deployment) -> None:
            assert (await deployment.find_addresses("10.2.0.1")).count(b":8641") == 3
            await deployment.kill("10.1.0.2")
            await asyncio.sleep(4.0)
            assert b"10.1.0.2" not in await deployment.find_addresses("10.2.0.1")

        run(scenario)

    def test_metrics(self) -> None:
        """Guards against metrics that cannot be scraped."""

        async def scenario(deployment: Deployment) -> None:
            await deployment.call("10.1.0.1")
            response = await deployment.fetch_from("10.1.0.1", 9464, "/metrics")
            assert b'currantline_requests_total{status="200"} 1.0' in response.body
            assert b"currantline_instances 4.0" in response.body

        run(scenario)


class TestPublished:
    """Configuration and targets read from the store."""

    def test_few_calls(self) -> None:
        """Guards against a store that every instance of the fleet polls."""

        async def scenario(deployment: Deployment) -> None:
            before = deployment.store.call_count
            deployment.store.put("op/config", make_configuration(2))
            await asyncio.sleep(1.0)
            assert deployment.list_versions() == [2] * 4
            assert deployment.store.call_count - before <= 6

        run(scenario)

    def test_drain(self) -> None:
        """Guards against requests to a draining target, from any instance."""

        async def scenario(deployment: Deployment) -> None:
            entry = make_target_entry("10.9.0.1:80", state="draining")
            deployment.store.put("servers/i-1", entry)
            await asyncio.sleep(1.0)
            deployment.workers["i-1"].started_ids.clear()
            for host in HOSTS:
                for _ in range(3):
                    assert (await deployment.call(host)).status == 200
            assert deployment.workers["i-1"].started_ids == []

        run(scenario)

    @pytest.mark.parametrize("value", [b"\xff\x00", {"info": 1}, 7])
    def test_invalid_entry(self, value: Any) -> None:
        """Guards against an invalid entry that makes the valid ones unavailable."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.put("servers/x", value)
            deployment.store.put("op/config", make_configuration(2))
            await asyncio.sleep(1.0)
            assert deployment.list_versions() == [2] * 4
            assert all(len(g.targets) == 2 for g in deployment.gateways.values())

        run(scenario)

    def test_reader_killed(self) -> None:
        """Guards against changes that stay unread after the reading instance died."""

        async def scenario(deployment: Deployment) -> None:
            await deployment.kill("10.1.0.1")
            deployment.store.put("op/config", make_configuration(3))
            await asyncio.sleep(2.0)
            assert deployment.list_versions() == [3] * 3

        run(scenario)

    def test_older_version(self) -> None:
        """Guards against an older configuration that replaces a newer one."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.put("op/config", make_configuration(9))
            await asyncio.sleep(1.0)
            deployment.store.put("op/config", make_configuration(4))
            await asyncio.sleep(1.0)
            assert deployment.list_versions() == [9] * 4

        run(scenario)

    def test_unknown_kind(self) -> None:
        """Guards against a new kind of route that takes the other routes down."""

        async def scenario(deployment: Deployment) -> None:
            document = make_configuration(2)
            document["routes"]["orders"]["kind"] = "maybe"
            deployment.store.put("op/config", document)
            await asyncio.sleep(1.0)
            assert deployment.list_versions() == [2] * 4
            assert (await deployment.call("10.1.0.1")).status == 200
            assert (await deployment.call("10.1.0.1", "/orders/x")).status == 200
            gateway = deployment.gateways["10.1.0.1"]
            assert b"routes_of_unknown_kind 1.0" in gateway.meter.render()

        run(scenario)


class TestFaults:
    """Failures of the store, of instances and of the network."""

    def test_store_down(self) -> None:
        """Guards against requests that fail while the store is down."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.is_down = True
            await asyncio.sleep(10.0)
            assert (await deployment.call("10.1.0.2")).status == 200
            deployment.store.is_down = False
            deployment.store.put("op/config", make_configuration(5))
            await asyncio.sleep(8.0)
            assert deployment.list_versions() == [5] * 4

        run(scenario)

    def test_readers_refused(self) -> None:
        """Guards against a change that is delayed until a hanging watch times out.

        The store stops responding to all instances that read it, just after they have
        started their watches, but still serves the other instances.
        """

        async def scenario(deployment: Deployment) -> None:
            deployment.store.put("op/config", make_configuration(2))
            await asyncio.sleep(0.4)
            deployment.network.partition([STORE], ["10.1.0.1", "10.2.0.1"])
            deployment.store.put("op/config", make_configuration(3))
            await asyncio.sleep(APPLY_LIMIT_MS / 1000)
            assert deployment.list_versions() == [3] * 4

        run(scenario)

    def test_history_dropped(self) -> None:
        """Guards against a removed target that stays in use after a lost history."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.remove("servers/i-2")
            deployment.store.drop_history()
            await asyncio.sleep(1.0)
            assert all(len(g.targets) == 1 for g in deployment.gateways.values())

        run(scenario)

    def test_restart_while_the_store_is_down(self) -> None:
        """Guards against a restarted instance that cannot serve without the store."""

        async def scenario(deployment: Deployment) -> None:
            deployment.store.is_down = True
            await deployment.kill("10.1.0.2")
            await asyncio.sleep(2.0)
            deployment.network.thaw_all()
            await deployment.add_instance("10.1.0.2")
            await asyncio.sleep(1.0)
            assert (await deployment.call("10.1.0.2")).status == 200

        run(scenario)

    def test_all_restart(self) -> None:
        """Guards against a fleet that does not recover from a full restart."""

        async def scenario(deployment: Deployment) -> None:
            for host in HOSTS:
                await deployment.kill(host)
            deployment.network.thaw_all()
            await asyncio.gather(*(deployment.add_instance(host) for host in HOSTS))
            await asyncio.sleep(1.0)
            for host in HOSTS:
                assert (await deployment.call(host)).status == 200

        run(scenario)

    def test_partition(self) -> None:
        """Guards against an instance without the store that stops serving."""

        async def scenario(deployment: Deployment) -> None:
            deployment.network.partition(["10.2.0.1", STORE], ["10.1.0.1", "10.1.0.2"])
            deployment.store.put("op/config", make_configuration(6))
            await asyncio.sleep(5.0)
            assert (await deployment.call("10.1.0.1")).status == 200
            deployment.network.heal()
            await asyncio.sleep(5.0)
            assert deployment.list_versions() == [6] * 4

        run(scenario)

    def test_leaving(self) -> None:
        """Guards against a stop that aborts requests or still attracts callers."""

        async def scenario(deployment: Deployment) -> None:
            deployment.workers["i-1"].work_ms = deployment.workers["i-2"].work_ms = 800
            open_call = asyncio.create_task(deployment.call("10.1.0.2"))
            await asyncio.sleep(0.3)
            gateway = deployment.gateways["10.1.0.2"]
            leave = run_on_host("10.1.0.2", gateway.leave())
            await asyncio.sleep(0.2)
            ready = await deployment.fetch_from("10.1.0.2", 8640, "/-/readiness")
            assert ready.status == 503
            assert b"10.1.0.2" not in await deployment.find_addresses("10.1.0.1")
            assert (await open_call).status == 200
            await leave

        run(scenario)

    def test_leaving_takes_nothing_late(self) -> None:
        """Guards against a request that is accepted too late to finish."""

        async def scenario(deployment: Deployment) -> None:
            gateway = deployment.gateways["10.1.0.2"]
            leave = run_on_host("10.1.0.2", gateway.leave())
            await asyncio.sleep(2.0)
            assert (await deployment.call("10.1.0.2")).status == 200
            # A request accepted later than 3 s after the signal could be aborted.
            await asyncio.sleep(0.9)
            with pytest.raises(WireError):
                await deployment.call("10.1.0.2")
            await leave

        run(scenario)
