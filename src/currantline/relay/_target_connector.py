"""Connects to a target that was chosen by its load report or its permit."""

import asyncio

from currantline.clock import Clock
from currantline.placement import Candidate, Target, TargetRegistry
from currantline.relay._pool import Lease
from currantline.relay._prober import LoadProber
from currantline.relay._selection import RequestContext, Selection
from currantline.relay._target_sampler import TargetSampler

__all__ = ["MAX_REPORT_AGE_MS", "TargetConnector"]

# Age up to which a load report is used instead of a health check, in milliseconds.
# Hosts change their speed every 150 ms.
MAX_REPORT_AGE_MS = 40.0

# Time after which a target that may turn cold without notice gets a health check before
# a request that needs none otherwise, in milliseconds.
MAX_UNCHECKED_MS = 1_000.0


class TargetConnector:
    """Connects to a selected target, and checks that it may still be used.

    Parameters
    ----------
    targets : TargetRegistry
        Known targets.
    prober : LoadProber
        Opens connections to targets.
    sampler : TargetSampler
        Health-checks targets within the limit of health checks.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        targets: TargetRegistry,
        *,
        prober: LoadProber,
        sampler: TargetSampler,
        clock: Clock,
    ) -> None:
        self._targets = targets
        self._prober = prober
        self._sampler = sampler
        self._clock = clock
        # Targets of the requests that wait for their permits to become valid.
        self._reserved: dict[asyncio.Future[None], Target] = {}

    def notify_evacuation(self) -> None:
        """Let requests with a permit for an evacuated target search for another."""
        for woken, target in self._reserved.items():
            if target.is_evacuated and not woken.done():
                woken.set_result(None)

    def is_current(self, target: Target) -> bool:
        """Return whether a selected target may still receive the request."""
        return self._targets.is_current(target, self._clock.read())

    def needs_check(self, target: Target) -> bool:
        """Return whether only a health check shows that a target is not cold."""
        age_ms = self._clock.read() - target.checked_ms
        return target.warmup_bound is not None and age_ms > MAX_UNCHECKED_MS

    async def connect(self, chosen: tuple[Candidate, float]) -> Selection | None:
        """Connect to a target that is chosen with a predicted time in milliseconds."""
        # No health check would show that a connection has gone silent.
        target = chosen[0].target
        lease = await self._prober.connect(target, max_idle_ms=MAX_REPORT_AGE_MS)
        if lease is not None and target.is_rate_limited:
            self._prober.release(lease)
            return None
        return self._check_current(target, lease, predicted_ms=chosen[1])

    async def connect_limited(
        self, context: RequestContext, target: Target, *, predicted_ms: float
    ) -> Selection | None:
        """Connect to a target for which a permit was granted."""
        lease = await self._open_limited(context, target)
        return self._check_current(target, lease, predicted_ms=predicted_ms)

    async def connect_later(
        self, context: RequestContext, reserved: Selection
    ) -> Selection | None:
        """Connect to a target for which a permit was granted, once it is valid."""
        assert reserved.target is not None
        target = reserved.target
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._reserved[woken] = target
        try:
            await asyncio.wait([woken], timeout=reserved.wait_ms / 1000)
        finally:
            del self._reserved[woken]
        if not self.is_current(target):
            return None
        return await self.connect_limited(context, target, predicted_ms=0.0)

    async def _open_limited(
        self, context: RequestContext, target: Target
    ) -> Lease | None:
        if self.needs_check(target) and self._sampler.count_left(context):
            return await self._sampler.check(context, target)
        return await self._prober.connect(target, max_idle_ms=MAX_REPORT_AGE_MS)

    def _check_current(
        self, target: Target, lease: Lease | None, *, predicted_ms: float
    ) -> Selection | None:
        if lease is None:
            return None
        if target.is_cold(self._clock.read()) or not self.is_current(target):
            self._prober.release(lease)
            return None
        return Selection(target, lease, predicted_ms)
