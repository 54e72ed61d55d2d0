"""Targets whose evidence other instances asked for."""

from collections.abc import Iterable

__all__ = ["RequestedTargets"]

# Four times the interval at which an owner without evidence asks.
RETENTION_MS = 2000.0


class RequestedTargets:
    """Remembers for a short while what was asked for."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}

    def add(self, targets: Iterable[str], now: float) -> None:
        """Note targets that were asked for, at a time in milliseconds."""
        oldest = now - RETENTION_MS
        kept = {name: at for name, at in self._requested_at.items() if at > oldest}
        self._requested_at = {**kept, **dict.fromkeys(targets, now)}

    def is_requested(self, target: str, now: float) -> bool:
        """Return whether a target was asked for within the last 2,000 ms."""
        return now - self._requested_at.get(target, float("-inf")) <= RETENTION_MS
