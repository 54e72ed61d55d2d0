"""Reading of configurations from YAML or JSON text."""

from collections.abc import Mapping
from typing import Any

import cattrs
import yaml

from currantline.configuration._model import Configuration
from currantline.exceptions import ConfigurationError
from currantline.structure import describe_failure, make_converter

__all__ = ["build_configuration", "parse_configuration", "render_configuration"]

_CONVERTER = make_converter()


def build_configuration(
    document: Mapping[str, Any], *, source: str = "configuration"
) -> Configuration:
    """Build a configuration from plain mappings.

    Parameters
    ----------
    document : mapping
        ``version``, ``schema_level``, ``max_instances`` and ``services``, where a
        service's name is its key.
    source : str
        File or service that the document came from.

    Returns
    -------
    Configuration
        The checked configuration.

    Raises
    ------
    ConfigurationError
        If a key is unknown or missing, or a value is not allowed.
    """
    try:
        named = _insert_names(document)
        configuration = _CONVERTER.structure(named, Configuration)
    except (cattrs.BaseValidationError, AttributeError, TypeError) as error:
        path, reason = describe_failure(error)
        raise ConfigurationError(reason, source=source, path=path) from error
    _check_unique_targets(configuration, source)
    return configuration


def parse_configuration(text: str, *, source: str = "configuration") -> Configuration:
    """Read a configuration from YAML text, of which JSON is a part.

    Parameters
    ----------
    text : str
        The document.
    source : str
        File or service that the text came from.

    Returns
    -------
    Configuration
        The checked configuration.

    Raises
    ------
    ConfigurationError
        If the text is not YAML or is not a valid configuration.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        reason = " ".join(str(error).split())
        raise ConfigurationError(f"not YAML: {reason}", source=source) from error
    if not isinstance(document, dict):
        raise ConfigurationError("a mapping is required", source=source)
    return build_configuration(document, source=source)


def render_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration as plain mappings, the inverse of building it."""
    document: dict[str, Any] = _CONVERTER.unstructure(configuration)
    for service in document["services"].values():
        del service["name"]
    return document


def _insert_names(document: Mapping[str, Any]) -> dict[str, Any]:
    services = document.get("services", {})
    if not isinstance(services, Mapping):
        return dict(document)
    named = {
        name: {"name": name, **body} if isinstance(body, Mapping) else body
        for name, body in services.items()
    }
    return {**document, "services": named}


def _check_unique_targets(configuration: Configuration, source: str) -> None:
    seen: dict[str, str] = {}
    for service in configuration.services.values():
        for target in service.targets:
            if target.name in seen:
                raise ConfigurationError(
                    f"target {target.name!r} is also in service {seen[target.name]!r}",
                    source=source,
                    path=f"services.{service.name}.targets",
                )
            seen[target.name] = service.name
