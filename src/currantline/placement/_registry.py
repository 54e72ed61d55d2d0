"""Registry of the targets that an instance knows."""

import math
from collections.abc import Mapping

from currantline.placement._availability import find_unavailability
from currantline.placement._passive_health import CommonFailures, PassiveHealth
from currantline.placement._stated_availability import StatedAvailability
from currantline.placement._target import PublishedTarget, Target
from currantline.placement._warmup import WarmupBound

__all__ = ["TargetRegistry"]


# Maximum number of earlier starts of targets whose stated availability is kept.
MAX_EARLIER_STARTS = 4_096


class TargetRegistry:
    """Known targets by name, and the usable targets of each service."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        # By name and start time, the earliest first; also of removed targets.
        self._stated: dict[tuple[str, int], StatedAvailability] = {}
        # An evacuation also applies to targets that register later.
        self._evacuated: set[str] = set()
        self._common_failures: dict[str, CommonFailures] = {}
        self._warmup_bounds: Mapping[str, WarmupBound] = {}

    def set_warmup_bounds(self, bounds: Mapping[str, WarmupBound], now: float) -> None:
        """Set the bounds on the requests to cold targets, by service."""
        self._warmup_bounds = dict(bounds)
        for target in self._targets.values():
            target.apply_warmup_bound(bounds.get(target.published.service), now)

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
            known.apply_entry(entry, now)
            known.is_evacuated = entry.data_centre in self._evacuated
            return
        target = Target(
            entry,
            warmup_end_ms=now + entry.warmup_ms,
            passive_health=PassiveHealth(common=self._find_common(entry.service)),
            stated=self._find_stated(entry),
            is_evacuated=entry.data_centre in self._evacuated,
            added_ms=now,
        )
        target.apply_warmup_bound(self._warmup_bounds.get(entry.service), now)
        self._targets[entry.name] = target

    def remove(self, name: str) -> None:
        """Remove a target that is no longer published.

        What it said of its availability holds if the same start is published again.
        """
        self._targets.pop(name, None)

    def start_evacuation(self, data_centre: str) -> list[Target] | None:
        """Let the targets of a data centre get nothing more.

        Returns
        -------
        list of Target or None
            The known targets there, None if the data centre is already evacuated.
        """
        if data_centre in self._evacuated:
            return None
        self._evacuated.add(data_centre)
        return self._set_evacuated(data_centre, is_evacuated=True)

    def end_evacuation(self, data_centre: str) -> list[Target] | None:
        """Let the targets of a data centre get requests again.

        Returns
        -------
        list of Target or None
            The known targets there, None if the data centre is not evacuated.
        """
        if data_centre not in self._evacuated:
            return None
        self._evacuated.remove(data_centre)
        return self._set_evacuated(data_centre, is_evacuated=False)

    def update_common_failures(self, service: str, now: float) -> None:
        """Find the failures that the targets of a service have in common."""
        observed = [target.passive_health for target in self.list_published(service)]
        self._find_common(service).update(observed, now)

    def find(self, name: str) -> Target | None:
        """Return a target by name, or None."""
        return self._targets.get(name)

    def list_published(self, service: str) -> list[Target]:
        """Return all published targets of a service."""
        return [t for t in self._targets.values() if t.published.service == service]

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

    def list_connectable_addresses(self) -> set[str]:
        """Return the addresses of all targets that are not evacuated."""
        return {t.address for t in self._targets.values() if not t.is_evacuated}

    def count_evacuated(self) -> int:
        """Return the number of targets in evacuated data centres."""
        return sum(1 for target in self._targets.values() if target.is_evacuated)

    def count_rate_limited(self) -> int:
        """Return the number of targets that limit the requests of the fleet."""
        return sum(1 for target in self._targets.values() if target.is_rate_limited)

    def count_cold(self, now: float) -> int:
        """Return the number of targets whose requests need permits while cold."""
        return sum(1 for target in self._targets.values() if target.is_cold(now))

    def take_warmed(self, now: float) -> list[Target]:
        """Return the targets noted as cold that are warm now, and reset the note."""
        warmed = [
            target
            for target in self._targets.values()
            if target.is_noted_cold and not target.is_cold(now)
        ]
        for target in warmed:
            target.is_noted_cold = False
        return warmed

    def is_current(self, target: Target, now: float) -> bool:
        """Return whether a target is still published and may receive new requests.

        Parameters
        ----------
        target : Target
            The target.
        now : float
            Current time in milliseconds.
        """
        is_published = self._targets.get(target.name) is target
        return is_published and find_unavailability(target, now) is None

    def _find_common(self, service: str) -> CommonFailures:
        return self._common_failures.setdefault(service, CommonFailures())

    def _set_evacuated(self, data_centre: str, *, is_evacuated: bool) -> list[Target]:
        targets = [
            target
            for target in self._targets.values()
            if target.published.data_centre == data_centre
        ]
        for target in targets:
            target.is_evacuated = is_evacuated
        return targets

    def _find_stated(self, entry: PublishedTarget) -> StatedAvailability:
        start = (entry.name, entry.started_unix_ms)
        stated = self._stated.pop(start, None) or StatedAvailability()
        # The start that was published last comes last.
        self._stated[start] = stated
        if len(self._stated) > len(self._targets) + MAX_EARLIER_STARTS:
            self._forget_earliest()
        return stated

    def _forget_earliest(self) -> None:
        current = {
            (name, target.published.started_unix_ms)
            for name, target in self._targets.items()
        }
        del self._stated[next(start for start in self._stated if start not in current)]

    def __len__(self) -> int:
        return len(self._targets)
