"""Conversion of configurations from YAML or JSON text and to plain mappings."""

from collections.abc import Mapping
from typing import Any

import attrs
import cattrs
import yaml

from currantline.configuration._model import Configuration, Service
from currantline.exceptions import ConfigurationError
from currantline.structure import describe_failure, make_converter

__all__ = [
    "build_configuration",
    "build_service",
    "parse_configuration",
    "render_configuration",
    "render_service",
]

_CONVERTER = make_converter()


def build_configuration(
    document: Mapping[str, Any], *, source: str = "configuration"
) -> Configuration:
    """Build a configuration from plain mappings.

    Parameters
    ----------
    document : mapping
        ``version``, ``schema_level``, ``max_instances`` and ``services``, which maps
        the name of each service to its fields.
    source : str
        File or service from which the document was read.

    Returns
    -------
    Configuration
        The checked configuration.

    Raises
    ------
    ConfigurationError
        If a key is unknown or missing, or a value is not allowed.
    """
    named = _insert_names(document, source)
    try:
        configuration = _CONVERTER.structure(named, Configuration)
    except (cattrs.BaseValidationError, AttributeError, TypeError) as error:
        path, reason = describe_failure(error)
        raise ConfigurationError(reason, source=source, path=path) from error
    check_unique_targets(configuration, source=source)
    return configuration


def build_service(name: str, document: Any, *, source: str) -> Service:
    """Build one service from plain mappings.

    Parameters
    ----------
    name : str
        Name of the service.
    document : object
        Its fields, without the name.
    source : str
        File or service from which the document was read.

    Raises
    ------
    ConfigurationError
        If a key is unknown or missing, or a value is not allowed.
    """
    services = {name: document}
    named = _insert_names({"services": services}, source)["services"][name]
    try:
        return _CONVERTER.structure(named, Service)
    except (cattrs.BaseValidationError, AttributeError, TypeError) as error:
        key, reason = describe_failure(error)
        path = ".".join(part for part in ("services", name, key) if part)
        raise ConfigurationError(reason, source=source, path=path) from error


def parse_configuration(text: str, *, source: str = "configuration") -> Configuration:
    """Parse a configuration from YAML text, of which JSON is a subset.

    Parameters
    ----------
    text : str
        YAML or JSON document.
    source : str
        File or service from which the text was read.

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
    """Return a configuration as plain mappings, inverse to `build_configuration`."""
    document: dict[str, Any] = _CONVERTER.unstructure(
        attrs.evolve(configuration, services={})
    )
    document["services"] = {
        name: render_service(service)
        for name, service in configuration.services.items()
    }
    return document


def render_service(service: Service) -> dict[str, Any]:
    """Return a service as plain mappings without its name."""
    document: dict[str, Any] = _CONVERTER.unstructure(service)
    del document["name"]
    for group in ("targets", "routes"):
        document[group] = list(document[group])
    return document


def check_unique_targets(
    configuration: Configuration, *, source: str = "configuration"
) -> None:
    """Check that no target occurs in two services or twice in one.

    Raises
    ------
    ConfigurationError
        If a target name is used twice.
    """
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


def _insert_names(document: Mapping[str, Any], source: str) -> dict[str, Any]:
    services = document.get("services", {})
    if not isinstance(services, Mapping):
        return dict(document)
    named = {}
    for name, body in services.items():
        if isinstance(body, Mapping):
            if "name" in body:
                raise ConfigurationError(
                    "the key of the service is its name",
                    source=source,
                    path=f"services.{name}.name",
                )
            body = {"name": name, **body}
        named[name] = body
    return {**document, "services": named}
