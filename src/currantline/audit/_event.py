"""Audit events."""

import enum

import attrs

from currantline.configuration import Accepted, EvaluatedRecord, RecordKind, Refused

__all__ = ["AuditEvent", "EventKind", "build_record_event"]

# The author of a malformed record may have any type and length.
MAX_AUTHOR_LENGTH = 100


class EventKind(enum.Enum):
    """Kinds of events."""

    SNAPSHOT = "snapshot"
    PATCH = "patch"
    STATE = "state"
    MALFORMED = "malformed"
    OTHER = "other"


@attrs.frozen(kw_only=True)
class AuditEvent:
    """A change or an attempted change.

    Parameters
    ----------
    kind : EventKind
        Kind of the event.
    when_ms : float
        Wall-clock time in ms.
    author : str
        Author of the record.
    from_version, to_version : int
        Version in force before and after.
    verdict : str
        ``accepted`` or ``refused``.
    reason : str
        Value of a `Reason`, empty if accepted.
    detail : str
        Description in one line, for operators.
    sequence : int
        Sequence of the record, 0 if the event concerns one instance only.
    number : int
        Position in the trail of one instance, assigned by the trail.
    """

    kind: EventKind
    when_ms: float
    author: str = ""
    from_version: int = 0
    to_version: int = 0
    verdict: str = ""
    reason: str = ""
    detail: str = ""
    sequence: int = 0
    number: int = 0


def build_record_event(evaluated: EvaluatedRecord, *, when_ms: float) -> AuditEvent:
    """Return the event of an evaluated record.

    Parameters
    ----------
    evaluated : EvaluatedRecord
        A record and its verdict.
    when_ms : float
        Wall-clock time in ms.
    """
    record, verdict = evaluated.record, evaluated.verdict
    kinds = [kind.value for kind in RecordKind]
    refused = verdict if isinstance(verdict, Refused) else None
    to_version = evaluated.from_version
    if isinstance(verdict, Accepted):
        to_version = verdict.state.version
    return AuditEvent(
        kind=EventKind(record.kind if record.kind in kinds else "malformed"),
        when_ms=when_ms,
        author=_truncate_author(record.author),
        from_version=evaluated.from_version,
        to_version=to_version,
        verdict="refused" if refused else "accepted",
        reason=refused.reason.value if refused else "",
        detail=refused.detail if refused else "",
        sequence=record.sequence,
    )


def _truncate_author(author: object) -> str:
    return author[:MAX_AUTHOR_LENGTH] if isinstance(author, str) else ""
