"""Cancelled tasks."""

import asyncio
import contextlib
from typing import Any

__all__ = ["discard_cancellation"]


def discard_cancellation(task: "asyncio.Task[Any]") -> None:
    """Free what the frames of a cancelled task hold.

    The task keeps its error, whose traceback keeps the frames, and time-outs in these
    refer to the task. The cycle would keep the request until the next full garbage
    collection. Reading the error removes it from the task.
    """
    if task.cancelled():
        with contextlib.suppress(asyncio.CancelledError):
            task.exception()
