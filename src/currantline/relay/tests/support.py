"""A relay with targets on the in-memory network."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from currantline.placement import PublishedTarget, Targets, TypicalTimes
from currantline.relay import (
    ConnectionPool,
    HeaderNames,
    LoadProber,
    Placer,
    Relay,
    RelayServer,
    Sender,
)
from currantline.routing import (
    CallerLimits,
    RetryTerms,
    Route,
    RoutedService,
    RouteTable,
    Share,
)
from currantline.standin.network import LoopClock, Network, run_on_host, run_session
from currantline.standin.worker import HEALTH_PATH, StandinWorker
from currantline.telemetry import EventLog, Meter
from currantline.wire import HttpServer, Request, Response

__all__ = ["NAMES", "Bench", "make_request", "make_route", "run"]

NAMES = HeaderNames(
    request_id="x-id",
    time_left="x-left",
    expected_target="x-expected",
    signature="x-signature",
    not_run="x-not-run",
    target="x-target",
    load="x-load",
)
HOST = "10.0.0.1"
CALLER = "10.0.9.9"
FRONT = f"{HOST}:8000"


def make_route(**values: Any) -> Route:
    """Return an idempotent route of service ``s``."""
    fields: dict[str, Any] = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "is_idempotent": True,
        "timeout_ms": 2_000.0,
        "objective_ms": 400.0,
        "priority": 1,
        "max_attempts": 2,
        "shares": (Share(service="s", weight=1.0),),
    }
    return Route(**{**fields, **values})


def make_request(request_id: str = "a", *, left_ms: float = 3_000.0) -> Request:
    """Return a request of a caller."""
    headers = (("host", "h"), ("x-id", request_id), ("x-left", str(left_ms)))
    return Request(method="GET", target=f"/{request_id}", headers=headers)


class Bench:
    """Builds a relay and its targets."""

    def __init__(self, network: Network, route: Route) -> None:
        self.network = network
        self.clock = LoopClock(asyncio.get_running_loop())
        self.workers: list[StandinWorker] = []
        self.targets = Targets()
        self.meter = Meter()
        self.table: RouteTable | None = None
        self.set_route(route)
        self._build()

    def set_route(self, route: Route, *, limits: CallerLimits | None = None) -> None:
        """Put one route in force."""
        service = RoutedService(name="s", health_path=HEALTH_PATH, max_connections=9)
        self.table = RouteTable(
            version=1,
            routes=(route,),
            services={"s": service},
            limits=limits or CallerLimits(),
        )

    async def add_worker(self, **values: Any) -> StandinWorker:
        """Start and publish a target."""
        number = len(self.workers) + 1
        worker = StandinWorker(name=f"t{number}", header_names=NAMES, **values)
        address = f"10.0.1.{number}:80"
        await run_on_host(f"10.0.1.{number}", HttpServer(worker.handle).start(address))
        self.workers.append(worker)
        self.publish(worker.name, address, slots=worker.slots)
        return worker

    async def add_script(self, *answers: bytes) -> "Script":
        """Start and publish a target that answers requests with given bytes."""
        number = len(self.workers) + 1
        self.workers.append(StandinWorker(name=f"t{number}", header_names=NAMES))
        script = Script(f"t{number}", list(answers))
        address = f"10.0.1.{number}:80"
        await run_on_host(f"10.0.1.{number}", script.start(address))
        self.publish(f"t{number}", address, slots=2)
        return script

    def publish(self, name: str, address: str, *, slots: int, **values: Any) -> None:
        """Publish a target."""
        entry = PublishedTarget(
            name=name,
            address=address,
            service="s",
            data_centre="a",
            slots=slots,
            **values,
        )
        self.targets.publish(entry, self.clock.read())

    async def send(self, request_id: str = "a", **values: Any) -> Response:
        """Hand a request to the relay."""
        return await self.relay.handle(make_request(request_id, **values))

    def list_ran(self) -> list[str]:
        """Return the names of all requests that targets ran."""
        return [name for worker in self.workers for name in worker.started_ids]

    def _build(self) -> None:
        rng = random.Random(5)
        typical = TypicalTimes()
        log = EventLog("i", clock=self.clock, write=len)
        pool = ConnectionPool(clock=self.clock, meter=self.meter)
        prober = LoadProber(
            pool, names=NAMES, clock=self.clock, meter=self.meter, log=log
        )
        self.placer = Placer(
            self.targets,
            prober=prober,
            typical=typical,
            data_centre="a",
            clock=self.clock,
            rng=rng,
        )
        self.relay = Relay(
            read_table=lambda: self.table,
            placer=self.placer,
            sender=Sender(pool, names=NAMES, typical=typical, clock=self.clock),
            names=NAMES,
            retry_terms=RetryTerms(slack=40.0),
            count_instances=lambda: 1,
            clock=self.clock,
            rng=rng,
            meter=self.meter,
            log=log,
        )
        self.server = RelayServer(
            self.relay.handle,
            read_limits=lambda: self.table.limits if self.table else CallerLimits(),
            log=log,
        )


@attrs.define(eq=False)
class Script:
    """A target that is well and answers requests with given bytes.

    Parameters
    ----------
    name : str
        Name of the target.
    answers : list of bytes
        One for each request; the connection ends after an empty one.
    requests : int
        Requests that came.
    """

    name: str
    answers: list[bytes]
    requests: int = 0

    async def start(self, address: str) -> None:
        """Listen."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: _ScriptProtocol(self), host, int(port))


class _ScriptProtocol(asyncio.Protocol):
    def __init__(self, script: Script) -> None:
        self._script = script
        self._data = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._data += data
        while b"\r\n\r\n" in self._data:
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            self._answer(head)

    def _answer(self, head: bytes) -> None:
        if HEALTH_PATH.encode() in head:
            load = f"x-target: {self._script.name}\r\nx-load: 0,0,2,100\r\n"
            text = f"HTTP/1.1 200 OK\r\n{load}content-length: 0\r\n\r\n"
            self._transport.write(text.encode())
            return
        self._script.requests += 1
        answer = self._script.answers.pop(0) if self._script.answers else b""
        if answer:
            self._transport.write(answer)
        else:
            self._transport.close()


def run(play: Callable[[Bench], Awaitable[None]], route: Route | None = None) -> None:
    """Run a play on the host of the relay in virtual time."""
    network = Network(latency_ms=0.1)

    async def session() -> None:
        async def prepare() -> None:
            await play(Bench(network, route or make_route()))

        await run_on_host(HOST, prepare())

    run_session(network, session())
