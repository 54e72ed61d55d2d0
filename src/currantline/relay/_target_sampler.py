"""Health-checks some of the targets of a service within the limit of health checks."""

import asyncio
import random
from collections.abc import Callable

from currantline.clock import Clock
from currantline.placement import (
    Candidate,
    LatencyAverages,
    ProbeLimit,
    Target,
    TargetRegistry,
    choose_probe_targets,
    find_pause,
    has_good_candidate,
)
from currantline.relay._pool import Lease
from currantline.relay._prober import LoadProber, ProbeResult
from currantline.relay._selection import RequestContext, Selection

__all__ = ["TargetSampler"]

# Number of targets probed concurrently in the own data centre, then in the others.
LOCAL_PROBES = 4
REMOTE_PROBES = 3

# The same for later searches of the same request.
LOCAL_PROBES_AGAIN = 2
REMOTE_PROBES_AGAIN = 1

# Time for which a full target is not probed again, in milliseconds.
FULL_PAUSE_MS = 25.0


class TargetSampler:
    """Probes some of the targets of a service.

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
    count_instances : callable
        Returns the number of instances that share the limit.
    data_centre : str
        Data centre of this instance.
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
        count_instances: Callable[[], int],
        data_centre: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._prober = prober
        self._latencies = latencies
        self._probe_limit = probe_limit
        self._count_instances = count_instances
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng

    def is_limited(self, context: RequestContext, usable: list[Target]) -> bool:
        """Return whether targets are available but none may be probed now."""
        now = self._clock.read()
        is_available = any(find_pause(target, now) is None for target in usable)
        return is_available and self.count_left(context) == 0

    def count_left(self, context: RequestContext) -> int:
        """Return how many targets of the service of a request may be probed now."""
        service = context.service.name
        return self._probe_limit.count_left(
            service,
            targets=len(self._targets.list_usable(service)),
            instances=self._count_instances(),
            now=self._clock.read(),
        )

    async def probe(
        self, context: RequestContext, usable: list[Target], searches: int
    ) -> list[ProbeResult]:
        """Probe targets of the own data centre, and of the others if none is good.

        Parameters
        ----------
        context : RequestContext
            The request.
        usable : list of Target
            Targets that may receive the request.
        searches : int
            Number of earlier searches of the request; later ones probe fewer targets.
        """
        local = [t for t in usable if t.published.data_centre == self._data_centre]
        local_limit = LOCAL_PROBES_AGAIN if searches else LOCAL_PROBES
        probed = await self._probe_some(context, local, local_limit)
        local_candidates = [result.candidate for result in probed]
        if has_good_candidate(
            local_candidates,
            self._latencies.read(context.route.name),
            self._clock.read(),
            self._rng,
        ):
            return probed
        remote = [target for target in usable if target not in local]
        limit = REMOTE_PROBES_AGAIN if searches else REMOTE_PROBES
        try:
            return probed + await self._probe_some(context, remote, limit)
        except asyncio.CancelledError:
            self._prober.release_unused(probed)
            raise

    async def probe_eligible(
        self, context: RequestContext, eligible: list[Target], limit: int
    ) -> list[ProbeResult]:
        """Probe some of the given targets.

        Parameters
        ----------
        context : RequestContext
            The request.
        eligible : list of Target
            Targets that are not paused.
        limit : int
            Maximum number of targets to probe.
        """
        now = self._clock.read()
        limit = min(limit, self.count_left(context))
        if not eligible or limit == 0:
            return []
        chosen = choose_probe_targets(
            eligible,
            limit,
            is_connected=self._prober.is_connected,
            now=now,
            rng=self._rng,
        )
        self._probe_limit.record(context.service.name, len(chosen))
        probed = await self._prober.probe(chosen, context.service.health_path)
        for result in probed:
            if not result.candidate.has_free_slot:
                result.candidate.target.skip_until_ms = (
                    self._clock.read() + FULL_PAUSE_MS
                )
        return probed

    async def check(self, context: RequestContext, target: Target) -> Lease | None:
        """Probe one target and return its connection, None if the probe fails.

        The caller makes sure that the limit of health checks allows it.
        """
        self._probe_limit.record(context.service.name, 1)
        path = context.service.health_path
        probed = await self._prober.probe([target], path)
        return probed[0].lease if probed else None

    def list_current(self, probed: list[ProbeResult]) -> list[Candidate]:
        """Return the probed targets that may be used without a permit."""
        # A target may have started draining, or named a limit, or said that it is cold,
        # while it was probed.
        now = self._clock.read()
        candidates = [result.candidate for result in probed]
        return [
            c
            for c in candidates
            if self._targets.is_current(c.target, now)
            and not (c.target.is_rate_limited or c.target.is_cold(now))
        ]

    def claim(
        self, probed: list[ProbeResult], best: tuple[Candidate, float] | None
    ) -> Selection | None:
        """Return the selection of the best candidate and release the others.

        Parameters
        ----------
        probed : list of ProbeResult
            Probed targets with their connections.
        best : tuple of Candidate and float, or None
            Candidate to use with its predicted time in milliseconds, None for none.
        """
        chosen = next((a for a in probed if best and a.candidate is best[0]), None)
        self._prober.release_unused(a for a in probed if a is not chosen)
        if chosen is None or best is None:
            return None
        return Selection(chosen.candidate.target, chosen.lease, best[1])

    async def _probe_some(
        self, context: RequestContext, targets: list[Target], limit: int
    ) -> list[ProbeResult]:
        now = self._clock.read()
        eligible = [t for t in targets if find_pause(t, now) is None]
        return await self.probe_eligible(context, eligible, limit)
