"""The command ``audit``."""

import asyncio
from datetime import UTC, datetime
from typing import Any

import attrs

from currantline.audit import AuditEvent, EventKind, MergedEvent, merge_trails
from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._instances import (
    MS_PER_SECOND,
    InstanceResponse,
    define_instance_flags,
    describe_unreachable,
    fetch_from_instances,
    parse_addresses,
    read_timeout,
)
from currantline.cli._status import list_mappings
from currantline.exceptions import CommandError

__all__ = ["COMMAND", "read_event", "render_time"]

DETAILS = """\
Requests /audit from each instance and merges the trails by time. A record with the
same verdict on several instances is one line that names all of them; different
verdicts are separate lines. Each instance keeps its last 512 events in memory;
`missing` counts those that it no longer has, which are in its log as
currantline:audit."""


def show_audit(invocation: Invocation) -> Report:
    """Print the merged audit trail of the given instances."""
    addresses = parse_addresses(invocation)
    timeout_ms = read_timeout(invocation)
    names, responses = asyncio.run(_fetch_trails(addresses, timeout_ms))
    trails: dict[str, list[AuditEvent]] = {}
    for name, response in zip(names, responses, strict=True):
        if response.document is not None:
            trails.setdefault(name, []).extend(_read_events(response))
    merged = merge_trails(trails)
    message = describe_unreachable(responses)
    return Report(
        document={
            "events": [_render(each) for each in merged],
            "trails": [_describe_trail(name, trails[name]) for name in sorted(trails)],
            "unreachable": [r.address for r in responses if r.document is None],
        },
        rows=tuple(_list_event(each) for each in merged),
        tables={"trails": tuple(_describe_trail(n, trails[n]) for n in sorted(trails))},
        code=ExitCode.UNREACHABLE if message else ExitCode.OK,
        message=message,
    )


def read_event(document: dict[str, Any]) -> AuditEvent:
    """Parse an event from an instance, which may run another release.

    Parameters
    ----------
    document : dict
        An event as returned by ``/audit``; unknown keys are ignored.

    Raises
    ------
    CommandError
        If a value is of the wrong type.
    """
    values: dict[str, Any] = {"when_ms": 0.0}
    for field in attrs.fields(AuditEvent):
        if field.name == "kind" or field.name not in document:
            continue
        value = document[field.name]
        kinds = (int, float) if field.type is float else (field.type,)
        if type(value) not in kinds:
            raise CommandError(f"{field.name}: {value!r}", ExitCode.INVALID)
        values[field.name] = value
    kinds_known = {kind.value: kind for kind in EventKind}
    kind = kinds_known.get(str(document.get("kind")), EventKind.OTHER)
    return AuditEvent(kind=kind, **values)


def render_time(when_ms: float) -> str:
    """Format a wall-clock time in UTC.

    Examples
    --------
    >>> render_time(1_700_000_000_250.0)
    '2023-11-14T22:13:20.250Z'
    """
    try:
        moment = datetime.fromtimestamp(when_ms / MS_PER_SECOND, UTC)
    except (ValueError, OverflowError, OSError):
        return str(when_ms)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


async def _fetch_trails(
    addresses: list[str], timeout_ms: float
) -> tuple[list[str], list[InstanceResponse]]:
    health = await fetch_from_instances(addresses, "/health", timeout_ms=timeout_ms)
    responses = await fetch_from_instances(addresses, "/audit", timeout_ms=timeout_ms)
    names = [str((r.document or {}).get("instance", r.address)) for r in health]
    return names, responses


def _read_events(response: InstanceResponse) -> list[AuditEvent]:
    events = list_mappings(response.document or {}, "events")
    try:
        return [read_event(dict(event)) for event in events]
    except CommandError as error:
        raise CommandError(
            f"{response.address}: /audit: event with {error.message}", ExitCode.INVALID
        ) from error


def _describe_trail(name: str, events: list[AuditEvent]) -> dict[str, Any]:
    first = min((event.number for event in events), default=1)
    return {"instance": name, "events": len(events), "missing": max(0, first - 1)}


def _render(merged: MergedEvent) -> dict[str, Any]:
    fields = attrs.asdict(merged.event)
    del fields["number"]
    return {
        **fields,
        "kind": merged.event.kind.value,
        "when": render_time(merged.event.when_ms),
        "instances": list(merged.instances),
    }


def _list_event(merged: MergedEvent) -> dict[str, Any]:
    event = merged.event
    is_record = event.sequence > 0
    return {
        "when": render_time(event.when_ms),
        "kind": event.kind.value,
        "sequence": event.sequence if is_record else "-",
        "author": event.author or "-",
        "from": event.from_version if is_record else "-",
        "to": event.to_version if is_record else "-",
        "verdict": event.verdict or "-",
        "reason": event.reason or "-",
        "instances": ",".join(merged.instances),
        "detail": event.detail,
    }


COMMAND = Command(
    name="audit",
    arguments=(),
    summary="Show configuration changes with authors, departures and view changes.",
    details=DETAILS,
    perform=show_audit,
    define_flags=define_instance_flags,
)
