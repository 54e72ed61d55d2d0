"""Audit trail of changes."""

from currantline.audit._event import AuditEvent, EventKind, build_record_event
from currantline.audit._trail import AuditTrail, MergedEvent, merge_trails

__all__ = [
    "AuditEvent",
    "AuditTrail",
    "EventKind",
    "MergedEvent",
    "build_record_event",
    "merge_trails",
]
