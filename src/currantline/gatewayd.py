"""Daemon that runs an instance on the users' platform."""

import asyncio
import os
import random
import signal
import sys
import time

from currantline.clock import MonotonicClock
from currantline.exceptions import CurrantlineError, SettingsError
from currantline.gateway import Gateway
from currantline.hedging import HEDGE_LIMIT_VARIABLE, parse_hedge_limit
from currantline.memory import return_large_blocks
from currantline.platform import SETTINGS_VARIABLE, InstanceSettings, read_settings
from currantline.telemetry import EventLog, open_standard_output

__all__ = ["read_mtime_ns", "run", "watch_settings"]

# Exit codes for invalid settings and for a failed background task.
EXIT_BAD_SETTINGS, EXIT_FAILED = 2, 3

# Interval between checks of the settings file, which may change without a signal.
SETTINGS_POLL_INTERVAL_MS = 1_000.0


def run() -> int:
    """Run an instance until it is stopped by a signal, and return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    # A change from now on is noticed, although nothing watches the file yet.
    mtime_ns = read_mtime_ns(path)
    try:
        settings = read_settings(path)
        hedge_limit = parse_hedge_limit(os.environ.get(HEDGE_LIMIT_VARIABLE))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return_large_blocks()
    return asyncio.run(_serve(settings, path, mtime_ns, hedge_limit))


async def _serve(
    settings: InstanceSettings, path: str, mtime_ns: int, hedge_limit: float | None
) -> int:
    clock = MonotonicClock()
    log = EventLog(
        settings.name,
        clock=clock,
        write=open_standard_output(),
        read_wall_clock=lambda: time.time_ns() / 1e9,
    )
    seed = f"{settings.name}:{time.time_ns()}:{os.getpid()}"
    gateway = Gateway(
        settings,
        clock=clock,
        rng=random.Random(seed),
        incarnation=time.time_ns() // 1_000_000,
        log=log,
        hedge_limit=hedge_limit,
    )
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    try:
        await gateway.start()
    except CurrantlineError as error:
        log.write("start_failed", reason=str(error))
        return EXIT_BAD_SETTINGS
    settings_watcher = asyncio.create_task(
        watch_settings(gateway, path, reload, log, mtime_ns=mtime_ns)
    )
    failure = asyncio.create_task(gateway.wait_for_failure())
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait({failure, stopped}, return_when=asyncio.FIRST_COMPLETED)
    settings_watcher.cancel()
    if failure.done():
        log.write("part_failed", reason=repr(failure.result()))
    await gateway.leave()
    log.flush()
    return EXIT_FAILED if failure.done() else 0


async def watch_settings(
    gateway: Gateway,
    path: str,
    reload: asyncio.Event,
    log: EventLog,
    *,
    mtime_ns: int,
) -> None:
    """Reload the settings whenever the file changes, until cancelled.

    Parameters
    ----------
    gateway : Gateway
        Instance to reload.
    path : str
        Path of the settings file.
    reload : asyncio.Event
        When set, the file is read immediately.
    log : EventLog
        Log of events.
    mtime_ns : int
        Time of the last change of the file that is known, in nanoseconds.
    """
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_MS / 1000):
                await reload.wait()
        except TimeoutError:
            pass
        previous_mtime_ns, mtime_ns = mtime_ns, read_mtime_ns(path)
        if not reload.is_set() and mtime_ns == previous_mtime_ns:
            continue
        reload.clear()
        try:
            gateway.reload(read_settings(path))
        except SettingsError as error:
            log.write("settings_refused", reason=str(error))


def read_mtime_ns(path: str) -> int:
    """Return the time of the last change of a file in nanoseconds, 0 if unknown."""
    # The file may be absent for a moment while it is replaced.
    try:
        return os.stat(path).st_mtime_ns
    except (OSError, ValueError):
        return 0


if __name__ == "__main__":
    sys.exit(run())
