"""Renders the state of an instance for operators as JSON-compatible values."""

from collections.abc import Mapping
from typing import Any

import attrs

from currantline.audit import AuditEvent
from currantline.dispatch import ServiceCounts
from currantline.membership import InstanceEntry, View

__all__ = ["render_counts", "render_event", "render_view"]


def render_counts(counts: Mapping[str, ServiceCounts]) -> dict[str, Any]:
    """Return the queues, slots and counters of each service."""
    return {name: attrs.asdict(each) for name, each in counts.items()}


def render_view(view: View) -> list[dict[str, Any]]:
    """Return a row for each live instance."""
    return [_render_entry(entry) for entry in view.instances]


def render_event(event: AuditEvent) -> dict[str, Any]:
    """Return one event of the audit trail."""
    return {**attrs.asdict(event), "kind": event.kind.value}


def _render_entry(entry: InstanceEntry) -> dict[str, Any]:
    return {**attrs.asdict(entry), "status": entry.status.value}
