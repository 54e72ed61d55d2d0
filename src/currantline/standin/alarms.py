"""Collects errors inside instances: violated invariants and failed tasks.

An `InvariantError` may be caught by unrelated code, and grpclib and asyncio only log
the errors that end a handler or a task. Both kinds are collected here.
"""

import contextlib
import gc
import logging
from collections.abc import Iterator
from typing import Any

from currantline.exceptions import InvariantError

__all__ = ["collect_errors"]

# Expected for tasks of a killed process, which never end.
PENDING_TASK_MESSAGE = "Task was destroyed but it is pending!"


class _ListHandler(logging.Handler):
    """Appends log records of level ERROR to a list."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__(logging.ERROR)
        self._errors = errors

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        text = f"{record.name}: {record.getMessage().splitlines()[0]}"
        if PENDING_TASK_MESSAGE not in text:
            self._errors.append(f"{text}: {error!r}" if error else text)


@contextlib.contextmanager
def collect_errors(errors: list[str]) -> Iterator[None]:
    """Append a line for each violated invariant and each logged error.

    Parameters
    ----------
    errors : list of str
        Receives the lines, including those of an `InvariantError` that is caught.
    """
    original = InvariantError.__init__

    def record_error(self: InvariantError, *args: Any, **fields: Any) -> None:
        original(self, *args, **fields)
        errors.append(f"InvariantError: {self.message}")

    handler = _ListHandler(errors)
    root = logging.getLogger()
    root.addHandler(handler)
    InvariantError.__init__ = record_error  # type: ignore[method-assign, assignment]
    try:
        yield
        # Failed tasks log their error when they are garbage-collected.
        gc.collect()
    finally:
        InvariantError.__init__ = original  # type: ignore[method-assign]
        root.removeHandler(handler)
