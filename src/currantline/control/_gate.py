"""Refusal of requests while the instance is not ready."""

from collections.abc import Callable

import attrs

from currantline.admission import WorkItem
from currantline.exceptions import RequestRefusedError
from currantline.forwarding import AttemptResult, Permit, Placement

__all__ = ["ReadyGate"]


@attrs.frozen
class ReadyGate:
    """Placement that refuses requests of an instance that may not take work.

    An instance that starts, or wakes from a pause, may act on old knowledge until
    it has heard of its peers.

    Parameters
    ----------
    placement : Placement
        Source of permits.
    accepts_requests : callable
        Returns whether the instance may take work.
    """

    placement: Placement
    accepts_requests: Callable[[], bool]

    async def acquire(self, work: WorkItem) -> Permit:
        """Wait for a slot.

        Raises
        ------
        RequestRefusedError
            If the instance is not ready or the request is refused.
        """
        if not self.accepts_requests():
            raise RequestRefusedError("the instance is not ready", reason="not-ready")
        return await self.placement.acquire(work)

    def release(
        self, permit: Permit, result: AttemptResult, *, duration_ms: float
    ) -> None:
        """Give a permit back and say how its use ended."""
        self.placement.release(permit, result, duration_ms=duration_ms)
