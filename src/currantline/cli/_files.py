"""Reading of input files."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

from currantline.cli._command import ExitCode
from currantline.configuration import (
    RELEASE_SCHEMA,
    Configuration,
    find_violation,
    parse_configuration,
    read_level,
)
from currantline.exceptions import CommandError, ConfigurationError

__all__ = ["read_configuration", "read_document"]


def read_document(path: str) -> tuple[str, Any]:
    """Return the text and the parsed document of a YAML or JSON file.

    Raises
    ------
    CommandError
        If the file cannot be read, is not YAML or has a duplicate key, of which
        PyYAML would silently use the last.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = f"{path}: cannot be read: {error.strerror or error}"
        raise CommandError(reason, ExitCode.USAGE) from error
    except UnicodeDecodeError as error:
        raise CommandError(f"{path}: not UTF-8 text", ExitCode.INVALID) from error
    try:
        document = yaml.safe_load(text)
        duplicates = list(
            _list_duplicate_keys(yaml.compose(text, Loader=yaml.SafeLoader))
        )
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        reason = f"{path}: not YAML: {' '.join(str(error).split())}"
        raise CommandError(reason, ExitCode.INVALID) from error
    for line, key in duplicates:
        raise CommandError(
            f"{path}: line {line}: duplicate key {key!r}", ExitCode.INVALID
        )
    return text, document


def read_configuration(path: str) -> Configuration:
    """Read a configuration and apply the same checks as the daemons.

    Raises
    ------
    CommandError
        If the file cannot be read or daemons would reject the configuration.
    """
    text, document = read_document(path)
    if isinstance(document, dict):
        _check_level(path, document)
    try:
        configuration = parse_configuration(text, source=path)
    except ConfigurationError as error:
        raise CommandError(str(error), ExitCode.INVALID) from error
    violation = find_violation(configuration)
    if violation is not None:
        raise CommandError(f"{path}: {violation.detail}", ExitCode.INVALID)
    return configuration


def _check_level(path: str, document: dict[str, Any]) -> None:
    level = read_level(document)
    if level > RELEASE_SCHEMA.known_level:
        raise CommandError(
            f"{path}: schema_level: {level} is above {RELEASE_SCHEMA.known_level}, "
            "the highest that this release knows",
            ExitCode.INVALID,
        )


def _list_duplicate_keys(node: Any) -> Iterator[tuple[int, str]]:
    if isinstance(node, yaml.SequenceNode):
        for item in node.value:
            yield from _list_duplicate_keys(item)
    if not isinstance(node, yaml.MappingNode):
        return
    seen = set()
    for key, value in node.value:
        if key.value in seen:
            yield key.start_mark.line + 1, key.value
        if isinstance(key, yaml.ScalarNode):
            seen.add(key.value)
        yield from _list_duplicate_keys(value)
