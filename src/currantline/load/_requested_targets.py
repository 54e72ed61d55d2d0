"""Targets for which peers requested evidence."""

from collections.abc import Iterable

__all__ = ["RequestedTargets"]

# Four times the interval at which an owner without evidence sends requests.
RETENTION_MS = 2000.0


class RequestedTargets:
    """Targets for which a peer requested evidence within the last 2,000 ms."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}

    def add(self, targets: Iterable[str], now: float) -> None:
        """Record a request for targets at ``now``, in milliseconds of the clock."""
        oldest = now - RETENTION_MS
        kept = {name: at for name, at in self._requested_at.items() if at > oldest}
        self._requested_at = {**kept, **dict.fromkeys(targets, now)}

    def is_requested(self, target: str, now: float) -> bool:
        """Return whether a target was requested within the last 2,000 ms."""
        return now - self._requested_at.get(target, float("-inf")) <= RETENTION_MS
