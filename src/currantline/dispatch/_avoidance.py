"""Retries that wait for a target that has not failed them."""

from collections.abc import Callable, Iterable

from currantline.admission import WorkItem
from currantline.dispatch._ledger import SlotLedger

__all__ = ["Avoidance"]

INFINITY = float("inf")


class Avoidance:
    """How long the retries of one service pass over targets that failed them.

    Parameters
    ----------
    ledger : SlotLedger
        Slots of the targets of the service.
    patience_ms : float
        Longest wait of a retry for another target.
    """

    def __init__(self, ledger: SlotLedger, patience_ms: float) -> None:
        self._ledger = ledger
        self._patience_ms = patience_ms
        self._until: dict[str, float] = {}

    def add(self, work: WorkItem, now: float, start_by: float) -> None:
        """Begin the wait of a retry; it takes at most half of the time to start."""
        if work.avoid:
            wait_ms = min(self._patience_ms, (start_by - now) / 2)
            self._until[work.request_id] = now + wait_ms

    def remove(self, request_id: str) -> None:
        """Forget a request that no longer waits."""
        self._until.pop(request_id, None)

    def filter(self, now: float, places: Iterable[str]) -> Callable[[WorkItem], bool]:
        """Return what tells whether a request may start on one of some targets."""
        names = frozenset(places)

        def fits(work: WorkItem) -> bool:
            if now >= self._until.get(work.request_id, -INFINITY):
                return True
            is_free = not names <= work.avoid
            return is_free or not self._ledger.takes_work_outside(work.avoid)

        return fits

    def next_due(self, now: float) -> float:
        """Return when a wait ends next, or infinity."""
        ends = [until for until in self._until.values() if until > now]
        return min(ends, default=INFINITY)
