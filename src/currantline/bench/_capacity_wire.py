"""Processor time of peer calls and probes over loopback, both ends in one process."""

import asyncio
import gc
import random
import socket
import time
import tracemalloc
from collections.abc import Awaitable, Callable

from currantline.bench._slopes import Series
from currantline.clock import ManualClock
from currantline.dispatch import Demand
from currantline.load import TargetNotice, fetch_health
from currantline.membership import Gossip
from currantline.peer import (
    Envelope,
    PeerClient,
    PeerServer,
    RecordMessage,
    encode_envelope,
)
from currantline.wire import HttpServer, Request, Response

__all__ = ["make_envelope", "measure_channels", "measure_wire"]

HOST = "127.0.0.1"
MESSAGES = (1, 10, 100)
CHANNELS = (20, 60, 180)
KIB = 1024
CALLS = 300
BATCHES = 3
PROBE_TIMEOUT_MS = 5000.0

Call = Callable[[], Awaitable[object]]


class _EchoHandler:
    def handle_gossip(self, request: Gossip) -> Gossip:
        return request

    def list_records(self, after: int) -> tuple[RecordMessage, ...]:
        return ()

    def handle_envelope(self, envelope: Envelope) -> tuple[TargetNotice, ...]:
        return ()


def make_envelope(count: int) -> Envelope:
    """Return an envelope with some slot messages."""
    demand = Demand(
        service="service-0001",
        short_waiting=3,
        long_waiting=1,
        oldest_short_ms=2.5,
        oldest_long_ms=12.5,
        free_slots=0,
    )
    return Envelope(sender="instance-1", messages=(demand,) * count)


def measure_wire() -> list[Series]:
    """Measure one envelope by its messages, and one probe."""
    rows = [(count, asyncio.run(_measure_envelope(count))) for count in MESSAGES]
    probe_ms = asyncio.run(_measure_probe())
    sizes = [(n, float(encode_envelope(make_envelope(n)).ByteSize())) for n in MESSAGES]
    return [
        Series(name="one envelope, bytes without HTTP/2", points=tuple(sizes)),
        Series(name="one envelope, both sides, ms", points=tuple(rows)),
        Series(
            name="one probe, both sides, ms",
            points=tuple((count, probe_ms) for count in MESSAGES),
        ),
    ]


def measure_channels() -> list[Series]:
    """Measure open channels between instances by their number."""
    points = [(n, asyncio.run(_measure_channels(n))) for n in CHANNELS]
    name = "memory of open channels, both sides, KiB"
    return [Series(name=name, points=tuple(points))]


async def _measure_channels(count: int) -> float:
    address = f"{HOST}:{_find_port()}"
    server = PeerServer(_EchoHandler())
    await server.start(address)
    clients = [
        PeerClient(clock=ManualClock(), rng=random.Random(n)) for n in range(count + 1)
    ]
    envelope = make_envelope(1)
    # The first call fills caches that all channels share, so it is not measured.
    await clients[0].deliver(address, envelope)
    gc.collect()
    tracemalloc.start()
    for client in clients[1:]:
        await client.deliver(address, envelope)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    for client in clients:
        client.close()
    await server.stop()
    return held / KIB


async def _measure_envelope(count: int) -> float:
    address = f"{HOST}:{_find_port()}"
    server = PeerServer(_EchoHandler())
    await server.start(address)
    client = PeerClient(clock=ManualClock(), rng=random.Random(1))
    envelope = make_envelope(count)
    try:
        return await _time_calls(lambda: client.deliver(address, envelope))
    finally:
        client.close()
        await server.stop()


async def _measure_probe() -> float:
    async def respond(_: Request) -> Response:
        return Response(status=200)

    server = HttpServer(respond)
    await server.start(f"{HOST}:0")
    try:
        return await _time_calls(
            lambda: fetch_health(
                server.address, lambda: True, timeout_ms=PROBE_TIMEOUT_MS
            )
        )
    finally:
        await server.stop()


async def _time_calls(call: Call) -> float:
    """Return the processor time of one call in ms, the fastest of some batches."""
    await call()
    cpu_s = []
    for _ in range(BATCHES):
        begin = time.process_time()
        for _ in range(CALLS):
            await call()
        cpu_s.append(time.process_time() - begin)
    return min(cpu_s) / CALLS * 1000


def _find_port() -> int:
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])
