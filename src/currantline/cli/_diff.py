"""The command ``diff``."""

import json
from collections.abc import Iterable
from typing import Any

from currantline.cli._command import Command, Invocation, Report
from currantline.cli._files import read_configuration
from currantline.configuration import Change, compute_changes, render_change

__all__ = ["COMMAND", "list_rows"]


def compare_files(invocation: Invocation) -> Report:
    """Print the changes from one configuration to another.

    The JSON output is valid input for ``patch``.
    """
    old, new = map(read_configuration, invocation.arguments)
    changes = compute_changes(old, new)
    document = {
        "base_version": old.version,
        "changes": [render_change(change) for change in changes],
    }
    return Report(document=document, rows=list_rows(changes))


def list_rows(changes: Iterable[Change]) -> tuple[dict[str, Any], ...]:
    """Return one table row per change."""
    rows = []
    for change in changes:
        rendered = render_change(change)
        operation = "set" if "set" in rendered else "remove"
        value = json.dumps(rendered["value"]) if "value" in rendered else ""
        rows.append({"change": operation, "path": rendered[operation], "value": value})
    return tuple(rows)


COMMAND = Command(
    name="diff",
    arguments=("OLD", "NEW"),
    summary="Print the changes from one configuration to another.",
    perform=compare_files,
)
