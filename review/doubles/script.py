"""Entry point of a case that is a script."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from doubles.record import Record

__all__ = ["run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIMEOUT_S = 110.0


def run_case(file: str, play: Callable[[Record, bool], Awaitable[list[str]]]) -> None:
    """Play a case and exit with 1 if it found violations, 0 if not, 2 if it failed.

    Parameters
    ----------
    file : str
        Path of the script of the case; the record goes into its folder.
    play : callable
        Coroutine function that gets the record and whether the disruption is wanted,
        and returns the violations.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    # The processes of the case are ended also if the script is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        violations = asyncio.run(_play(play, record, has_trouble))
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        record.write("not_run", reason=traceback.format_exc(limit=3))
        sys.exit(NOT_RUN)
    for violation in violations:
        print(violation)
        record.write("violation", text=violation)
    record.write("result", violations=len(violations), trouble=has_trouble)
    print("rule broken" if violations else "rule held")
    sys.exit(BROKEN if violations else HELD)


async def _play(
    play: Callable[[Record, bool], Awaitable[list[str]]],
    record: Record,
    has_trouble: bool,
) -> list[str]:
    async with asyncio.timeout(TIMEOUT_S):
        return await play(record, has_trouble)
