"""Registry of the targets that an instance knows."""

from currantline.placement._target import PublishedTarget, Target

__all__ = ["TargetRegistry"]


class TargetRegistry:
    """Known targets by name, and the usable targets of each service."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}

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
        self._targets[entry.name] = Target(entry, warmup_end_ms=now + entry.warmup_ms)

    def remove(self, name: str) -> None:
        """Remove a target that is no longer published."""
        self._targets.pop(name, None)

    def find(self, name: str) -> Target | None:
        """Return a target by name, or None."""
        return self._targets.get(name)

    def list_usable(self, service: str) -> list[Target]:
        """Return the targets of a service that may receive new requests."""
        return [
            target
            for target in self._targets.values()
            if target.published.service == service and target.is_usable
        ]

    def list_addresses(self) -> set[str]:
        """Return the addresses of all targets."""
        return {target.address for target in self._targets.values()}

    def count_rate_limited(self) -> int:
        """Return the number of targets that limit the requests of the fleet."""
        return sum(1 for target in self._targets.values() if target.is_rate_limited)

    def is_current(self, target: Target) -> bool:
        """Return whether a target is still published and may receive new requests."""
        return self._targets.get(target.name) is target and target.is_usable

    def __len__(self) -> int:
        return len(self._targets)
