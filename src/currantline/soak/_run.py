"""One soak from start to end."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

from currantline.clock import MonotonicClock
from currantline.soak._environment import Environment
from currantline.soak._faults import FaultInjector

__all__ = ["run_soak"]

# Time after the last fault by which requests are answered again, in seconds.
RECOVERY_S = 15.0

# Load without faults after that time, in seconds.
RECOVERED_LOAD_S = 3.0


async def run_soak(
    seed: int,
    folder: Path,
    *,
    duration_s: float,
    instances: int = 6,
    callers: int = 16,
    checks_time_bounds: bool = True,
    report: Callable[[str], object] = print,
) -> list[str]:
    """Run instances under load and faults and return what they broke.

    Parameters
    ----------
    seed : int
        Draws faults and load. The processes are real, so their timing differs from
        run to run.
    folder : Path
        Folder for settings and logs.
    duration_s : float
        Seconds of faults.
    instances : int
        Processes.
    callers : int
        Callers that send at the same time.
    checks_time_bounds : bool
        Whether guarantees with a time bound are checked.
    report : callable
        Takes lines about faults and the end.
    """
    rng, clock = random.Random(seed), MonotonicClock()
    environment = Environment(folder, count=instances, clock=clock, rng=rng)
    loop = asyncio.get_running_loop()
    load: list[asyncio.Task[None]] = []
    try:
        await environment.start()
        await environment.wait_until_ready()
        load = [loop.create_task(environment.run_caller()) for _ in range(callers)]
        load.append(loop.create_task(environment.monitor_stalls(report)))
        await FaultInjector(environment, report).run(duration_s)
        await asyncio.sleep(RECOVERY_S)
        since_ms = clock.read()
        await asyncio.sleep(RECOVERED_LOAD_S)
    finally:
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await environment.stop()
    counts = sorted(environment.checker.count_statuses().items())
    report("  ".join(f"{status}: {count}" for status, count in counts))
    violations = environment.checker.find_violations(
        checks_time_bounds=checks_time_bounds
    )
    return violations + environment.checker.check_recovery(since_ms)
