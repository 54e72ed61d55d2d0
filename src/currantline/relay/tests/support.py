"""Test harness: a relay and its targets on an in-memory network."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from currantline.clock import Clock
from currantline.hedging import HedgePolicy
from currantline.permits import (
    PERMIT_VALIDITY_MS,
    Permit,
    PermitIssuer,
    WaitBounds,
    WarmupIssuer,
)
from currantline.placement import (
    LatencyAverages,
    ProbeLimit,
    PublishedTarget,
    RateLimit,
    Target,
    TargetRegistry,
)
from currantline.relay import (
    AvailabilityReader,
    ColdTargetSelector,
    ConnectionPool,
    HeaderNames,
    Hedger,
    LimitedTargetSelector,
    LoadProber,
    RateLimitReader,
    Relay,
    RelayServer,
    RepeatLimiter,
    Sender,
    TargetSelector,
    WarmupReader,
)
from currantline.routing import (
    CallerLimits,
    RetryBudgetOptions,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)
from currantline.standin.network import LoopClock, Network, run_on_host, run_session
from currantline.standin.worker import HEALTH_PATH, StandinWorker
from currantline.telemetry import EventLog, Meter
from currantline.wire import HttpServer, Request, Response

__all__ = ["NAMES", "RelayHarness", "make_request", "make_route", "run_scenario"]

NAMES = HeaderNames(
    request_id="x-id",
    time_left="x-left",
    expected_target="x-expected",
    signature="x-signature",
    not_run="x-not-run",
    target="x-target",
    load="x-load",
    rate_limit=("x-limit", "limit"),
    warmup="x-warmup",
    leaving=("x-leaving", "leaving"),
)
HOST = "10.0.0.1"
CALLER = "10.0.9.9"
LISTEN_ADDRESS = f"{HOST}:8000"


def make_route(**values: Any) -> Route:
    """Return an idempotent route to service ``s``."""
    fields: dict[str, Any] = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "is_idempotent": True,
        "timeout_ms": 2_000.0,
        "objective_ms": 400.0,
        "priority": 1,
        "max_attempts": 2,
        "weighted_services": (WeightedService(service="s", weight=1.0),),
    }
    return Route(**{**fields, **values})


def make_request(
    request_id: str = "a", *, remaining_ms: float = 3_000.0, body: bytes = b""
) -> Request:
    """Return a caller request."""
    headers = (("host", "h"), ("x-id", request_id), ("x-left", str(remaining_ms)))
    return Request(method="GET", target=f"/{request_id}", headers=headers, body=body)


class LocalPermits:
    """Permits of a fleet of one instance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._issuer = PermitIssuer()
        self._warmup_issuer = WarmupIssuer()

    async def acquire(self, target: Target, wait_bounds: WaitBounds) -> Permit:
        """Return a permit for one request."""
        now = self._clock.read()
        self._issuer.observe(target.name, target.rate_limit, now)
        return self._issuer.issue(target.name, wait_bounds, now)

    async def acquire_cold(self, target: Target, rank: int) -> Permit:
        """Return a permit for one request to a cold target."""
        assert target.warmup_bound is not None
        now = self._clock.read()
        permit = self._warmup_issuer.issue(
            target.name,
            host=HOST,
            rank=rank,
            max_permits=target.warmup_bound.permits_per_issuer,
            per_s=target.rate_limit.per_s,
            known_since_ms=target.stated.cold_since_ms,
            now=now,
        )
        return attrs.evolve(permit, end_ms=now + PERMIT_VALIDITY_MS)


class RelayHarness:
    """A relay, its server and its targets."""

    def __init__(
        self,
        network: Network,
        route: Route,
        *,
        probes_per_s: int = 60,
        hedge_limit: float | None = None,
    ) -> None:
        self.policy: HedgePolicy | None = None
        if hedge_limit is not None:
            self.policy = HedgePolicy(hedge_limit, 10_000.0)
        self._probes_per_s = probes_per_s
        self.network = network
        self.clock = LoopClock(asyncio.get_running_loop())
        self.workers: list[StandinWorker] = []
        self.targets = TargetRegistry()
        self.meter = Meter()
        self.permits = LocalPermits(self.clock)
        self.table: RouteTable | None = None
        self.set_route(route)
        self._build()

    def set_route(self, route: Route, *, limits: CallerLimits | None = None) -> None:
        """Replace the route table by one with a single route."""
        service = RoutedService(name="s", health_path=HEALTH_PATH, max_connections=9)
        self.table = RouteTable(
            version=1,
            routes=(route,),
            services={"s": service},
            limits=limits or CallerLimits(),
        )

    def add_service(self, name: str) -> None:
        """Add a service without targets to the route table."""
        assert self.table is not None
        service = RoutedService(name=name, health_path=HEALTH_PATH, max_connections=9)
        services = {**self.table.services, name: service}
        self.table = attrs.evolve(self.table, services=services)

    async def add_worker(self, **values: Any) -> StandinWorker:
        """Start and publish a target."""
        number = len(self.workers) + 1
        data_centre = values.pop("data_centre", "a")
        worker = StandinWorker(name=f"t{number}", header_names=NAMES, **values)
        address = f"10.0.1.{number}:80"
        await run_on_host(f"10.0.1.{number}", HttpServer(worker.handle).start(address))
        self.workers.append(worker)
        self.publish(worker.name, address, slots=worker.slots, data_centre=data_centre)
        return worker

    async def add_scripted_target(
        self,
        *responses: bytes,
        endless: bytes = b"",
        slots: int = 2,
        closes: bool = False,
    ) -> "ScriptedTarget":
        """Start and publish a target that sends the given bytes as responses."""
        number = len(self.workers) + 1
        self.workers.append(StandinWorker(name=f"t{number}", header_names=NAMES))
        script = ScriptedTarget(f"t{number}", list(responses), endless, closes)
        address = f"10.0.1.{number}:80"
        await run_on_host(f"10.0.1.{number}", script.start(address))
        self.publish(f"t{number}", address, slots=slots)
        return script

    def publish(self, name: str, address: str, *, slots: int, **values: Any) -> None:
        """Publish a target."""
        fields = {"data_centre": "a", **values}
        entry = PublishedTarget(
            name=name, address=address, service="s", slots=slots, **fields
        )
        self.targets.update(entry, self.clock.read())

    async def send(self, request_id: str = "a", **values: Any) -> Response:
        """Send a request through the relay."""
        request = make_request(request_id, **values)
        return await self.relay.handle(request, self.clock.read())

    def list_ran(self) -> list[str]:
        """Return the ids of all requests that targets executed."""
        return [name for worker in self.workers for name in worker.started_ids]

    def _observe(self, target: Target, per_s: float | None) -> None:
        target.rate_limit = RateLimit(per_s, self.clock.read())

    def _observe_warmup(
        self, target: Target, left_ms: float | None, requested_ms: float
    ) -> None:
        target.learn_from_check(left_ms, requested_ms, self.clock.read())

    def _build(self) -> None:
        rng = random.Random(5)
        latencies = LatencyAverages()
        log = EventLog("i", clock=self.clock, write=len)
        pool = ConnectionPool(clock=self.clock, meter=self.meter)
        self.pool = pool
        limit_reader = RateLimitReader(names=NAMES, observe=self._observe, log=log)
        availability_reader = AvailabilityReader(
            names=NAMES, clock=self.clock, rng=rng, log=log
        )
        prober = LoadProber(
            pool,
            names=NAMES,
            limit_reader=limit_reader,
            availability_reader=availability_reader,
            warmup_reader=WarmupReader(
                names=NAMES, observe=self._observe_warmup, log=log
            ),
            clock=self.clock,
            meter=self.meter,
            log=log,
        )
        self.selector = TargetSelector(
            self.targets,
            prober=prober,
            latencies=latencies,
            probe_limit=ProbeLimit(self._probes_per_s),
            limited_targets=LimitedTargetSelector(
                permits=self.permits, latencies=latencies, clock=self.clock, rng=rng
            ),
            cold_targets=ColdTargetSelector(
                self.targets,
                permits=self.permits,
                prober=prober,
                latencies=latencies,
                clock=self.clock,
                rng=rng,
            ),
            count_instances=lambda: 1,
            data_centre="a",
            get_weight=lambda: 1,
            clock=self.clock,
            rng=rng,
        )
        self.repeats = RepeatLimiter(
            RetryBudgetOptions(slack=40.0),
            count_instances=lambda: 1,
            clock=self.clock,
            meter=self.meter,
        )
        self.hedger = Hedger(
            self.policy,
            targets=self.targets,
            selector=self.selector,
            repeats=self.repeats,
            clock=self.clock,
            meter=self.meter,
        )
        self.relay = Relay(
            read_table=lambda: self.table,
            selector=self.selector,
            sender=Sender(
                pool,
                names=NAMES,
                limit_reader=limit_reader,
                availability_reader=availability_reader,
                latencies=latencies,
                clock=self.clock,
                meter=self.meter,
                log=log,
            ),
            repeats=self.repeats,
            hedger=self.hedger,
            names=NAMES,
            clock=self.clock,
            rng=rng,
            meter=self.meter,
            log=log,
        )
        self.server = RelayServer(
            self.relay.handle,
            is_idempotent=self.relay.is_idempotent,
            names=NAMES,
            clock=self.clock,
            read_limits=lambda: self.table.limits if self.table else CallerLimits(),
            log=log,
        )


@attrs.define(eq=False)
class ScriptedTarget:
    """A healthy target that sends given bytes as responses.

    Parameters
    ----------
    name : str
        Name of the target.
    responses : list of bytes
        One response per request; an empty one closes the connection.
    endless : bytes
        Repeated after each response, also one of `health`, until the connection is
        closed, if not empty.
    closes : bool
        Whether it closes the connection after each response.
    before_health : bytes
        Sent once, 5 ms before the next response to a health check.
    late : bytes
        Sent 20 ms after each response to a request, if not empty.
    health : bytes
        Response to all health checks in place of a success, if not empty.
    requests : int
        Number of received requests.
    heads : list of bytes
        Request lines and headers of the received requests.
    """

    name: str
    responses: list[bytes]
    endless: bytes = b""
    closes: bool = False
    before_health: bytes = b""
    late: bytes = b""
    health: bytes = b""
    requests: int = 0
    heads: list[bytes] = attrs.field(factory=list)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: _ScriptedProtocol(self), host, int(port))


class _ScriptedProtocol(asyncio.Protocol):
    def __init__(self, script: ScriptedTarget) -> None:
        self._script = script
        self._data = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._data += data
        while b"\r\n\r\n" in self._data:
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            self._respond(head)

    def _respond(self, head: bytes) -> None:
        if HEALTH_PATH.encode() in head:
            load = f"x-target: {self._script.name}\r\nx-load: 0,0,2,100\r\n"
            text = f"HTTP/1.1 200 OK\r\n{load}content-length: 0\r\n\r\n"
            if self._script.health:
                self._transport.write(self._script.health)
                self._write_endless()
                return
            if self._script.before_health:
                self._transport.write(self._script.before_health)
                self._script.before_health = b""
                loop = asyncio.get_running_loop()
                loop.call_later(0.005, self._transport.write, text.encode())
            else:
                self._transport.write(text.encode())
            return
        self._script.requests += 1
        self._script.heads.append(head)
        response = self._script.responses.pop(0) if self._script.responses else b""
        if response:
            self._transport.write(response)
            self._write_endless()
            if self._script.late:
                loop = asyncio.get_running_loop()
                loop.call_later(0.02, self._transport.write, self._script.late)
            if self._script.closes:
                self._transport.close()
        else:
            self._transport.close()

    def _write_endless(self) -> None:
        if self._script.endless and not self._transport.is_closing():
            self._transport.write(self._script.endless)
            asyncio.get_running_loop().call_later(0.001, self._write_endless)


def run_scenario(
    scenario: Callable[[RelayHarness], Awaitable[None]],
    route: Route | None = None,
    *,
    probes_per_s: int = 60,
    hedge_limit: float | None = None,
) -> None:
    """Run a scenario on the host of the relay in virtual time."""
    network = Network(latency_ms=0.1)

    async def session() -> None:
        async def prepare() -> None:
            harness = RelayHarness(
                network,
                route or make_route(),
                probes_per_s=probes_per_s,
                hedge_limit=hedge_limit,
            )
            await scenario(harness)

        await run_on_host(HOST, prepare())

    run_session(network, session())
