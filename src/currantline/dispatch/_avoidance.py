"""Retries prefer targets that have not failed the request."""

from collections.abc import Callable, Iterable

from currantline.admission import WorkItem
from currantline.dispatch._slots import SlotTracker

__all__ = ["TargetAvoidance"]

INFINITY = float("inf")


class TargetAvoidance:
    """Keeps the retries of one service off targets that failed them for a time.

    Parameters
    ----------
    slot_tracker : SlotTracker
        Slots of the targets of the service.
    max_wait_ms : float
        Longest time that a retry waits for another target.
    """

    def __init__(self, slot_tracker: SlotTracker, max_wait_ms: float) -> None:
        self._slot_tracker = slot_tracker
        self._max_wait_ms = max_wait_ms
        self._until: dict[str, float] = {}

    def add(self, work: WorkItem, now: float, latest_start: float) -> None:
        """Start the wait of a retry, at most half of the time left to start it."""
        if work.avoid:
            wait_ms = min(self._max_wait_ms, (latest_start - now) / 2)
            self._until[work.request_id] = now + wait_ms

    def remove(self, request_id: str) -> None:
        """Forget a request that no longer waits."""
        self._until.pop(request_id, None)

    def make_filter(
        self, now: float, targets: Iterable[str]
    ) -> Callable[[WorkItem], bool]:
        """Return a predicate for requests that may start on one of the targets."""
        names = frozenset(targets)

        def is_eligible(work: WorkItem) -> bool:
            if now >= self._until.get(work.request_id, -INFINITY):
                return True
            has_alternative = not names <= work.avoid
            return has_alternative or not self._slot_tracker.has_usable_target_except(
                work.avoid
            )

        return is_eligible

    def next_due(self, now: float) -> float:
        """Return when a wait ends next, or infinity."""
        ends = [until for until in self._until.values() if until > now]
        return min(ends, default=INFINITY)
