"""Time that an instance adds to a request, against a direct request.

One process each for the target, the instance's request path and the caller, on
loopback. The caller alternates between the two ways in one run, so noise of the
host meets both.
"""

import asyncio
import random
import resource
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
import eliot
from absl import app, flags

from currantline.clock import MonotonicClock
from currantline.configuration import Configuration, Service, Target
from currantline.directory import AddressAnswer
from currantline.dispatch import LocalPlacement
from currantline.exceptions import PlatformError, UnknownServiceError
from currantline.forwarding import CallerServer, Carrier, Guidance
from currantline.wire import Answer, HttpConnection, HttpService, Request, connect

__all__ = ["main"]

HOST = "127.0.0.1"
MAX_BODY_BYTES = 1 << 20
BODY = b"x" * 512
WARM_UP = 200


@attrs.define
class Samples:
    """Durations of one way."""

    durations_ms: list[float] = attrs.field(factory=list)

    def quantile(self, share: float) -> float:
        """Return a quantile in milliseconds."""
        ordered = sorted(self.durations_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def serve_target() -> None:
    """Answer every request at once."""

    async def answer(request: Request) -> Answer:
        return Answer(status=200, body=BODY)

    service = HttpService(answer)
    await service.start(f"{HOST}:0")
    await serve_until_end(service.address)


async def serve_instance(target_address: str, log: Path) -> None:
    """Run the request path of an instance with the local choice of targets."""
    target = Target(name="target", address=target_address, data_centre="here", slots=64)
    service = Service(name="bench", targets=(target,))
    configuration = Configuration(
        version=1, max_instances=4, services={service.name: service}
    )

    def refuse(name: str) -> AddressAnswer:
        raise UnknownServiceError(name)

    clock = MonotonicClock()
    eliot.to_file(log.open("ab", buffering=0))
    server = CallerServer(
        "instance",
        carrier=Carrier(
            LocalPlacement(lambda: configuration, random.Random(1)), clock=clock
        ),
        guidance=Guidance(
            read_configuration=lambda: configuration,
            answer_addresses=refuse,
            needs_refresh=lambda name: False,
            is_leaving=lambda: False,
        ),
        clock=clock,
    )
    await server.start(f"{HOST}:0")
    await serve_until_end(server.address)


async def serve_until_end(address: str) -> None:
    """Print an address, wait for SIGTERM and print the CPU seconds used since."""
    before_s = read_cpu_s()
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    print(address, flush=True)
    await stopping.wait()
    print(read_cpu_s() - before_s, flush=True)


def read_cpu_s() -> float:
    """Return the CPU seconds that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def exchange(connection: HttpConnection, path: str) -> float:
    """Return the duration of one request in milliseconds."""
    request = Request(method="GET", target=path, headers=(("host", "bench"),))
    clock = MonotonicClock()
    started = clock.read()
    connection.write_request(request)
    answer = await connection.read_answer()
    connection.start_next()
    if answer.body != BODY:
        raise PlatformError(f"status {answer.status} instead of the body")
    return clock.read() - started


async def call(
    pair: tuple[HttpConnection, HttpConnection], count: int
) -> tuple[list[float], list[float]]:
    """Alternate between the two ways."""
    times: tuple[list[float], list[float]] = ([], [])
    for _ in range(count):
        times[0].append(await exchange(pair[0], "/x"))
        times[1].append(await exchange(pair[1], "/services/bench/x"))
    return times


async def measure(
    direct: str, through: str, concurrency: int, count: int
) -> tuple[Samples, Samples]:
    """Return the samples of both ways with several callers at once."""
    pairs = [
        (
            await connect(direct, max_body_bytes=MAX_BODY_BYTES),
            await connect(through, max_body_bytes=MAX_BODY_BYTES),
        )
        for _ in range(concurrency)
    ]
    for pair in pairs:
        await call(pair, WARM_UP // concurrency)
    results = await asyncio.gather(
        *(call(pair, count // concurrency) for pair in pairs)
    )
    for pair in pairs:
        for connection in pair:
            connection.close()
    samples = (Samples(), Samples())
    for result in results:
        for sample, times in zip(samples, result, strict=True):
            sample.durations_ms += times
    return samples


def start(role: str, *arguments: str) -> tuple[str, subprocess.Popen[str]]:
    """Start a process and return its address."""
    command = [sys.executable, "-m", __spec__.name, f"--role={role}", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    address = _read_line(process)
    if not address:
        raise PlatformError(f"the process for {role} did not start")
    return address, process


def stop(process: subprocess.Popen[str]) -> float:
    """End a process and return the CPU seconds that it used."""
    process.terminate()
    used = float(_read_line(process))
    process.wait()
    return used


def _read_line(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    return process.stdout.readline().strip()


def run(folder: Path, concurrency: int, count: int) -> None:
    """Measure at one concurrency with fresh processes and print a line."""
    direct, target = start("target")
    arguments = (f"--target={direct}", f"--log={folder / 'log'}")
    through, instance = start("instance", *arguments)
    try:
        samples = asyncio.run(measure(direct, through, concurrency, count))
    finally:
        cpu_s = stop(instance)
        stop(target)
    calls = len(samples[1].durations_ms) + WARM_UP
    line = f"concurrency {concurrency:3}  calls {calls:6}"
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        before, after = (sample.quantile(share) for sample in samples)
        line += (
            f"  {name} direct {before:.3f} through {after:.3f}"
            f" added {after - before:.3f} ms ratio {after / before:.2f}"
        )
    print(f"{line}  {calls / cpu_s:.0f} calls per second of CPU", flush=True)


def main(_: list[str]) -> None:
    """Run a role, or start the others and measure."""
    given = flags.FLAGS
    if given.role == "target":
        asyncio.run(serve_target())
        return
    if given.role == "instance":
        asyncio.run(serve_instance(given.target, Path(given.log)))
        return
    with tempfile.TemporaryDirectory(prefix="currantline-added-") as name:
        for concurrency in (1, 16):
            run(Path(name), concurrency, given.count)


if __name__ == "__main__":
    flags.DEFINE_string("role", "", "Role of a child process.")
    flags.DEFINE_string("target", "", "Address of the target.")
    flags.DEFINE_string("log", "", "File for log records of the instance.")
    flags.DEFINE_integer("count", 5000, "Calls for each way and concurrency.")
    app.run(main)
