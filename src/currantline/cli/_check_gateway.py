"""The command ``check-gateway``."""

import json
from typing import Any

import attrs
from absl import flags

from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.exceptions import CommandError
from currantline.platform.configuration_check import (
    MAX_DOCUMENT_BYTES,
    ConfigurationCheck,
    Difference,
    check_configuration,
)

__all__ = ["COMMAND"]

# Width of a column of text; the JSON output has all of a value.
MAX_TEXT = 120

DETAILS = """\
FILE is the JSON document as it is to be stored. Errors are what instances refuse,
routes that never match, limits that contradict each other and unknown services.
With --in-force, the version must be above the one in force, and the differences are
printed. Exits with 1 if there are errors; warnings do not change the exit code."""


def check_gateway(invocation: Invocation) -> Report:
    """Check a configuration of the gateway before it is sent."""
    (path,) = invocation.arguments
    in_force = invocation.read("in-force")
    check = check_configuration(
        _read_bytes(path), None if in_force is None else _read_bytes(in_force)
    )
    return Report(
        document=_render_document(path, check),
        rows=tuple(
            {
                "severity": finding.severity,
                "path": _shorten(finding.path),
                "message": _shorten(finding.message),
            }
            for finding in check.findings
        ),
        tables={}
        if in_force is None
        else {"differences": tuple(map(_render_row, check.differences))},
        code=ExitCode.ERRORS_FOUND if check.has_errors else ExitCode.OK,
    )


def _read_bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            # One byte above the limit suffices to refuse the document.
            return file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        message = f"{path}: cannot be read: {reason}"
        raise CommandError(message, ExitCode.USAGE) from error


def _render_document(path: str, check: ConfigurationCheck) -> dict[str, Any]:
    return {
        "result": "errors_found" if check.has_errors else "ok",
        "file": path,
        "findings": [attrs.asdict(finding) for finding in check.findings],
        "differences": [
            {
                "kind": difference.kind,
                "path": difference.path,
                "from": _make_valid_json(difference.old),
                "to": _make_valid_json(difference.new),
            }
            for difference in check.differences
        ],
    }


def _make_valid_json(value: Any) -> Any:
    """Return a value, as text if it has a number that JSON cannot express."""
    try:
        json.dumps(value, allow_nan=False)
    except ValueError:
        return json.dumps(value)
    return value


def _render_row(difference: Difference) -> dict[str, str]:
    return {
        "difference": difference.kind,
        "path": _shorten(difference.path),
        "from": "" if difference.kind == "added" else _render_value(difference.old),
        "to": "" if difference.kind == "removed" else _render_value(difference.new),
    }


def _render_value(value: Any) -> str:
    return _shorten(json.dumps(value))


def _shorten(text: str) -> str:
    return text if len(text) <= MAX_TEXT else f"{text[:MAX_TEXT]}..."


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "in-force",
        None,
        "File with the configuration in force, to compare with.",
        flag_values=values,
    )


COMMAND = Command(
    name="check-gateway",
    arguments=("FILE",),
    summary="Check a configuration of the gateway before it is sent.",
    details=DETAILS,
    perform=check_gateway,
    define_flags=_define_flags,
    text_format="text",
)
