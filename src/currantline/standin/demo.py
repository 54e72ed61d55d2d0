"""The demo: stand-ins, instances and a mixed load as separate processes."""

import asyncio
import random
import tempfile
from pathlib import Path

from absl import app, flags

from currantline.clock import MonotonicClock
from currantline.standin.caller import StandinCaller
from currantline.standin.fleet import Fleet
from currantline.standin.load import print_report, run_load

__all__ = ["main"]


async def run_demo(fleet: Fleet) -> list[str]:
    """Run the demo and return the guarantees that were broken."""
    options = flags.FLAGS
    await fleet.start()
    caller = StandinCaller(
        fleet.caller_addresses,
        clock=MonotonicClock(),
        rng=random.Random(options.seed),
    )
    services = list(fleet.configuration.services.values())
    async with asyncio.TaskGroup() as group:
        for service in services:
            load = run_load(
                caller,
                service,
                seed=options.seed,
                rate=options.rate,
                duration_s=options.duration_s,
            )
            group.create_task(load)
    return print_report(caller, await fleet.count_requests(services))


def main(_: list[str]) -> int:
    """Run the demo and return 0 if every guarantee held."""
    options = flags.FLAGS
    with tempfile.TemporaryDirectory(prefix="currantline-demo-") as name:
        fleet = Fleet(Path(name), options.configuration, options.instances)
        try:
            violations = asyncio.run(run_demo(fleet))
        finally:
            codes = fleet.stop()
    violations += [
        f"{name} exited with {code}"
        for name, code in codes.items()
        if name.startswith("instance") and code
    ]
    for line in violations:
        print(f"broken: {line}")
    return 1 if violations else 0


if __name__ == "__main__":
    flags.DEFINE_string("configuration", "examples/coop.yaml", "Configuration to run.")
    flags.DEFINE_integer("instances", 3, "Number of instances.")
    flags.DEFINE_float("duration_s", 8.0, "Seconds of load.")
    flags.DEFINE_float("rate", 40.0, "Requests per second for each service.")
    flags.DEFINE_integer("seed", 1, "Seed of the load.")
    app.run(main)
