"""What is known of targets, passed on to dispatch."""

import asyncio
from collections.abc import Callable, Iterable

from currantline.clock import Clock
from currantline.forwarding import AttemptObservation, AttemptResult
from currantline.load import Observation, Signal, TargetBook

__all__ = ["LimitKeeper"]

INTERVAL_MS = 50.0
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
    """

    def __init__(
        self,
        book: TargetBook,
        *,
        clock: Clock,
        set_limit: Callable[[str, int], None],
        on_drain: Callable[[], None],
    ) -> None:
        self._book = book
        self._clock = clock
        self._set_limit = set_limit
        self._on_drain = on_drain
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
        """Pass on all limits that changed.

        The limit of a target without fresh evidence is 0, so of the targets that
        have 0 only those with fresh evidence are looked at. An instance of a large
        fleet hears of few targets.
        """
        now = self._clock.read()
        heard = self._book.list_heard(now)
        due = [name for name, used in self._limits.items() if used or name in heard]
        for target in due:
            self.refresh_one(target, now)

    async def run(self) -> None:
        """Pass on limits until cancelled; evidence ends without an event."""
        while True:
            self.refresh()
            await asyncio.sleep(INTERVAL_MS / 1000)
