"""Tests of responses of targets whose status is not a final one of the protocol."""

import asyncio

import pytest

from currantline.relay import NOT_RUN_STATUSES
from currantline.relay.tests.support import (
    CALLER,
    LISTEN_ADDRESS,
    RelayHarness,
    make_request,
    make_route,
    run_scenario,
)
from currantline.relay.tests.test_server import encode
from currantline.standin.network import run_on_host

# No response with one of these is an answer.
INVALID = ["000", "001", "099", "100", "101", "103", "199", "600", "700", "999"]
INVALID += ["2000", "0200", "20", "2", "", "+200", "-200", "+20", "-20", "2 0", "2e2"]
INVALID += ["0x1", "200.", "\xb2\xb2\xb2"]


def make_answer(status: str, *headers: str) -> bytes:
    """Return a response to request ``a`` that says what a complete answer says."""
    lines = [f"HTTP/1.1 {status} X", "x-id: a", "x-signature: s", *headers]
    return "\r\n".join([*lines, "content-length: 0", "", ""]).encode("latin-1")


class RawCaller(asyncio.Protocol):
    """A caller that keeps the bytes that it receives."""

    def __init__(self) -> None:
        self.received = b""

    def data_received(self, data: bytes) -> None:
        """Keep the bytes."""
        self.received += data

    async def send(self) -> bytes:
        """Send request ``a`` and return what came in its time."""
        host, _, port = LISTEN_ADDRESS.rpartition(":")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(lambda: self, host, int(port))
        assert isinstance(transport, asyncio.Transport)
        transport.write(encode(make_request()))
        await asyncio.sleep(3.0)
        return self.received


class TestRequests:
    """Responses to requests of callers."""

    @pytest.mark.parametrize("status", INVALID)
    @pytest.mark.parametrize("header", ["x-target: t1", "x-not-run: 1"])
    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_invalid(self, status: str, header: str, is_idempotent: bool) -> None:
        """Guards against an invalid status that reaches a caller or causes a repeat."""

        async def scenario(harness: RelayHarness) -> None:
            answer = make_answer(status, header)
            scripts = [
                await harness.add_scripted_target(answer, closes=True) for _ in range(2)
            ]
            await harness.server.start(LISTEN_ADDRESS)
            received = await run_on_host(CALLER, RawCaller().send())
            assert received.startswith(b"HTTP/1.1 502 ")
            assert received.count(b"HTTP/1.1") == 1
            requests = sum(script.requests for script in scripts)
            assert requests == (2 if is_idempotent else 1)

        run_scenario(scenario, make_route(is_idempotent=is_idempotent))

    @pytest.mark.parametrize(
        "framing", ["content-length: 9", "transfer-encoding: chunked"]
    )
    def test_interim_with_body(self, framing: str) -> None:
        """Guards against the body of an interim response that is read as an answer."""

        async def scenario(harness: RelayHarness) -> None:
            interim = f"HTTP/1.1 150 X\r\n{framing}\r\n\r\n".encode()
            await harness.add_scripted_target(interim + make_answer("200"))
            assert (await harness.send("a")).status == 502

        run_scenario(scenario)

    @pytest.mark.parametrize("status", [200, 299, 304, 404, 500, 599])
    def test_valid(self, status: int) -> None:
        """Guards against a final status that is refused."""

        async def scenario(harness: RelayHarness) -> None:
            interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
            await harness.add_scripted_target(interim + make_answer(str(status)))
            assert (await harness.send("a")).status == status

        run_scenario(scenario)

    def test_idle(self) -> None:
        """Guards against another request on the connection of an invalid response."""

        async def scenario(harness: RelayHarness) -> None:
            answers = [make_answer("700"), make_answer("200")]
            script = await harness.add_scripted_target(*answers)
            assert (await harness.send("a")).status == 502
            assert not harness.pool.has_idle("10.0.1.1:80")
            assert (await harness.send("a")).status == 200
            assert script.requests == 2

        run_scenario(scenario, make_route(is_idempotent=False))


class TestPromises:
    """Responses whose status would promise that a request has not run."""

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_failed(self, status: int, is_idempotent: bool) -> None:
        """Guards against "not run" for a request that its target ran and failed."""

        async def scenario(harness: RelayHarness) -> None:
            answer = make_answer(str(status), "retry-after: 1")
            scripts = [await harness.add_scripted_target(answer) for _ in range(2)]
            await harness.server.start(LISTEN_ADDRESS)
            received = await run_on_host(CALLER, RawCaller().send())
            assert received.startswith(b"HTTP/1.1 502 ")
            assert b"x-signature" not in received
            assert b"retry-after" not in received
            requests = sum(script.requests for script in scripts)
            assert requests == (2 if is_idempotent else 1)

        run_scenario(scenario, make_route(is_idempotent=is_idempotent))

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    @pytest.mark.parametrize("is_failed_first", [True, False])
    def test_failed_and_rejected(self, status: int, is_failed_first: bool) -> None:
        """Guards against "not run" for a request that only one of its targets ran."""

        async def scenario(harness: RelayHarness) -> None:
            answers = [make_answer(str(status)), make_answer("503", "x-not-run: 1")]
            if not is_failed_first:
                answers.reverse()
            scripts = [await harness.add_scripted_target() for _ in range(2)]
            for script in scripts:
                # The targets answer in this order, whichever is asked first.
                script.responses = answers
            assert (await harness.send("a")).status == 502
            assert not answers

        run_scenario(scenario)

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    def test_rejected(self, status: int) -> None:
        """Guards against a rejection that is no longer passed on as "not run"."""

        async def scenario(harness: RelayHarness) -> None:
            answer = make_answer(str(status), "x-not-run: 1")
            scripts = [await harness.add_scripted_target(answer) for _ in range(2)]
            assert (await harness.send("a")).status == 503
            assert sum(script.requests for script in scripts) == 2

        run_scenario(scenario, make_route(is_idempotent=False))

    def test_failed_as_misdirected(self) -> None:
        """Guards against a target that counts as replaced since it failed a request."""

        async def scenario(harness: RelayHarness) -> None:
            await harness.add_scripted_target(make_answer("421"))
            await harness.send("a")
            target = harness.targets.find("t1")
            assert target is not None
            assert not target.is_address_reused

        run_scenario(scenario, make_route(is_idempotent=False))


class TestHealthChecks:
    """Responses to health checks."""

    @pytest.mark.parametrize("status", INVALID)
    def test_invalid(self, status: str) -> None:
        """Guards against an invalid status that counts as an answer of the target."""

        async def scenario(harness: RelayHarness) -> None:
            load = ("x-target: t1", "x-load: 0,0,2,100", "leaving: 1", "x-limit: 3")
            script = await harness.add_scripted_target(make_answer("200"))
            script.health = make_answer(status, *load).replace(
                b"x-signature: s\r\n", b""
            )
            assert (await harness.send("a")).status == 503
            assert script.requests == 0
            target = harness.targets.find("t1")
            assert target is not None
            assert target.last_report is None
            assert not target.stated.is_leaving
            assert not target.is_rate_limited
            assert harness.meter.read("health_check_failures") > 0

        run_scenario(scenario)
