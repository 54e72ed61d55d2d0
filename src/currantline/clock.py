"""Monotonic time in milliseconds."""

import time
from typing import Protocol

import attrs

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(Protocol):
    """Source of monotonic time."""

    def read(self) -> float:
        """Return the current time.

        Returns
        -------
        float
            Milliseconds since an arbitrary fixed point.
        """
        ...


@attrs.frozen
class MonotonicClock:
    """Monotonic clock of the operating system."""

    def read(self) -> float:
        """Return the current time.

        Returns
        -------
        float
            Milliseconds since an arbitrary fixed point.
        """
        return time.monotonic_ns() / 1e6


@attrs.define
class ManualClock:
    """Clock for tests that advances only on request.

    Parameters
    ----------
    now : float, default=0.0
        Current time in milliseconds.

    Examples
    --------
    >>> clock = ManualClock(now=5.0)
    >>> clock.advance(2.5)
    >>> clock.read()
    7.5
    """

    now: float = attrs.field(default=0.0, kw_only=True)

    def read(self) -> float:
        """Return the current time.

        Returns
        -------
        float
            Milliseconds.
        """
        return self.now

    def advance(self, duration_ms: float) -> None:
        """Advance the clock.

        Parameters
        ----------
        duration_ms : float
            Milliseconds to add.
        """
        self.now += duration_ms
