"""A short soak, and tests that its checks find what they look for."""

import asyncio
from pathlib import Path

import pytest

from currantline.soak import GuaranteeChecker, Proxy, ProxyMode, run_soak
from currantline.soak._guarantees import Call


def make_call(name: str = "r", **values: object) -> Call:
    """Return an order that was sent at 10 s and answered 10 ms later."""
    fields = {
        "is_idempotent": False,
        "instance": "h",
        "sent_ms": 10_000.0,
        "status": 200,
        "ended_ms": 10_010.0,
    }
    return Call(name=name, **{**fields, **values})  # type: ignore[arg-type]


def make_checker(call: Call, *targets: str) -> GuaranteeChecker:
    """Return what was seen of a call that ran at targets of service ``s``."""
    checker = GuaranteeChecker()
    checker.record_configuration("s", 0.0)
    checker.record_call(call)
    for target in targets:
        checker.record_execution(call.name, target, "s", call.sent_ms)
    return checker


class TestPromises:
    """Checks of what was seen."""

    def test_kept(self) -> None:
        """Guards against checks that fail on calls as they should be."""
        assert make_checker(make_call(), "t").find_violations() == []
        assert make_checker(make_call(status=503)).find_violations() == []
        twice = make_checker(make_call(is_idempotent=True), "t", "u")
        assert twice.find_violations() == []

    @pytest.mark.parametrize(
        ("call", "targets", "line"),
        [
            (make_call(), ("t", "u"), "ran 2 times"),
            (make_call(status=503), ("t",), "was answered 503"),
            (make_call(is_match=False), ("t",), "not its own"),
            (make_call(status=404), (), "answered 404"),
        ],
    )
    def test_broken(self, call: Call, targets: tuple[str, ...], line: str) -> None:
        """Guards against a soak that does not see what it is meant to find."""
        [violations] = make_checker(call, *targets).find_violations()
        assert line in violations

    def test_drained(self) -> None:
        """Guards against work at a drained target that is not seen."""
        checker = make_checker(make_call(), "t")
        checker.record_drain("t", 7_900.0)
        assert len(checker.find_violations()) == 1
        assert checker.find_violations(checks_time_bounds=False) == []
        checker.record_fault("h", "pause", 9_000.0)
        assert checker.find_violations() == []

    def test_long_fault(self) -> None:
        """Guards against a fault that counts as over while it lasts.

        Seed 105 reported a configuration out of force while the store was down for
        the fourth second.
        """
        checker = make_checker(make_call(), "t")
        checker.record_drain("t", 5_000.0)
        outage = checker.record_fault("store", "down", 4_000.0)
        assert checker.find_violations() == []
        outage.end_ms = 7_500.0
        assert checker.find_violations() == []
        outage.end_ms = 6_500.0
        assert len(checker.find_violations()) == 1

    def test_out_of_force(self) -> None:
        """Guards against a configuration that comes late and is not seen."""
        checker = make_checker(make_call(), "t")
        checker.record_configuration("other", 8_100.0)
        assert checker.find_violations() == []
        checker.record_configuration("third", 8_200.0)
        assert checker.find_violations() == []
        late = make_checker(make_call(), "t")
        late.record_configuration("other", 7_900.0)
        assert len(late.find_violations()) == 1

    def test_planned_work(self) -> None:
        """Guards against requests cut off by a stop that are not seen."""
        checker = make_checker(make_call(status=0), "t")
        assert checker.find_violations() == []
        checker.record_fault("h", "stop", 9_000.0)
        assert len(checker.find_violations()) == 1
        checker.record_fault("t", "is_losing", 9_500.0)
        assert checker.find_violations() == []

    def test_not_recovered(self) -> None:
        """Guards against a fleet that stays down and is not seen."""
        checker = make_checker(make_call(status=503))
        assert len(checker.check_recovery(5_000.0)) == 1
        assert make_checker(make_call()).check_recovery(5_000.0) == []
        assert len(GuaranteeChecker().check_recovery(0.0)) == 1


class TestProxy:
    """FaultInjector of connections."""

    @pytest.mark.parametrize(
        ("mode", "is_answered"),
        [
            (ProxyMode.PASS, True),
            (ProxyMode.DELAY, True),
            (ProxyMode.DROP_REQUESTS, False),
            (ProxyMode.DROP_ANSWERS, False),
            (ProxyMode.SILENCE, False),
        ],
    )
    def test_modes(self, mode: ProxyMode, is_answered: bool) -> None:
        """Guards against faults that harm nothing."""

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
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
            wait_s = None if is_answered else 0.5
            try:
                async with asyncio.timeout(wait_s):
                    return await reader.read(10)
            except TimeoutError:
                return b""
            finally:
                writer.close()
                await proxy.stop()
                server.close()

        assert asyncio.run(exchange()) == (b"x" if is_answered else b"")


class TestSoak:
    """Real processes."""

    def test_seed(self, tmp_path: Path) -> None:
        """Guards against faults from outside that break a promise.

        Only guarantees without a time bound are checked here.
        """
        lines: list[str] = []
        soak = run_soak(
            7,
            tmp_path,
            duration_s=6.0,
            instances=4,
            checks_time_bounds=False,
            report=lines.append,
        )
        assert asyncio.run(soak) == [], lines
        assert "200: " in lines[-1]
