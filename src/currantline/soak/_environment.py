"""Environment of the soak test: instances, store, targets and callers."""

import asyncio
import contextlib
import os
import random
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import attrs

from currantline.clock import Clock
from currantline.exceptions import ProtocolError, WireError
from currantline.platform import HEADERS
from currantline.platform.samples import (
    READINESS_PATH,
    make_directory_query,
    make_leaving_headers,
    make_rate_limit_headers,
    read_addresses,
)
from currantline.soak._guarantees import Call, GuaranteeChecker
from currantline.soak._pipelining import PipelinedConnection
from currantline.soak._processes import InstanceProcess
from currantline.soak._proxy import Proxy
from currantline.soak._publisher import SERVICES, PublishedEntry, Publisher
from currantline.standin.worker import StandinWorker
from currantline.wire import (
    HttpConnection,
    HttpServer,
    Request,
    Response,
    connect,
    fetch,
    find_header,
)

__all__ = ["Environment", "RegisteredTarget"]

DATA_CENTRES = ("a", "b")
TARGETS_PER_SERVICE = 4

CALLER_TIMEOUT_MS = 3_000.0
DIRECTORY_TIMEOUT_MS = 1_000.0

# Time for which callers cache addresses.
ADDRESS_TTL_S = 2.0
REQUEST_INTERVAL_RANGE_S = (0.01, 0.2)

# Interval between the requests on a connection that is never idle. Targets take 50 ms.
PIPELINE_INTERVAL_S = 0.04

MAX_BODY_BYTES = 1024 * 1024

# The process counts as stalled if two polls of the clock are this far apart.
STALL_POLL_S = 0.05
STALL_THRESHOLD_MS = 500.0

# Range of the second octet of the loopback addresses.
FIRST_OCTET, OCTET_COUNT = 100, 100


@attrs.define(eq=False)
class RegisteredTarget:
    """A target in the store, its service and the proxy in front of it."""

    worker: StandinWorker
    service: str
    server: HttpServer
    proxy: Proxy


class Environment:
    """Starts and connects all parts of a soak test except the faults.

    Parameters
    ----------
    folder : Path
        Directory for settings and logs of the instances.
    count : int
        Number of instances.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self, folder: Path, *, count: int, clock: Clock, rng: random.Random
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.checker = GuaranteeChecker()
        self.publisher = Publisher(rng)
        self.workers: dict[str, RegisteredTarget] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self._store_server = HttpServer(self.publisher.store.handle)
        self._target_count = 0
        self._request_count = 0
        # Soak tests that run at the same time must not share addresses.
        self._address_prefix = f"127.{FIRST_OCTET + os.getpid() % OCTET_COUNT}"
        self._store_address = f"{self._address_prefix}.200.1:8642"
        hosts = [f"{self._address_prefix}.{n % 2}.{n // 2 + 1}" for n in range(count)]
        self.instances = {
            host: InstanceProcess(
                host=host,
                data_centre=DATA_CENTRES[n % 2],
                seeds=(hosts[0], hosts[1 % count]),
                data_centres=DATA_CENTRES,
                store=f"{self._address_prefix}.201.{n + 1}:8642",
                folder=folder,
            )
            for n, host in enumerate(hosts)
        }

    async def start(self) -> None:
        """Start the store, the targets and all instances."""
        await self._store_server.start(self._store_address)
        self.change_configuration()
        for service in SERVICES:
            for _ in range(TARGETS_PER_SERVICE):
                await self.add_target(service)
        for host, instance in self.instances.items():
            self.store_proxies[host] = Proxy(self._store_address)
            await self.store_proxies[host].start(instance.store)
            instance.start()

    async def wait_until_ready(self) -> None:
        """Wait until all instances report readiness."""
        for host in self.instances:
            while not await self._is_ready(host):
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Kill all instances and stop the store and the targets."""
        for instance in self.instances.values():
            await instance.kill()
        for proxy in self.store_proxies.values():
            await proxy.stop()
        for registered in self.workers.values():
            await registered.proxy.stop()
            await registered.server.stop()
        await self._store_server.stop()

    @contextlib.contextmanager
    def record_fault(self, fault: str, *names: str) -> Iterator[None]:
        """Record a fault of instances, targets or the ``store`` during the context."""
        now = self.clock.read()
        windows = [self.checker.record_fault(n, fault, now) for n in names]
        try:
            yield
        finally:
            for window in windows:
                window.end_ms = self.clock.read()

    @contextlib.contextmanager
    def record_limits(self, names: Iterable[str], per_s: float) -> Iterator[None]:
        """Let targets limit their requests during the context, and record it."""
        now = self.clock.read()
        windows = [self.checker.record_limit(name, per_s, now) for name in names]
        workers = [self.workers[name].worker for name in names]
        for worker in workers:
            worker.extra_headers = make_rate_limit_headers(per_s)
        try:
            yield
        finally:
            for window, worker in zip(windows, workers, strict=True):
                window.end_ms = self.clock.read()
                worker.extra_headers = ()

    @contextlib.contextmanager
    def let_reject(self, name: str, after_s: float) -> Iterator[None]:
        """Let a target reject requests and name a time of silence in the context."""
        worker = self.workers[name].worker

        def record(request_id: str) -> None:
            now = self.clock.read()
            self.checker.record_rejection(request_id, name, 1000 * after_s, now)

        worker.on_reject, worker.is_rejecting = record, True
        worker.extra_headers = (("retry-after", f"{after_s:.3f}"),)
        try:
            yield
        finally:
            worker.is_rejecting, worker.extra_headers = False, ()
            worker.on_reject = lambda request_id: None

    def announce_leaving(self, name: str) -> None:
        """Let a target say that it leaves, without the store."""
        self.workers[name].worker.extra_headers = make_leaving_headers()
        self.checker.record_leaving(name, self.clock.read())

    def change_configuration(self) -> None:
        """Route all requests to the other service."""
        service = self.publisher.change_configuration()
        self.checker.record_configuration(service, self.clock.read())

    async def add_target(self, service: str) -> str:
        """Start a target, register it in the store and return its name."""
        self._target_count += 1
        number = self._target_count
        name = f"i-{number}"

        def record(request_id: str) -> None:
            self.checker.record_execution(request_id, name, service, self.clock.read())

        worker = StandinWorker(
            name=name, header_names=HEADERS, on_start=record, slots=4
        )
        server = HttpServer(worker.handle)
        await server.start(f"{self._address_prefix}.210.{number}:80")
        proxy = Proxy(f"{self._address_prefix}.210.{number}:80")
        address = f"{self._address_prefix}.211.{number}:80"
        await proxy.start(address)
        self.workers[name] = RegisteredTarget(worker, service, server, proxy)
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        entry = PublishedEntry(address, service, data_centre)
        self.publisher.add_entry(name, entry)
        return name

    def drain_target(self, name: str) -> None:
        """Mark a target as draining in the store."""
        self.publisher.drain(name)
        self.checker.record_drain(name, self.clock.read())

    async def remove_target(self, name: str) -> None:
        """Remove a target from the store and stop it."""
        self.publisher.remove_entry(name)
        registered = self.workers.pop(name)
        await registered.server.stop()
        await registered.proxy.stop()

    async def monitor_stalls(self, report: Callable[[str], object]) -> None:
        """Record stalls of this process until cancelled.

        If this process gets no processor time, the instances may not get any either,
        so a stall counts as a fault of all instances, all targets and the store.
        """
        last_ms = self.clock.read()
        while True:
            await asyncio.sleep(STALL_POLL_S)
            now = self.clock.read()
            if now - last_ms > STALL_THRESHOLD_MS:
                report(f"the test process stalled for {(now - last_ms) / 1000:.1f} s")
                for name in ("store", *self.instances, *self.workers):
                    self.checker.record_fault(name, "stall", last_ms).end_ms = now
            last_ms = now

    async def run_caller(self) -> None:
        """Send requests over a persistent connection until cancelled."""
        addresses: list[str] = []
        fetched_ms = 0.0
        connection: HttpConnection | None = None
        while True:
            now = self.clock.read()
            if not addresses or now - fetched_ms > 1000 * ADDRESS_TTL_S:
                addresses, fetched_ms = await self._fetch_addresses(), now
            if not addresses:
                await asyncio.sleep(REQUEST_INTERVAL_RANGE_S[1])
                continue
            connection = await self._send(connection, addresses)
            await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_RANGE_S))

    async def run_pipelining_caller(self) -> None:
        """Keep requests in progress on a connection until cancelled.

        Such a connection is never idle, so that it stays open until the instance ends
        unless the instance closes it.
        """
        while True:
            addresses = await self._fetch_addresses()
            if addresses:
                address = self.rng.choice(addresses)
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(DIRECTORY_TIMEOUT_MS / 1000):
                        connection = await PipelinedConnection.open(address)
                    await self._pipeline(connection, address.rpartition(":")[0])
            await asyncio.sleep(REQUEST_INTERVAL_RANGE_S[1])

    async def _pipeline(self, connection: PipelinedConnection, instance: str) -> None:
        calls: asyncio.Queue[tuple[Request, Call]] = asyncio.Queue()
        sender = asyncio.get_running_loop().create_task(
            self._send_ahead(connection, instance, calls)
        )
        has_given_up = False
        try:
            is_last = False
            while not is_last:
                request, call = await calls.get()
                async with asyncio.timeout(CALLER_TIMEOUT_MS / 1000):
                    response, is_last = await connection.read()
                self._record_response(call, request, response)
        except (ProtocolError, OSError):
            call.ended_ms = self.clock.read()
        except TimeoutError:
            call.ended_ms = self.clock.read()
            has_given_up = True
        finally:
            sender.cancel()
            while not calls.empty():
                _, unanswered = calls.get_nowait()
                unanswered.ended_ms = self.clock.read()
                unanswered.is_abandoned = has_given_up
            await connection.close()

    async def _send_ahead(
        self,
        connection: PipelinedConnection,
        instance: str,
        calls: "asyncio.Queue[tuple[Request, Call]]",
    ) -> None:
        while True:
            request, call = self._make_request(instance, is_idempotent=True)
            self.checker.record_call(call)
            connection.write(request)
            calls.put_nowait((request, call))
            await asyncio.sleep(PIPELINE_INTERVAL_S)

    async def _send(
        self, connection: HttpConnection | None, addresses: list[str]
    ) -> HttpConnection | None:
        try:
            if connection is None or connection.is_lost:
                address = self.rng.choice(addresses)
                async with asyncio.timeout(DIRECTORY_TIMEOUT_MS / 1000):
                    connection = await connect(address, max_body_bytes=MAX_BODY_BYTES)
        except (OSError, TimeoutError):
            addresses.clear()
            return None
        request, call = self._make_request(
            connection.peer_host, is_idempotent=self.rng.random() < 0.5
        )
        self.checker.record_call(call)
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_MS / 1000):
                connection.write_request(request)
                response = await connection.read_response()
        except (WireError, TimeoutError):
            connection.abort()
            call.ended_ms = self.clock.read()
            return None
        self._record_response(call, request, response)
        if not connection.is_reusable:
            connection.close()
            return None
        connection.start_next_cycle()
        return connection

    def _record_response(
        self, call: Call, request: Request, response: Response
    ) -> None:
        call.status, call.ended_ms = response.status, self.clock.read()
        signature = find_header(response.headers, HEADERS.signature) or ""
        call.is_match = (
            response.body == request.target.encode()
            and find_header(response.headers, HEADERS.request_id) == call.name
            and signature.endswith(f".{call.name}")
        )

    def _make_request(
        self, instance: str, *, is_idempotent: bool
    ) -> tuple[Request, Call]:
        self._request_count += 1
        name = f"r{self._request_count}"
        path = "/read/" if is_idempotent else "/orders/"
        call = Call(
            name=name,
            is_idempotent=is_idempotent,
            instance=instance,
            sent_ms=self.clock.read(),
        )
        headers = (
            ("host", "shop.example"),
            (HEADERS.request_id, name),
            (HEADERS.time_left, str(int(CALLER_TIMEOUT_MS))),
        )
        method = "GET" if is_idempotent else "POST"
        request = Request(method=method, target=f"{path}{name}", headers=headers)
        return request, call

    async def _fetch_addresses(self) -> list[str]:
        host = self.rng.choice(list(self.instances))
        data_centre = self.instances[host].data_centre
        request = Request(method="GET", target=make_directory_query(data_centre))
        try:
            response = await fetch(
                f"{host}:8644", request, timeout_ms=DIRECTORY_TIMEOUT_MS
            )
        except WireError:
            return []
        return read_addresses(response.body) if response.status == 200 else []

    async def _is_ready(self, host: str) -> bool:
        request = Request(method="GET", target=READINESS_PATH)
        try:
            response = await fetch(
                f"{host}:8640", request, timeout_ms=DIRECTORY_TIMEOUT_MS
            )
        except WireError:
            return False
        return response.status == 200
