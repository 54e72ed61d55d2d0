"""Selects a target for a request, and waits while no target would serve it in time."""

import asyncio
import random
from collections.abc import Callable, Collection

from currantline.clock import Clock
from currantline.placement import (
    Candidate,
    LatencyAverages,
    ProbeLimit,
    Target,
    TargetRegistry,
    describe_unavailability,
    find_next_available_ms,
    find_pause,
    find_refusal_reason,
    has_good_candidate,
    is_overdue,
    select_candidate,
    select_hedge_candidate,
)
from currantline.relay._cold_targets import ColdTargetSelector
from currantline.relay._limited_targets import LimitedTargetSelector
from currantline.relay._probe_queue import ProbeQueue, Urgency
from currantline.relay._prober import LoadProber
from currantline.relay._selection import RequestContext, Selection, presume_idle
from currantline.relay._target_connector import MAX_REPORT_AGE_MS, TargetConnector
from currantline.relay._target_sampler import TargetSampler

__all__ = ["TargetSelector"]

# Pause between two searches of an overdue request in milliseconds.
OVERDUE_PAUSE_MS = 60.0

# Age up to which a load report is used while the limit of health checks is reached,
# in milliseconds.
MAX_LIMITED_REPORT_AGE_MS = 1_000.0


class TargetSelector:
    """Probes targets and selects one of them.

    Parameters
    ----------
    targets : TargetRegistry
        Known targets.
    prober : LoadProber
        Probes targets for their load.
    latencies : LatencyAverages
        Average response times of routes.
    probe_limit : ProbeLimit
        Limit of health checks.
    limited_targets : LimitedTargetSelector
        Selects among the targets that limit their requests.
    cold_targets : ColdTargetSelector
        Selects among the targets that warm up.
    count_instances : callable
        Returns the number of instances that share the limit.
    data_centre : str
        Data centre of this instance.
    get_weight : callable
        Returns how many times as many callers as the smallest instances this one gets.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws the targets to probe.
    """

    def __init__(
        self,
        targets: TargetRegistry,
        *,
        prober: LoadProber,
        latencies: LatencyAverages,
        probe_limit: ProbeLimit,
        limited_targets: LimitedTargetSelector,
        cold_targets: ColdTargetSelector,
        count_instances: Callable[[], int],
        data_centre: str,
        get_weight: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._prober = prober
        self._latencies = latencies
        self._limited_targets = limited_targets
        self._cold_targets = cold_targets
        self._data_centre = data_centre
        self._get_weight = get_weight
        self._clock = clock
        self._rng = rng
        self._sampler = TargetSampler(
            targets,
            prober=prober,
            latencies=latencies,
            probe_limit=probe_limit,
            count_instances=count_instances,
            data_centre=data_centre,
            clock=clock,
            rng=rng,
        )
        self._connector = TargetConnector(
            targets, prober=prober, sampler=self._sampler, clock=clock
        )
        self._queues: dict[str, ProbeQueue] = {}
        # Services whose targets all warmed up when they were searched last.
        self._cold_services: set[str] = set()

    async def select(
        self, context: RequestContext, *, exclude: Collection[str]
    ) -> Selection:
        """Return a target for a request, or the reason why it is refused.

        Parameters
        ----------
        context : RequestContext
            The request.
        exclude : collection of str
            Names of targets that have already received the request.
        """
        queue = self._find_queue(context)
        searches = 0
        while True:
            try:
                freed = await self._wait_for_turn(context, queue)
            except TimeoutError:
                cold = self._list_usable(context, exclude)
                return self._cold_targets.refuse(cold)
            selection: Selection | None = None
            try:
                selection = await self._search(context, exclude, searches, freed)
            finally:
                queue.end_turn(found=selection is not None)
            if selection is not None and selection.target and not selection.lease:
                selection = await self._connector.connect_later(context, selection)
            if selection is not None:
                return selection
            searches += 1
            if self._is_overdue(context):
                await asyncio.sleep(OVERDUE_PAUSE_MS / 1000)

    async def select_hedge(
        self, context: RequestContext, *, exclude: Collection[str]
    ) -> Selection | None:
        """Return a mostly idle target for a hedge without waiting, or None.

        Hedges must not use slots that waiting requests need.

        Parameters
        ----------
        context : RequestContext
            The request.
        exclude : collection of str
            Names of targets that have already received the request.
        """
        usable = self._list_usable(context, exclude)
        now = self._clock.read()
        usable = [t for t in usable if not (t.is_rate_limited or t.is_cold(now))]
        if len(self._find_queue(context)) or not usable:
            return None
        probed = await self._sampler.probe(context, usable, searches=1)
        average_ms, now = self._read_average(context), self._clock.read()
        best = select_hedge_candidate(
            context, self._sampler.list_current(probed), average_ms, now, self._rng
        )
        return self._sampler.claim(probed, best)

    def notify_slot_freed(self, context: RequestContext, target: Target) -> None:
        """Offer the slot of a finished request to the next waiting one."""
        self._find_queue(context).notify_slot_freed(target)

    def notify_evacuation(self) -> None:
        """Let requests with a permit for an evacuated target search for another."""
        self._connector.notify_evacuation()

    def is_current(self, target: Target) -> bool:
        """Return whether a selected target may still receive the request."""
        return self._connector.is_current(target)

    def find_wait_ms(self, context: RequestContext) -> float:
        """Return the time until a target of the service of a request is available.

        It counts the targets that have already received the request, since its caller
        may send it again. It is infinite if no target will be available.
        """
        now = self._clock.read()
        published = self._targets.list_published(context.service.name)
        return find_next_available_ms(published, now) - now

    def release(self, selection: Selection) -> None:
        """Release the connection of a selection that is not used."""
        if selection.lease is not None:
            self._prober.release(selection.lease)

    async def _wait_for_turn(
        self, context: RequestContext, queue: ProbeQueue
    ) -> Target | None:
        # While all targets are cold, requests of low priority may get no turn at all.
        is_limited = context.service.name in self._cold_services
        max_wait_ms = self._cold_targets.find_max_wait_ms(context)
        async with asyncio.timeout(max_wait_ms / 1000 if is_limited else None):
            return await queue.wait_for_turn(lambda: self._get_urgency(context))

    def _find_queue(self, context: RequestContext) -> ProbeQueue:
        return self._queues.setdefault(
            context.service.name, ProbeQueue(self._clock, self._get_weight)
        )

    def _get_urgency(self, context: RequestContext) -> Urgency:
        if context.service.name in self._cold_services:
            # Their few permits go by priority first.
            rank = self._cold_targets.find_rank(context)
            return Urgency(False, rank, context.arrived_ms)
        return Urgency(
            self._is_overdue(context), context.route.priority, context.arrived_ms
        )

    def _is_overdue(self, context: RequestContext) -> bool:
        return is_overdue(context, self._read_average(context), self._clock.read())

    def _read_average(self, context: RequestContext) -> float:
        return self._latencies.read(context.route.name)

    async def _search(
        self,
        context: RequestContext,
        exclude: Collection[str],
        searches: int,
        freed: Target | None,
    ) -> Selection | None:
        refusal_reason = find_refusal_reason(
            context, self._read_average(context), self._clock.read()
        )
        now = self._clock.read()
        self._targets.update_common_failures(context.service.name, now)
        known = self._list_usable(context, exclude)
        cold = [target for target in known if target.is_cold(now)]
        is_all_cold = 0 < len(cold) == len(known)
        if refusal_reason:
            wait_ms = self._cold_targets.find_wait_ms(cold) if is_all_cold else 0.0
            return Selection(reason=refusal_reason, wait_ms=wait_ms)
        if not known:
            return self._refuse(context)
        if is_all_cold:
            if not exclude:
                self._cold_services.add(context.service.name)
            return await self._cold_targets.select_alone(
                context, cold, self._sampler.probe_eligible
            )
        self._cold_services.discard(context.service.name)
        if not cold:
            return await self._search_warm(context, known, searches, freed)
        warm = [target for target in known if not target.is_cold(now)]
        is_first = searches == 0 and freed is None
        if is_first and self._cold_targets.draw_first_choice(cold, len(known)):
            selection = await self._select_cold(context, cold)
            if selection is not None:
                return selection
        selection = await self._search_warm(context, warm, searches, freed)
        if selection is None or selection.target is None:
            return await self._select_cold(context, cold) or selection
        return selection

    async def _select_cold(
        self, context: RequestContext, cold: list[Target]
    ) -> Selection | None:
        return await self._cold_targets.select_besides(
            context, cold, self._sampler.probe_eligible
        )

    async def _search_warm(
        self,
        context: RequestContext,
        known: list[Target],
        searches: int,
        freed: Target | None,
    ) -> Selection | None:
        limited = [target for target in known if target.is_rate_limited]
        usable = [target for target in known if not target.is_rate_limited]
        if not usable:
            return await self._limited_targets.select_first(context, limited)
        # A limited target gets its even part of the first searches, which cost it no
        # health check, and what finds no slot elsewhere.
        is_first = searches == 0 and freed is None
        if is_first and self._rng.random() * len(known) < len(limited):
            selection = await self._select_limited(context, limited)
            if selection is not None:
                return selection
        selection = await self._search_unlimited(context, usable, searches, freed)
        if selection is None and limited:
            selection = await self._select_limited(context, limited)
        return selection

    async def _search_unlimited(
        self,
        context: RequestContext,
        usable: list[Target],
        searches: int,
        freed: Target | None,
    ) -> Selection | None:
        if freed is not None and (freed.is_rate_limited or freed not in usable):
            freed = None
        if freed is not None:
            freed.skip_until_ms = 0.0
            usable = [target for target in usable if target is freed]
        selection = await self._select_known(
            context, usable, is_freed=freed is not None
        )
        if selection is not None:
            return selection
        if self._sampler.is_limited(context, usable):
            return await self._select_presumed(context, usable)
        probed = await self._sampler.probe(context, usable, searches)
        average_ms, now = self._read_average(context), self._clock.read()
        best = select_candidate(
            context, self._sampler.list_current(probed), average_ms, now, self._rng
        )
        return self._sampler.claim(probed, best)

    async def _select_known(
        self, context: RequestContext, usable: list[Target], *, is_freed: bool
    ) -> Selection | None:
        """Select a target by a recent load report, which costs it no health check."""
        eligible = [
            target
            for target in usable
            if (is_freed or target.published.data_centre == self._data_centre)
            and self._prober.is_verified(target, max_idle_ms=MAX_REPORT_AGE_MS)
            and not self._connector.needs_check(target)
        ]
        candidates = self._list_reported(eligible, MAX_REPORT_AGE_MS)
        average_ms, now = self._read_average(context), self._clock.read()
        best = select_candidate(context, candidates, average_ms, now, self._rng)
        if best is None or not (
            is_freed or has_good_candidate([best[0]], average_ms, now, self._rng)
        ):
            return None
        return await self._connector.connect(best)

    async def _select_presumed(
        self, context: RequestContext, usable: list[Target]
    ) -> Selection | None:
        """Select a target by older load reports, without a health check.

        An instance that may probe no target of a service presumes that they are idle.
        """
        now = self._clock.read()
        available = [target for target in usable if find_pause(target, now) is None]
        candidates = self._list_reported(available, MAX_LIMITED_REPORT_AGE_MS)
        if not candidates:
            candidates = [presume_idle(context, target) for target in available]
        average_ms = self._read_average(context)
        best = select_candidate(context, candidates, average_ms, now, self._rng)
        return await self._connector.connect(best) if best is not None else None

    async def _select_limited(
        self, context: RequestContext, limited: list[Target]
    ) -> Selection | None:
        best = await self._limited_targets.select_now(context, limited)
        if best is None:
            return None
        target, predicted_ms = best[0].target, best[1]
        return await self._connector.connect_limited(
            context, target, predicted_ms=predicted_ms
        )

    def _list_reported(
        self, targets: list[Target], max_age_ms: float
    ) -> list[Candidate]:
        oldest_ms = self._clock.read() - max_age_ms
        return [
            Candidate(target, target.last_report)
            for target in targets
            if target.last_report is not None
            and target.last_report.requested_ms > oldest_ms
        ]

    def _list_usable(
        self, context: RequestContext, exclude: Collection[str]
    ) -> list[Target]:
        usable = self._targets.list_usable(context.service.name, self._clock.read())
        return [target for target in usable if target.name not in exclude]

    def _refuse(self, context: RequestContext) -> Selection:
        if self.find_wait_ms(context) == 0:
            return Selection(reason="all available targets rejected it")
        published = self._targets.list_published(context.service.name)
        return Selection(reason=describe_unavailability(published, self._clock.read()))
