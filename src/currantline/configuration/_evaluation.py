"""Evaluation of records, with the same verdict in every instance."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from currantline.configuration._changes import (
    Change,
    SetField,
    SetMember,
    SetService,
    SetServiceField,
    apply_changes,
    parse_changes,
)
from currantline.configuration._limits import MAX_BODY_BYTES, find_violation
from currantline.configuration._model import Configuration
from currantline.configuration._parse import build_configuration
from currantline.configuration._record import (
    Accepted,
    ConfigurationState,
    Reason,
    Record,
    RecordKind,
    Refused,
    encode_body,
    measure_depth,
)
from currantline.configuration._schema import RELEASE_SCHEMA, Schema
from currantline.exceptions import ChangeError, ConfigurationError

__all__ = ["evaluate_record", "find_incompatibility", "read_level"]

# Verdicts must not depend on the stack depth left when a body is traversed.
MAX_DEPTH = 20
# Refusals are kept in memory and logged, so their details are truncated.
MAX_DETAIL_LENGTH = 300
MAX_AUTHOR_LENGTH = 100


def evaluate_record(
    state: ConfigurationState, record: Record, schema: Schema = RELEASE_SCHEMA
) -> Accepted | Refused:
    """Accept or refuse a record.

    Parameters
    ----------
    state : ConfigurationState
        State after the previous record.
    record : Record
        Next record of the log.
    schema : Schema
        Fields that this release knows.

    Returns
    -------
    Accepted or Refused
        The state after the record, or the reason why no part of it takes effect.
    """
    refused = _check_envelope(record)
    if refused is not None:
        return refused
    if record.kind == RecordKind.SNAPSHOT.value:
        return _evaluate_snapshot(state, record, schema)
    return _evaluate_patch(state, record, schema)


def find_incompatibility(
    state: ConfigurationState, record: Record, schema: Schema = RELEASE_SCHEMA
) -> str:
    """Return why this release cannot evaluate a record, or an empty string.

    A release that does not know the schema level in force, or the level of the
    first snapshot, stops evaluating until it is replaced, because it would have to
    guess.
    """
    level = state.schema_level
    is_first = state.configuration is None and record.kind == RecordKind.SNAPSHOT.value
    if is_first or record.kind == RecordKind.STATE.value:
        level = max(level, read_level(record.body))
    if level <= schema.known_level:
        return ""
    return (
        f"schema level {level} is above {schema.known_level}, "
        "the highest that this release knows"
    )


def read_level(body: Any) -> int:
    """Return the schema level that a configuration document specifies."""
    level = body.get("schema_level", 1) if isinstance(body, dict) else 1
    return level if type(level) is int else 1


def _check_envelope(record: Record) -> Refused | None:
    if record.kind not in (RecordKind.SNAPSHOT.value, RecordKind.PATCH.value):
        return _refuse(Reason.MALFORMED, f"{record.kind!r} is not a kind of record")
    if type(record.base_version) is not int:
        return _refuse(Reason.MALFORMED, "base_version is not a whole number")
    if type(record.schema_level) is not int:
        return _refuse(Reason.MALFORMED, "schema_level is not a whole number")
    if not isinstance(record.author, str) or len(record.author) > MAX_AUTHOR_LENGTH:
        return _refuse(
            Reason.MALFORMED,
            f"author is not a text of at most {MAX_AUTHOR_LENGTH} characters",
        )
    if measure_depth(record.body) > MAX_DEPTH:
        return _refuse(
            Reason.MALFORMED, f"the body is nested deeper than {MAX_DEPTH} levels"
        )
    text = encode_body(record.body)
    if text is None:
        return _refuse(Reason.MALFORMED, "the body is not JSON")
    if len(text) > MAX_BODY_BYTES:
        return _refuse(
            Reason.LIMIT_EXCEEDED,
            f"the body of {len(text)} bytes is above {MAX_BODY_BYTES} bytes",
        )
    return None


def _evaluate_snapshot(
    state: ConfigurationState, record: Record, schema: Schema
) -> Accepted | Refused:
    if not isinstance(record.body, dict):
        return _refuse(Reason.MALFORMED, "the body is not a mapping")
    level = read_level(record.body)
    # Checked before the fields, because an older release may not know them.
    if state.configuration is not None and (
        record.body.get("version") != state.version or level != state.schema_level
    ):
        return _refuse_snapshot(state)
    disallowed_path = schema.find_disallowed_field(record.body, level)
    if disallowed_path:
        return _refuse_field(disallowed_path, level)
    built = _build_valid(lambda: build_configuration(record.body, source="snapshot"))
    if isinstance(built, Refused):
        return built
    after = ConfigurationState.build(record.sequence, built, schema)
    if state.configuration is None:
        return Accepted(state=after)
    if after.digest != state.digest:
        return _refuse_snapshot(state)
    return Accepted(state=attrs.evolve(state, sequence=record.sequence))


def _evaluate_patch(
    state: ConfigurationState, record: Record, schema: Schema
) -> Accepted | Refused:
    before = state.configuration
    if before is None or record.base_version != before.version:
        return _refuse(
            Reason.STALE_BASE_VERSION,
            f"the patch is against version {record.base_version}, "
            f"in force is {state.version}",
        )
    level = before.schema_level
    if record.schema_level > level:
        return _refuse(
            Reason.SCHEMA_LEVEL_NOT_IN_FORCE,
            f"the patch is of schema level {record.schema_level}, in force is {level}",
        )
    try:
        changes = parse_changes(record.body)
    except ChangeError as error:
        return _refuse(Reason.MALFORMED, error.message)
    disallowed_path = _find_disallowed_field(changes, level, schema)
    if disallowed_path:
        return _refuse_field(disallowed_path, level)
    built = _build_valid(lambda: apply_changes(before, changes), before)
    if isinstance(built, Refused):
        return built
    # Without this check, a mistyped level would make every instance unready.
    if not level <= built.schema_level <= level + 1:
        return _refuse(
            Reason.INVALID, "schema_level: the level never falls and rises by one"
        )
    after = attrs.evolve(built, version=before.version + 1)
    return Accepted(
        state=ConfigurationState.build(record.sequence, after, schema, state)
    )


def _build_valid(
    build: Callable[[], Configuration], before: Configuration | None = None
) -> Configuration | Refused:
    try:
        configuration = build()
    except ConfigurationError as error:
        path_prefix = f"{error.path}: " if error.path else ""
        return _refuse(Reason.INVALID, f"{path_prefix}{error.message}")
    return find_violation(configuration, before) or configuration


def _find_disallowed_field(
    changes: Iterable[Change], level: int, schema: Schema
) -> str:
    for change in changes:
        disallowed_path = ""
        if isinstance(change, SetField):
            disallowed_path = schema.find_disallowed_field(
                {change.field: change.value}, level
            )
        elif isinstance(change, SetService):
            disallowed_path = schema.find_disallowed_service_field(change.value, level)
        elif isinstance(change, SetServiceField):
            disallowed_path = schema.find_disallowed_service_field(
                {change.field: change.value}, level
            )
        elif isinstance(change, SetMember):
            document = {change.group.value: [change.value]}
            disallowed_path = schema.find_disallowed_service_field(document, level)
        if disallowed_path:
            return disallowed_path
    return ""


def _refuse_snapshot(state: ConfigurationState) -> Refused:
    return _refuse(
        Reason.UNEXPECTED_SNAPSHOT, f"version {state.version} is in force already"
    )


def _refuse_field(path: str, level: int) -> Refused:
    return _refuse(
        Reason.SCHEMA_LEVEL_NOT_IN_FORCE,
        f"{path}: no field of that name at schema level {level}",
    )


def _refuse(reason: Reason, detail: str) -> Refused:
    return Refused(reason=reason, detail=detail[:MAX_DETAIL_LENGTH])
