"""Tests of what targets say of themselves: that they leave, or want silence."""

import asyncio
import math

import attrs
import pytest

from currantline.placement import (
    PublishedTarget,
    Target,
    TargetRegistry,
    describe_unavailability,
    find_next_available_ms,
)
from currantline.relay.tests.support import (
    RelayHarness,
    make_request,
    make_route,
    run_scenario,
)
from currantline.standin.worker import StandinWorker
from currantline.wire import find_header

LEAVING = (("leaving", "1"),)
NON_IDEMPOTENT = make_route(is_idempotent=False)


def make_entry(started_unix_ms: int, address: str = "10.0.1.1:80") -> PublishedTarget:
    """Return the entry of a target."""
    return PublishedTarget(
        name="t",
        started_unix_ms=started_unix_ms,
        address=address,
        service="s",
        data_centre="a",
        slots=2,
    )


async def reject_once(harness: RelayHarness, worker: StandinWorker, after: str) -> None:
    """Let a target reject a request with a Retry-After header."""
    worker.is_rejecting = True
    worker.extra_headers = (("retry-after", after),)
    assert (await harness.send("first")).status == 503
    worker.is_rejecting, worker.extra_headers = False, ()


class TestLeaving:
    """Targets whose responses say that they leave."""

    @pytest.mark.parametrize("name", ["x-leaving", "leaving"])
    @pytest.mark.parametrize(
        ("status", "headers"),
        [
            (200, "x-signature: s"),
            (500, "x-signature: s"),
            (503, "x-not-run: 1"),
            (200, "x-unsigned: 1"),
        ],
    )
    def test_no_further_requests(self, name: str, status: int, headers: str) -> None:
        """Guards against requests to a target that leaves."""
        text = f"HTTP/1.1 {status} X\r\nx-id: a\r\n{headers}\r\n{name}: 1\r\n"

        async def scenario(harness: RelayHarness) -> None:
            answer = f"{text}content-length: 0\r\n\r\n".encode()
            script = await harness.add_scripted_target(answer)
            response = await harness.send("a")
            assert response.status == (502 if "unsigned" in headers else status)
            assert find_header(response.headers, name) is None
            checks = harness.meter.render().count(b"health_checks_total 1.0")
            for _ in range(5):
                assert (await harness.send("b")).status == 503
                await asyncio.sleep(0.2)
            assert script.requests == 1
            assert harness.meter.render().count(b"health_checks_total 1.0") == checks

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_early_answer(self) -> None:
        """Guards against a mark that is missed since the upload was not read."""

        async def scenario(harness: RelayHarness) -> None:
            answer = (
                b"HTTP/1.1 403 Forbidden\r\nx-id: a\r\nx-signature: s\r\n"
                b"leaving: 1\r\ncontent-length: 0\r\n\r\n"
            )
            script = await harness.add_scripted_target(answer)
            upload = attrs.evolve(make_request(), method="POST", body=bytes(300_000))
            response = await harness.relay.handle(upload, harness.clock.read())
            assert response.status == 403
            assert (await harness.send("b")).status == 503
            assert script.requests == 1

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_health_check(self) -> None:
        """Guards against a request to a target whose health check says it leaves."""

        async def scenario(harness: RelayHarness) -> None:
            leaving = await harness.add_worker(extra_headers=LEAVING)
            other = await harness.add_worker()
            for number in range(6):
                assert (await harness.send(str(number))).status == 200
            assert (leaving.started_ids, len(other.started_ids)) == ([], 6)
            assert leaving.received <= 1

        run_scenario(scenario)

    def test_waiting_request(self) -> None:
        """Guards against a waiting request that takes the slot of a leaving target."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(work_ms=200.0, slots=1)
            first = asyncio.ensure_future(harness.send("a"))
            await asyncio.sleep(0.05)
            second = asyncio.ensure_future(harness.send("b"))
            await asyncio.sleep(0.05)
            worker.extra_headers = LEAVING
            assert (await first).status == 200
            assert (await second).status == 503
            assert worker.started_ids == ["a"]

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_under_way(self) -> None:
        """Guards against requests under way that end because their target leaves."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(work_ms=200.0, slots=2)
            first = asyncio.ensure_future(harness.send("a"))
            await asyncio.sleep(0.1)
            second = asyncio.ensure_future(harness.send("b"))
            await asyncio.sleep(0.05)
            worker.extra_headers = LEAVING
            assert [(await first).status, (await second).status] == [200, 200]

        run_scenario(scenario, NON_IDEMPOTENT)

    @pytest.mark.parametrize("value", ["0", "", "true", "11"])
    def test_other_value(self, value: str) -> None:
        """Guards against a target that is given up for a header of another meaning."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_worker(extra_headers=(("leaving", value),))
            for number in range(3):
                assert (await harness.send(str(number))).status == 200

        run_scenario(scenario)

    def test_other_target_at_the_address(self) -> None:
        """Guards against a target that is given up for what another one says."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(extra_headers=LEAVING)
            worker.name = "other"
            await harness.send("a")
            target = harness.targets.find("t1")
            assert target is not None
            assert not target.stated.is_leaving

        run_scenario(scenario)

    def test_older_state(self) -> None:
        """Guards against a target in use again by an older state of the store."""
        targets = TargetRegistry()
        targets.update(make_entry(1), 0.0)
        target = targets.find("t")
        assert target is not None
        target.stated.is_leaving = True
        targets.update(make_entry(1), 0.0)
        targets.update(make_entry(1, "10.0.1.2:80"), 0.0)
        assert targets.list_usable("s") == []
        targets.remove("t")
        targets.update(make_entry(1), 0.0)
        assert targets.list_usable("s") == []
        targets.update(make_entry(2), 0.0)
        assert len(targets.list_usable("s")) == 1


class TestSilence:
    """Targets that reject a request and name a time for which they want none."""

    @pytest.mark.parametrize("after_s", ["0.3", "5", "60"])
    def test_no_requests(self, after_s: str) -> None:
        """Guards against requests and health checks during a silence."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker()
            await reject_once(harness, worker, after_s)
            received = worker.received
            end_s = harness.clock.read() / 1000 + float(after_s)
            while harness.clock.read() / 1000 < end_s - 0.2:
                started = harness.clock.read()
                response = await harness.send("a")
                assert response.status == 503
                assert harness.clock.read() - started < 5.0
                retry_after_s = float(find_header(response.headers, "retry-after") or 0)
                assert retry_after_s >= end_s - started / 1000
                await asyncio.sleep(float(after_s) / 20)
            assert worker.received == received
            await asyncio.sleep(0.2 + 0.1 * float(after_s))
            assert (await harness.send("b")).status == 200

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_other_target(self) -> None:
        """Guards against a silence that refuses what another target can serve."""

        async def scenario(harness: RelayHarness) -> None:
            silent = await harness.add_worker(is_rejecting=True)
            silent.extra_headers = (("retry-after", "5"),)
            other = await harness.add_worker(slots=8)
            for number in range(20):
                assert (await harness.send(str(number))).status == 200
            assert len(other.started_ids) == 20
            assert silent.received <= 2

        run_scenario(scenario)

    @pytest.mark.parametrize(
        "value", ["soon", "-1", "nan", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT", ""]
    )
    def test_invalid(self, value: str) -> None:
        """Guards against a target that is given up for a malformed time."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker()
            await reject_once(harness, worker, value)
            assert (await harness.send("b")).status == 200

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_too_long(self) -> None:
        """Guards against a mistaken time that keeps a target unused for hours."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker()
            await reject_once(harness, worker, "1e9")
            await asyncio.sleep(331.0)
            assert (await harness.send("b")).status == 200

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_repeated(self) -> None:
        """Guards against a silence that a later response shortens."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(work_ms=200.0)
            target = harness.targets.find("t1")
            assert target is not None
            running = asyncio.ensure_future(harness.send("a"))
            await asyncio.sleep(0.05)
            await reject_once(harness, worker, "5")
            until_ms = target.stated.silent_until_ms
            worker.extra_headers = (("retry-after", "0.1"),)
            assert (await running).status == 200
            assert target.stated.silent_until_ms == until_ms

        run_scenario(scenario, NON_IDEMPOTENT)

    def test_health_check(self) -> None:
        """Guards against requests after a health check that asked for silence."""

        async def scenario(harness: RelayHarness) -> None:
            script = await harness.add_scripted_target()
            script.health = (
                b"HTTP/1.1 503 Service Unavailable\r\nx-target: t1\r\n"
                b"retry-after: 5\r\ncontent-length: 0\r\n\r\n"
            )
            other = await harness.add_worker(slots=8)
            for number in range(5):
                assert (await harness.send(str(number))).status == 200
            assert (script.requests, len(other.started_ids)) == (0, 5)

        run_scenario(scenario)

    @pytest.mark.parametrize("address", ["10.0.1.1:80", "10.0.1.2:80"])
    def test_published_again(self, address: str) -> None:
        """Guards against a silence that ends with an older state of the store."""
        targets = TargetRegistry()
        targets.update(make_entry(1), 0.0)
        target = targets.find("t")
        assert target is not None
        target.stated.silent_until_ms = 5_000.0
        targets.update(make_entry(1, "10.0.1.2:80"), 100.0)
        assert targets.list_usable("s", 1_000.0) == []
        targets.remove("t")
        targets.update(make_entry(1, address), 200.0)
        assert targets.list_usable("s", 4_999.0) == []
        assert len(targets.list_usable("s", 5_000.0)) == 1

    def test_new_start(self) -> None:
        """Guards against a silence that outlasts the start that asked for it."""
        targets = TargetRegistry()
        targets.update(make_entry(1), 0.0)
        target = targets.find("t")
        assert target is not None
        target.stated.silent_until_ms = 5_000.0
        targets.update(make_entry(2), 100.0)
        assert len(targets.list_usable("s", 200.0)) == 1

    @pytest.mark.parametrize("max_attempts", [1, 2])
    def test_rejected_caller(self, max_attempts: int) -> None:
        """Guards against a caller that is told to return during the silence."""

        async def scenario(harness: RelayHarness) -> None:
            worker = await harness.add_worker(is_rejecting=True)
            worker.extra_headers = (("retry-after", "0.6"),)
            response = await harness.send("first")
            assert response.status == 503
            assert float(find_header(response.headers, "retry-after") or 0) >= 0.59

        run_scenario(scenario, make_route(max_attempts=max_attempts))


class TestRefusal:
    """Reasons of refused requests in logs."""

    def test_counts(self) -> None:
        """Guards against a refusal that hides why targets are not used."""
        targets = [Target(make_entry(number)) for number in range(3)]
        assert describe_unavailability([], 0.0) == "no target"
        targets[0].stated.is_leaving = targets[1].stated.is_leaving = True
        targets[2].stated.silent_until_ms = 5.0
        text = describe_unavailability(targets, 0.0)
        assert text == "no target: 2 leaving, 1 silent"
        assert find_next_available_ms(targets, 0.0) == 5.0
        assert find_next_available_ms(targets, 6.0) == 6.0
        assert find_next_available_ms(targets[:2], 0.0) == math.inf
