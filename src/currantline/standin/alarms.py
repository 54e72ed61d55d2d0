"""Faults that instances find themselves: broken invariants and tasks that died.

An error may be caught far from where it was raised, and grpclib and asyncio only
log what ends a handler or a task. All of it is collected here.
"""

import contextlib
import gc
import logging
from collections.abc import Iterator
from typing import Any

from currantline.exceptions import InvariantError

__all__ = ["collect_alarms"]

# Tasks of a killed process never end, which is what a kill means.
KILLED = "Task was destroyed but it is pending!"


class _ListHandler(logging.Handler):
    """Appends records of errors to a list."""

    def __init__(self, alarms: list[str]) -> None:
        super().__init__(logging.ERROR)
        self._alarms = alarms

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        text = f"{record.name}: {record.getMessage().splitlines()[0]}"
        if KILLED not in text:
            self._alarms.append(f"{text}: {error!r}" if error else text)


@contextlib.contextmanager
def collect_alarms(alarms: list[str]) -> Iterator[None]:
    """Append a line for each broken invariant and each logged error.

    Parameters
    ----------
    alarms : list of str
        Receives the lines, also of an `InvariantError` that is caught later.
    """
    original = InvariantError.__init__

    def note(self: InvariantError, *args: Any, **fields: Any) -> None:
        original(self, *args, **fields)
        alarms.append(f"InvariantError: {self.message}")

    handler = _ListHandler(alarms)
    root = logging.getLogger()
    root.addHandler(handler)
    InvariantError.__init__ = note  # type: ignore[method-assign, assignment]
    try:
        yield
        # Tasks that died tell so when they are collected.
        gc.collect()
    finally:
        InvariantError.__init__ = original  # type: ignore[method-assign]
        root.removeHandler(handler)
