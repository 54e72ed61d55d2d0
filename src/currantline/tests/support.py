"""Test harness: a deployment on the users' platform, in virtual time."""

import asyncio
import itertools
import random
import re
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs

from currantline.gateway import Gateway
from currantline.platform import HEADERS, decode_settings
from currantline.platform.samples import (
    make_configuration,
    make_directory_query,
    make_settings,
    make_target_entry,
    make_warmup_bounds,
)
from currantline.standin.network import LoopClock, Network, run_on_host, run_session
from currantline.standin.store import StandinStore
from currantline.standin.worker import StandinWorker
from currantline.telemetry import EventLog
from currantline.wire import HttpConnection, HttpServer, Request, Response, fetch

__all__ = [
    "APPLY_LIMIT_MS",
    "HOSTS",
    "STORE",
    "Answer",
    "Arrival",
    "Deployment",
    "PipeliningCaller",
    "list_hosts",
    "measure_call",
    "run",
    "send_steadily",
]

STORE, CALLER = "10.200.1.7", "10.99.0.1"
DATA_CENTRES = ("a", "b")

# Time after a write to the store by which the change must be in effect.
APPLY_LIMIT_MS = 2_000.0

# Latency objective of the requests.
OBJECTIVE_MS = 400.0

HOSTS = {"10.1.0.1": "a", "10.1.0.2": "a", "10.1.0.3": "a", "10.2.0.1": "b"}


def list_hosts(instances: int) -> dict[str, str]:
    """Return the hosts of a fleet, with their data centres."""
    return {
        f"10.{1 + n % 2}.{n // 200}.{n // 2 % 100 + 1}": "ab"[n % 2]
        for n in range(instances)
    }


@attrs.define
class Arrival:
    """A request or health check that a target received.

    Parameters
    ----------
    host : str
        Instance that sent it.
    at_s : float
        Time of its arrival in seconds.
    status : int
        Status of the response, 0 if there is none yet.
    """

    host: str
    at_s: float
    status: int = 0


class _RecordingServer(HttpServer):
    """Records which instances send requests and health checks to a target."""

    def __init__(self, worker: StandinWorker) -> None:
        super().__init__(worker.handle)
        self._worker = worker
        self.arrivals: list[Arrival] = []

    async def exchange(self, connection: HttpConnection, request: Request) -> None:
        now_s = asyncio.get_running_loop().time()
        arrival = Arrival(connection.peer_host, now_s)
        self.arrivals.append(arrival)
        response = await self._worker.handle(request)
        arrival.status = response.status
        connection.write_response(response)
        await connection.drain()


class Deployment:
    """Instances in two data centres, a store and two targets.

    Parameters
    ----------
    network : Network
        Network of the hosts.
    hosts : mapping of str to str
        Hosts of the instances, with their data centres.
    warmup : tuple of float or None
        Duration of warm-ups in seconds and requests per second that a cold target
        tolerates, None without a bound.
    """

    def __init__(
        self,
        network: Network,
        hosts: Mapping[str, str] = HOSTS,
        *,
        warmup: tuple[float, float] | None = None,
    ) -> None:
        self.network = network
        self.warmup = warmup
        self.hosts = hosts
        self.store = StandinStore()
        self.gateways: dict[str, Gateway] = {}
        self.workers: dict[str, StandinWorker] = {}
        self.worker_servers: dict[str, _RecordingServer] = {}
        self.starts = 0
        self._processes: dict[str, str] = {}
        # Limit of hedges of the instances that start from now on.
        self.hedge_limit: float | None = None

    async def start(self) -> None:
        """Start all parts and wait until all instances are ready."""
        await run_on_host(STORE, HttpServer(self.store.handle).start(f"{STORE}:8642"))
        self.store.put("op/config", make_configuration(1, warmup=self.warmup))
        for number in (1, 2):
            await self.add_worker(f"i-{number}", f"10.9.0.{number}")
        await asyncio.gather(*(self.add_instance(host) for host in self.hosts))
        await asyncio.sleep(3.0)

    async def add_worker(
        self, name: str, host: str, *, data_centre: str = "a", **values: Any
    ) -> StandinWorker:
        """Start a target and register it in the store."""
        worker = StandinWorker(name=name, header_names=HEADERS, **values)
        server = _RecordingServer(worker)
        await run_on_host(host, server.start(f"{host}:80"))
        self.workers[name] = worker
        self.worker_servers[name] = server
        entry = make_target_entry(f"{host}:80", data_centre=data_centre)
        self.store.put(f"servers/{name}", entry)
        return worker

    async def add_instance(self, host: str) -> None:
        """Start an instance."""
        self.starts += 1
        seeds = ("10.1.0.1", "10.2.0.1")
        document = make_settings(
            host, self.hosts[host], seeds=seeds, data_centres=DATA_CENTRES
        )
        if self.warmup is not None:
            document["terms"]["bounds"] |= make_warmup_bounds(1.5, 8)
        clock = LoopClock(asyncio.get_running_loop())
        gateway = Gateway(
            decode_settings(document, source=host),
            clock=clock,
            rng=random.Random(host),
            incarnation=self.starts,
            log=EventLog(host, clock=clock, write=len),
            hedge_limit=self.hedge_limit,
        )
        self.gateways[host] = gateway
        # A killed process never runs again; its host may.
        is_killed = host in self.network.frozen
        process = f"{host} start {self.starts}" if is_killed else host
        self._processes[host] = process
        await run_on_host(host, gateway.start(), process=process)

    async def kill(self, host: str) -> None:
        """Kill an instance."""
        self.network.kill(self._processes[host])
        del self.gateways[host]

    async def call(
        self,
        host: str,
        path: str = "/read/x",
        *,
        request_id: str = "a",
        remaining_ms: float = 3_000.0,
    ) -> Response:
        """Send a request to an instance."""
        headers = (
            ("host", "shop.example"),
            (HEADERS.request_id, request_id),
            (HEADERS.time_left, str(remaining_ms)),
        )
        request = Request(method="GET", target=path, headers=headers)
        call = fetch(f"{host}:8641", request, timeout_ms=remaining_ms + 2_000.0)
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


@attrs.frozen
class Answer:
    """Response to a request, with its duration in milliseconds."""

    status: int
    took_ms: float

    @property
    def is_in_time(self) -> bool:
        """Whether it is a success within the latency objective."""
        return self.status == 200 and self.took_ms <= OBJECTIVE_MS


async def send_steadily(
    deployment: Deployment, *, per_s: float, duration_s: float
) -> list[Answer]:
    """Send requests to all instances in turn and return the responses."""
    calls = []
    hosts = itertools.cycle(deployment.gateways)
    for number in range(round(per_s * duration_s)):
        call = measure_call(deployment, next(hosts), f"{per_s}-{number}")
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(1.0 / per_s)
    return await asyncio.gather(*calls)


async def measure_call(deployment: Deployment, host: str, request_id: str) -> Answer:
    """Send a request and return its response."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    response = await deployment.call(host, request_id=request_id)
    return Answer(response.status, 1000.0 * (loop.time() - start_s))


class PipeliningCaller:
    """A caller that sends requests without waiting for the responses.

    Attributes
    ----------
    statuses : set of int
        Statuses of the responses.
    """

    def __init__(self, deployment: Deployment, host: str) -> None:
        self._deployment = deployment
        self._host = host
        self._sent: dict[str, float] = {}
        self._received = b""
        self._started_s = 0.0

    @property
    def statuses(self) -> set[int]:
        """Statuses of the responses."""
        return {int(code) for code in re.findall(rb"HTTP/1.1 (\d+)", self._received)}

    async def start(self) -> None:
        """Open the connection."""
        await run_on_host(CALLER, self._connect())

    async def send_every(self, interval_s: float, *, duration_s: float) -> None:
        """Send requests until the time is over or the connection is closed."""
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        while loop.time() - self._started_s < duration_s:
            if self._transport.is_closing():
                return
            request_id = f"p{len(self._sent)}"
            self._sent[request_id] = loop.time() - self._started_s
            self._transport.write(
                f"GET /read/{request_id} HTTP/1.1\r\nhost: shop.example\r\n"
                f"{HEADERS.request_id}: {request_id}\r\n"
                f"{HEADERS.time_left}: 3000\r\n\r\n".encode()
            )
            await asyncio.sleep(interval_s)

    def sent_after(self, delay_s: float) -> list[str]:
        """Return the ids of the requests sent later than a time after the first."""
        return [name for name, sent_s in self._sent.items() if sent_s > delay_s]

    async def _connect(self) -> None:
        caller = self

        class Receiver(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                caller._received += data

        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_connection(Receiver, self._host, 8641)


def run(
    scenario: Callable[[Deployment], Awaitable[None]],
    hosts: Mapping[str, str] = HOSTS,
    *,
    warmup: tuple[float, float] | None = None,
) -> None:
    """Run a scenario on a deployment that is ready."""
    network = Network(latency_ms=0.5)

    async def session() -> None:
        deployment = Deployment(network, hosts, warmup=warmup)
        await deployment.start()
        await scenario(deployment)

    run_session(network, session())
