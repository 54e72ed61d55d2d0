"""The stand-ins around the instances of a soak: store, targets and callers."""

import asyncio
import contextlib
import os
import random
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs

from currantline.clock import Clock
from currantline.exceptions import WireError
from currantline.platform import CONFIGURATION_KEY, HEADERS, TARGET_PREFIX
from currantline.platform.samples import (
    READINESS_PATH,
    make_configuration,
    make_directory_query,
    make_target_entry,
    read_addresses,
)
from currantline.soak._processes import InstanceProcess
from currantline.soak._promises import Call, Promises
from currantline.soak._proxy import Proxy
from currantline.standin.store import StandinStore
from currantline.standin.worker import StandinWorker
from currantline.wire import (
    HttpConnection,
    HttpServer,
    Request,
    connect,
    fetch,
    find_header,
)

__all__ = ["SERVICES", "PublishedWorker", "World"]

SERVICES = ("svc", "two")
DATA_CENTRES = ("a", "b")
TARGETS_PER_SERVICE = 4

# Time that callers wait for an answer and for addresses, in milliseconds.
CALLER_MS = 3_000.0
DIRECTORY_MS = 1_000.0

# Time for which callers keep addresses, and pause between requests, in seconds.
KEEP_ADDRESSES_S = 2.0
PAUSE_S = (0.01, 0.2)

MAX_BODY_BYTES = 1024 * 1024

# Time between two looks at the clock in seconds, and the time between them in
# milliseconds from which the process counts as stalled.
STALL_LOOK_S = 0.05
STALLED_MS = 500.0

# Second numbers of the loopback addresses in use.
FIRST_BLOCK, BLOCKS = 100, 100


@attrs.define(eq=False)
class PublishedWorker:
    """A target, the proxy before it, and its service."""

    worker: StandinWorker
    service: str
    server: HttpServer
    proxy: Proxy
    address: str


class World:
    """Everything of a soak but the faults.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs of the instances.
    count : int
        Number of instances.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of all choices.
    """

    def __init__(
        self, folder: Path, *, count: int, clock: Clock, rng: random.Random
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.promises = Promises()
        self.store = StandinStore()
        self.workers: dict[str, PublishedWorker] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self.version = 0
        self._store_server = HttpServer(self.store.handle)
        self._targets_started = 0
        self._sent = 0
        # Soaks that run at the same time use addresses of their own.
        self._block = f"127.{FIRST_BLOCK + os.getpid() % BLOCKS}"
        self._store_address = f"{self._block}.200.1:8642"
        hosts = [f"{self._block}.{n % 2}.{n // 2 + 1}" for n in range(count)]
        self.instances = {
            host: InstanceProcess(
                host=host,
                data_centre=DATA_CENTRES[n % 2],
                seeds=(hosts[0], hosts[1 % count]),
                data_centres=DATA_CENTRES,
                store=f"{self._block}.201.{n + 1}:8642",
                folder=folder,
            )
            for n, host in enumerate(hosts)
        }

    async def start(self) -> None:
        """Start all stand-ins and processes."""
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
        """Wait until all instances take requests."""
        for host in self.instances:
            while not await self._is_ready(host):
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances.values():
            await instance.kill()
        for proxy in self.store_proxies.values():
            await proxy.stop()
        for published in self.workers.values():
            await published.proxy.stop()
            await published.server.stop()
        await self._store_server.stop()

    @contextlib.contextmanager
    def disturb(self, fault: str, *names: str) -> Iterator[None]:
        """Note a fault of instances, targets or the ``store`` while it lasts."""
        now = self.clock.read()
        begun = [self.promises.note_disturbance(n, fault, now) for n in names]
        try:
            yield
        finally:
            for disturbance in begun:
                disturbance.end_ms = self.clock.read()

    def change_configuration(self) -> None:
        """Let requests go to the other service."""
        self.version += 1
        service = SERVICES[self.version % len(SERVICES)]
        self.store.put(CONFIGURATION_KEY, make_configuration(self.version, service))
        self.promises.note_configuration(service, self.clock.read())

    async def add_target(self, service: str) -> str:
        """Start a target and enter it in the store; return its name."""
        self._targets_started += 1
        number = self._targets_started
        name = f"i-{number}"

        def note(request_id: str) -> None:
            self.promises.note_run(request_id, name, service, self.clock.read())

        worker = StandinWorker(name=name, names=HEADERS, on_run=note, slots=4)
        server = HttpServer(worker.handle)
        await server.start(f"{self._block}.210.{number}:80")
        proxy = Proxy(f"{self._block}.210.{number}:80")
        address = f"{self._block}.211.{number}:80"
        await proxy.start(address)
        published = PublishedWorker(worker, service, server, proxy, address)
        self.workers[name] = published
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.store.put(
            f"{TARGET_PREFIX}{name}",
            make_target_entry(address, service=service, data_centre=data_centre),
        )
        return name

    def drain_target(self, name: str) -> None:
        """Enter in the store that a target leaves."""
        published = self.workers[name]
        entry = make_target_entry(
            published.address, service=published.service, state="draining"
        )
        self.store.put(f"{TARGET_PREFIX}{name}", entry)
        self.promises.note_drain(name, self.clock.read())

    async def remove_target(self, name: str) -> None:
        """Take a target away."""
        self.store.remove(f"{TARGET_PREFIX}{name}")
        published = self.workers.pop(name)
        await published.server.stop()
        await published.proxy.stop()

    async def watch_stalls(self, say: Callable[[str], object]) -> None:
        """Note times in which this process did not run, until cancelled.

        A machine that is short of processor time holds up the instances as well, so
        this counts as a fault of everything.
        """
        last_ms = self.clock.read()
        while True:
            await asyncio.sleep(STALL_LOOK_S)
            now = self.clock.read()
            if now - last_ms > STALLED_MS:
                say(f"this process stood still for {(now - last_ms) / 1000:.1f} s")
                for name in ("store", *self.instances, *self.workers):
                    self.promises.note_disturbance(name, "stall", last_ms).end_ms = now
            last_ms = now

    async def run_caller(self) -> None:
        """Send requests until cancelled, over a connection that is kept."""
        addresses: list[str] = []
        asked_ms = 0.0
        kept: HttpConnection | None = None
        while True:
            now = self.clock.read()
            if not addresses or now - asked_ms > 1000 * KEEP_ADDRESSES_S:
                addresses, asked_ms = await self._find_addresses(), now
            if not addresses:
                await asyncio.sleep(PAUSE_S[1])
                continue
            kept = await self._send(kept, addresses)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    async def _send(
        self, kept: HttpConnection | None, addresses: list[str]
    ) -> HttpConnection | None:
        try:
            if kept is None or kept.is_lost:
                address = self.rng.choice(addresses)
                async with asyncio.timeout(DIRECTORY_MS / 1000):
                    kept = await connect(address, max_body_bytes=MAX_BODY_BYTES)
        except (OSError, TimeoutError):
            addresses.clear()
            return None
        request, call = self._make_request(kept.peer_host)
        self.promises.note_call(call)
        try:
            async with asyncio.timeout(CALLER_MS / 1000):
                kept.write_request(request)
                answer = await kept.read_response()
        except (WireError, TimeoutError):
            kept.abort()
            call.ended_ms = self.clock.read()
            return None
        call.status, call.ended_ms = answer.status, self.clock.read()
        signature = find_header(answer.headers, HEADERS.signature) or ""
        call.is_own = (
            answer.body == request.target.encode()
            and find_header(answer.headers, HEADERS.request_id) == call.name
            and signature.endswith(f".{call.name}")
        )
        if not kept.is_reusable:
            kept.close()
            return None
        kept.start_next_cycle()
        return kept

    def _make_request(self, instance: str) -> tuple[Request, Call]:
        self._sent += 1
        name = f"r{self._sent}"
        is_idempotent = self.rng.random() < 0.5
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
            (HEADERS.time_left, str(int(CALLER_MS))),
        )
        method = "GET" if is_idempotent else "POST"
        request = Request(method=method, target=f"{path}{name}", headers=headers)
        return request, call

    async def _find_addresses(self) -> list[str]:
        host = self.rng.choice(list(self.instances))
        data_centre = self.instances[host].data_centre
        request = Request(method="GET", target=make_directory_query(data_centre))
        try:
            answer = await fetch(f"{host}:8644", request, timeout_ms=DIRECTORY_MS)
        except WireError:
            return []
        return read_addresses(answer.body) if answer.status == 200 else []

    async def _is_ready(self, host: str) -> bool:
        request = Request(method="GET", target=READINESS_PATH)
        try:
            answer = await fetch(f"{host}:8640", request, timeout_ms=DIRECTORY_MS)
        except WireError:
            return False
        return answer.status == 200
