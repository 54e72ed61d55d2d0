"""Latency that an instance adds to a request, compared with a direct request.

One process each for the targets, the request paths and the caller, on loopback.
The request paths are the forwarder with local target selection (``thin``), a
complete instance composed as in the daemon (``composed``) and, with ``--before``,
a complete instance of an earlier version. The caller alternates between a direct
request and one through a path, and the paths take turns in short rounds, so that
noise of the host affects all of them.
"""

import asyncio
import os
import signal
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
from absl import app, flags

from currantline.bench._roles import (
    BODY,
    SERVICE,
    serve_composed,
    serve_site,
    serve_thin,
)
from currantline.clock import MonotonicClock
from currantline.exceptions import PlatformError, WireError
from currantline.wire import HttpConnection, Request, connect, fetch

__all__ = ["main"]

MAX_BODY_BYTES = 1 << 20
PATH = f"/services/{SERVICE}/x"
# Slow start of ten targets with six slots ends after 8 successes per slot.
WARM_UP = 1000
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.1
IDLE_S = 3.0
FETCH_TIMEOUT_MS = 2000.0
MICROSECONDS = 1e6


@attrs.frozen(kw_only=True)
class Round:
    """Measurements of one path in one round.

    Parameters
    ----------
    direct_ms, forwarded_ms : list of float
        Durations of direct requests and of those through the path.
    cpu_us : float
        CPU time of the path's process per request, background work included.
    elapsed_us : float
        Time of the round per request.
    """

    direct_ms: list[float]
    forwarded_ms: list[float]
    cpu_us: float
    elapsed_us: float

    def compute_added_ms(self, quantile: float) -> float:
        """Return the difference of a quantile in milliseconds."""
        return compute_quantile(self.forwarded_ms, quantile) - compute_quantile(
            self.direct_ms, quantile
        )


class ChildProcess:
    """A child process of this benchmark.

    Parameters
    ----------
    role : str
        Role that the process runs.
    source : str
        Folder of the package's source; empty for the current one.
    *arguments : str
        Further flags.
    """

    def __init__(self, role: str, *arguments: str, source: str = "") -> None:
        command = [sys.executable, "-m", __spec__.name, f"--role={role}", *arguments]
        environment = dict(os.environ)
        if source:
            environment["PYTHONPATH"] = source
        self._process = subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True, env=environment
        )
        self.line = self._read_line()
        if not self.line:
            raise PlatformError(f"the process for {role} did not start")

    def read_cpu_s(self) -> float:
        """Return the CPU seconds that the process has used."""
        self._process.send_signal(signal.SIGUSR1)
        return float(self._read_line())

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()

    def _read_line(self) -> str:
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()


def compute_quantile(durations_ms: list[float], quantile: float) -> float:
    """Return a quantile in milliseconds."""
    ordered = sorted(durations_ms)
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


async def time_request(connection: HttpConnection, path: str) -> float:
    """Return the duration of one request in milliseconds."""
    request = Request(method="GET", target=path, headers=(("host", "bench"),))
    clock = MonotonicClock()
    started = clock.read()
    connection.write_request(request)
    response = await connection.read_response()
    connection.start_next_cycle()
    if response.body != BODY:
        raise PlatformError(f"status {response.status} instead of the body")
    return clock.read() - started


async def alternate_requests(
    pair: tuple[HttpConnection, HttpConnection], count: int
) -> tuple[list[float], list[float]]:
    """Alternate between a direct request and one through a path."""
    times: tuple[list[float], list[float]] = ([], [])
    for _ in range(count):
        times[0].append(await time_request(pair[0], "/x"))
        times[1].append(await time_request(pair[1], PATH))
    return times


async def measure_round(
    path: ChildProcess, pairs: list[tuple[HttpConnection, HttpConnection]], count: int
) -> Round:
    """Measure one path with one caller for each pair of connections."""
    per_pair = max(1, count // len(pairs))
    clock = MonotonicClock()
    started = clock.read()
    before_s = path.read_cpu_s()
    results = await asyncio.gather(
        *(alternate_requests(pair, per_pair) for pair in pairs)
    )
    cpu_s = path.read_cpu_s() - before_s
    return Round(
        direct_ms=[each for result in results for each in result[0]],
        forwarded_ms=[each for result in results for each in result[1]],
        cpu_us=cpu_s * MICROSECONDS / (per_pair * len(pairs)),
        elapsed_us=(clock.read() - started) * 1000 / (per_pair * len(pairs)),
    )


async def connect_pairs(
    direct: str, path: ChildProcess, concurrency: int
) -> list[tuple[HttpConnection, HttpConnection]]:
    """Open connections once the path forwards requests, and warm it up."""
    await wait_until_forwarding(path.line)
    pairs = [
        (
            await connect(direct, max_body_bytes=MAX_BODY_BYTES),
            await connect(path.line, max_body_bytes=MAX_BODY_BYTES),
        )
        for _ in range(concurrency)
    ]
    await asyncio.gather(
        *(alternate_requests(pair, WARM_UP // concurrency) for pair in pairs)
    )
    return pairs


async def wait_until_forwarding(address: str) -> None:
    """Wait until a path forwards requests; an instance first needs evidence."""
    request = Request(method="GET", target=PATH, headers=(("host", "bench"),))
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                response = await fetch(address, request, timeout_ms=FETCH_TIMEOUT_MS)
            except WireError:
                continue
            if response.status == 200:
                return
            await asyncio.sleep(READY_POLL_S)


async def measure_idle(path: ChildProcess) -> float:
    """Return the share of a core that a path uses without requests."""
    before_s = path.read_cpu_s()
    await asyncio.sleep(IDLE_S)
    return (path.read_cpu_s() - before_s) / IDLE_S


async def measure(
    paths: dict[str, tuple[str, ChildProcess]],
    concurrency: int,
    rounds: int,
    count: int,
) -> dict[str, tuple[float, list[Round]]]:
    """Return the idle share and the rounds of every path; these take turns."""
    pairs = {
        name: await connect_pairs(direct, path, concurrency)
        for name, (direct, path) in paths.items()
    }
    found: dict[str, tuple[float, list[Round]]] = {
        name: (await measure_idle(path), []) for name, (_, path) in paths.items()
    }
    for _ in range(rounds):
        for name, (_, path) in paths.items():
            found[name][1].append(await measure_round(path, pairs[name], count))
    for pair in (pair for each in pairs.values() for pair in each):
        for connection in pair:
            connection.close()
    return found


def format_report(name: str, concurrency: int, idle: float, rounds: list[Round]) -> str:
    """Format one line with the medians of the rounds."""
    line = f"{name:10} concurrency {concurrency:3}"
    for label, quantile in (("p50", 0.5), ("p99", 0.99)):
        direct_ms = statistics.median(
            compute_quantile(each.direct_ms, quantile) for each in rounds
        )
        added_ms = statistics.median(each.compute_added_ms(quantile) for each in rounds)
        line += f"  {label} direct {direct_ms:.3f} added {added_ms:.3f} ms"
    cpu_us = statistics.median(each.cpu_us for each in rounds)
    request_cpu_us = statistics.median(
        each.cpu_us - idle * each.elapsed_us for each in rounds
    )
    return (
        f"{line}  CPU {cpu_us:.0f} us per call, {request_cpu_us:.0f} us without the"
        f" {idle:.1%} of a core used when idle"
    )


def start_paths(
    folder: Path, started: list[ChildProcess]
) -> dict[str, tuple[str, ChildProcess]]:
    """Start each path with separate targets; return both by name.

    Instances with a shared platform would form a fleet.
    """
    options = flags.FLAGS
    sources = {"before": options.before} if options.before else {}
    found: dict[str, tuple[str, ChildProcess]] = {}
    for name, source in {"thin": "", **sources, "composed": ""}.items():
        started.append(ChildProcess("site", f"--services={options.services}"))
        direct, platform = started[-1].line.split()
        is_thin = name == "thin"
        role, address = ("thin", direct) if is_thin else ("composed", platform)
        arguments = (f"--address={address}", f"--log={folder / name}")
        started.append(ChildProcess(role, *arguments, source=source))
        found[name] = (direct, started[-1])
    return found


def run(folder: Path) -> None:
    """Measure all paths at each concurrency and print a line for each."""
    options = flags.FLAGS
    started: list[ChildProcess] = []
    try:
        paths = start_paths(folder, started)
        print(f"load {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores", flush=True)
        for concurrency in map(int, options.concurrency):
            found = asyncio.run(
                measure(paths, concurrency, options.rounds, options.count)
            )
            for name, (idle, rounds) in found.items():
                print(format_report(name, concurrency, idle, rounds), flush=True)
        print(f"load {os.getloadavg()[0]:.1f}, {options.rounds} rounds", flush=True)
    finally:
        for child in reversed(started):
            child.stop()


def main(_: list[str]) -> None:
    """Run the given role, or start the child processes and measure."""
    options = flags.FLAGS
    if options.role == "site":
        asyncio.run(serve_site(options.services))
        return
    if options.role == "thin":
        asyncio.run(serve_thin(options.address, Path(options.log)))
        return
    if options.role == "composed":
        asyncio.run(serve_composed(options.address, Path(options.log)))
        return
    with tempfile.TemporaryDirectory(prefix="currantline-added-") as name:
        run(Path(name))


if __name__ == "__main__":
    flags.DEFINE_string("role", "", "Role of a child process.")
    flags.DEFINE_string("address", "", "Address of the target or the platform.")
    flags.DEFINE_string("log", "", "File for log records of the instance.")
    flags.DEFINE_string("before", "", "Source folder of a version to compare with.")
    flags.DEFINE_integer("services", 4, "Services configured.")
    flags.DEFINE_list("concurrency", "1,16", "Callers at once.")
    flags.DEFINE_integer("rounds", 15, "Rounds of each path and concurrency.")
    flags.DEFINE_integer("count", 400, "Calls of each way in one round.")
    app.run(main)
