"""End-to-end tests of deployments on the users' platform, in virtual time."""

import asyncio
from typing import Any

import pytest

from currantline.exceptions import WireError
from currantline.platform.samples import (
    ODD_ENTRIES,
    make_configuration,
    make_target_entry,
)
from currantline.relay import RelayServer
from currantline.standin.network import run_on_host
from currantline.tests.support import (
    APPLY_LIMIT_MS,
    HOSTS,
    STORE,
    Deployment,
    PipeliningCaller,
    run,
)

ENTRY = make_target_entry("10.9.0.9:80")


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

    @pytest.mark.parametrize(("limit", "copies"), [(None, 2), (0.0, 1), (1.0, 2)])
    def test_hedge_limit(self, limit: float | None, copies: int) -> None:
        """Guards against instances that do not keep to the limit of hedges."""

        async def scenario(deployment: Deployment) -> None:
            await deployment.kill("10.1.0.3")
            deployment.network.thaw_all()
            deployment.hedge_limit = limit
            await deployment.add_instance("10.1.0.3")
            await asyncio.sleep(3.0)
            for worker in deployment.workers.values():
                worker.work_ms = 600.0
            await deployment.call("10.1.0.3")
            assert (
                sum(len(w.started_ids) for w in deployment.workers.values()) == copies
            )

        run(scenario)

    def test_idle_connections(self) -> None:
        """Guards against idle connections of the fleet that use up those of a target.

        A target resets the connections beyond its limit for all instances together.
        """

        async def scenario(deployment: Deployment) -> None:
            document = make_configuration(2)
            document["services"]["svc"]["maxConnections"] = 8
            deployment.store.put("op/config", document)
            for worker in deployment.workers.values():
                worker.slots = 40
            await asyncio.sleep(1.0)
            calls = (deployment.call(host) for host in HOSTS for _ in range(8))
            await asyncio.gather(*calls)
            await asyncio.sleep(1.5)
            for server in deployment.worker_servers.values():
                assert 0 < server.connections <= 8

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

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff\x00",
            {"info": 1},
            7,
            b"[" * 100_000,
            {**ENTRY, "status": {**ENTRY["status"], "warmupLeftMs": 10**400}},
        ],
    )
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


class TestOddEntries:
    """Entries of targets that another program has written."""

    @pytest.mark.parametrize("number", range(len(ODD_ENTRIES)))
    def test_odd_entry(self, number: int) -> None:
        """Guards against one odd entry that ends an instance or a request.

        The entry is there when an instance starts, changes, and is passed on to others.
        """

        async def scenario(deployment: Deployment) -> None:
            deployment.store.put("servers/odd", ODD_ENTRIES[number])
            await asyncio.sleep(0.5)
            await deployment.kill("10.1.0.2")
            deployment.network.thaw_all()
            await deployment.add_instance("10.1.0.2")
            await asyncio.sleep(1.0)
            for host in HOSTS:
                for _ in range(4):
                    assert (await deployment.call(host)).status == 200
            deployment.store.put("servers/odd", ENTRY)
            deployment.store.put("op/config", make_configuration(7))
            await asyncio.sleep(1.0)
            assert deployment.list_versions() == [7] * 4
            for gateway in deployment.gateways.values():
                assert gateway.targets.find("odd") is not None

        run(scenario)

    @pytest.mark.parametrize(
        "name", ["a b", "a\r\nx: y", "\u00e9", "\ud800", "x" * 5000]
    )
    def test_odd_name(self, name: str) -> None:
        """Guards against a name that cannot be written into a header."""

        async def scenario(deployment: Deployment) -> None:
            for worker in ("i-1", "i-2"):
                deployment.store.remove(f"servers/{worker}")
            deployment.store.put(f"servers/{name}", make_target_entry("10.9.0.1:80"))
            await asyncio.sleep(3.0)
            for host in HOSTS:
                assert (await deployment.call(host)).status == 503

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

    def test_removal_while_readers_restart(self) -> None:
        """Guards against a target that has left and is used again after restarts.

        The readers of both data centres are killed, a target leaves, and the readers
        start again before the remaining instances read the store.
        """

        async def scenario(deployment: Deployment) -> None:
            readers = ("10.1.0.1", "10.2.0.1")
            for host in readers:
                await deployment.kill(host)
            deployment.store.remove("servers/i-2")
            await asyncio.sleep(0.1)
            deployment.network.thaw_all()
            await asyncio.gather(*(deployment.add_instance(host) for host in readers))
            await asyncio.sleep(APPLY_LIMIT_MS / 1000)
            for gateway in deployment.gateways.values():
                assert gateway.targets.find("i-2") is None

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

    @pytest.mark.parametrize(
        ("read_s", "stopped_s"), [(0.0, 2.7), (4.9, 4.9), (9.0, 5.7)]
    )
    def test_leaving_with_slow_reader(
        self, monkeypatch: pytest.MonkeyPatch, read_s: float, stopped_s: float
    ) -> None:
        """Guards against a stop that cuts off an answer that a caller still reads."""

        async def scenario(deployment: Deployment) -> None:
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            monkeypatch.setattr(
                RelayServer,
                "undelivered_responses",
                property(lambda server: int(loop.time() - started_s < read_s)),
            )
            gateway = deployment.gateways["10.1.0.2"]
            await run_on_host("10.1.0.2", gateway.leave())
            assert loop.time() - started_s == pytest.approx(stopped_s, abs=0.1)

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

    def test_leaving_with_pipelined_requests(self) -> None:
        """Guards against requests on an open connection that are passed on too late.

        A caller that always has a request in progress on its connection keeps it open,
        so that its requests arrive until the end of the grace time.
        """

        async def scenario(deployment: Deployment) -> None:
            for worker in deployment.workers.values():
                worker.work_ms, worker.slots = 150, 8
            caller = PipeliningCaller(deployment, "10.1.0.2")
            await caller.start()
            gateway = deployment.gateways["10.1.0.2"]
            leave = run_on_host("10.1.0.2", gateway.leave())
            await caller.send_every(0.1, duration_s=5.5)
            await leave
            late = set(caller.sent_after(3.0))
            ran = {i for w in deployment.workers.values() for i in w.started_ids}
            cut = {i for w in deployment.workers.values() for i in w.cancelled}
            assert not late & ran
            assert not cut
            assert caller.statuses == {200, 503}

        run(scenario)

    def test_leaving_with_queued_requests(self) -> None:
        """Guards against queued requests that get no answer when the instance stops."""

        async def scenario(deployment: Deployment) -> None:
            for worker in deployment.workers.values():
                worker.work_ms, worker.slots = 20_000, 1
            document = make_configuration(2)
            for route in document["routes"].values():
                route["timeoutMs"], route["targetLatencyMs"] = 30_000, 20_000
            deployment.store.put("op/config", document)
            await asyncio.sleep(1.0)
            calls = [
                asyncio.create_task(
                    deployment.call(
                        "10.1.0.2",
                        "/orders/x",
                        request_id=str(number),
                        remaining_ms=30_000.0,
                    )
                )
                for number in range(6)
            ]
            await asyncio.sleep(0.5)
            await run_on_host("10.1.0.2", deployment.gateways["10.1.0.2"].leave())
            statuses = [response.status for response in await asyncio.gather(*calls)]
            assert statuses.count(503) == 4
            assert statuses.count(504) == 2
            assert sum(len(w.started_ids) for w in deployment.workers.values()) == 2

        run(scenario)
