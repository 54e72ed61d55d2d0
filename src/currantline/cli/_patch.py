"""The command ``patch``."""

from typing import Any

from absl import flags

from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._diff import list_rows
from currantline.cli._files import read_configuration, read_document
from currantline.configuration import (
    Accepted,
    Configuration,
    ConfigurationState,
    Reason,
    Record,
    Refused,
    evaluate_record,
    find_incompatibility,
    parse_changes,
    render_record,
)
from currantline.exceptions import CommandError

__all__ = ["COMMAND"]

KEYS = frozenset({"base_version", "author", "schema_level", "changes"})
CODES = {
    Reason.STALE_BASE_VERSION: ExitCode.CONFLICT,
    Reason.INVALID: ExitCode.INVALID,
    Reason.MALFORMED: ExitCode.INVALID,
}


def build_patch(invocation: Invocation) -> Report:
    """Build the record to publish and evaluate it as the daemons do."""
    base_path, changes_path = invocation.arguments
    base = read_configuration(base_path)
    _, document = read_document(changes_path)
    author = str(invocation.read("author"))
    record = _build_record(changes_path, document, base, author)
    state = ConfigurationState.build(1, base)
    verdict = evaluate_record(state, record)
    if isinstance(verdict, Refused):
        code = CODES.get(verdict.reason, ExitCode.REFUSED)
        reason = f"{verdict.reason.value}: {verdict.detail}"
        raise CommandError(f"{changes_path}: {reason}", code)
    incompatibility = find_incompatibility(verdict.state, record)
    if incompatibility:
        raise CommandError(f"{changes_path}: {incompatibility}", ExitCode.REFUSED)
    return _report(record, verdict)


def _build_record(path: str, document: Any, base: Configuration, author: str) -> Record:
    fields = document if isinstance(document, dict) else {"changes": document}
    unknown = sorted(str(key) for key in fields.keys() - KEYS)
    if unknown:
        raise CommandError(f"{path}: {unknown[0]}: unknown key", ExitCode.INVALID)
    author = author or fields.get("author", "")
    if not author:
        raise CommandError(
            f"{path}: author: a key or the flag --author is required", ExitCode.USAGE
        )
    return Record(
        sequence=2,
        kind="patch",
        base_version=fields.get("base_version", base.version),
        author=author,
        schema_level=fields.get("schema_level", base.schema_level),
        body=fields.get("changes"),
    )


def _report(record: Record, verdict: Accepted) -> Report:
    published = render_record(record)
    # The configuration service assigns the sequence number.
    del published["sequence"]
    document = {
        "result": "ok",
        "from_version": record.base_version,
        "to_version": verdict.state.version,
        "digest": f"{verdict.state.digest:016x}",
        "record": published,
    }
    return Report(document=document, rows=list_rows(parse_changes(record.body)))


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("author", "", "Author of the patch.", flag_values=values)


COMMAND = Command(
    name="patch",
    arguments=("BASE", "CHANGES"),
    summary="Build the record of a patch and evaluate it as the daemons do.",
    perform=build_patch,
    define_flags=_define_flags,
)
