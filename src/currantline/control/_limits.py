"""What is known of targets, passed on to dispatch."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from currantline.clock import Clock
from currantline.forwarding import AttemptObservation, AttemptResult
from currantline.load import Observation, Signal, TargetBook

__all__ = ["LimitUpdater"]

INTERVAL_MS = 50.0
# A step of this many targets takes about as long as one request.
STEP_TARGETS = 200

# Without evidence a target is used on loan only, which is also how dispatch starts.
NO_EVIDENCE = (0, True)
DISCARDED = (0, False)
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


class LimitUpdater:
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
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        book: TargetBook,
        *,
        clock: Clock,
        set_limit: SetLimit,
        on_drain: Callable[[], None],
        sleep: Callable[[float], Awaitable[object]] = asyncio.sleep,
    ) -> None:
        self._sleep = sleep
        self._book = book
        self._clock = clock
        self._set_limit = set_limit
        self._on_drain = on_drain
        self._limits: dict[str, tuple[int, bool]] = {}

    def set_targets(self, names: Iterable[str]) -> None:
        """Take over the targets of a configuration."""
        self._limits = {name: self._limits.get(name, NO_EVIDENCE) for name in names}

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
        converted = Observation(
            signal=signal,
            sent=now - observation.duration_ms if sent is None else sent,
            report=observation.load,
            # The length of long work says nothing about the target.
            duration_ms=None if observation.is_long else observation.duration_ms,
        )
        self._book.observe(target, converted, now)
        self.refresh_one(target, now)
        self._on_drain()

    def reset(self) -> None:
        """Pass on all limits anew, because dispatch has discarded them."""
        self._limits = dict.fromkeys(self._limits, DISCARDED)
        self.refresh()

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
        for target in self._list_due(now):
            self.refresh_one(target, now)

    async def run(self) -> None:
        """Pass on limits until cancelled; evidence ends without an event.

        The looks are spread over the interval, because all targets in one step
        would delay every request that waits.
        """
        while True:
            due = self._list_due(self._clock.read())
            count = max(1, math.ceil(len(due) / STEP_TARGETS))
            for number in range(count):
                now = self._clock.read()
                for target in due[number::count]:
                    self.refresh_one(target, now)
                await self._sleep(INTERVAL_MS / 1000 / count)

    def _list_due(self, now: float) -> list[str]:
        # Most targets of a large fleet are neither used nor heard of here; their
        # limit stays as it is without a look at their evidence.
        with_evidence = self._book.list_heard(now) | self._book.list_draining()
        return [
            name
            for name, last_limit in self._limits.items()
            if last_limit != NO_EVIDENCE or name in with_evidence
        ]
