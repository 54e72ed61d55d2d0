"""The command ``status``."""

import asyncio
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from absl import flags

from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._instances import (
    InstanceResponse,
    define_instance_flags,
    describe_unreachable,
    fetch_from_instances,
    parse_addresses,
    read_timeout,
)

__all__ = ["COMMAND", "list_mappings"]

QUEUE_KEYS = (
    "short_waiting",
    "long_waiting",
    "running",
    "free_slots",
    "lent_slots",
    "borrowed_slots",
)
TARGET_KEYS = (
    "target",
    "service",
    "state",
    "evidence_age_ms",
    "limit",
    "circuit",
    "response_ms",
)

DETAILS = """\
Requests /status from each instance and prints three tables: the instances (version
in force, readiness and reason, lease), the queues per service and instance, and the
status of each target as seen by each instance. `evidence_age_ms` is the age of the
evidence that the target is not leaving; a target without evidence, shown as -,
gets no new work."""


def show_status(invocation: Invocation) -> Report:
    """Print the status of the given instances."""
    responses = asyncio.run(
        fetch_from_instances(
            parse_addresses(invocation),
            "/status",
            timeout_ms=read_timeout(invocation),
        )
    )
    message = describe_unreachable(responses)
    service = str(invocation.read("service"))
    queues, targets = _list_queues(responses), _list_targets(responses)
    return Report(
        document={"instances": [_render(response) for response in responses]},
        rows=tuple(_list_instance(response) for response in responses),
        tables={
            "queues": _filter_by_service(queues, service),
            "targets": _filter_by_service(targets, service),
        },
        code=ExitCode.UNREACHABLE if message else ExitCode.OK,
        message=message,
    )


def list_mappings(document: Mapping[str, Any], key: str) -> list[Mapping[str, Any]]:
    """Return the mappings in a list; other releases may return other types."""
    value = document.get(key)
    items = value if isinstance(value, list) else []
    return [item for item in items if isinstance(item, dict)]


def _render(response: InstanceResponse) -> dict[str, Any]:
    if response.document is None:
        return {"address": response.address, "error": response.error}
    return {"address": response.address, **response.document}


def _list_instance(response: InstanceResponse) -> dict[str, Any]:
    document = response.document
    if document is None:
        keys = ("instance", "version", "sequence", "ready", "lease", "sees")
        placeholders = dict.fromkeys(keys, "-")
        return {"address": response.address, **placeholders, "reason": response.error}
    lease = document.get("lease")
    return {
        "address": response.address,
        "instance": document.get("instance", "-"),
        "version": document.get("version", "-"),
        "sequence": document.get("sequence", "-"),
        "ready": _render_boolean(document.get("ready")),
        "lease": _render_boolean(
            lease.get("held") if isinstance(lease, dict) else None
        ),
        "sees": len(list_mappings(document, "view")),
        "reason": document.get("reason") or "-",
    }


def _list_queues(responses: Sequence[InstanceResponse]) -> Iterator[dict[str, Any]]:
    for response in responses:
        document = response.document or {}
        queues = document.get("queues")
        for service, counts in (queues if isinstance(queues, dict) else {}).items():
            if isinstance(counts, dict):
                found = {key: counts.get(key, "-") for key in QUEUE_KEYS}
                instance = document.get("instance", "-")
                yield {"instance": instance, "service": service, **found}


def _list_targets(responses: Sequence[InstanceResponse]) -> Iterator[dict[str, Any]]:
    for response in responses:
        document = response.document or {}
        for target in list_mappings(document, "targets"):
            found = {key: _replace_none(target.get(key)) for key in TARGET_KEYS}
            instance = document.get("instance", "-")
            yield {
                "instance": instance,
                **found,
                "claim": _render_claim(target.get("claim")),
            }


def _filter_by_service(
    rows: Iterator[dict[str, Any]], service: str
) -> tuple[dict[str, Any], ...]:
    return tuple(row for row in rows if service in ("", row["service"]))


def _render_claim(claim: Any) -> str:
    if not isinstance(claim, dict):
        return "-"
    return f"{claim.get('state')}, {claim.get('in_flight')} of {claim.get('slots')}"


def _replace_none(value: Any) -> Any:
    return "-" if value is None else value


def _render_boolean(value: Any) -> str:
    return "-" if value is None else "yes" if value else "no"


def _define_flags(values: flags.FlagValues) -> None:
    define_instance_flags(values)
    flags.DEFINE_string(
        "service",
        "",
        "Show only queues and targets of this service; all services by default.",
        flag_values=values,
    )


COMMAND = Command(
    name="status",
    arguments=(),
    summary="Show version, readiness, queues, lease and targets of instances.",
    details=DETAILS,
    perform=show_status,
    define_flags=_define_flags,
)
