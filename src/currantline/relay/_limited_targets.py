"""Selection among targets that limit the requests of the fleet."""

import random
from typing import Protocol

from currantline.clock import Clock
from currantline.permits import Permit, WaitBounds
from currantline.placement import (
    Candidate,
    LatencyAverages,
    Target,
    choose_candidate,
    find_in_time_wait_ms,
    find_max_wait_ms,
    find_pause,
    select_candidate,
)
from currantline.relay._selection import RequestContext, Selection, presume_idle

__all__ = ["LimitedTargetSelector", "PermitSource"]

# Number of permits asked for if all targets limit their requests. Many requests ask
# while there are too few permits.
MAX_PERMIT_REQUESTS = 3


class PermitSource(Protocol):
    """Grants requests to targets that limit the requests of the fleet."""

    async def acquire(self, target: Target, wait_bounds: WaitBounds) -> Permit:
        """Return a permit for one request that can wait for some time."""
        ...

    async def acquire_cold(self, target: Target, rank: int) -> Permit:
        """Return a permit for one request to a cold target, lowest rank first."""
        ...


class LimitedTargetSelector:
    """Selects a target that limits its requests, and acquires a permit for it.

    These targets get no health checks, since the limit itself keeps their load low,
    unless their service bounds warm-ups: only a check shows that a target is cold.

    Parameters
    ----------
    permits : PermitSource
        Grants requests.
    latencies : LatencyAverages
        Average response times of routes.
    clock : Clock
        Source of time.
    rng : random.Random
        Breaks ties among targets.
    """

    def __init__(
        self,
        *,
        permits: PermitSource,
        latencies: LatencyAverages,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._permits = permits
        self._latencies = latencies
        self._clock = clock
        self._rng = rng

    async def select_now(
        self, context: RequestContext, limited: list[Target]
    ) -> tuple[Candidate, float] | None:
        """Return a target that takes the request now and its predicted time, or None.

        Parameters
        ----------
        context : RequestContext
            The request.
        limited : list of Target
            Targets that limit their requests.
        """
        now = self._clock.read()
        average_ms = self._latencies.read(context.route.name)
        candidates = self._list_candidates(context, limited, now)
        best = select_candidate(context, candidates, average_ms, now, self._rng)
        if best is None or not await self._acquire(best[0].target, WaitBounds()):
            return None
        return best

    async def select_first(
        self, context: RequestContext, limited: list[Target]
    ) -> Selection:
        """Return the target of the first permit that is acquired, or a refusal.

        The permit may lie in the future.

        Parameters
        ----------
        context : RequestContext
            The request.
        limited : list of Target
            Targets that limit their requests, the only ones for the request.
        """
        average_ms = self._latencies.read(context.route.name)
        for _ in range(MAX_PERMIT_REQUESTS):
            now = self._clock.read()
            candidates = self._list_candidates(context, limited, now)
            best = choose_candidate(candidates, average_ms, now, self._rng)
            if best is None:
                break
            target = best[0].target
            wait_bounds = WaitBounds(
                in_time_ms=find_in_time_wait_ms(context, average_ms, now),
                max_ms=find_max_wait_ms(context, average_ms, now),
            )
            permit = await self._acquire(target, wait_bounds)
            if permit is not None:
                return Selection(target, wait_ms=permit.wait_ms)
        next_ms = min(target.next_permit_ms for target in limited)
        return Selection(
            reason="all targets limit their requests",
            wait_ms=max(0.0, next_ms - self._clock.read()),
        )

    def _list_candidates(
        self, context: RequestContext, limited: list[Target], now: float
    ) -> list[Candidate]:
        return [
            presume_idle(context, target)
            for target in limited
            if find_pause(target, now) is None
        ]

    async def _acquire(self, target: Target, wait_bounds: WaitBounds) -> Permit | None:
        permit = await self._permits.acquire(target, wait_bounds)
        if permit.is_granted:
            return permit
        target.next_permit_ms = self._clock.read() + permit.wait_ms
        return None
