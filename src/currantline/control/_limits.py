"""Updates the target limits of dispatch from the evidence about targets."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from currantline.clock import Clock
from currantline.forwarding import AttemptObservation, AttemptResult
from currantline.load import Observation, Signal, TargetTracker

__all__ = ["LimitUpdater"]

INTERVAL_MS = 50.0
# Refreshing this many targets takes about as long as handling one request.
STEP_TARGETS = 200

# Without evidence a target is used through loans only; dispatch starts the same way.
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
    """Callback that sets the limit of a target."""

    def __call__(self, target: str, slots: int, *, accepts_loans: bool) -> None:
        """Set the number of usable slots and whether lent slots may be used."""
        ...


class LimitUpdater:
    """Records attempts in the target target_tracker and updates the limits of dispatch.

    Parameters
    ----------
    target_tracker : TargetTracker
        Evidence about targets.
    clock : Clock
        Source of time.
    set_limit : callable
        Takes a target, the number of its slots that may be used, and whether slots
        lent by its owner may be used.
    on_drain : callable
        Called after each recorded attempt, to notify peers of drains at once.
    sleep : callable
        Coroutine function that waits for a number of seconds.
    """

    def __init__(
        self,
        target_tracker: TargetTracker,
        *,
        clock: Clock,
        set_limit: SetLimit,
        on_drain: Callable[[], None],
        sleep: Callable[[float], Awaitable[object]] = asyncio.sleep,
    ) -> None:
        self._sleep = sleep
        self._target_tracker = target_tracker
        self._clock = clock
        self._set_limit = set_limit
        self._on_drain = on_drain
        self._limits: dict[str, tuple[int, bool]] = {}

    def set_targets(self, names: Iterable[str]) -> None:
        """Set the targets of a configuration; known targets keep their last limit."""
        self._limits = {name: self._limits.get(name, NO_EVIDENCE) for name in names}

    def observe(self, target: str, observation: AttemptObservation) -> None:
        """Record an attempt and refresh the limit of its target."""
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
            # The duration of a long request says nothing about its target.
            duration_ms=None if observation.is_long else observation.duration_ms,
        )
        self._target_tracker.observe(target, converted, now)
        self.refresh_one(target, now)
        self._on_drain()

    def reset(self) -> None:
        """Send all limits again after dispatch has discarded them."""
        self._limits = dict.fromkeys(self._limits, DISCARDED)
        self.refresh()

    def refresh_one(self, target: str, now: float) -> None:
        """Send the limit of one target to dispatch if it changed."""
        if target not in self._limits:
            return
        limit = self._target_tracker.limit(target, now)
        accepts_loans = limit > 0 or self._target_tracker.accepts_loans(target, now)
        if (limit, accepts_loans) != self._limits[target]:
            self._limits[target] = (limit, accepts_loans)
            self._set_limit(target, limit, accepts_loans=accepts_loans)

    def refresh(self) -> None:
        """Send all limits that changed to dispatch."""
        now = self._clock.read()
        for target in self._list_due(now):
            self.refresh_one(target, now)

    async def run(self) -> None:
        """Refresh limits until cancelled, because evidence expires without an event.

        Targets are refreshed in steps spread over the interval: refreshing all of
        them at once would delay every waiting request.
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
        # In a large fleet, most targets are neither used by this instance nor have
        # evidence here. Their limit cannot change, so their evidence is not evaluated.
        with_evidence = (
            self._target_tracker.list_fresh(now) | self._target_tracker.list_draining()
        )
        return [
            name
            for name, last_limit in self._limits.items()
            if last_limit != NO_EVIDENCE or name in with_evidence
        ]
