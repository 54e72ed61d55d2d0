"""Registry of the targets that an instance knows."""

import math

from currantline.placement._availability import find_unavailability
from currantline.placement._target import PublishedTarget, Target

__all__ = ["TargetRegistry"]


# Maximum number of removed targets whose leaving is remembered.
MAX_LEFT = 4_096


class TargetRegistry:
    """Known targets by name, and the usable targets of each service."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        # Start times of removed targets that said that they leave, by name.
        self._left: dict[str, int] = {}

    def update(self, entry: PublishedTarget, now: float) -> None:
        """Add a target or update its entry.

        State kept for the target is discarded if its address, start time or service
        changed, since it has been restarted or replaced under the same name.
        """
        known = self._targets.get(entry.name)
        identity = (entry.address, entry.started_unix_ms, entry.service)
        if known is not None and identity == (
            known.address,
            known.published.started_unix_ms,
            known.published.service,
        ):
            known.published = entry
            known.warmup_end_ms = now + entry.warmup_ms
            return
        self._targets[entry.name] = Target(
            entry,
            warmup_end_ms=now + entry.warmup_ms,
            is_leaving=self._has_left(entry),
        )

    def remove(self, name: str) -> None:
        """Remove a target that is no longer published.

        If it said that it leaves, it is not used again under the same start time.
        """
        target = self._targets.pop(name, None)
        if target is not None and target.is_leaving:
            self._left[name] = target.published.started_unix_ms
            while len(self._left) > MAX_LEFT:
                del self._left[next(iter(self._left))]

    def find(self, name: str) -> Target | None:
        """Return a target by name, or None."""
        return self._targets.get(name)

    def list_usable(self, service: str, now: float = math.inf) -> list[Target]:
        """Return the targets of a service that may receive new requests.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float, optional
            Current time in milliseconds. By default the targets that asked for silence
            are included.
        """
        return [
            target
            for target in self._targets.values()
            if target.published.service == service
            and find_unavailability(target, now) is None
        ]

    def list_addresses(self) -> set[str]:
        """Return the addresses of all targets."""
        return {target.address for target in self._targets.values()}

    def count_rate_limited(self) -> int:
        """Return the number of targets that limit the requests of the fleet."""
        return sum(1 for target in self._targets.values() if target.is_rate_limited)

    def is_current(self, target: Target, now: float = math.inf) -> bool:
        """Return whether a target is still published and may receive new requests.

        Parameters
        ----------
        target : Target
            The target.
        now : float, optional
            Current time in milliseconds. By default silence is ignored.
        """
        is_published = self._targets.get(target.name) is target
        return is_published and find_unavailability(target, now) is None

    def _has_left(self, entry: PublishedTarget) -> bool:
        known = self._targets.get(entry.name)
        if known is not None and known.is_leaving:
            return known.published.started_unix_ms == entry.started_unix_ms
        return self._left.get(entry.name) == entry.started_unix_ms

    def __len__(self) -> int:
        return len(self._targets)
