"""Finds a target for a request, and waits while none would serve it in time."""

import asyncio
import random
from collections.abc import Collection

import attrs

from currantline.clock import Clock
from currantline.placement import (
    Candidate,
    Target,
    Targets,
    TypicalTimes,
    choose_to_ask,
    find_refusal,
    has_good,
    is_overdue,
    select,
    select_spare,
)
from currantline.relay._line import LookLine, Urgency
from currantline.relay._pool import Lease
from currantline.relay._prober import Asked, LoadProber
from currantline.routing import Route, RoutedService

__all__ = ["Placement", "Placer", "Work"]

# Targets that are asked at once in the own data centre, and then elsewhere.
NEAR_ASKED = 4
FAR_ASKED = 3

# The same for a request that has looked before.
NEAR_ASKED_AGAIN = 2
FAR_ASKED_AGAIN = 1

# Pause between two looks of an overdue request in milliseconds.
OVERDUE_PAUSE_MS = 60.0

# A full target is not asked again for this time in milliseconds.
FULL_MS = 25.0


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
    due_ms : float
        Time by which its answer has its full value.
    ends_ms : float
        Time at which this try of the caller ends.
    leaves_ms : float
        Time at which the caller leaves, whatever it is told.
    """

    request_id: str
    route: Route
    service: RoutedService
    arrived_ms: float
    due_ms: float
    ends_ms: float
    leaves_ms: float


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
        self._lines: dict[str, LookLine] = {}

    async def place(self, work: Work, *, exclude: Collection[str]) -> Placement:
        """Return a target for a request.

        Parameters
        ----------
        work : Work
            The request.
        exclude : collection of str
            Targets that have had it.
        """
        line = self._find_line(work)
        looks = 0
        while True:
            freed = await line.wait_turn(lambda: self._rank(work))
            placement: Placement | None = None
            try:
                placement = await self._look(work, exclude, looks, freed)
            finally:
                line.end_turn(found=placement is not None)
            if placement is not None:
                return placement
            looks += 1
            if self._is_overdue(work):
                await asyncio.sleep(OVERDUE_PAUSE_MS / 1000)

    async def find_spare(
        self, work: Work, *, exclude: Collection[str]
    ) -> Placement | None:
        """Return a target that is mostly idle, without waiting, or None.

        Second sends of a request must not take slots from requests that wait.

        Parameters
        ----------
        work : Work
            The request.
        exclude : collection of str
            Targets that have had it.
        """
        usable = self._list_usable(work, exclude)
        if len(self._find_line(work)) or not usable:
            return None
        asked = await self._ask(work, usable, looks=1)
        usual_ms, now = self._read_usual(work), self._clock.read()
        best = select_spare(work, self._list_current(asked), usual_ms, now, self._rng)
        return self._take(asked, best)

    def note_freed(self, work: Work, target: Target) -> None:
        """Offer the slot of a finished request to the next that waits."""
        self._find_line(work).note_freed(target)

    def give_back(self, placement: Placement) -> None:
        """Return a connection on which nothing was sent."""
        if placement.lease is not None:
            self._prober.give_back(placement.lease)

    def _find_line(self, work: Work) -> LookLine:
        return self._lines.setdefault(work.service.name, LookLine(self._clock))

    def _rank(self, work: Work) -> Urgency:
        return Urgency(self._is_overdue(work), work.route.priority, work.arrived_ms)

    def _is_overdue(self, work: Work) -> bool:
        return is_overdue(work, self._read_usual(work), self._clock.read())

    def _read_usual(self, work: Work) -> float:
        return self._typical.read(work.route.name)

    async def _look(
        self,
        work: Work,
        exclude: Collection[str],
        looks: int,
        freed: Target | None,
    ) -> Placement | None:
        refusal = find_refusal(work, self._read_usual(work), self._clock.read())
        if refusal:
            return Placement(reason=refusal)
        usable = self._list_usable(work, exclude)
        if not usable:
            return Placement(reason="no target")
        if freed is not None:
            freed.full_until_ms = 0.0
            usable = [target for target in usable if target is freed]
        asked = await self._ask(work, usable, looks)
        usual_ms, now = self._read_usual(work), self._clock.read()
        best = select(work, self._list_current(asked), usual_ms, now, self._rng)
        return self._take(asked, best)

    def _list_usable(self, work: Work, exclude: Collection[str]) -> list[Target]:
        usable = self._targets.list_usable(work.service.name)
        return [target for target in usable if target.name not in exclude]

    async def _ask(self, work: Work, usable: list[Target], looks: int) -> list[Asked]:
        near = [t for t in usable if t.published.data_centre == self._data_centre]
        path = work.service.health_path
        near_most = NEAR_ASKED_AGAIN if looks else NEAR_ASKED
        asked = await self._ask_some(near, near_most, path)
        readings = [one.candidate for one in asked]
        if has_good(readings, self._read_usual(work), self._clock.read(), self._rng):
            return asked
        others = [target for target in usable if target not in near]
        most = FAR_ASKED_AGAIN if looks else FAR_ASKED
        try:
            return asked + await self._ask_some(others, most, path)
        except asyncio.CancelledError:
            self._prober.release(asked)
            raise

    async def _ask_some(
        self, targets: list[Target], most: int, path: str
    ) -> list[Asked]:
        now = self._clock.read()
        open_targets = [t for t in targets if t.full_until_ms <= now]
        if not open_targets:
            return []
        chosen = choose_to_ask(
            open_targets,
            most,
            is_connected=self._prober.is_connected,
            now=now,
            rng=self._rng,
        )
        asked = await self._prober.ask(chosen, path)
        for one in asked:
            if not one.candidate.has_slot:
                one.candidate.target.full_until_ms = self._clock.read() + FULL_MS
        return asked

    def _list_current(self, asked: list[Asked]) -> list[Candidate]:
        # A target may have begun to leave while it was asked.
        candidates = [one.candidate for one in asked]
        return [c for c in candidates if self._targets.is_current(c.target)]

    def _take(
        self, asked: list[Asked], best: tuple[Candidate, float] | None
    ) -> Placement | None:
        chosen = next((a for a in asked if best and a.candidate is best[0]), None)
        self._prober.release(a for a in asked if a is not chosen)
        if chosen is None or best is None:
            return None
        return Placement(chosen.candidate.target, chosen.lease, best[1])
