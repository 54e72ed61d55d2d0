"""Tests of the HTTP side for callers over loopback sockets."""

import asyncio
from typing import Any

import attrs
import eliot
import pytest

from currantline.clock import ManualClock
from currantline.configuration import Configuration, Route, Service, Target
from currantline.directory import AddressResponse
from currantline.exceptions import UnknownServiceError
from currantline.forwarding import (
    AttemptResult,
    CallerOptions,
    CallerServer,
    Carrier,
    Guidance,
    Outcome,
    RequestObservation,
)
from currantline.forwarding.tests.support import (
    ManualSchedule,
    RawConnection,
    RawTarget,
    ScriptedPlacement,
    run,
)

LIMITS = CallerOptions(max_body_bytes=1000, max_connections_per_host=2)


@attrs.define
class Entry:
    """An instance's caller side with one target."""

    target: RawTarget
    placement: ScriptedPlacement
    schedule: ManualSchedule = attrs.field(factory=ManualSchedule)
    clock: ManualClock = attrs.field(factory=ManualClock)
    is_leaving: bool = False
    observed: list[RequestObservation] = attrs.field(factory=list)
    done: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: CallerServer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        service = Service(
            name="s",
            targets=(
                Target(name="a", address="127.0.0.1:1", data_centre="x", slots=1),
            ),
            routes=(Route(name="order", method="POST"),),
        )
        configuration = Configuration(version=1, services={"s": service})
        self.server = CallerServer(
            "instance-0",
            carrier=Carrier(self.placement, clock=self.clock, schedule=self.schedule),
            guidance=Guidance(
                read_configuration=lambda: configuration,
                answer_addresses=self._answer_addresses,
                needs_refresh=lambda service: False,
                is_leaving=lambda: self.is_leaving,
            ),
            clock=self.clock,
            options=LIMITS,
            observer=self,
            schedule=self.schedule,
        )

    def _answer_addresses(self, service: str) -> AddressResponse:
        if service != "s":
            raise UnknownServiceError(service)
        return AddressResponse(service="s", version=1, ttl_ms=2000.0, addresses=())

    def observe_request(self, observation: RequestObservation) -> None:
        """Keep an observation."""
        self.observed.append(observation)
        self.done.set()

    async def connect(self) -> RawConnection:
        """Open a connection of a caller."""
        host, _, port = self.server.address.rpartition(":")
        return RawConnection(*await asyncio.open_connection(host, int(port)))


async def start() -> Entry:
    """Return an instance that places every request on its target."""
    target = await RawTarget("a").start()
    entry = Entry(target, ScriptedPlacement(*[target] * 9))
    await entry.server.start("127.0.0.1:0")
    return entry


def ask(path: str = "/services/s/x", extra: str = "", method: str = "GET") -> str:
    """Return a request as text."""
    return f"{method} {path} HTTP/1.1\r\nhost: a\r\n{extra}\r\n"


class TestRefusals:
    """Requests that are refused without reaching a target."""

    @pytest.mark.parametrize(
        ("text", "status"),
        [
            ("NONSENSE\r\n\r\n", 400),
            (ask(extra="content-length: 1\r\ncontent-length: 2\r\n"), 400),
            (ask(extra=f"x: {'y' * 40000}\r\n"), 431),
            (ask(method="POST", extra="content-length: 1001\r\n"), 413),
            (ask("/services/none/x"), 404),
            (ask("/v1/addresses/none"), 404),
            (ask("/services/none/x", method="HEAD"), 404),
            # Without an address a caller has nobody to turn to until it expires.
            (ask("/v1/addresses/s"), 503),
            (ask(extra="currantline-request-id: a b\r\n"), 400),
            (ask(extra=f"currantline-request-id: {'a' * 129}\r\n"), 400),
            (ask(extra="currantline-request-id: \xe9\r\n"), 400),
            (ask(extra=f"currantline-timeout-ms: {'9' * 400}\r\n"), 400),
            (ask(extra="currantline-timeout-ms: 0\r\n"), 400),
        ],
    )
    def test_status(self, text: str, status: int) -> None:
        """Guards against a bad request that is sent on or breaks the server."""

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            caller.send(text)
            head = await caller.read_head()
            assert head.startswith(f"HTTP/1.1 {status} ")
            assert "currantline-outcome: not-run" in head
            assert entry.target.opened == []

        run(test())

    def test_slow_sender(self) -> None:
        """Guards against a caller that holds a connection with half a request."""

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            caller.send(
                ask(
                    method="POST", extra="expect: 100-continue\r\ncontent-length: 5\r\n"
                )
            )
            assert (await caller.read_head()).startswith("HTTP/1.1 100 ")
            entry.schedule.fire(LIMITS.request_timeout_ms)
            assert (await caller.read_head()).startswith("HTTP/1.1 408 ")

        run(test())

    def test_connection_limit(self) -> None:
        """Guards against one address that takes all connections."""

        async def test() -> None:
            entry = await start()
            callers = [await entry.connect() for _ in range(3)]
            assert (await callers[2].read_head()).startswith("HTTP/1.1 503 ")
            assert entry.server.connection_count == 2

        run(test())


class TestExchanges:
    """Requests that reach the target."""

    def test_pipelined_requests(self) -> None:
        """Guards against answers of pipelined requests that change places."""

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            caller.send(ask("/services/s/1") + ask("/services/s/2"))
            connection = await entry.target.accept()
            for number in ("1", "2"):
                assert f"GET /{number} " in await connection.read_head()
                connection.answer(number)
            for number in ("1", "2"):
                head = await caller.read_head()
                assert "currantline-outcome: answered" in head
                assert await caller.reader.readexactly(1) == number.encode()

        run(test())

    def test_headers_towards_target(self) -> None:
        """Guards against a caller that sets headers of another hop."""

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            extra = (
                "connection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\n"
                "currantline-timeout-ms: 250\r\ncurrantline-request-id: me\r\n"
                "currantline-target: z\r\n"
            )
            caller.send(ask(extra=extra))
            connection = await entry.target.accept()
            head = await connection.read_head()
            assert "x-kept: 1" in head
            assert "currantline-timeout-ms: 250" in head
            assert "currantline-request-id: me" in head
            assert "x-hop" not in head
            assert "currantline-target" not in head

        run(test())

    def test_head_keeps_length(self) -> None:
        """Guards against an answer to HEAD that states a length of zero."""

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            caller.send(ask(method="HEAD"))
            connection = await entry.target.accept()
            await connection.read_head()
            connection.send("HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n")
            assert "content-length: 77" in await caller.read_head()
            caller.send(ask())
            await connection.read_head()
            connection.answer("next")
            await caller.read_head()
            assert await caller.reader.readexactly(4) == b"next"

        run(test())

    def test_caller_disconnects(self) -> None:
        """Guards against work that goes on at the target for a caller that left."""

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            caller.send(ask())
            connection = await entry.target.accept()
            await connection.read_head()
            caller.writer.close()
            assert await connection.read_to_end() == b""
            await entry.done.wait()
            assert entry.placement.results == [AttemptResult.CANCELLED]
            assert entry.observed[0].outcome is None

        run(test())

    def test_own_time(self) -> None:
        """Guards against counting the target's time as currantline's."""

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            entry.placement.before = lambda: entry.clock.advance(3.0)
            caller.send(ask())
            connection = await entry.target.accept()
            await connection.read_head()
            entry.clock.advance(20.0)
            connection.answer("ok")
            await caller.read_head()
            (observation,) = entry.observed
            assert observation.outcome is Outcome.ANSWERED
            assert (observation.duration_ms, observation.own_ms) == (23.0, 0.0)

        run(test())


class TestLog:
    """Log records of requests."""

    @pytest.mark.parametrize(
        ("is_abandoned", "outcome", "reason"),
        [(False, "answered", ""), (True, "abandoned", "CancelledError")],
    )
    def test_each_request_has_one_record(
        self, is_abandoned: bool, outcome: str, reason: str
    ) -> None:
        """Guards against a request that its id does not find in the log."""
        # Records of earlier tests are replayed to the first destination.
        key = f"logged-{outcome}"
        records: list[dict[str, Any]] = []

        async def test() -> None:
            entry = await start()
            caller = await entry.connect()
            caller.send(ask(extra=f"currantline-request-id: {key}\r\n"))
            connection = await entry.target.accept()
            await connection.read_head()
            if is_abandoned:
                caller.writer.close()
            else:
                connection.answer("ok")
            await entry.done.wait()

        eliot.add_destinations(records.append)
        try:
            run(test())
        finally:
            eliot.remove_destination(records.append)
        (record,) = [each for each in records if each.get("request_id") == key]
        assert record["message_type"] == "currantline:request"
        assert (record["outcome"], record["reason"]) == (outcome, reason)
        names = ("instance", "service", "route", "attempts", "task_uuid")
        assert all(record[name] != "" for name in (*names, "duration_ms", "timestamp"))


class TestLeaving:
    """A graceful shutdown of an instance."""

    def test_leave(self) -> None:
        """Guards against a shutdown that cuts off a request or a new connection."""

        async def test() -> None:
            entry = await start()
            idle, busy = await entry.connect(), await entry.connect()
            busy.send(ask())
            connection = await entry.target.accept()
            await connection.read_head()
            entry.is_leaving = True
            leaving = asyncio.ensure_future(entry.server.leave(60_000.0))
            idle.send(ask())
            second = await entry.target.accept()
            await second.read_head()
            entry.schedule.fire(LIMITS.linger_ms)
            for each, caller in ((connection, busy), (second, idle)):
                each.answer("ok")
                head = await caller.read_head()
                assert "connection: close" in head
                assert "currantline-refresh: 1" in head
                assert await caller.read_to_end() == b"ok"
            await leaving
            assert entry.server.connection_count == 0

        run(test())
