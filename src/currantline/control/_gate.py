"""Refusal of requests while the instance is not ready."""

from collections.abc import Callable

import attrs

from currantline.admission import WorkItem
from currantline.exceptions import RequestRefusedError
from currantline.forwarding import AttemptResult, Permit, Placement

__all__ = ["ReadyGate"]


@attrs.frozen
class ReadyGate:
    """Placement that refuses requests while the instance may not accept them.

    An instance that starts or resumes after a pause could act on stale state until
    it has received the state of its peers.

    Parameters
    ----------
    placement : Placement
        Source of permits.
    accepts_requests : callable
        Returns whether the instance may accept requests.
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
        """Return a permit and report the result of its attempt."""
        self.placement.release(permit, result, duration_ms=duration_ms)
