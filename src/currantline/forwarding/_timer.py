"""Timers of the event loop, replaceable in tests."""

import asyncio
from collections.abc import Callable
from typing import Protocol

__all__ = ["Schedule", "TimerHandle", "schedule_on_loop"]


class TimerHandle(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Do not call the callback any more."""
        ...


class Schedule(Protocol):
    """Source of timers."""

    def __call__(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back after a delay in milliseconds."""
        ...


def schedule_on_loop(delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
    """Call back from the running event loop.

    Parameters
    ----------
    delay_ms : float
        Delay in milliseconds.
    callback : callable
        Called once.

    Returns
    -------
    TimerHandle
        Cancels the call.
    """
    return asyncio.get_running_loop().call_later(delay_ms / 1000, callback)
