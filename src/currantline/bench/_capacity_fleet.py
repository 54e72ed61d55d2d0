"""Cost of traffic between instances, and resources of an idle daemon."""

import asyncio
import os
import resource
import socket
import tempfile
import time
from pathlib import Path

from currantline.bench._slopes import Series, time_call
from currantline.bench._workload import COOP, LONG_FACTOR, LONG_SHARE, SHORT_MEAN_MS
from currantline.bench.gossip import GossipFleet, measure_overhead
from currantline.exceptions import PlatformError
from currantline.membership import FullRow
from currantline.standin.fleet import PLATFORM_ADDRESS, Fleet

__all__ = ["measure_gossip", "measure_idle_daemon", "measure_slots"]

LOADS = (0.4, 0.6, 0.8)
WARM_UP_MS = 2500.0
MEASURED_MS = 1000.0
IDLE_S = 5.0
ADDRESS_REQUESTS = 2000
KIB = 1024


def measure_gossip(sizes: tuple[int, ...]) -> list[Series]:
    """Measure gossip by instances.

    Instances know each other from the start; the fleet then runs until the ages of
    its rows are stable.
    """
    rows = [(count, _measure_gossip_fleet(count)) for count in sizes]
    return [
        Series(name=name, points=tuple((size, row[name]) for size, row in rows))
        for name in rows[0][1]
    ]


def measure_slots() -> list[Series]:
    """Measure slot messages by load, with 18 instances of the co-op."""
    from currantline.bench.measure import Run, measure

    mean_ms = SHORT_MEAN_MS * (1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR)
    points = []
    for load in LOADS:
        figures = measure(Run(deployment=COOP, policy="ours", load=load))
        per_s = COOP.capacity * load / mean_ms * 1000
        points.append((load, figures.messages_per_s / per_s))
    name = "slot messages for each request"
    return [Series(name=name, points=tuple(points))]


def measure_idle_daemon(configuration: str) -> dict[str, float]:
    """Measure an idle daemon, then its address responses.

    Parameters
    ----------
    configuration : str
        Path of the configuration to publish.

    Raises
    ------
    PlatformError
        If the fixed addresses of the stand-ins are in use.
    """
    _check_address_free(PLATFORM_ADDRESS)
    with tempfile.TemporaryDirectory(prefix="currantline-capacity-") as name:
        fleet = Fleet(Path(name), configuration, 4)
        try:
            return asyncio.run(_measure_daemon(fleet))
        finally:
            fleet.stop()


def _measure_gossip_fleet(count: int) -> dict[str, float]:
    fleet = GossipFleet(count, seed=1)
    _introduce(fleet)
    asyncio.run(_run_gossip(fleet, WARM_UP_MS))
    calls, sent = fleet.calls, fleet.sent_bytes
    begin = time.process_time()
    asyncio.run(_run_gossip(fleet, MEASURED_MS))
    cpu_s = time.process_time() - begin
    calls, sent = fleet.calls - calls, fleet.sent_bytes - sent
    per_instance_s = count * MEASURED_MS / 1000
    task = next(iter(fleet.tasks.values()))
    overhead = measure_overhead(5) * calls
    return {
        "bytes sent and received per second": 2 * (sent + overhead) / per_instance_s,
        "payload of one exchange, bytes": sent / calls,
        "processor time of one exchange, ms": 1000 * cpu_s / calls,
        "gossip, share of a core": cpu_s / per_instance_s,
        "check of the lease, ms": time_call(task.holds_lease),
    }


async def _run_gossip(fleet: GossipFleet, duration_ms: float) -> None:
    start = fleet.clock.read()
    interval_ms = fleet.options.gossip_interval_ms
    for number in range(int(duration_ms / interval_ms)):
        for phase_ms, address in fleet.phases:
            fleet.clock.now = start + number * interval_ms + phase_ms
            await fleet.tasks[address].step()
    fleet.clock.now = start + duration_ms


def _introduce(fleet: GossipFleet) -> None:
    rows = [
        FullRow(entry=task.table.local, age_ms=0.0) for task in fleet.tasks.values()
    ]
    for task in fleet.tasks.values():
        task.table.merge(rows, fleet.clock.read())


async def _measure_daemon(fleet: Fleet) -> dict[str, float]:
    await fleet.start()
    name, settings = next(iter(fleet.settings.items()))
    pid = fleet._processes[name].pid
    resident = _read_resident_bytes(pid)
    cpu_before_s = _read_cpu_s(pid)
    await asyncio.sleep(IDLE_S)
    idle_cpu_s = _read_cpu_s(pid) - cpu_before_s
    service = next(iter(fleet.configuration.services))
    cpu_before_s = _read_cpu_s(pid)
    for _ in range(ADDRESS_REQUESTS):
        await fleet.get(settings["caller_address"], f"/v1/addresses/{service}")
    responses_cpu_s = _read_cpu_s(pid) - cpu_before_s
    return {
        "resident size when ready, MiB": resident / KIB / KIB,
        "resident size after the answers, MiB": _read_resident_bytes(pid) / KIB / KIB,
        "idle, share of a core": idle_cpu_s / IDLE_S,
        "address answers over HTTP/s of a core": ADDRESS_REQUESTS / responses_cpu_s,
    }


def _read_resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def _read_cpu_s(pid: int) -> float:
    # The program name may contain spaces; it ends at the last parenthesis.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _check_address_free(address: str) -> None:
    host, _, port = address.rpartition(":")
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, int(port)))
        except OSError as error:
            raise PlatformError(f"{address} is in use by another run") from error
