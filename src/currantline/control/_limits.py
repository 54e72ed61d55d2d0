"""What is known of targets, passed on to dispatch."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable

from currantline.clock import Clock
from currantline.forwarding import AttemptObservation, AttemptResult
from currantline.load import Observation, Signal, TargetBook

__all__ = ["LimitKeeper"]

INTERVAL_MS = 50.0
# A look at one target takes about 1.6 us, and requests wait during a step.
STEP_TARGETS = 200
FIRST_SERVER_ERROR = 500

SIGNALS = {
    AttemptResult.ANSWERED: Signal.ANSWERED,
    AttemptResult.SHED: Signal.SHED,
    AttemptResult.UNREACHABLE: Signal.FAILED,
    AttemptResult.FAILED: Signal.FAILED,
    AttemptResult.TIMED_OUT: Signal.FAILED,
}


class LimitKeeper:
    """Feeds attempts to the book and limits to dispatch.

    Parameters
    ----------
    book : TargetBook
        What is known of targets.
    clock : Clock
        Source of time.
    set_limit : callable
        Takes a target and how many of its slots may be used.
    on_drain : callable
        Called after an attempt was observed, to tell peers of drains at once.
    sleep : callable
        Coroutine function that takes a time in seconds.
    """

    def __init__(
        self,
        book: TargetBook,
        *,
        clock: Clock,
        set_limit: Callable[[str, int], None],
        on_drain: Callable[[], None],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._book = book
        self._clock = clock
        self._set_limit = set_limit
        self._on_drain = on_drain
        self._sleep = sleep
        self._limits: dict[str, int] = {}

    def set_targets(self, names: Iterable[str]) -> None:
        """Take over the targets of a configuration."""
        self._limits = {name: self._limits.get(name, 0) for name in names}

    def observe(self, target: str, observation: AttemptObservation) -> None:
        """Take note of an attempt."""
        signal = SIGNALS.get(observation.result)
        if signal is None:
            return
        status = observation.status or 0
        if signal is Signal.ANSWERED and status >= FIRST_SERVER_ERROR:
            signal = Signal.FAILED
        now = self._clock.read()
        sent = observation.sent
        told = Observation(
            signal=signal,
            sent=now - observation.duration_ms if sent is None else sent,
            report=observation.load,
            # The length of long work says nothing about the target.
            duration_ms=None if observation.is_long else observation.duration_ms,
        )
        self._book.observe(target, told, now)
        self.refresh_one(target, now)
        self._on_drain()

    def refresh_one(self, target: str, now: float) -> None:
        """Pass on the limit of one target if it changed."""
        limit = self._book.limit(target, now)
        if target in self._limits and limit != self._limits[target]:
            self._limits[target] = limit
            self._set_limit(target, limit)

    def refresh(self) -> None:
        """Pass on all limits that changed."""
        now = self._clock.read()
        for target in tuple(self._limits):
            self.refresh_one(target, now)

    async def run(self) -> None:
        """Pass on limits until cancelled; evidence ends without an event.

        Each target is looked at once per interval. The looks are spread over it,
        because all targets in one step would delay every request that waits.
        """
        while True:
            names = tuple(self._limits)
            count = max(1, math.ceil(len(names) / STEP_TARGETS))
            for number in range(count):
                now = self._clock.read()
                for target in names[number::count]:
                    self.refresh_one(target, now)
                await self._sleep(INTERVAL_MS / 1000 / count)
