"""Selection among targets that warm up.

A cold target is slow and takes few requests, so requests that a warm target serves in
time do not ask for its permits. The connection is opened before a permit is asked for,
by a health check if the limit of health checks allows one: the permit is then used at
once, and the check shows whether the target is still cold.
"""

import math
import random
from collections.abc import Awaitable, Callable

from currantline.clock import Clock
from currantline.permits import WINDOW_MS, Permit
from currantline.placement import (
    Candidate,
    LatencyAverages,
    Target,
    TargetRegistry,
    choose_candidate,
    find_cold_rank,
    find_max_cold_wait_ms,
    select_candidate,
)
from currantline.relay._limited_targets import PermitSource
from currantline.relay._prober import LoadProber, ProbeResult
from currantline.relay._selection import RequestContext, Selection, presume_idle

__all__ = ["ColdTargetSelector", "ProbeFunction"]

# Maximum number of cold targets that one search asks for permits, if there are warm
# targets and if there are none.
MAX_TARGETS_BESIDES = 1
MAX_TARGETS_ALONE = 3

# Share of the even part of a cold target in the first searches. A warm-up ends by time,
# so nothing depends on it.
FIRST_CHOICE_SHARE = 0.1

# Age up to which an idle connection is used without a health check, in milliseconds.
MAX_IDLE_MS = 40.0

REFUSAL_REASON = "all targets warm up"

# Health-checks some of the given targets within the limit of health checks.
ProbeFunction = Callable[
    [RequestContext, list[Target], int], Awaitable[list[ProbeResult]]
]


class ColdTargetSelector:
    """Selects a target that warms up, and acquires a permit for it.

    Parameters
    ----------
    targets : TargetRegistry
        Known targets.
    permits : PermitSource
        Grants requests.
    prober : LoadProber
        Opens connections to targets.
    latencies : LatencyAverages
        Average response times of routes.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws targets and breaks ties among them.
    """

    def __init__(
        self,
        targets: TargetRegistry,
        *,
        permits: PermitSource,
        prober: LoadProber,
        latencies: LatencyAverages,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._permits = permits
        self._prober = prober
        self._latencies = latencies
        self._clock = clock
        self._rng = rng

    def draw_first_choice(self, cold: list[Target], known: int) -> bool:
        """Return whether the first search of a request tries a cold target first."""
        return self._rng.random() * known < FIRST_CHOICE_SHARE * len(cold)

    def find_rank(self, context: RequestContext) -> int:
        """Return the rank of a request for a permit, lowest first."""
        average_ms = self._latencies.read(context.route.name)
        priority = context.route.priority
        return find_cold_rank(context, priority, average_ms, self._clock.read())

    def find_max_wait_ms(self, context: RequestContext) -> float:
        """Return for how long a request may wait for a permit, in milliseconds."""
        average_ms = self._latencies.read(context.route.name)
        return find_max_cold_wait_ms(context, average_ms, self._clock.read())

    def find_wait_ms(self, cold: list[Target]) -> float:
        """Return the time until a permit or the end of a warm-up, in milliseconds."""
        now = self._clock.read()
        times = (
            min(target.cold_until_ms, _find_next_permit_ms(target)) for target in cold
        )
        return max(0.0, min(times, default=now) - now)

    async def select_besides(
        self, context: RequestContext, cold: list[Target], probe: ProbeFunction
    ) -> Selection | None:
        """Return a cold target that serves a request in time, or None.

        Parameters
        ----------
        context : RequestContext
            A request that warm targets could serve as well.
        cold : list of Target
            Targets that warm up.
        probe : callable
            Health-checks targets.
        """
        if self.find_rank(context) != 2 * context.route.priority:
            return None
        return await self._select(
            context, cold, probe, limit=MAX_TARGETS_BESIDES, is_alone=False
        )

    async def select_alone(
        self, context: RequestContext, cold: list[Target], probe: ProbeFunction
    ) -> Selection | None:
        """Return a target for a request, a refusal, or None while it may wait.

        Parameters
        ----------
        context : RequestContext
            The request.
        cold : list of Target
            Targets that warm up, the only ones for the request.
        probe : callable
            Health-checks targets.
        """
        if self.find_max_wait_ms(context) > 0.0:
            selection = await self._select(
                context, cold, probe, limit=MAX_TARGETS_ALONE, is_alone=True
            )
            if selection is not None:
                return selection
        if self.find_wait_ms(cold) >= self.find_max_wait_ms(context):
            return self.refuse(cold)
        return None

    def refuse(self, cold: list[Target]) -> Selection:
        """Return a refusal until the next permit or the end of a warm-up."""
        return Selection(reason=REFUSAL_REASON, wait_ms=self.find_wait_ms(cold))

    async def _select(
        self,
        context: RequestContext,
        cold: list[Target],
        probe: ProbeFunction,
        *,
        limit: int,
        is_alone: bool,
    ) -> Selection | None:
        now, rank = self._clock.read(), self.find_rank(context)
        eligible = [
            target
            for target in cold
            if now >= target.skip_until_ms
            and (
                target.is_cold_by_entry(now)
                or self._may_ask(target, now, rank, is_alone=is_alone)
            )
        ]
        if not eligible:
            return None
        opened = await self._open(context, eligible, probe, limit)
        taken: ProbeResult | None = None
        try:
            while True:
                best = self._choose(context, opened, is_alone=is_alone)
                if best is None:
                    return None
                result, predicted_ms = best
                target = result.candidate.target
                permit = await self._acquire(context, target)
                # The entry may have changed while the permit was on its way.
                now = self._clock.read()
                if permit is not None and self._targets.is_current(target, now):
                    taken = result
                    return Selection(
                        target, result.lease, predicted_ms, permit_end_ms=permit.end_ms
                    )
                opened.remove(result)
                self._prober.release(result.lease)
        finally:
            self._prober.release_unused(r for r in opened if r is not taken)

    def _may_ask(
        self, target: Target, now: float, rank: int, *, is_alone: bool
    ) -> bool:
        if now < _find_quiet_end_ms(target):
            return False
        return now >= target.next_permit_ms or (is_alone and rank < target.denied_rank)

    async def _open(
        self,
        context: RequestContext,
        eligible: list[Target],
        probe: ProbeFunction,
        limit: int,
    ) -> list[ProbeResult]:
        opened = list(await probe(context, eligible, limit))
        if opened:
            return opened
        # Those that have just failed the health check are left out.
        now = self._clock.read()
        left = [target for target in eligible if now >= target.skip_until_ms]
        if not left:
            return []
        target = self._rng.choice(left)
        lease = await self._prober.connect(target, max_idle_ms=MAX_IDLE_MS)
        return [ProbeResult(presume_idle(context, target), lease)] if lease else []

    def _choose(
        self, context: RequestContext, opened: list[ProbeResult], *, is_alone: bool
    ) -> tuple[ProbeResult, float] | None:
        average_ms, now = self._latencies.read(context.route.name), self._clock.read()
        candidates = [
            result.candidate
            for result in opened
            if result.candidate.has_free_slot
            and self._targets.is_current(result.candidate.target, now)
        ]
        best: tuple[Candidate, float] | None
        if is_alone:
            best = choose_candidate(candidates, average_ms, now, self._rng)
        else:
            best = select_candidate(context, candidates, average_ms, now, self._rng)
        if best is None:
            return None
        chosen = next(result for result in opened if result.candidate is best[0])
        return chosen, best[1]

    async def _acquire(self, context: RequestContext, target: Target) -> Permit | None:
        now = self._clock.read()
        if not target.is_cold(now):
            # The health check has shown that the warm-up is over.
            if target.is_rate_limited:
                return None
            # It needs no permit, and if it turns cold again it has none.
            return Permit(is_granted=True, end_ms=-math.inf)
        if now < _find_quiet_end_ms(target):
            return None
        rank = self.find_rank(context)
        permit = await self._permits.acquire_cold(target, rank)
        if permit.is_granted:
            return permit
        target.next_permit_ms = self._clock.read() + permit.wait_ms
        # A more important request asks meanwhile, so that the issuer keeps it a place.
        target.denied_rank = rank
        return None


def _find_quiet_end_ms(target: Target) -> float:
    # An issuer grants none in the first window after it has learned of a warm-up.
    return target.stated.cold_since_ms + WINDOW_MS


def _find_next_permit_ms(target: Target) -> float:
    return max(target.next_permit_ms, _find_quiet_end_ms(target))
