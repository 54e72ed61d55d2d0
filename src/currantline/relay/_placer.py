"""Finds a target for a request, and waits while none would serve it in time."""

import asyncio
import random
from collections.abc import Collection

import attrs

from currantline.clock import Clock
from currantline.placement import Target, Targets, TypicalTimes, choose
from currantline.relay._pool import Lease
from currantline.relay._prober import Asked, LoadProber
from currantline.routing import Route, RoutedService

__all__ = ["Placement", "Placer", "Work"]

# Targets that are asked at once in the own data centre, and then elsewhere.
NEAR_ASKED = 4
FAR_ASKED = 4

# A target whose predicted time is within this multiple of the usual one is taken
# without asking in other data centres.
GOOD_RATIO = 1.35

# A target is taken without waiting if it would answer within this part of the time
# that is left of the objective.
OBJECTIVE_SHARE = 0.6

# Part of the objective for which a request waits for a better target.
HOLD_SHARE = 0.4

# Pause between two looks at the targets in milliseconds; a slot frees every few tens
# of milliseconds when all are taken.
LOOK_MS = 20.0

# A target with more requests than this in its queue for each slot gets no more.
QUEUE_PER_SLOT = 1.0


@attrs.frozen(eq=False, kw_only=True)
class Work:
    """A request that needs a target.

    Parameters
    ----------
    request_id : str
        Name of the request.
    route : Route
        Its route.
    service : RoutedService
        Service that was drawn for it.
    arrived_ms : float
        Time of its arrival in milliseconds.
    ends_ms : float
        Time at which nobody waits for it any more.
    """

    request_id: str
    route: Route
    service: RoutedService
    arrived_ms: float
    ends_ms: float


@attrs.frozen(eq=False)
class Placement:
    """A target for a request, or the reason why there is none.

    Parameters
    ----------
    target : Target or None
        The target.
    lease : Lease or None
        A connection to it.
    predicted_ms : float
        Predicted time to the answer.
    reason : str
        Why there is no target.
    """

    target: Target | None = None
    lease: Lease | None = None
    predicted_ms: float = 0.0
    reason: str = ""


class Placer:
    """Asks targets and chooses among them.

    Parameters
    ----------
    targets : Targets
        Known targets.
    prober : LoadProber
        Asks targets for their load.
    typical : TypicalTimes
        Usual times of routes.
    data_centre : str
        Own data centre.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws the targets to ask.
    """

    def __init__(
        self,
        targets: Targets,
        *,
        prober: LoadProber,
        typical: TypicalTimes,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._prober = prober
        self._typical = typical
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng

    async def place(self, work: Work, *, exclude: Collection[str]) -> Placement:
        """Return a target for a request.

        Parameters
        ----------
        work : Work
            The request.
        exclude : collection of str
            Targets that have had it.
        """
        hold_ms = work.arrived_ms + HOLD_SHARE * work.route.objective_ms
        while True:
            usable = self._list_usable(work, exclude)
            if not usable:
                return Placement(reason="no target")
            asked = await self._ask(work, usable)
            placement = self._choose(work, asked, hold_ms)
            if placement is not None:
                return placement
            await asyncio.sleep(LOOK_MS / 1000)

    def _list_usable(self, work: Work, exclude: Collection[str]) -> list[Target]:
        usable = self._targets.list_usable(work.service.name)
        return [target for target in usable if target.name not in exclude]

    async def _ask(self, work: Work, usable: list[Target]) -> list[Asked]:
        near = [t for t in usable if t.published.data_centre == self._data_centre]
        path = work.service.health_path
        asked = await self._ask_some(near, NEAR_ASKED, path)
        if self._has_good(work, asked):
            return asked
        others = [target for target in usable if target not in near]
        try:
            return asked + await self._ask_some(others, FAR_ASKED, path)
        except asyncio.CancelledError:
            self._prober.release(asked)
            raise

    async def _ask_some(
        self, targets: list[Target], most: int, path: str
    ) -> list[Asked]:
        if not targets:
            return []
        now = self._clock.read()
        # Targets that failed lately come last, the others in random order.
        ordered = sorted(
            targets,
            key=lambda t: (t.standing.failures(now) > 0.5, self._rng.random()),
        )
        return await self._prober.ask(ordered[:most], path)

    def _has_good(self, work: Work, asked: list[Asked]) -> bool:
        now, usual_ms = self._clock.read(), self._typical.read(work.route.name)
        best = choose((a.candidate for a in asked), usual_ms, now, self._rng)
        return best is not None and best[1] <= GOOD_RATIO * usual_ms

    def _choose(
        self, work: Work, asked: list[Asked], hold_ms: float
    ) -> Placement | None:
        now, usual_ms = self._clock.read(), self._typical.read(work.route.name)
        current = [a for a in asked if self._targets.is_current(a.candidate.target)]
        best = choose((a.candidate for a in current), usual_ms, now, self._rng)
        if best is None:
            self._prober.release(asked)
            return None if now < hold_ms else Placement(reason="no target answers")
        candidate, predicted_ms = best
        left_ms = work.arrived_ms + work.route.objective_ms - now
        acceptable_ms = max(GOOD_RATIO * usual_ms, OBJECTIVE_SHARE * left_ms)
        is_taken = predicted_ms <= acceptable_ms
        if not is_taken and now >= hold_ms:
            reading = candidate.reading
            if reading.waiting > QUEUE_PER_SLOT * reading.slots:
                self._prober.release(asked)
                return Placement(reason="all targets full")
            is_taken = True
        chosen = next(a for a in asked if a.candidate is candidate)
        self._prober.release(a for a in asked if not (is_taken and a is chosen))
        if not is_taken:
            return None
        return Placement(candidate.target, chosen.lease, predicted_ms)
