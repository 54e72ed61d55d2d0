"""One soak from start to end."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

from currantline.clock import MonotonicClock
from currantline.soak._faults import Faults
from currantline.soak._world import World

__all__ = ["run_soak"]

# Time after the last fault by which requests are answered again, in seconds.
RECOVERY_S = 15.0

# Load without faults after that time, in seconds.
AFTER_S = 3.0


async def run_soak(
    seed: int,
    folder: Path,
    *,
    duration_s: float,
    instances: int = 6,
    callers: int = 16,
    is_timed: bool = True,
    say: Callable[[str], object] = print,
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
    is_timed : bool
        Whether promises with a time bound are checked.
    say : callable
        Takes lines about faults and the end.
    """
    rng, clock = random.Random(seed), MonotonicClock()
    world = World(folder, count=instances, clock=clock, rng=rng)
    loop = asyncio.get_running_loop()
    load: list[asyncio.Task[None]] = []
    try:
        await world.start()
        await world.wait_until_ready()
        load = [loop.create_task(world.run_caller()) for _ in range(callers)]
        load.append(loop.create_task(world.watch_stalls(say)))
        await Faults(world, say).run(duration_s)
        await asyncio.sleep(RECOVERY_S)
        since_ms = clock.read()
        await asyncio.sleep(AFTER_S)
    finally:
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await world.stop()
    counts = sorted(world.promises.count_statuses().items())
    say("  ".join(f"{status}: {count}" for status, count in counts))
    broken = world.promises.find_broken(is_timed=is_timed)
    return broken + world.promises.find_unrecovered(since_ms)
