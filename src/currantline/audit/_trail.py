"""Audit trail of one instance, and the merged trail of several instances."""

from collections import deque
from collections.abc import Hashable, Iterable, Mapping

import attrs
from eliot import log_message

from currantline.audit._event import AuditEvent

__all__ = ["AuditTrail", "MergedEvent", "merge_trails"]

# At 3,500 changes a day, this covers more than three hours.
DEFAULT_CAPACITY = 512


class AuditTrail:
    """Recent events of one instance, each of which is also logged.

    Parameters
    ----------
    capacity : int
        Maximum number of events kept in memory.
    """

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY) -> None:
        self._events: deque[AuditEvent] = deque(maxlen=capacity)
        self._last_number = 0

    def append(self, event: AuditEvent) -> AuditEvent:
        """Assign a number to an event, keep it and log it.

        Returns
        -------
        AuditEvent
            The event with its number.
        """
        self._last_number += 1
        numbered = attrs.evolve(event, number=self._last_number)
        self._events.append(numbered)
        fields = attrs.asdict(numbered)
        log_message("currantline:audit", **{**fields, "kind": event.kind.value})
        return numbered

    def events_after(self, number: int) -> list[AuditEvent]:
        """Return the kept events whose number is above the given one."""
        return [event for event in self._events if event.number > number]


@attrs.frozen(kw_only=True)
class MergedEvent:
    """An event and the instances that reported it.

    Parameters
    ----------
    event : AuditEvent
        Event as reported first.
    instances : tuple of str
        Names of the instances that reported it.
    """

    event: AuditEvent
    instances: tuple[str, ...]


def merge_trails(trails: Mapping[str, Iterable[AuditEvent]]) -> list[MergedEvent]:
    """Merge the trails of several instances into one without duplicates.

    A record with the same verdict in several instances is one event. Different
    verdicts are separate events, so that disagreements are visible.

    Parameters
    ----------
    trails : mapping of str to iterable of AuditEvent
        Events by instance name.

    Returns
    -------
    list of MergedEvent
        Events in order of their time.
    """
    found: dict[Hashable, list[tuple[AuditEvent, str]]] = {}
    for name in sorted(trails):
        for event in trails[name]:
            found.setdefault(_build_merge_key(name, event), []).append((event, name))
    merged = [
        MergedEvent(
            event=min((event for event, _ in reports), key=lambda e: e.when_ms),
            instances=tuple(sorted({name for _, name in reports})),
        )
        for reports in found.values()
    ]
    return sorted(merged, key=lambda m: (m.event.when_ms, m.event.sequence))


def _build_merge_key(name: str, event: AuditEvent) -> Hashable:
    if event.sequence == 0:
        return name, event.number, event.when_ms
    return attrs.evolve(event, when_ms=0.0, number=0)
