"""The demo: stand-ins, instances and a mixed load as separate processes."""

import asyncio
import json
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import attrs
import yaml
from absl import app, flags

from currantline.clock import MonotonicClock
from currantline.configuration import (
    Configuration,
    Service,
    parse_configuration,
    render_configuration,
)
from currantline.exceptions import PlatformError, WireError
from currantline.standin.caller import StandinCaller
from currantline.wire import Request, fetch

__all__ = ["main"]

PLATFORM_ADDRESS = "127.0.0.1:7900"
READY_TIMEOUT_S = 30.0
FETCH_TIMEOUT_MS = 2000.0
LONG_SHARE = 0.03
ORDER_SHARE = 0.3


@attrs.define
class Processes:
    """Child processes of the demo, by name."""

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a module as a process."""
        command = [sys.executable, "-m", module, *arguments]
        log = (self.folder / f"{name}.out").open("wb")
        self.running[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def stop(self) -> dict[str, int]:
        """Ask all processes to end, instances first, and return exit codes."""
        for process in reversed(self.running.values()):
            process.send_signal(signal.SIGTERM)
            process.wait(timeout=30)
        return {name: p.returncode for name, p in self.running.items()}


def build_settings(
    number: int, data_centres: list[str], folder: Path
) -> dict[str, str]:
    """Return the settings of one instance."""
    return {
        "name": f"instance-{number}",
        "data_centre": data_centres[number % len(data_centres)],
        "caller_address": f"127.0.1.{number + 1}:7100",
        "peer_address": f"127.0.1.{number + 1}:7200",
        "operator_address": f"127.0.1.{number + 1}:7300",
        "platform_address": PLATFORM_ADDRESS,
        "log_path": str(folder / f"instance-{number}.log"),
    }


async def post(path: str, body: object) -> None:
    """Publish something at the platform's stand-in."""
    request = Request(method="POST", target=path, body=json.dumps(body).encode())
    await fetch(PLATFORM_ADDRESS, request, timeout_ms=FETCH_TIMEOUT_MS)


async def wait_until_ok(address: str, path: str) -> None:
    """Wait until an address answers 200.

    Raises
    ------
    PlatformError
        If it does not within the time allowed.
    """
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ok(address, path):
                await asyncio.sleep(0.1)
    except TimeoutError as error:
        raise PlatformError(f"{address}{path} did not become ready") from error


async def _is_ok(address: str, path: str) -> bool:
    request = Request(method="GET", target=path)
    try:
        answer = await fetch(address, request, timeout_ms=FETCH_TIMEOUT_MS)
    except WireError:
        return False
    return answer.status == 200


def draw_requests(
    service: Service, rng: random.Random
) -> Iterator[tuple[str, str, str]]:
    """Yield method, path and request id of a mixed load."""
    has_orders = any(not route.idempotent for route in service.routes)
    number = 0
    while True:
        number += 1
        if has_orders and rng.random() < ORDER_SHARE:
            yield "POST", f"/orders/{number}", f"{service.name}-order-{number}"
        elif rng.random() < LONG_SHARE:
            yield "GET", f"/long/{number}", f"{service.name}-long-{number}"
        else:
            yield "GET", f"/item/{number}", f"{service.name}-item-{number}"


async def run_load(caller: StandinCaller, service: Service, seed: int) -> None:
    """Send requests to one service for the configured time."""
    rng = random.Random(f"{seed} {service.name}")
    requests = draw_requests(service, rng)
    async with asyncio.TaskGroup() as group:
        loop = asyncio.get_running_loop()
        end = loop.time() + flags.FLAGS.duration_s
        while loop.time() < end:
            method, path, request_id = next(requests)
            group.create_task(caller.send(service.name, method, path, request_id))
            await asyncio.sleep(rng.expovariate(flags.FLAGS.rate))


async def count_orders(configuration: Configuration) -> dict[str, int]:
    """Return how often targets saw each order, over all targets."""
    seen: dict[str, int] = {}
    request = Request(method="GET", target="/standin/seen")
    for service in configuration.services.values():
        for target in service.targets:
            answer = await fetch(target.address, request, timeout_ms=FETCH_TIMEOUT_MS)
            for request_id, count in json.loads(answer.body).items():
                if "-order-" in request_id:
                    seen[request_id] = seen.get(request_id, 0) + count
    return seen


def print_report(caller: StandinCaller, seen: dict[str, int]) -> list[str]:
    """Print a line per service and return the promises that broke."""
    broken = []
    head = f"{'service':24}{'answered':>9}{'not-run':>9}{'unknown':>9}"
    print(f"{head}{'p50 ms':>9}{'p99 ms':>9}")
    for name, report in sorted(caller.reports.items()):
        counts = report.outcomes
        p50 = report.latency_us.get_value_at_percentile(50) / 1000
        p99 = report.latency_us.get_value_at_percentile(99) / 1000
        print(
            f"{name:24}{counts['answered']:9}{counts['not-run']:9}"
            f"{counts['unknown']:9}{p50:9.1f}{p99:9.1f}"
        )
        if report.mismatches:
            broken.append(f"{name}: {report.mismatches} answers of another request")
        if counts["missing"]:
            broken.append(f"{name}: {counts['missing']} answers without an outcome")
    repeated = sorted(key for key, count in seen.items() if count > 1)
    print(f"orders seen by targets: {len(seen)}, more than once: {len(repeated)}")
    broken += [f"order {key} reached a target more than once" for key in repeated]
    return broken


async def run_demo(processes: Processes) -> list[str]:
    """Run the demo and return the promises that broke."""
    path = flags.FLAGS.configuration
    configuration = parse_configuration(Path(path).read_text(), source=path)
    targets = [t for s in configuration.services.values() for t in s.targets]
    data_centres = sorted({target.data_centre for target in targets})
    processes.start("platform", "currantline.standin.platform")
    processes.start("targets", "currantline.standin.target", f"--configuration={path}")
    instances = [
        build_settings(number, data_centres, processes.folder)
        for number in range(flags.FLAGS.instances)
    ]
    await wait_until_ok(PLATFORM_ADDRESS, "/v1/list")
    await wait_until_ok(targets[-1].address, "/health")
    await post("/v1/list", {"entries": [_list_instance(s) for s in instances]})
    body = render_configuration(configuration)
    await post("/v1/records", {"kind": "snapshot", "author": "demo", "body": body})
    for settings in instances:
        file = processes.folder / f"{settings['name']}.yaml"
        file.write_text(yaml.safe_dump(settings))
        processes.start(settings["name"], "currantline.daemon", f"--settings={file}")
    for settings in instances:
        await wait_until_ok(settings["operator_address"], "/ready")
    caller = StandinCaller(
        [settings["caller_address"] for settings in instances],
        clock=MonotonicClock(),
        rng=random.Random(flags.FLAGS.seed),
    )
    async with asyncio.TaskGroup() as group:
        for service in configuration.services.values():
            group.create_task(run_load(caller, service, flags.FLAGS.seed))
    return print_report(caller, await count_orders(configuration))


def _list_instance(settings: dict[str, str]) -> dict[str, str]:
    keys = ("name", "data_centre", "caller_address", "peer_address")
    entry = {key: settings[key] for key in keys}
    return {"kind": "instance", "state": "live", **entry}


def main(_: list[str]) -> int:
    """Run the demo and return 0 if every promise held."""
    with tempfile.TemporaryDirectory(prefix="currantline-demo-") as name:
        processes = Processes(Path(name))
        try:
            broken = asyncio.run(run_demo(processes))
        finally:
            codes = processes.stop()
    broken += [
        f"{name} exited with {code}"
        for name, code in codes.items()
        if name.startswith("instance") and code
    ]
    for line in broken:
        print(f"broken: {line}")
    return 1 if broken else 0


if __name__ == "__main__":
    flags.DEFINE_string("configuration", "examples/coop.yaml", "Configuration to run.")
    flags.DEFINE_integer("instances", 3, "Number of instances.")
    flags.DEFINE_float("duration_s", 8.0, "Seconds of load.")
    flags.DEFINE_float("rate", 40.0, "Requests per second for each service.")
    flags.DEFINE_integer("seed", 1, "Seed of the load.")
    app.run(main)
