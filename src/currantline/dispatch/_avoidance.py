"""Retries that wait for a target that has not failed them."""

from collections.abc import Callable, Iterable

from currantline.admission import WorkItem
from currantline.dispatch._slots import SlotTracker

__all__ = ["TargetAvoidance"]

INFINITY = float("inf")


class TargetAvoidance:
    """How long the retries of one service pass over targets that failed them.

    Parameters
    ----------
    slot_tracker : SlotTracker
        Slots of the targets of the service.
    max_wait_ms : float
        Longest wait of a retry for another target.
    """

    def __init__(self, slot_tracker: SlotTracker, max_wait_ms: float) -> None:
        self._slot_tracker = slot_tracker
        self._max_wait_ms = max_wait_ms
        self._until: dict[str, float] = {}

    def add(self, work: WorkItem, now: float, latest_start: float) -> None:
        """Begin the wait of a retry; it takes at most half of the time to start."""
        if work.avoid:
            wait_ms = min(self._max_wait_ms, (latest_start - now) / 2)
            self._until[work.request_id] = now + wait_ms

    def remove(self, request_id: str) -> None:
        """Forget a request that no longer waits."""
        self._until.pop(request_id, None)

    def make_filter(
        self, now: float, targets: Iterable[str]
    ) -> Callable[[WorkItem], bool]:
        """Return what tells whether a request may start on one of some targets."""
        names = frozenset(targets)

        def is_eligible(work: WorkItem) -> bool:
            if now >= self._until.get(work.request_id, -INFINITY):
                return True
            is_free = not names <= work.avoid
            return is_free or not self._slot_tracker.has_usable_target_except(
                work.avoid
            )

        return is_eligible

    def next_due(self, now: float) -> float:
        """Return when a wait ends next, or infinity."""
        ends = [until for until in self._until.values() if until > now]
        return min(ends, default=INFINITY)
