"""The command ``check``."""

from typing import Any

import attrs

from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._files import read_configuration, read_document
from currantline.configuration import Configuration, digest_configuration
from currantline.exceptions import CommandError, SettingsError
from currantline.settings import Settings, read_settings

__all__ = ["COMMAND"]


def check_file(invocation: Invocation) -> Report:
    """Check a configuration or settings file."""
    (path,) = invocation.arguments
    _, document = read_document(path)
    keys = set(document) if isinstance(document, dict) else set()
    # Settings and configurations have no key in common.
    if keys & {field.name for field in attrs.fields(Settings)}:
        fields = _describe_settings(path)
    else:
        fields = _describe_configuration(read_configuration(path))
    return Report(document={"result": "ok", "file": path, **fields}, rows=(fields,))


def _describe_settings(path: str) -> dict[str, Any]:
    try:
        settings = read_settings(path)
    except SettingsError as error:
        raise CommandError(str(error), ExitCode.INVALID) from error
    return {
        "kind": "settings",
        "name": settings.name,
        "data_centre": settings.data_centre,
        "caller_address": settings.caller_address,
    }


def _describe_configuration(configuration: Configuration) -> dict[str, Any]:
    targets = [t for s in configuration.services.values() for t in s.targets]
    return {
        "kind": "configuration",
        "version": configuration.version,
        "schema_level": configuration.schema_level,
        "services": len(configuration.services),
        "targets": len(targets),
        "slots": sum(target.slots for target in targets),
        "digest": f"{digest_configuration(configuration):016x}",
    }


COMMAND = Command(
    name="check",
    arguments=("FILE",),
    summary="Check a configuration or settings file.",
    perform=check_file,
)
