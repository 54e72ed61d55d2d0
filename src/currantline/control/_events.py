"""Audit events of one instance."""

from currantline.audit import AuditEvent, AuditTrail, EventKind, build_record_event
from currantline.clock import Clock
from currantline.configuration import EvaluatedRecord
from currantline.membership import Status, View

__all__ = ["EventRecorder"]


class EventRecorder:
    """Records configuration verdicts and view changes in the audit trail.

    Parameters
    ----------
    trail : AuditTrail
        Receives the events.
    clock : Clock
        Source of time.
    started_ms : float
        Current wall-clock time in milliseconds; later times are derived from the
        clock.
    """

    def __init__(self, trail: AuditTrail, *, clock: Clock, started_ms: float) -> None:
        self._trail = trail
        self._clock = clock
        self._offset_ms = started_ms - clock.read()
        self._statuses: dict[str, Status] = {}

    def record_verdict(self, evaluated: EvaluatedRecord) -> None:
        """Record the verdict on a configuration record."""
        self._trail.append(
            build_record_event(evaluated, when_ms=self._read_wall_clock())
        )

    def record_view(self, view: View) -> None:
        """Record each instance that joined, left or changed its status."""
        statuses = {entry.name: entry.status for entry in view.instances}
        for name in sorted(statuses.keys() | self._statuses.keys()):
            old, new = self._statuses.get(name), statuses.get(name)
            if old is not new:
                state = new.value if new is not None else "gone"
                self.record(f"instance {name} is {state}")
        self._statuses = statuses

    def record(self, detail: str) -> None:
        """Record an event that concerns only the local instance."""
        event = AuditEvent(
            kind=EventKind.OTHER, when_ms=self._read_wall_clock(), detail=detail
        )
        self._trail.append(event)

    def _read_wall_clock(self) -> float:
        return self._clock.read() + self._offset_ms
