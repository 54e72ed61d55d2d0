"""The command ``explain``."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from currantline.cli._audit import render_time
from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._instances import MS_PER_SECOND
from currantline.exceptions import CommandError

__all__ = ["COMMAND", "Step", "collect_steps"]

STANDARD_INPUT = "-"
CANCELLED_SUFFIX = "CancelledError"
MS_DIGITS = 1

# Target, outcome, duration in ms and reason of a send in a gateway log line.
SEND_FIELD_COUNT = 4
FIELDS = ("service", "route", "outcome", "target", "reason", "attempts", "waited_ms")

DETAILS = """\
Reads instance logs (log_path, or the standard output of instances on the users'
platform; one JSON record per line) and prints all records with the request ID in
chronological order. Reads standard input without a FILE or if FILE is -. A request
ID occurs more than once if the caller retried at another instance. The outcome
`abandoned` means that the caller closed its connection; `no end` means that the
instance terminated, or the log ends, before the request was complete. Requests
that cannot be assigned to a service are not logged."""


@attrs.define(kw_only=True)
class Step:
    """Log record of one process about a request, with its end if it has one.

    Parameters
    ----------
    kind : str
        Type of the record.
    started : float
        Wall-clock time of the start in seconds.
    fields : dict
        Fields of the record.
    ended : float or None
        Wall-clock time of the end in seconds; None if unknown.
    is_action : bool
        Whether start and end are separate records.
    """

    kind: str
    started: float
    fields: dict[str, Any] = attrs.field(factory=dict)
    ended: float | None = None
    is_action: bool = False

    def render(self) -> dict[str, Any]:
        """Return the step as a table row."""
        row = {key: self.fields.get(key) for key in ("instance", *FIELDS)}
        row["outcome"] = row["outcome"] or self._describe_end()
        row["reason"] = row["reason"] or self._describe_failure()
        duration_ms = None
        if self.ended is not None:
            duration_ms = round((self.ended - self.started) * MS_PER_SECOND, MS_DIGITS)
        return {
            "when": render_time(self.started * MS_PER_SECOND),
            "record": self.kind,
            **row,
            "duration_ms": duration_ms,
        }

    def _describe_end(self) -> str | None:
        if not self.is_action:
            return None
        if self.ended is None:
            return "no end"
        exception = str(self.fields.get("exception", ""))
        return "abandoned" if exception.endswith(CANCELLED_SUFFIX) else "failed"

    def _describe_failure(self) -> str | None:
        exception = self.fields.get("exception")
        return str(exception) if exception else None


def collect_steps(records: Iterable[dict[str, Any]]) -> list[Step]:
    """Combine records into steps, ordered by start time.

    Parameters
    ----------
    records : iterable of dict
        Records of one request from all processes, in any order.
    """
    steps: dict[tuple[str, ...], Step] = {}
    for number, record in enumerate(records):
        if "action_status" in record:
            _add_action(steps, record)
        else:
            steps[(str(number),)] = _read_message(record)
    return sorted(steps.values(), key=lambda step: step.started)


def explain_request(invocation: Invocation) -> Report:
    """Print the log records of one request."""
    request_id, *paths = invocation.arguments
    sources = [_Log(path) for path in paths or [STANDARD_INPUT]]
    records = _select_records(request_id, sources)
    rows = tuple(step.render() for step in collect_steps(records))
    if not rows:
        names = ", ".join(source.name for source in sources)
        raise CommandError(
            f"no record of request {request_id} in {names}", ExitCode.NOT_FOUND
        )
    return Report(
        document={"request_id": request_id, "steps": list(rows)},
        rows=tuple(_replace_empty(row) for row in rows),
    )


class _Log:
    """Records of a file or of standard input that can be read more than once.

    Lines that are not records, such as a truncated last line of a killed process,
    are skipped; a non-empty log without any record is an error.
    """

    def __init__(self, path: str) -> None:
        self.name = "standard input" if path == STANDARD_INPUT else path
        self._path = path
        self._buffered_lines: list[bytes] | None = None
        if path == STANDARD_INPUT:
            self._buffered_lines = sys.stdin.buffer.readlines()

    def read(self) -> Iterator[dict[str, Any]]:
        """Yield all records."""
        lines = found = 0
        for line in self._read_lines():
            lines += bool(line.strip())
            record = _parse(line)
            if record is not None:
                found += 1
                yield record
        if lines and not found:
            raise CommandError(
                f"{self.name}: not a log: no line is a record in JSON", ExitCode.INVALID
            )

    def _read_lines(self) -> Iterator[bytes]:
        if self._buffered_lines is not None:
            yield from self._buffered_lines
            return
        try:
            with Path(self._path).open("rb") as file:
                yield from file
        except OSError as error:
            reason = f"{self._path}: cannot be read: {error.strerror or error}"
            raise CommandError(reason, ExitCode.USAGE) from error


def _select_records(request_id: str, sources: Iterable[_Log]) -> list[dict[str, Any]]:
    """Return the records of a request.

    The end record of an action has no request ID, only the task ID of its start
    record, so each log is read twice: for the task IDs, then for their records.
    """
    logs = list(sources)
    tasks = {
        record["task_uuid"]
        for log in logs
        for record in log.read()
        if record.get("request_id") == request_id and "task_uuid" in record
    }
    return [
        record
        for log in logs
        for record in log.read()
        if record.get("request_id") == request_id
        or (record.get("task_uuid") in tasks and "request_id" not in record)
    ]


def _parse(line: bytes) -> dict[str, Any] | None:
    try:
        record = json.loads(line)
    except (ValueError, RecursionError):
        return None
    if not isinstance(record, dict):
        return None
    is_record = any(isinstance(record.get(key), str) for key in ("task_uuid", "event"))
    return record if is_record else None


def _read_event(record: dict[str, Any]) -> Step:
    """Convert a record that `currantline.telemetry.EventLog` wrote at the end."""
    sends = [send for send in record.get("sends") or () if isinstance(send, list)]
    last = sends[-1] if sends and len(sends[-1]) == SEND_FIELD_COUNT else None
    tried = record.get("tried") or ()
    fields = {
        **record,
        "outcome": str(record.get("status", "")),
        "target": last[0] if last else ", ".join(map(str, tried)),
        "reason": record.get("reason") or (last[-1] if last else ""),
        "attempts": len(tried),
    }
    when, took_ms = _read_time(record), record.get("took_ms")
    kind = str(record["event"])
    if isinstance(took_ms, int | float) and took_ms >= 0:
        started = when - took_ms / MS_PER_SECOND
        return Step(kind=kind, started=started, ended=when, fields=fields)
    return Step(kind=kind, started=when, fields=fields)


def _read_message(record: dict[str, Any]) -> Step:
    if "event" in record:
        return _read_event(record)
    kind = str(record.get("message_type", "-"))
    when, duration_ms = _read_time(record), record.get("duration_ms")
    if isinstance(duration_ms, int | float) and duration_ms >= 0:
        # A record with a duration is written at the end of the operation.
        started = when - duration_ms / MS_PER_SECOND
        return Step(kind=kind, started=started, ended=when, fields=record)
    return Step(kind=kind, started=when, fields=record)


def _add_action(steps: dict[tuple[str, ...], Step], record: dict[str, Any]) -> None:
    level = record.get("task_level")
    parents = level[:-1] if isinstance(level, list) else []
    key = (str(record["task_uuid"]), *map(str, parents), "action")
    when = _read_time(record)
    kind = str(record.get("action_type", "-"))
    step = steps.setdefault(key, Step(kind=kind, started=when, is_action=True))
    is_start = record["action_status"] == "started"
    step.started = min(step.started, when)
    if not is_start:
        step.ended = when
    step.fields.update(record)


def _read_time(record: dict[str, Any]) -> float:
    value = record.get("timestamp")
    return float(value) if isinstance(value, int | float) else 0.0


def _replace_empty(row: dict[str, Any]) -> dict[str, Any]:
    return {key: "-" if value in (None, "") else value for key, value in row.items()}


COMMAND = Command(
    name="explain",
    arguments=("REQUEST_ID",),
    rest="FILE",
    summary="Show the routing of a request from instance logs.",
    details=DETAILS,
    perform=explain_request,
)
