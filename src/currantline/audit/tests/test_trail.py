"""Tests of the audit trail."""

from typing import Any

import eliot

from currantline.audit import (
    AuditEvent,
    AuditTrail,
    EventKind,
    build_record_event,
    merge_trails,
)
from currantline.configuration import EvaluatedRecord, History, Record


def make_event(sequence: int, when_ms: float, verdict: str = "accepted") -> AuditEvent:
    """Return the event of a patch."""
    return AuditEvent(
        kind=EventKind.PATCH, when_ms=when_ms, verdict=verdict, sequence=sequence
    )


class TestAuditTrail:
    """Audit trail of one instance."""

    def test_bounded(self) -> None:
        """Guards against a trail that grows without bound or does not log an event."""
        messages: list[dict[str, Any]] = []
        eliot.add_destinations(messages.append)
        trail = AuditTrail(capacity=2)
        for sequence in (1, 2, 3):
            trail.append(make_event(sequence, 5.0))
        assert [event.number for event in trail.events_after(0)] == [2, 3]
        assert [event.sequence for event in trail.events_after(2)] == [3]
        eliot.remove_destination(messages.append)
        logged = [m["sequence"] for m in messages if "sequence" in m]
        assert logged == [1, 2, 3]

    def test_record_event(self) -> None:
        """Guards against a refused record that is shown as changing the version."""
        history = History()
        records = [
            Record(sequence=1, kind="snapshot", author="ann", body={"version": 4}),
            Record(sequence=2, kind=["odd"], author=7),
            Record(sequence=3, kind="patch", author="x" * 200),
        ]
        events = []
        for record in records:
            before = history.state.version
            verdict = history.apply(record, 0.0)
            assert verdict is not None
            evaluated = EvaluatedRecord(
                record=record, verdict=verdict, from_version=before
            )
            events.append(build_record_event(evaluated, when_ms=9.0))
        versions = [(event.from_version, event.to_version) for event in events]
        assert versions == [(0, 4), (4, 4), (4, 4)]
        assert [event.author for event in events] == ["ann", "", "x" * 100]
        assert [event.reason for event in events] == ["", "malformed", "malformed"]


class TestMergeTrails:
    """Merging of the trails of several instances."""

    def test_repeats(self) -> None:
        """Guards against a record that is listed once for each instance."""
        trails = {
            "b": [make_event(1, 7.0), make_event(2, 8.0)],
            "a": [make_event(1, 6.0), make_event(2, 9.0, "refused")],
            "c": [make_event(0, 6.5), make_event(0, 6.5)],
        }
        merged = merge_trails(trails)
        found = [(m.event.when_ms, m.event.verdict, m.instances) for m in merged]
        assert found == [
            (6.0, "accepted", ("a", "b")),
            (6.5, "accepted", ("c",)),
            (8.0, "accepted", ("b",)),
            (9.0, "refused", ("a",)),
        ]
