"""Runs one soak test."""

import asyncio
import random
from collections.abc import Callable, Sequence
from pathlib import Path

from currantline.clock import MonotonicClock
from currantline.soak._environment import Environment
from currantline.soak._faults import FAULTS, FaultInjector
from currantline.soak._state import find_stale_state

__all__ = ["run_soak"]

# Time after the last fault by which requests must succeed again.
RECOVERY_S = 15.0

# Number of concurrent callers that send requests ahead.
PIPELINING_CALLERS = 3

# Duration of the load after recovery that is checked for success.
RECOVERED_LOAD_S = 3.0


async def run_soak(
    seed: int,
    folder: Path,
    *,
    duration_s: float,
    instances: int = 6,
    callers: int = 16,
    faults: Sequence[str] = (),
    checks_time_bounds: bool = True,
    report: Callable[[str], object] = print,
) -> list[str]:
    """Run instances under load and faults and return the violated guarantees.

    Parameters
    ----------
    seed : int
        Seed of faults and load. Runs with the same seed still differ in timing,
        since the processes are real.
    folder : Path
        Directory for settings and logs.
    duration_s : float
        Duration of fault injection.
    instances : int
        Number of instance processes.
    callers : int
        Number of concurrent callers.
    faults : sequence of str
        Names of the faults to draw from, by default all.
    checks_time_bounds : bool
        Whether guarantees with a time bound are checked.
    report : callable
        Called with a line for each fault and with the final status counts.
    """
    rng, clock = random.Random(seed), MonotonicClock()
    environment = Environment(folder, count=instances, clock=clock, rng=rng)
    loop = asyncio.get_running_loop()
    load: list[asyncio.Task[None]] = []
    try:
        await environment.start()
        await environment.wait_until_ready()
        load = [loop.create_task(environment.run_caller()) for _ in range(callers)]
        load += [
            loop.create_task(environment.run_pipelining_caller())
            for _ in range(PIPELINING_CALLERS)
        ]
        load.append(loop.create_task(environment.monitor_stalls(report)))
        load.append(loop.create_task(environment.publisher.keep_copies()))
        names = sorted(faults or FAULTS)
        await FaultInjector(environment, report, names).run(duration_s)
        await asyncio.sleep(RECOVERY_S)
        since_ms = clock.read()
        await asyncio.sleep(RECOVERED_LOAD_S)
        stale = await find_stale_state(environment.publisher, environment.instances)
    finally:
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await environment.stop()
    counts = sorted(environment.checker.count_statuses().items())
    report(f"{environment.publisher.store.era or 0} returns of the store")
    report("  ".join(f"{status}: {count}" for status, count in counts))
    violations = environment.checker.find_violations(
        checks_time_bounds=checks_time_bounds
    )
    return violations + environment.checker.check_recovery(since_ms) + stale
