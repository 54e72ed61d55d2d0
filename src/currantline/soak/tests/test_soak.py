"""Tests of the soak test: its checks, its proxy and a short run."""

import asyncio
import contextlib
from pathlib import Path

import pytest

from currantline.soak import GuaranteeChecker, Proxy, ProxyMode, run_soak
from currantline.soak._guarantees import Call


def make_call(name: str = "r", **values: object) -> Call:
    """Return a non-idempotent call sent at 10 s and answered 10 ms later."""
    fields = {
        "is_idempotent": False,
        "instance": "h",
        "sent_ms": 10_000.0,
        "status": 200,
        "ended_ms": 10_010.0,
    }
    return Call(name=name, **{**fields, **values})  # type: ignore[arg-type]


def make_checker(call: Call, *targets: str) -> GuaranteeChecker:
    """Return a checker with a call that targets of service ``s`` executed."""
    checker = GuaranteeChecker()
    checker.record_configuration("s", 0.0)
    checker.record_call(call)
    for target in targets:
        checker.record_execution(call.name, target, "s", call.sent_ms)
    return checker


class TestPromises:
    """Detection of violated guarantees."""

    def test_no_violation(self) -> None:
        """Guards against violations reported for correct calls."""
        assert make_checker(make_call(), "t").find_violations() == []
        assert make_checker(make_call(status=503)).find_violations() == []
        twice = make_checker(make_call(is_idempotent=True), "t", "u")
        assert twice.find_violations() == []

    @pytest.mark.parametrize(
        ("call", "targets", "line"),
        [
            (make_call(), ("t", "u"), "was executed 2 times"),
            (make_call(status=503), ("t",), "got status 503"),
            (make_call(is_match=False), ("t",), "mismatched or incomplete"),
            (make_call(status=404), (), "got status 404"),
        ],
    )
    def test_violation(self, call: Call, targets: tuple[str, ...], line: str) -> None:
        """Guards against violations that go undetected."""
        [violations] = make_checker(call, *targets).find_violations()
        assert line in violations

    def test_request_after_drain(self) -> None:
        """Guards against undetected requests to a drained target."""
        checker = make_checker(make_call(), "t")
        checker.record_drain("t", 7_900.0)
        assert len(checker.find_violations()) == 1
        assert checker.find_violations(checks_time_bounds=False) == []
        checker.record_fault("h", "pause", 9_000.0)
        assert checker.find_violations() == []

    def test_long_fault(self) -> None:
        """Guards against a long fault that counts as ended while it is active.

        In that case an outdated configuration is reported as a violation although
        the store has been down for some seconds, as in seed 105.
        """
        checker = make_checker(make_call(), "t")
        checker.record_drain("t", 5_000.0)
        outage = checker.record_fault("store", "down", 4_000.0)
        assert checker.find_violations() == []
        outage.end_ms = 7_500.0
        assert checker.find_violations() == []
        outage.end_ms = 6_500.0
        assert len(checker.find_violations()) == 1

    def test_late_configuration(self) -> None:
        """Guards against an undetected delay of a new configuration."""
        checker = make_checker(make_call(), "t")
        checker.record_configuration("other", 8_100.0)
        assert checker.find_violations() == []
        checker.record_configuration("third", 8_200.0)
        assert checker.find_violations() == []
        late = make_checker(make_call(), "t")
        late.record_configuration("other", 7_900.0)
        assert len(late.find_violations()) == 1

    def test_planned_maintenance(self) -> None:
        """Guards against undetected request failures during a graceful stop."""
        checker = make_checker(make_call(status=0), "t")
        assert checker.find_violations() == []
        checker.record_fault("h", "stop", 9_000.0)
        assert len(checker.find_violations()) == 1
        checker.record_fault("t", "is_losing", 9_500.0)
        assert checker.find_violations() == []

    @pytest.mark.parametrize(("requests", "is_violated"), [(17, False), (18, True)])
    def test_limit(self, requests: int, is_violated: bool) -> None:
        """Guards against an undetected excess over the limit of a target."""
        checker = GuaranteeChecker()
        checker.record_configuration("s", 0.0)
        checker.record_limit("t", 2.0, 7_000.0).end_ms = 20_000.0
        for number in range(requests):
            name = f"r{number}"
            checker.record_call(make_call(name, sent_ms=10_000.0 + number))
            checker.record_execution(name, "t", "s", 10_000.0 + number)
        assert bool(checker.find_violations()) == is_violated
        checker.record_fault("h", "pause", 9_000.0)
        assert checker.find_violations() == []

    def test_leaving(self) -> None:
        """Guards against undetected requests to a target that said that it leaves."""
        checker = make_checker(make_call(), "t")
        checker.record_leaving("t", 9_000.0)
        assert checker.find_violations() == []
        checker.record_call(make_call("late", sent_ms=12_100.0, ended_ms=12_110.0))
        checker.record_execution("late", "t", "s", 12_100.0)
        checker.record_call(
            make_call("other", sent_ms=12_100.0, ended_ms=12_110.0, instance="i")
        )
        checker.record_execution("other", "t", "s", 12_100.0)
        [violation] = checker.find_violations()
        assert "late reached t after h knew" in violation
        checker.record_fault("h", "kill", 11_000.0)
        assert checker.find_violations() == []

    def test_silence(self) -> None:
        """Guards against undetected requests to a target that asked for silence."""
        checker = make_checker(make_call(status=503))
        checker.record_rejection("r", "t", 2_000.0, 10_000.0)
        for number, ms in enumerate((10_400.0, 10_600.0, 11_000.0, 12_100.0)):
            checker.record_call(make_call(f"r{number}", sent_ms=ms))
            checker.record_execution(f"r{number}", "t", "s", ms)
        assert checker.find_violations() == []
        checker.record_call(make_call("third", sent_ms=11_900.0))
        checker.record_execution("third", "t", "s", 11_900.0)
        assert len(checker.find_violations()) == 1
        checker.record_fault("h", "pause", 11_000.0)
        assert checker.find_violations() == []

    def test_no_recovery(self) -> None:
        """Guards against an undetected failure to recover."""
        checker = make_checker(make_call(status=503))
        assert len(checker.check_recovery(5_000.0)) == 1
        assert make_checker(make_call()).check_recovery(5_000.0) == []
        assert len(GuaranteeChecker().check_recovery(0.0)) == 1


class TestProxy:
    """Connection faults of the proxy."""

    @pytest.mark.parametrize(
        ("mode", "gets_response"),
        [
            (ProxyMode.PASS, True),
            (ProxyMode.DELAY, True),
            (ProxyMode.DROP_REQUESTS, False),
            (ProxyMode.DROP_RESPONSES, False),
            (ProxyMode.SILENCE, False),
        ],
    )
    def test_modes(self, mode: ProxyMode, gets_response: bool) -> None:
        """Guards against proxy modes that have no effect."""

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.closing(writer):
                writer.write(await reader.read(10))
                await writer.drain()

        async def exchange() -> bytes:
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            proxy = Proxy(f"127.0.0.1:{port}")
            await proxy.start("127.0.0.1:0")
            proxy.mode = mode
            reader, writer = await asyncio.open_connection(*proxy.address)
            writer.write(b"x")
            wait_s = None if gets_response else 0.5
            try:
                async with asyncio.timeout(wait_s):
                    return await reader.read(10)
            except TimeoutError:
                return b""
            finally:
                writer.close()
                await proxy.stop()
                server.close()

        assert asyncio.run(exchange()) == (b"x" if gets_response else b"")


class TestSoak:
    """A short run with real processes."""

    @pytest.mark.parametrize(
        ("seed", "faults"),
        [
            (7, ()),
            (1, ("announce leaving", "want silence", "silence store")),
            (5, ("return store", "replace target", "change configuration", "kill")),
        ],
    )
    def test_seed(self, tmp_path: Path, seed: int, faults: tuple[str, ...]) -> None:
        """Guards against external faults that violate a guarantee.

        Guarantees with a time bound are not checked, since a busy test machine may
        not meet them.
        """
        lines: list[str] = []
        soak = run_soak(
            seed,
            tmp_path,
            duration_s=6.0,
            instances=4,
            faults=faults,
            checks_time_bounds=False,
            report=lines.append,
        )
        assert asyncio.run(soak) == [], lines
        assert "200: " in lines[-1]
