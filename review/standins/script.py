"""Runs a scenario as a script."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record

__all__ = ["BROKEN", "HELD", "NOT_RUN", "is_trouble_on", "play"]

# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def is_trouble_on() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(run: Callable[[Record], Awaitable[int]], folder: Path) -> int:
    """Run a scenario with a record in a folder and return the exit code."""
    record = Record(folder / "record.txt")

    async def run_until_terminated() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await run(record)

    try:
        code = asyncio.run(run_until_terminated())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc(file=sys.stderr)
        code = NOT_RUN
    record.write("exit code", code, shown=True)
    record.close()
    return code
