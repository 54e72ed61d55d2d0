"""What is known of targets, passed on to dispatch."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

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


class SetLimit(Protocol):
    """Takes the limit of a target."""

    def __call__(self, target: str, slots: int, *, accepts_loans: bool) -> None:
        """Set how many slots may be used, and whether lent ones may be."""
        ...


class LimitKeeper:
    """Feeds attempts to the book and limits to dispatch.

    Parameters
    ----------
    book : TargetBook
        What is known of targets.
    clock : Clock
        Source of time.
    set_limit : callable
        Takes a target, how many of its slots may be used, and whether slots lent
        by its owner may be.
    on_drain : callable
        Called after an attempt was observed, to tell peers of drains at once.
    """

    def __init__(
        self,
        book: TargetBook,
        *,
        clock: Clock,
        set_limit: SetLimit,
        on_drain: Callable[[], None],
    ) -> None:
        self._book = book
        self._clock = clock
        self._set_limit = set_limit
        self._on_drain = on_drain
        self._limits: dict[str, tuple[int, bool]] = {}

    def set_targets(self, names: Iterable[str]) -> None:
        """Take over the targets of a configuration."""
        self._limits = {name: self._limits.get(name, (0, False)) for name in names}

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
        if target not in self._limits:
            return
        limit = self._book.limit(target, now)
        accepts_loans = limit > 0 or self._book.accepts_loans(target, now)
        if (limit, accepts_loans) != self._limits[target]:
            self._limits[target] = (limit, accepts_loans)
            self._set_limit(target, limit, accepts_loans=accepts_loans)

    def refresh(self) -> None:
        """Pass on all limits that changed."""
        now = self._clock.read()
        for target in tuple(self._limits):
            self.refresh_one(target, now)

    async def run(self) -> None:
        """Pass on limits until cancelled; evidence ends without an event."""
        while True:
            self.refresh()
            await asyncio.sleep(INTERVAL_MS / 1000)
